#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// Reads the monotonic clock and the wall clock. Only daemons call this;
/// decision logic receives the current time as an argument.
inline Instant ReadClocks() {
  return {
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

}  // namespace pollenledge
