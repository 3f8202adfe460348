#pragma once

#include <string>
#include <vector>

#include "pollenledge/request/request.h"

namespace pollenledge {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// One field of a log line. Must not hold API keys, tokens or bodies.
struct LogField {
  std::string name;
  std::string value;
};

/// Starts logging to standard error, one JSON object per line. Each line has
/// the node, incarnation and failure domain of the process. Call once, at
/// startup. `level` is one of debug, info, warn, error.
void StartLogging(const std::string& level, const NodeId& node,
                  const std::string& domain);

/// Starts logging to standard output, in the same format, without ever
/// blocking: lines are kept in a buffer of bounded size and dropped when it is
/// full. Call `FlushLog` at short intervals.
void StartNonBlockingLogging(const std::string& level, const NodeId& node,
                             const std::string& domain);

/// Writes as many buffered bytes as standard output accepts without blocking.
/// If lines were dropped, it also writes a line with their number. Must not run
/// concurrently with `Log`: the buffer is not locked here.
void FlushLog();

/// Writes one log line. `event` is a stable lower-case name. Thread-safe.
void Log(LogLevel level, const std::string& event,
         const std::vector<LogField>& fields = {});

}  // namespace pollenledge
