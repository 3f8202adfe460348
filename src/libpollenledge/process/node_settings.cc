#include "pollenledge/process/node_settings.h"

#include <algorithm>

#include "pollenledge/connection/endpoint.h"
#include "pollenledge/process/settings.h"

namespace pollenledge {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;

std::string Address(FieldReader* reader, const std::string& name,
                    const std::string& description) {
  std::string text = reader->RequiredString(name, description);
  if (!text.empty() && !Ok(ParseTcpEndpoint(text))) {
    reader->ReportProblem(name, "\"" + text + "\"",
                          "IP address and port, a.b.c.d:port");
  }
  return text;
}

Duration Milliseconds(FieldReader* reader, const std::string& name,
                      std::int64_t fallback, const std::string& description) {
  return std::chrono::milliseconds(
      reader->Integer(name, fallback, 0, kHourMs, description));
}

/// Reads the peer hosts and appends the port of `own`: all peers listen on the
/// same port as this node.
std::vector<std::string> PeerAddresses(FieldReader* reader,
                                       const std::string& own) {
  std::vector<std::string> peers =
      reader->StringList("peer_hosts",
                         "Addresses of other nodes to contact first; a port "
                         "after the address is ignored.");
  const std::string port = own.substr(std::min(own.size(), own.rfind(':')));
  for (std::string& peer : peers) peer = peer.substr(0, peer.find(':')) + port;
  return peers;
}

void ReadRolloutSettings(FieldReader* reader, NodeSettings* settings) {
  settings->rollout_exposure_share = reader->Number(
      "rollout_exposure_share", 0, 0, 1,
      "Share of a service's requests that may go to the target version of a "
      "roll-out before it is proven; 0: roll-out orders are ignored.");
  settings->rollout_exposure_slack =
      reader->Number("rollout_exposure_slack", 0, 0, 1e6,
                     "Requests that may go there in addition.");
  settings->rollout_revert = Milliseconds(
      reader, "rollout_revert_ms", 5000,
      "A version that is proven bad gets no requests after this time.");
}

NodeSettings Parse(const YAML::Node& node, FieldLog* log) {
  FieldReader reader(node, "", log);
  NodeSettings settings;
  settings.node = reader.RequiredString("node", "Name of this instance.");
  settings.domain = reader.RequiredString("domain", "Its failure domain.");
  settings.caller_address =
      Address(&reader, "caller_address", "Address that callers connect to.");
  settings.readiness_address =
      Address(&reader, "readiness_address",
              "Address of the readiness check, with which the load balancer "
              "finds out whether this node accepts callers.");
  settings.admin_address =
      Address(&reader, "admin_address", "Address where metrics are served.");
  settings.metrics_address = reader.String(
      "metrics_address", "",
      "Additional address where metrics are served; empty: none.");
  settings.peer_address =
      Address(&reader, "peer_address",
              "UDP address to which other nodes send heartbeats.");
  settings.peers = PeerAddresses(&reader, settings.peer_address);
  settings.store_address = Address(
      &reader, "store_address", "Address of the platform's key-value store.");
  settings.cloud_address = reader.String(
      "cloud_address", "",
      "Address of the cloud API; empty: this node competes for no "
      "fleet-wide duties.");
  settings.grace =
      Milliseconds(&reader, "grace_ms", 8000,
                   "Time from the stop signal until the process exits.");
  settings.tables_bound =
      Milliseconds(&reader, "tables_bound_ms", 2000,
                   "Changed tables become active within this time.");
  settings.leaving_bound =
      Milliseconds(&reader, "leaving_bound_ms", 2000,
                   "A leaving upstream gets no new work after this time.");
  settings.upstream_heartbeat =
      Milliseconds(&reader, "upstream_heartbeat_ms", 1200,
                   "Interval at which upstreams write their entries to the "
                   "store; an entry expires after three of them.");
  settings.key_freshness = Milliseconds(
      &reader, "key_freshness_ms", 0,
      "Maximum age of the tables for running requests with an API key; 0: no "
      "limit.");
  settings.retry_ratio =
      reader.Number("retry_ratio", 0.2, 0, 10,
                    "Retries allowed per request of a service, over all "
                    "nodes.");
  settings.retry_slack =
      reader.Number("retry_slack", 10, 0, 1e6,
                    "Retries allowed in addition, over all nodes.");
  settings.usage_window = Milliseconds(&reader, "usage_window_ms", 5000,
                                       "Length of a usage window.");
  settings.usage_delay =
      Milliseconds(&reader, "usage_delay_ms", 10'000,
                   "Time from the end of a usage window until its report is "
                   "due.");
  settings.duty_lease = Milliseconds(
      &reader, "duty_lease_ms", 3000,
      "Takeover delay: a new holder of the fleet-wide duties waits "
      "this long before it acts, so that two holders never act "
      "within this time.");
  settings.processor_cores = reader.Number(
      "processor_cores", 0, 0, 1024,
      "Number of processor cores available to the node, possibly fractional; "
      "0: unknown. Nodes with more cores are preferred for fleet-wide work.");
  settings.log_level = reader.Choice(
      "log_level", {"debug", "info", "warn", "error"}, "info", "Log level.");
  const std::string scheduling = reader.Choice(
      "scheduling", {"basic", "adaptive", "predictive"}, "basic",
      "How upstreams of services with an engine are chosen: basic; predictive, "
      "by when each upstream would answer; or adaptive, which is predictive "
      "while the upstreams of a service differ in speed.");
  settings.adaptive_scheduling = scheduling != "basic";
  settings.assume_uneven_upstreams = scheduling == "predictive";
  ReadRolloutSettings(&reader, &settings);
  constexpr std::int64_t kMaxMegabytes = 1 << 20;
  settings.memory_mb = reader.Integer(
      "memory_mb", 0, 0, kMaxMegabytes,
      "Memory that the process may use, in megabytes; 0: unknown, 512 is "
      "assumed. A third is for the requests and answers of callers.");
  constexpr std::int64_t kMaxDescriptors = 1 << 24;
  settings.max_fds =
      reader.Integer("max_fds", 0, 0, kMaxDescriptors,
                     "Descriptors that the process may open; 0: unknown, 4096 "
                     "is assumed. Half are for callers.");
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace

NodeSettingsResult ParseNodeSettings(const std::string& text,
                                     const std::string& file) {
  return ParseDocument<NodeSettings>(text, file, Parse);
}

NodeSettingsResult LoadNodeSettings(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!Ok(text)) return UnreadableFileProblem(path, ErrorOf(text).message);
  return ParseNodeSettings(Value(text), path);
}

std::vector<FieldDescription> DescribeNodeSettings() {
  FieldLog log{"", {}, {}};
  Parse(YAML::Node(YAML::NodeType::Map), &log);
  return log.fields;
}

}  // namespace pollenledge
