#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/time.h"
#include "pollenledge/version/field_reader.h"

namespace pollenledge {

/// Settings of a forwarding node, read from its settings file. On the platform
/// the file is generated from the template `deploy/settings.yaml`.
struct NodeSettings {
  std::string node;
  std::string domain;
  std::string caller_address;      ///< Where the node listens for callers.
  std::string readiness_address;   ///< Serves the load balancer's check.
  std::string admin_address;       ///< Where metrics are served.
  std::string metrics_address;     ///< Also serves metrics; empty: none.
  std::string peer_address;        ///< UDP address that receives heartbeats.
  std::vector<std::string> peers;  ///< Peer addresses to contact first.
  std::string store_address;
  std::string cloud_address;  ///< Empty: competes for no fleet-wide duties.
  Duration grace{0};          ///< From the stop signal to process exit.
  Duration tables_bound{0};   ///< Changed tables are active within this time.
  Duration leaving_bound{0};  ///< A leaving upstream gets no work after this.
  /// Interval at which upstreams write their entries to the store.
  Duration upstream_heartbeat{0};
  /// Maximum age of the tables for requests with an API key; 0: no limit.
  Duration key_freshness{0};
  double retry_ratio = 0;    ///< Retries per request of a service, fleet-wide.
  double retry_slack = 0;    ///< Additional retries, fleet-wide.
  Duration usage_window{0};  ///< Length of a usage window.
  Duration usage_delay{0};   ///< From a window's end until its report is due.
  Duration duty_lease{0};    ///< Takeover delay of a new holder of the duties.
  double processor_cores = 0;  ///< Available to this node; 0: unknown.
  std::string log_level;
  /// Schedule services with uneven upstreams by prediction.
  bool adaptive_scheduling = false;
  /// Schedule all services with an engine by prediction.
  bool assume_uneven_upstreams = false;
  /// Share of a service's requests that may go to the target version of a
  /// roll-out before it is proven; 0: roll-out orders are ignored.
  double rollout_exposure_share = 0;
  double rollout_exposure_slack = 0;  ///< Requests allowed in addition.
  /// No request goes to a bad version later than this after it is proven bad.
  Duration rollout_revert{0};
  std::int64_t memory_mb = 0;  ///< Memory limit of the process; 0: unknown.
  std::int64_t max_fds = 0;    ///< Descriptor limit; 0: unknown.

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

using NodeSettingsResult =
    std::variant<NodeSettings, std::vector<FieldProblem>>;

/// Parses a settings document. `file` is the name used in reported problems.
NodeSettingsResult ParseNodeSettings(const std::string& text,
                                     const std::string& file);

/// Reads and parses the settings file at `path`.
NodeSettingsResult LoadNodeSettings(const std::string& path);

/// Describes every field of the settings, for the reference page.
std::vector<FieldDescription> DescribeNodeSettings();

}  // namespace pollenledge
