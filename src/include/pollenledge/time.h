#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenledge {

/// Duration type of the whole library, with a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// Monotonic time. It is passed as an argument to every function whose decision
/// depends on the time, so that tests can control it. Only code that performs
/// I/O, such as the services and connections, reads a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time, used where a time is shared with people, callers or other
/// nodes: in the timeline, in usage windows and for the age of idempotency
/// keys.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The current time of both clocks, read together by a daemon.
struct Instant {
  TimePoint monotonic;
  WallTime wall;
};

/// Converts `duration` to milliseconds, including fractions.
inline double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

/// Converts `duration` to seconds, including fractions.
inline double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

/// Formats `duration` as whole milliseconds, the form used in logs.
inline std::string FormatMilliseconds(Duration duration) {
  return std::to_string(duration.count() / 1000);
}

/// Converts `milliseconds` to a duration, rounded towards zero to a
/// microsecond.
inline Duration FromMilliseconds(double milliseconds) {
  return Duration(static_cast<std::int64_t>(milliseconds * 1000.0));
}

/// Converts `seconds` to a duration, rounded towards zero to a microsecond.
inline Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace pollenledge
