#pragma once

#include <array>
#include <cstdint>

#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Keeps slots of a pool free for urgent work that is about to come.
///
/// Requests are not taken off a slot once they run, so a flood of less urgent
/// work could hold every slot just when urgent work arrives. For each rank the
/// reserve estimates the slots that its work occupies, from the rate of its
/// arrivals and the time that a request holds a slot (Little's law), with the
/// square root of that for chance (the square-root staffing rule, Halfin and
/// Whitt, Operations Research 1981). Less urgent work leaves as many free as
/// the more urgent ranks are short of. A rank whose target is longer than a
/// request holds its slot can wait for one, and nothing is kept for it.
///
/// One for each pool of an entry. Not thread-safe.
class SlotReserve {
 public:
  void OnArrival(Rank rank, TimePoint now);
  void OnStart(Rank rank);
  void OnEnd(Rank rank);
  /// Notes how long a request held its slot.
  void OnHold(Duration held);

  /// True if work of `rank` may start, given this entry's `slots` of the pool.
  /// `ranks` gives the floors, which no reserve takes away.
  bool MayStart(Rank rank, double slots,
                const std::array<RankPolicy, kRankCount>& ranks,
                TimePoint now) const;

  int running(Rank rank) const {
    return running_[static_cast<std::size_t>(rank)];
  }

 private:
  /// The slots that work of the rank is expected to occupy.
  double Need(std::size_t rank, const RankPolicy& policy, TimePoint now) const;

  struct Arrivals {
    double per_second = 0;
    int counted = 0;
    TimePoint since;
  };

  std::array<Arrivals, kRankCount> arrivals_;
  std::array<int, kRankCount> running_{};
  double mean_hold_s_ = 0;
};

}  // namespace pollenledge
