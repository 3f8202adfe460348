#pragma once

#include <string>
#include <variant>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"
#include "pollenledge/version/field_reader.h"

namespace pollenledge {

/// The distance to one failure domain.
struct DomainDistance {
  std::string domain;
  Duration one_way{0};

  friend bool operator==(const DomainDistance&,
                         const DomainDistance&) = default;
};

/// What both daemons of an instance read from their settings file. Both read
/// the same file; each uses what it needs.
struct Settings {
  std::string node;      ///< Name of the instance.
  std::string domain;    ///< Its failure domain.
  std::string instance;  ///< Its name at the cloud API, for notices.

  std::string caller_address;  ///< Where the entry listens to callers.
  std::string peer_address;    ///< Where the entry listens to other entries.
  std::string admin_address;   ///< Where the control agent listens.
  std::vector<std::string> peers;  ///< Peer addresses of other entries.
  int expected_entries = 0;
  Duration domain_distance{0};  ///< To domains that are not listed, one way.
  std::vector<DomainDistance> distances;

  std::string kv_address;
  std::string cloud_address;
  std::string list_address;
  Duration kv_timeout{0};
  Duration list_interval{0};
  Duration load_interval{0};
  Duration report_lag{0};

  std::string peer_token;          ///< Shared secret of the system's processes.
  std::string admin_token_sha256;  ///< Digest of the operators' token.

  int caller_threads = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t max_requests = 0;
  Duration caller_timeout{0};
  Duration upstream_timeout{0};
  Duration answer_retention{0};
  std::int64_t time_line_events = 0;
  std::string log_level;

  friend bool operator==(const Settings&, const Settings&) = default;
};

using SettingsResult = std::variant<Settings, std::vector<FieldProblem>>;

/// Parses a settings document. `file` is named in problems.
SettingsResult ParseSettings(const std::string& text, const std::string& file);

/// Reads and parses the settings file at `path`.
SettingsResult LoadSettings(const std::string& path);

/// Every field of the settings, for the reference page.
std::vector<FieldDescription> DescribeSettings();

/// The file's text, or why it cannot be read.
Result<std::string> ReadFile(const std::string& path);

}  // namespace pollenledge
