#include "pollenledge/process/settings.h"

#include <Poco/Net/SocketAddress.h>

#include <fstream>
#include <sstream>

namespace pollenledge {
namespace {

Duration Milliseconds(FieldReader* reader, const std::string& name,
                      std::int64_t fallback, std::int64_t min, std::int64_t max,
                      const std::string& description) {
  return std::chrono::milliseconds(
      reader->Integer(name, fallback, min, max, description));
}

std::string Address(FieldReader* reader, const std::string& name,
                    const std::string& description) {
  std::string text = reader->RequiredString(name, description);
  if (text.empty()) return text;
  try {
    Poco::Net::SocketAddress parsed(text);
  } catch (const Poco::Exception&) {
    reader->ReportProblem(name, "\"" + text + "\"",
                          "IP address and port, a.b.c.d:port");
  }
  return text;
}

void ParseDistances(FieldReader* reader, FieldLog* log, bool describe,
                    Settings* settings) {
  const YAML::Node rows =
      reader->Sequence("distances", "Network distances to failure domains.");
  const auto parse = [&](const YAML::Node& row) {
    FieldReader row_reader(row, "distances[]", log);
    DomainDistance distance;
    distance.domain = row_reader.RequiredString("domain", "Failure domain.");
    distance.one_way = FromMilliseconds(row_reader.Number(
        "one_way_ms", 1, 0, 10'000, "One-way network delay."));
    row_reader.ReportUnknownFields();
    settings->distances.push_back(distance);
  };
  if (describe) {
    parse(YAML::Node(YAML::NodeType::Map));
  } else if (rows.IsSequence()) {
    for (const YAML::Node& row : rows) parse(row);
  }
}

void ParseIdentity(FieldReader* reader, Settings* settings) {
  settings->node = reader->RequiredString("node", "Name of this instance.");
  settings->domain = reader->RequiredString("domain", "Its failure domain.");
  settings->instance = reader->String(
      "instance", "",
      "Name of this instance at the cloud API; empty: the value of node.");
  if (settings->instance.empty()) settings->instance = settings->node;
}

void ParseAddresses(FieldReader* reader, Settings* settings) {
  settings->caller_address =
      Address(reader, "caller_address", "Address that callers connect to.");
  settings->peer_address =
      Address(reader, "peer_address", "Address that other entries connect to.");
  settings->admin_address =
      Address(reader, "admin_address", "Address that operators connect to.");
  settings->peers =
      reader->StringList("peers", "Peer addresses of other entries.");
  settings->expected_entries = static_cast<int>(
      reader->Integer("expected_entries", 1, 1, 10'000,
                      "Minimum number of entries that share the limits."));
  settings->domain_distance = FromMilliseconds(
      reader->Number("domain_distance_ms", 1, 0, 10'000,
                     "One-way network delay to domains that are not listed."));
  settings->kv_address =
      Address(reader, "kv_address", "Address of the key-value service.");
  settings->cloud_address =
      Address(reader, "cloud_address", "Address of the cloud API.");
  settings->list_address = Address(reader, "list_address",
                                   "Address of the platform's instance list.");
}

void ParseSecrets(FieldReader* reader, Settings* settings) {
  settings->peer_token = reader->RequiredString(
      "peer_token", "Secret shared by the processes of the system.");
  settings->admin_token_sha256 = reader->RequiredString(
      "admin_token_sha256", "SHA-256 of the operators' token, in hex.");
}

void ParseBounds(FieldReader* reader, Settings* settings) {
  settings->kv_timeout = Milliseconds(reader, "kv_timeout_ms", 800, 10, 60'000,
                                      "Timeout of the key-value service.");
  settings->list_interval =
      Milliseconds(reader, "list_interval_ms", 1000, 50, 60'000,
                   "Interval between reads of the instance list.");
  settings->load_interval =
      Milliseconds(reader, "load_interval_ms", 500, 50, 60'000,
                   "Interval between reads of an upstream's load.");
  settings->report_lag =
      Milliseconds(reader, "report_lag_ms", 250, 0, 60'000,
                   "Age of an upstream's load report when it is read.");
  settings->caller_threads = static_cast<int>(
      reader->Integer("caller_threads", 128, 4, 4096,
                      "Maximum number of callers served at the same time."));
  settings->max_body_bytes =
      reader->Integer("max_body_bytes", 1 << 20, 1024, 64 << 20,
                      "Maximum size of a request body.");
  settings->max_requests =
      reader->Integer("max_requests", 4096, 1, 1'000'000,
                      "Maximum number of requests in progress, including "
                      "queued ones.");
  settings->caller_timeout =
      Milliseconds(reader, "caller_timeout_ms", 10'000, 100, 600'000,
                   "Timeout for a caller to send or receive bytes.");
  settings->upstream_timeout =
      Milliseconds(reader, "upstream_timeout_ms", 30'000, 100, 600'000,
                   "Timeout for the next bytes from an upstream.");
  settings->answer_retention =
      Milliseconds(reader, "answer_retention_ms", 60'000, 0, 3'600'000,
                   "How long the response of a completed request can be "
                   "fetched.");
  settings->time_line_events =
      reader->Integer("time_line_events", 8192, 16, 1'000'000,
                      "Number of events kept in the timeline.");
  settings->log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error"}, "info", "Log level.");
}

Settings Parse(const YAML::Node& node, bool describe, FieldLog* log) {
  Settings settings;
  FieldReader reader(node, "", log);
  ParseIdentity(&reader, &settings);
  ParseAddresses(&reader, &settings);
  ParseDistances(&reader, log, describe, &settings);
  ParseSecrets(&reader, &settings);
  ParseBounds(&reader, &settings);
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace

SettingsResult ParseSettings(const std::string& text, const std::string& file) {
  return ParseDocument<Settings>(text, file,
                                 [](const YAML::Node& node, FieldLog* log) {
                                   return Parse(node, false, log);
                                 });
}

SettingsResult LoadSettings(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!Ok(text)) return UnreadableFileProblem(path, ErrorOf(text).message);
  return ParseSettings(Value(text), path);
}

std::vector<FieldDescription> DescribeSettings() {
  FieldLog log{"", {}, {}};
  Parse(YAML::Node(YAML::NodeType::Map), true, &log);
  return log.fields;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error{ErrorCode::kNotFound, "file \"" + path + "\" cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace pollenledge
