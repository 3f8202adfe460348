#include "pollenledge/process/loop_delay_monitor.h"

#include <algorithm>
#include <utility>

namespace pollenledge {

Duration LoopDelayMonitor::OnTimer(TimePoint now) {
  OnEvent(now);
  const Duration delay = now - timer_due_.value_or(now);
  timer_due_.reset();
  if (delay >= kMinDelay) timer_late_at_ = now;
  return delay;
}

void LoopDelayMonitor::OnEvent(TimePoint now) {
  const TimePoint ran_at = std::exchange(ran_at_, now).value_or(now);
  // A loop that has run since its timer was due is not standing still.
  const bool was_late = timer_due_.has_value() && ran_at <= *timer_due_ &&
                        now - *timer_due_ >= kMinDelay;
  if (!was_late) return;
  previous_delay_ = std::exchange(last_delay_, Delay{ran_at, now});
}

bool LoopDelayMonitor::IsBehind(TimePoint sent_at, TimePoint now) const {
  const bool is_timer_late = timer_due_.has_value() &&
                             now - std::max(*timer_due_, sent_at) >= kMinDelay;
  const bool was_timer_late = timer_late_at_.has_value() &&
                              now - *timer_late_at_ < kBehindTime &&
                              *timer_late_at_ - sent_at >= kMinDelay;
  return is_timer_late || was_timer_late;
}

TimePoint LoopDelayMonitor::EarliestArrival(TimePoint now) const {
  if (IsRecent(previous_delay_, now)) return previous_delay_->began;
  if (IsRecent(last_delay_, now)) return last_delay_->began;
  return now;
}

}  // namespace pollenledge
