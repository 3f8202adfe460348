#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenledge {

/// Resolution of every time in the library.
using Duration = std::chrono::microseconds;

/// Monotonic time, as handed to every function that decides. The library never
/// reads a clock itself; only daemons and tests make values of this type.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Calendar time, used only in records that people or other nodes read.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The present time on both clocks, as a daemon reads them together.
struct Instant {
  TimePoint monotonic;
  WallTime wall;
};

/// `duration` in milliseconds, fractions kept.
inline double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

/// `duration` in seconds, fractions kept.
inline double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

/// `duration` in whole milliseconds, as it stands in logs.
inline std::string MillisecondsText(Duration duration) {
  return std::to_string(duration.count() / 1000);
}

/// A duration of `milliseconds`, rounded towards zero to a microsecond.
inline Duration FromMilliseconds(double milliseconds) {
  return Duration(static_cast<std::int64_t>(milliseconds * 1000.0));
}

/// A duration of `seconds`, rounded towards zero to a microsecond.
inline Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace pollenledge
