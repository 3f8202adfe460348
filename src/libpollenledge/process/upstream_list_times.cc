#include "pollenledge/process/upstream_list_times.h"

namespace pollenledge {

UpstreamListTimes MakeUpstreamListTimes(Duration bound, Duration heartbeat) {
  UpstreamListTimes times;
  times.list_period = bound * 7 / 10;
  times.check_interval = bound / 16;
  times.retry_delay = bound / 5;
  // An entry expires after three intervals without a write. Up to one and a
  // half of them may have passed when the store goes away.
  times.min_expiry = heartbeat * 3 / 2;
  return times;
}

}  // namespace pollenledge
