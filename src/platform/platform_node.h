#pragma once

#include "pollenledge/process/node_settings.h"

namespace pollenledge {

/// Name of the environment variable that holds the settings file's path.
inline constexpr char kSettingsVariable[] = "POLLENLEDGE_CONFIG";

/// Runs a forwarding node on the platform until a stop signal has come and the
/// node has drained. `settings_path` is read again on SIGHUP. Returns the exit
/// status. Throws `std::system_error` if it cannot listen.
int RunPlatformNode(const NodeSettings& settings,
                    const std::string& settings_path);

}  // namespace pollenledge
