#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <optional>
#include <string>

#include "pollenledge/process/settings.h"

namespace pollenledge {

/// Exit statuses common to all programs.
enum ExitStatus : int {
  kExitOk = 0,
  kExitFailure = 1,         ///< The operation failed; the message says why.
  kExitUsage = 2,           ///< The command line is invalid.
  kExitBadSettings = 3,     ///< The settings or tables are invalid.
  kExitConflict = 4,        ///< A concurrent edit was committed first.
  kExitUnknownOutcome = 5,  ///< Whether an edit took effect is unknown.
};

/// Program name and version, as printed by `--version`.
const char* Version();

/// Result of parsing a daemon's command line: settings to run with, or an exit
/// status because the requested action is complete or the command line is
/// invalid.
struct DaemonCommandLineResult {
  std::optional<Settings> settings;
  int exit_status = kExitOk;
};

/// Handles `--help`, `--version`, `--config` and `--check`, the options common
/// to all daemons. Prints results to standard output and errors to standard
/// error.
DaemonCommandLineResult ParseDaemonCommandLine(int argc, char** argv,
                                               const std::string& description);

/// Implements `main` of a daemon: handles the command line, blocks the stop
/// signals and calls `run` with the settings. An exception thrown by `run`, for
/// example because an address is in use, is printed to standard error and
/// yields `kExitFailure`.
int RunDaemon(int argc, char** argv, const std::string& description,
              const std::function<int(const Settings&)>& run);

/// Returns a number that is larger at each start of the process: the wall clock
/// in milliseconds since the Unix epoch.
std::uint64_t NewIncarnation();

/// Blocks SIGINT and SIGTERM, so that the functions below receive them, and
/// ignores SIGPIPE. Call it before any thread starts.
void BlockStopSignals();
/// Blocks until SIGINT or SIGTERM arrives.
void WaitForStopSignal();
/// Waits at most `timeout` for SIGINT or SIGTERM. Returns true if one arrived.
bool WaitForStopSignalFor(Duration timeout);

}  // namespace pollenledge
