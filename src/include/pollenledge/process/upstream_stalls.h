#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/speed_report.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Tracks which upstreams make no progress with the requests that they run,
/// although they may answer health checks.
///
/// The newest evidence of any node counts. A stalled upstream gets requests
/// again when one of its requests makes progress, or when nobody has observed
/// the stall for `kForgetTime`. The node that observed it sends one request at
/// a time there, each `kProbeInterval`.
///
/// Not thread-safe. Memory grows with the number of upstreams.
class UpstreamStalls {
 public:
  static constexpr Duration kForgetTime = std::chrono::seconds(5);
  static constexpr Duration kProbeInterval = std::chrono::seconds(2);
  /// Time after which only requests that may be retried serve as probes no
  /// longer: without such requests nobody would find that a stall has ended.
  static constexpr Duration kOnlyRetryableTime = std::chrono::seconds(10);

  /// Records that a request of this node at the upstream made no progress.
  /// Returns true if the upstream did not count as stalled.
  bool OnStalled(const UpstreamId& id, TimePoint now);
  /// Records that a request of this node there made progress. Returns true if
  /// the upstream counted as stalled.
  bool OnProgress(const UpstreamId& id, TimePoint now);
  /// Applies reports of other nodes; ignores reports of speeds.
  void Merge(const std::vector<SpeedReport>& reports, TimePoint now);
  /// Returns at most `count` reports for other nodes, of what was observed
  /// within `kForgetTime`.
  std::vector<SpeedReport> Reports(std::size_t count, TimePoint now) const;

  bool IsStalled(const UpstreamId& id, TimePoint now) const;
  /// Returns true if this node should send a request to the stalled upstream
  /// now.
  bool IsProbeDue(const UpstreamId& id, bool is_retryable, TimePoint now) const;
  void OnProbeSent(const UpstreamId& id, TimePoint now);

  /// Forgets what is outdated.
  void Expire(TimePoint now);
  /// Returns the number of stalled upstreams, until the next `Expire` with
  /// those that are forgotten.
  int stalled_count() const { return stalled_count_; }
  bool empty() const { return stalled_count_ == 0; }

 private:
  struct State {
    bool is_stalled = false;
    TimePoint observed_at;  ///< By any node.
    TimePoint began_at;     ///< Of the stall.
    bool is_own = false;    ///< This node observed the stall.
    TimePoint probed_at;
  };

  static bool IsCurrent(const State& state, TimePoint now) {
    return now - state.observed_at < kForgetTime;
  }
  const State* Find(const UpstreamId& id) const;
  void Set(State* state, bool is_stalled, TimePoint observed_at);

  /// Only upstreams that were stalled lately.
  std::unordered_map<UpstreamKey, State> states_;
  int stalled_count_ = 0;
};

}  // namespace pollenledge
