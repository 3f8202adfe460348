#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Selects the collectors of a large fleet: the few nodes that gather the state
/// of all others and distribute it.
///
/// All nodes rank the candidates alike and so prefer the same collectors. A
/// collector that leaves queries unanswered is skipped for `kBackoffTime`, so
/// that its failure affects the followers only for little longer than a query
/// takes, even while the membership protocol has not yet detected it.
///
/// Deterministic. Not thread-safe.
class CollectorSelector {
 public:
  /// One collector, and a second one that has the same data when the first
  /// fails.
  static constexpr std::size_t kMaxCollectors = 2;
  /// Number of nodes, in the order of preference, that may become collectors.
  static constexpr std::size_t kMaxCandidates = 6;
  /// Queries that may stay unanswered before a collector is skipped.
  static constexpr int kMaxUnansweredQueries = 3;
  /// Time for which a collector that left queries unanswered is skipped.
  static constexpr Duration kBackoffTime = std::chrono::seconds(5);

  /// Time for which a collector that published levels counts as ready.
  static constexpr Duration kReadyTime = std::chrono::seconds(3);

  /// Returns the collectors among `ranked`, in the same order, at most
  /// `kMaxCollectors`. `self` is never skipped. If none of them is ready, the
  /// first other node that is follows as one more, so that nodes have levels
  /// while collectors change.
  std::vector<const MemberRecord*> Choose(
      const std::vector<const MemberRecord*>& ranked, const std::string& self,
      TimePoint now);

  /// Records that a query was sent to the collector `name`.
  void OnQuerySent(const std::string& name, TimePoint now);
  /// Records that `name` responded, which ends its backoff, and whether it
  /// published levels.
  void OnResponse(const std::string& name, bool is_ready, TimePoint now);

 private:
  struct Candidate {
    /// Sent since its last response.
    int unanswered_queries = 0;
    TimePoint backoff_until;
    TimePoint ready_until;
  };

  std::map<std::string, Candidate> candidates_;  ///< By node name.
};

}  // namespace pollenledge
