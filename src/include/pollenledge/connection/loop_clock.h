#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// Returns the current time of a monotonic clock that, unlike
/// `std::chrono::steady_clock`, keeps running while the machine is suspended.
/// Use it for deadlines and leases.
TimePoint BootClockNow();

/// A wall clock that never jumps: the system's wall-clock time at construction,
/// advanced by `BootClockNow`. Later adjustments of the system clock have no
/// effect. Thread-safe after construction.
class WallClock {
 public:
  WallClock();
  /// Converts a time of `BootClockNow` to wall-clock time.
  WallTime At(TimePoint now) const;

 private:
  WallTime wall_at_start_;
  TimePoint boot_at_start_;
};

}  // namespace pollenledge
