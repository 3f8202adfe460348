#pragma once

#include "pollenledge/process/node_settings.h"

namespace pollenledge {

/// Environment variable with the default path of the settings file.
inline constexpr char kSettingsPathVariable[] = "POLLENLEDGE_CONFIG";

/// Runs a forwarding node on the platform until SIGTERM or SIGINT is received
/// and the node has drained. On SIGHUP it reads the file at `settings_path`
/// again and logs whether it is valid and has changed; changes take effect at
/// the next start. Returns the exit status. Throws `std::system_error` if the
/// node cannot listen on one of its addresses.
int RunPlatformNode(const NodeSettings& settings,
                    const std::string& settings_path);

}  // namespace pollenledge
