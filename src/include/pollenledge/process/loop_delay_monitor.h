#pragma once

#include <optional>

#include "pollenledge/time.h"

namespace pollenledge {

/// Tells an event loop that is late from senders that are.
///
/// A process that was suspended or busy handles at once what arrived over a
/// long time. The monitor knows from a timer that the loop always has by how
/// much the loop is late, and when it last ran before. Not thread-safe.
class LoopDelayMonitor {
 public:
  /// A loop that is at least this far behind its timer counts as late.
  static constexpr Duration kMinDelay = std::chrono::milliseconds(100);
  /// Time after a late timer for which the loop counts as behind: what arrived
  /// meanwhile is handled after it.
  static constexpr Duration kBehindTime = std::chrono::seconds(1);
  /// Time after a delay within which the loop has handled a signal that arrived
  /// during it. Shorter than two turns of a loop that is always a little late,
  /// so that its delays do not add up.
  static constexpr Duration kSignalBacklogTime = std::chrono::milliseconds(350);

  /// The loop's timer was set to expire at `due`.
  void OnTimerArmed(TimePoint due) { timer_due_ = due; }
  /// The loop's timer is handled. Returns how late.
  Duration OnTimer(TimePoint now);
  /// Any other event is handled.
  void OnEvent(TimePoint now);

  /// When the timer is due; empty if it is not armed.
  const std::optional<TimePoint>& timer_due() const { return timer_due_; }
  /// Returns true if the loop is behind or just was, so that what it handles
  /// now may have been received long ago, but after `sent_at`.
  bool IsBehind(TimePoint sent_at, TimePoint now) const;
  /// Returns the earliest time at which a signal that is handled now may have
  /// arrived: when the loop last ran before it was late, or `now` if it was
  /// not.
  TimePoint EarliestArrival(TimePoint now) const;

 private:
  /// A time in which the loop did not run.
  struct Delay {
    TimePoint began;
    TimePoint ended;
  };

  static bool IsRecent(const std::optional<Delay>& delay, TimePoint now) {
    return delay.has_value() && now - delay->ended < kSignalBacklogTime;
  }

  std::optional<TimePoint> timer_due_;
  std::optional<TimePoint> timer_late_at_;  ///< Handling of a late timer.
  std::optional<TimePoint> ran_at_;
  std::optional<Delay> last_delay_;
  std::optional<Delay> previous_delay_;
};

}  // namespace pollenledge
