#include "pollenledge/process/node_settings.h"

#include <algorithm>

#include "pollenledge/connection/endpoint.h"
#include "pollenledge/process/settings.h"

namespace pollenledge {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;

std::string Address(FieldReader* reader, const std::string& name,
                    const std::string& description) {
  std::string text = reader->RequiredText(name, description);
  if (!text.empty() && !Ok(ParseTcpEndpoint(text))) {
    reader->Report(name, "\"" + text + "\"",
                   "IP address and port, a.b.c.d:port");
  }
  return text;
}

Duration Milliseconds(FieldReader* reader, const std::string& name,
                      std::int64_t fallback, const std::string& description) {
  return std::chrono::milliseconds(
      reader->Integer(name, fallback, 0, kHourMs, description));
}

/// Peers listen on the same port as this node.
std::vector<std::string> PeerAddresses(FieldReader* reader,
                                       const std::string& own) {
  std::vector<std::string> peers =
      reader->TextList("peer_hosts",
                       "Other nodes to begin with; a port after "
                       "the address is ignored.");
  const std::string port = own.substr(std::min(own.size(), own.rfind(':')));
  for (std::string& peer : peers) peer = peer.substr(0, peer.find(':')) + port;
  return peers;
}

NodeSettings Parse(const YAML::Node& node, FieldLog* log) {
  FieldReader reader(node, "", log);
  NodeSettings settings;
  settings.node = reader.RequiredText("node", "Name of this instance.");
  settings.domain = reader.RequiredText("domain", "Its failure domain.");
  settings.caller_address =
      Address(&reader, "caller_address", "Where callers connect.");
  settings.readiness_address = Address(&reader, "readiness_address",
                                       "Where the balancer asks if this node "
                                       "takes callers.");
  settings.admin_address =
      Address(&reader, "admin_address", "Where metrics are served.");
  settings.metrics_address =
      reader.Text("metrics_address", "",
                  "Where metrics are served besides; empty: nowhere else.");
  settings.peer_address = Address(&reader, "peer_address",
                                  "Where other nodes send heartbeats, by UDP.");
  settings.peers = PeerAddresses(&reader, settings.peer_address);
  settings.store_address =
      Address(&reader, "store_address", "The platform's key-value store.");
  settings.cloud_address = reader.Text(
      "cloud_address", "", "The cloud API; empty if there are no duties.");
  settings.grace = Milliseconds(&reader, "grace_ms", 8000,
                                "From the stop signal to the process's end.");
  settings.tables_bound =
      Milliseconds(&reader, "tables_bound_ms", 2000,
                   "Changed tables are in force within this time.");
  settings.leaving_bound =
      Milliseconds(&reader, "leaving_bound_ms", 2000,
                   "A leaving upstream gets no new work after this time.");
  settings.key_freshness = Milliseconds(
      &reader, "key_freshness_ms", 0,
      "Keyed requests run only if the tables were read this recently; 0: "
      "whatever their age.");
  settings.retry_ratio =
      reader.Number("retry_ratio", 0.2, 0, 10,
                    "Retries for each request of a service, over all nodes.");
  settings.retry_slack = reader.Number("retry_slack", 10, 0, 1e6,
                                       "Retries besides, over all nodes.");
  settings.usage_window = Milliseconds(&reader, "usage_window_ms", 5000,
                                       "Length of a usage window.");
  settings.usage_delay =
      Milliseconds(&reader, "usage_delay_ms", 10'000,
                   "From a usage window's end until its report is due.");
  settings.duty_lease =
      Milliseconds(&reader, "duty_lease_ms", 3000,
                   "Two holders of a duty do not act within this time.");
  settings.processor_cores = reader.Number(
      "processor_cores", 0, 0, 1024,
      "Processor cores that the node may use, fractions too; 0: not known. "
      "Nodes with more take on what is done for all.");
  settings.log_level = reader.Choice(
      "log_level", {"debug", "info", "warn", "error"}, "info", "Log level.");
  reader.Finish();
  return settings;
}

}  // namespace

NodeSettingsResult ParseNodeSettings(const std::string& text,
                                     const std::string& file) {
  return ParseDocument<NodeSettings>(text, file, Parse);
}

NodeSettingsResult LoadNodeSettings(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!Ok(text)) return UnreadableFile(path, ErrorOf(text).message);
  return ParseNodeSettings(Value(text), path);
}

std::vector<FieldDescription> DescribeNodeSettings() {
  FieldLog log{"", {}, {}};
  Parse(YAML::Node(YAML::NodeType::Map), &log);
  return log.fields;
}

}  // namespace pollenledge
