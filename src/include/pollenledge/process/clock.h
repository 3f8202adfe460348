#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// Reads both clocks. For daemons only: code that decides is given the time.
inline Instant ReadClocks() {
  return {
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

}  // namespace pollenledge
