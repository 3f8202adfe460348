#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <optional>
#include <string>

#include "pollenledge/process/settings.h"

namespace pollenledge {

/// Exit statuses that all programs share.
enum ExitStatus : int {
  kExitOk = 0,
  kExitFailure = 1,      ///< The operation failed; the message says why.
  kExitUsage = 2,        ///< The command line is wrong.
  kExitBadSettings = 3,  ///< The settings or tables are wrong.
  kExitConflict = 4,     ///< Somebody else's edit came first.
  kExitUnknown = 5,      ///< The outcome of an edit is not known.
};

/// The program's version, as `--version` prints it.
const char* Version();

/// What a daemon's command line comes to: settings to run with, or an exit
/// status because everything asked for was done or the command line was wrong.
struct DaemonStart {
  std::optional<Settings> settings;
  int exit_status = kExitOk;
};

/// Handles `--help`, `--version`, `--config` and `--check`, the options that
/// all daemons have. Prints what is asked for to standard output and errors to
/// standard error.
DaemonStart ParseDaemonCommandLine(int argc, char** argv,
                                   const std::string& description);

/// The `main` of a daemon: handles the command line, blocks the stop signals,
/// and calls `run` with the settings. What `run` throws because it cannot
/// listen or the like is printed; the exit status says that it failed.
int RunDaemon(int argc, char** argv, const std::string& description,
              const std::function<int(const Settings&)>& run);

/// A number that is larger at each start of the process.
std::uint64_t NewIncarnation();

/// Keeps SIGINT and SIGTERM for the functions below. Call it before any thread
/// starts.
void BlockStopSignals();
/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();
/// True if one came within `wait`.
bool StopSignalPending(Duration wait);

}  // namespace pollenledge
