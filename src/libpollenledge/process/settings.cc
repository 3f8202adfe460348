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
  std::string text = reader->RequiredText(name, description);
  if (text.empty()) return text;
  try {
    Poco::Net::SocketAddress parsed(text);
  } catch (const Poco::Exception&) {
    reader->Report(name, "\"" + text + "\"",
                   "IP address and port, a.b.c.d:port");
  }
  return text;
}

void ParseDistances(FieldReader* reader, FieldLog* log, bool describe,
                    Settings* settings) {
  const YAML::Node rows =
      reader->Sequence("distances", "Distances to failure domains.");
  const auto parse = [&](const YAML::Node& row) {
    FieldReader row_reader(row, "distances[]", log);
    DomainDistance distance;
    distance.domain = row_reader.RequiredText("domain", "Failure domain.");
    distance.one_way = FromMilliseconds(
        row_reader.Number("one_way_ms", 1, 0, 10'000, "Network time one way."));
    row_reader.Finish();
    settings->distances.push_back(distance);
  };
  if (describe) {
    parse(YAML::Node(YAML::NodeType::Map));
  } else if (rows.IsSequence()) {
    for (const YAML::Node& row : rows) parse(row);
  }
}

void ParsePlace(FieldReader* reader, Settings* settings) {
  settings->node = reader->RequiredText("node", "Name of this instance.");
  settings->domain = reader->RequiredText("domain", "Its failure domain.");
  settings->instance = reader->Text(
      "instance", "", "Its name at the cloud API; empty means the node's.");
  if (settings->instance.empty()) settings->instance = settings->node;
}

void ParseAddresses(FieldReader* reader, Settings* settings) {
  settings->caller_address =
      Address(reader, "caller_address", "Where callers connect.");
  settings->peer_address =
      Address(reader, "peer_address", "Where other entries connect.");
  settings->admin_address =
      Address(reader, "admin_address", "Where operators connect.");
  settings->peers =
      reader->TextList("peers", "Peer addresses of other entries.");
  settings->expected_entries = static_cast<int>(
      reader->Integer("expected_entries", 1, 1, 10'000,
                      "Entries that limits are shared among, at the least."));
  settings->domain_distance = FromMilliseconds(
      reader->Number("domain_distance_ms", 1, 0, 10'000,
                     "Network time one way to domains not listed."));
  settings->kv_address =
      Address(reader, "kv_address", "The key-value service.");
  settings->cloud_address = Address(reader, "cloud_address", "The cloud API.");
  settings->list_address =
      Address(reader, "list_address", "The platform's instance list.");
}

void ParseSecrets(FieldReader* reader, Settings* settings) {
  settings->peer_token = reader->RequiredText(
      "peer_token", "Secret shared by the system's own processes.");
  settings->admin_token_sha256 = reader->RequiredText(
      "admin_token_sha256", "SHA-256 of the operators' token, in hex.");
}

void ParseBounds(FieldReader* reader, Settings* settings) {
  settings->kv_timeout = Milliseconds(reader, "kv_timeout_ms", 800, 10, 60'000,
                                      "Wait for the key-value service.");
  settings->list_interval = Milliseconds(reader, "list_interval_ms", 1000, 50,
                                         60'000, "Between reads of the list.");
  settings->load_interval =
      Milliseconds(reader, "load_interval_ms", 500, 50, 60'000,
                   "Between readings of an upstream's load.");
  settings->report_lag =
      Milliseconds(reader, "report_lag_ms", 250, 0, 60'000,
                   "Age of an upstream's load figures when they are read.");
  settings->caller_threads = static_cast<int>(reader->Integer(
      "caller_threads", 128, 4, 4096, "Callers served at the same time."));
  settings->max_body_bytes = reader->Integer(
      "max_body_bytes", 1 << 20, 1024, 64 << 20, "Largest body of a request.");
  settings->max_requests =
      reader->Integer("max_requests", 4096, 1, 1'000'000,
                      "Requests in progress at once, queued ones included.");
  settings->caller_timeout =
      Milliseconds(reader, "caller_timeout_ms", 10'000, 100, 600'000,
                   "Wait for a caller to send or take bytes.");
  settings->upstream_timeout =
      Milliseconds(reader, "upstream_timeout_ms", 30'000, 100, 600'000,
                   "Wait for an upstream's next bytes.");
  settings->answer_retention =
      Milliseconds(reader, "answer_retention_ms", 60'000, 0, 3'600'000,
                   "How long an ended request's answer can be fetched.");
  settings->time_line_events =
      reader->Integer("time_line_events", 8192, 16, 1'000'000,
                      "Events kept for the time line.");
  settings->log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error"}, "info", "Log level.");
}

Settings Parse(const YAML::Node& node, bool describe, FieldLog* log) {
  Settings settings;
  FieldReader reader(node, "", log);
  ParsePlace(&reader, &settings);
  ParseAddresses(&reader, &settings);
  ParseDistances(&reader, log, describe, &settings);
  ParseSecrets(&reader, &settings);
  ParseBounds(&reader, &settings);
  reader.Finish();
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
  if (!Ok(text)) return UnreadableFile(path, ErrorOf(text).message);
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
