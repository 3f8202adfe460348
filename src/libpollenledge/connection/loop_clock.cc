#include "pollenledge/connection/loop_clock.h"

#include <ctime>

namespace pollenledge {

TimePoint BootClockNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(time.tv_nsec)));
}

WallClock::WallClock()
    : wall_at_start_(std::chrono::time_point_cast<Duration>(
          std::chrono::system_clock::now())),
      boot_at_start_(BootClockNow()) {}

WallTime WallClock::At(TimePoint now) const {
  return wall_at_start_ + (now - boot_at_start_);
}

}  // namespace pollenledge
