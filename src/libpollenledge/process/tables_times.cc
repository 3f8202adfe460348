#include "pollenledge/process/tables_times.h"

#include <algorithm>

namespace pollenledge {
namespace {

/// Stands for the bound if there is none.
constexpr Duration kDefaultBound = std::chrono::seconds(2);

}  // namespace

Duration TablesTimes::MaxAge(Duration read_time) const {
  return std::max(read_period - check_interval - read_time, Duration::zero());
}

TablesTimes MakeTablesTimes(Duration bound) {
  if (bound <= Duration::zero()) bound = kDefaultBound;
  TablesTimes times;
  times.read_period = bound * 7 / 10;
  times.check_interval = bound / 16;
  return times;
}

}  // namespace pollenledge
