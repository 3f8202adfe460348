#pragma once

#include <string>
#include <variant>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"
#include "pollenledge/version/field_reader.h"

namespace pollenledge {

/// The network distance to one failure domain.
struct DomainDistance {
  std::string domain;
  Duration one_way{0};  ///< One-way network delay.

  friend bool operator==(const DomainDistance&,
                         const DomainDistance&) = default;
};

/// Settings of the two daemons of an instance, entry and control agent. Both
/// read the same file and use the fields that they need.
struct Settings {
  std::string node;      ///< Name of the instance.
  std::string domain;    ///< Its failure domain.
  std::string instance;  ///< Its name at the cloud API, for notices.

  std::string caller_address;  ///< Where the entry listens for callers.
  std::string peer_address;    ///< Where the entry listens for other entries.
  std::string admin_address;   ///< Where the control agent listens.
  std::vector<std::string> peers;  ///< Peer addresses of other entries.
  int expected_entries = 0;  ///< Minimum number of entries that share limits.
  Duration domain_distance{0};  ///< One-way delay to domains not listed below.
  std::vector<DomainDistance> distances;

  std::string kv_address;     ///< The platform's key-value service.
  std::string cloud_address;  ///< The cloud API.
  std::string list_address;   ///< The platform's instance list.
  Duration kv_timeout{0};     ///< For one call of the key-value service.
  Duration list_interval{0};  ///< Between two reads of the instance list.
  Duration load_interval{0};  ///< Between two reads of an upstream's load.
  Duration report_lag{0};     ///< Age of a load report when it is read.

  std::string peer_token;  ///< Secret shared by the processes of the system.
  std::string admin_token_sha256;  ///< SHA-256 of the operators' token, in hex.

  int caller_threads = 0;           ///< Maximum number of concurrent callers.
  std::int64_t max_body_bytes = 0;  ///< Maximum size of a request body.
  std::int64_t max_requests = 0;    ///< In progress, including queued ones.
  Duration caller_timeout{0};       ///< For a caller to send or receive bytes.
  Duration upstream_timeout{0};     ///< For the next bytes from an upstream.
  Duration answer_retention{0};     ///< How long a response can be fetched.
  std::int64_t time_line_events = 0;  ///< Events that the timeline keeps.
  std::string log_level;

  friend bool operator==(const Settings&, const Settings&) = default;
};

using SettingsResult = std::variant<Settings, std::vector<FieldProblem>>;

/// Parses a settings document. `file` is the name used in reported problems.
SettingsResult ParseSettings(const std::string& text, const std::string& file);

/// Reads and parses the settings file at `path`.
SettingsResult LoadSettings(const std::string& path);

/// Describes every field of the settings, for the reference page.
std::vector<FieldDescription> DescribeSettings();

/// Returns the content of the file at `path`, or an error if it cannot be read.
Result<std::string> ReadFile(const std::string& path);

}  // namespace pollenledge
