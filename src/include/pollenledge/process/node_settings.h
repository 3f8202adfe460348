#pragma once

#include <string>
#include <variant>
#include <vector>

#include "pollenledge/time.h"
#include "pollenledge/version/field_reader.h"

namespace pollenledge {

/// What a forwarding node reads from its settings file. On the platform the
/// file is made from the template `deploy/settings.yaml`.
struct NodeSettings {
  std::string node;
  std::string domain;
  std::string caller_address;
  std::string readiness_address;
  std::string admin_address;
  std::string metrics_address;  ///< Empty: with the admin address only.
  std::string peer_address;
  std::vector<std::string> peers;  ///< Peer addresses to begin with.
  std::string store_address;
  std::string cloud_address;  ///< Empty if there are no duties.
  Duration grace{0};
  Duration tables_bound{0};   ///< Changed tables are in force within this.
  Duration leaving_bound{0};  ///< A leaving upstream gets no work after this.
  Duration key_freshness{0};  ///< 0: keys need no proof.
  double retry_ratio = 0;
  double retry_slack = 0;
  Duration usage_window{0};
  Duration usage_delay{0};
  Duration duty_lease{0};
  double processor_cores = 0;  ///< That this node may use; 0: not known.
  std::string log_level;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

using NodeSettingsResult =
    std::variant<NodeSettings, std::vector<FieldProblem>>;

/// Parses a settings document. `file` is named in problems.
NodeSettingsResult ParseNodeSettings(const std::string& text,
                                     const std::string& file);

/// Reads and parses the settings file at `path`.
NodeSettingsResult LoadNodeSettings(const std::string& path);

/// Every field of the settings, for the reference page.
std::vector<FieldDescription> DescribeNodeSettings();

}  // namespace pollenledge
