#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// The present time for promises about elapsed time: it goes on while the
/// machine is suspended, which the steady clock does not.
TimePoint BootNow();

/// True calendar time, as far as one process can tell: the calendar clock as
/// it stood at the start, carried on by `BootNow`, so that a later jump of the
/// calendar clock changes nothing. Thread-safe once made.
class CalendarClock {
 public:
  CalendarClock();
  WallTime At(TimePoint now) const;

 private:
  WallTime wall_at_start_;
  TimePoint boot_at_start_;
};

}  // namespace pollenledge
