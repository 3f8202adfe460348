#pragma once

#include <map>
#include <optional>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// Estimates the wall-clock time from the clocks of this node and its peers.
///
/// A node's own wall clock may be wrong by hours, even when its process starts.
/// The estimate is therefore the median of the peers' estimates and the node's
/// own clock, corrected until the node has run for `kCorrectionWindow`. From
/// then on it advances with the monotonic clock, so later jumps of a wall clock
/// have no effect.
///
/// Deterministic. Not thread-safe. Memory is bounded by `kMaxPeers`.
class WallClockEstimate {
 public:
  /// Smaller corrections are not applied: a peer's clock that differs by less
  /// than this is no better than the node's own.
  static constexpr Duration kMinCorrection = std::chrono::milliseconds(300);
  /// Number of peers whose estimates must be received before the node's own
  /// clock is corrected.
  static constexpr std::size_t kMinPeers = 2;
  /// Maximum number of peers whose estimates are kept.
  static constexpr std::size_t kMaxPeers = 15;
  /// Time for which estimates are collected before the first correction, so
  /// that nodes that start together each receive most of the others' estimates.
  static constexpr Duration kSamplingTime = std::chrono::seconds(1);
  /// Time after `Start` in which the estimate may be corrected.
  static constexpr Duration kCorrectionWindow = std::chrono::seconds(10);
  /// A node that receives no estimates from peers trusts its own clock after
  /// this time.
  static constexpr Duration kNoPeerTimeout = std::chrono::seconds(3);

  /// Records the node's own clocks when it starts. Only the first call has an
  /// effect.
  void Start(const Instant& clocks);

  /// Handles the estimate received from `peer`. Returns the correction of this
  /// node's estimate, or nothing if it was not corrected.
  std::optional<Duration> OnPeerEstimate(const std::string& peer,
                                         WallTime estimate, TimePoint now);

  /// Returns the estimated wall-clock time at `now`. Requires `Start`.
  WallTime At(TimePoint now) const;
  /// Returns false while the estimate may rest on this node's own clock alone,
  /// which may be wrong: until `kSamplingTime` has passed and `kMinPeers`
  /// estimates were received, or until `kNoPeerTimeout` has passed.
  bool IsReliable(TimePoint now) const;

 private:
  /// Wall-clock time at the zero of the monotonic clock.
  using Offset = Duration;

  Offset MedianOffset() const;

  std::optional<TimePoint> started_at_;
  Offset offset_{0};                            ///< Of this node's estimate.
  std::map<std::string, Offset> peer_offsets_;  ///< By name of the peer.
};

}  // namespace pollenledge
