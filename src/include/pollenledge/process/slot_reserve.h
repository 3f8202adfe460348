#pragma once

#include <array>
#include <cstdint>

#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Reserves free slots of a pool for urgent requests that are expected soon.
///
/// Running requests are not preempted, so a flood of less urgent requests could
/// occupy every slot when an urgent request arrives. For each rank this class
/// estimates the occupied slots as arrival rate times mean hold time (Little's
/// law), plus the square root of that as a margin for random variation (the
/// square-root staffing rule, Halfin and Whitt, Operations Research 1981). Less
/// urgent requests must leave free the slots that more urgent ranks still lack.
/// Nothing is reserved for a rank whose first-token target is longer than the
/// mean hold time, because its requests can wait for a slot.
///
/// An entry has one instance per pool. Not thread-safe.
class SlotReserve {
 public:
  /// Records the arrival of a request.
  void OnArrival(Rank rank, TimePoint now);
  /// Records that a request occupies a slot from now on.
  void OnStart(Rank rank);
  /// Records that a request no longer occupies its slot.
  void OnEnd(Rank rank);
  /// Records how long a finished request occupied its slot.
  void RecordHoldTime(Duration hold_time);

  /// Returns true if a request of `rank` may start, given this entry's `slots`
  /// of the pool. `ranks` holds the latency targets and the rank floors. The
  /// floors are never reserved for other ranks.
  bool MayStart(Rank rank, double slots,
                const std::array<RankPolicy, kRankCount>& ranks,
                TimePoint now) const;

  /// Returns the number of running requests of `rank`.
  int running(Rank rank) const {
    return running_[static_cast<std::size_t>(rank)];
  }

 private:
  /// Returns the number of slots that requests of the rank are expected to
  /// occupy.
  double ExpectedSlots(std::size_t rank, const RankPolicy& policy,
                       TimePoint now) const;

  struct Arrivals {
    double per_second = 0;  ///< Smoothed rate.
    int count = 0;          ///< Arrivals in the current window.
    TimePoint window_start;
  };

  std::array<Arrivals, kRankCount> arrivals_;
  std::array<int, kRankCount> running_{};
  double mean_hold_s_ = 0;
};

}  // namespace pollenledge
