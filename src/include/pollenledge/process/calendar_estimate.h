#pragma once

#include <map>
#include <optional>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// Estimates the calendar time, as all nodes together know it.
///
/// A node's own calendar clock may be off by hours, also at the moment at which
/// its process starts. So it takes the median of what its peers and its own
/// clock say, until it has run long enough to be right; later jumps of a clock
/// change nothing, since the estimate is carried on by monotonic time.
/// Deterministic. Not thread-safe.
class CalendarEstimate {
 public:
  /// Peers' clocks that differ by less than this are as good as the own one.
  static constexpr Duration kTolerance = std::chrono::milliseconds(300);
  /// Peers that must have been heard before the own clock is doubted.
  static constexpr std::size_t kLeastPeers = 2;
  /// Peers that are considered at most.
  static constexpr std::size_t kMostPeers = 15;
  /// A node listens to its peers this long before it doubts its own clock, so
  /// that of nodes that start together each hears most.
  static constexpr Duration kListens = std::chrono::seconds(1);
  /// After this time an estimate is no longer corrected.
  static constexpr Duration kSettles = std::chrono::seconds(10);
  /// A node that hears no peers believes its own clock from then on.
  static constexpr Duration kPatience = std::chrono::seconds(3);

  /// The node's own clocks; the first call counts.
  void Start(const Instant& own);

  /// A peer's estimate was received. Returns by how much the own one was
  /// corrected, if it was.
  std::optional<Duration> OnPeer(const std::string& peer, WallTime calendar,
                                 TimePoint now);

  /// The estimate; `Start` must have been called.
  WallTime At(TimePoint now) const;
  /// False while the estimate may still be nothing but a wrong clock.
  bool IsKnown(TimePoint now) const;

 private:
  /// Calendar time at the zero of monotonic time.
  using Offset = Duration;

  Offset Median() const;

  std::optional<TimePoint> started_at_;
  Offset own_{0};
  std::map<std::string, Offset> peers_;
};

}  // namespace pollenledge
