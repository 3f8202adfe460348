#pragma once

#include <string>
#include <vector>

#include "pollenledge/request/request.h"

namespace pollenledge {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// One field of a log line. Never holds keys, tokens or bodies.
struct LogField {
  std::string name;
  std::string value;
};

/// Starts logging to standard error, one JSON object a line, each with the
/// process's node, incarnation and failure domain. Call once, at start.
/// `level` is one of debug, info, warn, error.
void StartLogging(const std::string& level, const NodeId& node,
                  const std::string& domain);

/// Starts logging to standard output, in the same form, without ever blocking:
/// lines wait in a buffer of bounded size and are dropped when it is full.
/// Call `FlushLog` often.
void StartBoundedLogging(const std::string& level, const NodeId& node,
                         const std::string& domain);

/// Writes as much of the buffered lines as the output takes now. Writes a line
/// with the number of lines that were dropped, if any were.
void FlushLog();

/// Writes one line. `event` is a stable name in lower case. Thread-safe.
void Log(LogLevel level, const std::string& event,
         const std::vector<LogField>& fields = {});

}  // namespace pollenledge
