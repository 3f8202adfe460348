#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/latency_histogram.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Request counters and latency histograms of one rank.
struct RankStats {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown_outcome = 0;
  /// Requests whose first token met the latency target of the rank.
  std::uint64_t first_token_within_target = 0;
  std::uint64_t delivered_tokens = 0;  ///< Generated and delivered to callers.
  LatencyHistogram time_to_first_token;  ///< From arrival, over all attempts.
  LatencyHistogram inter_token_latency;  ///< Mean of each attempt.
};

/// Counters of one entry since its start, for metrics and tests. Not
/// thread-safe.
struct EntryStats {
  std::array<RankStats, kRankCount> ranks;
  std::map<std::string, std::uint64_t> tokens_by_customer;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;  ///< Attempts that used the retry budget.
  /// Requests queued again to resume on another upstream, free of charge to the
  /// retry budget.
  std::uint64_t failovers = 0;
  std::uint64_t recomputed_tokens = 0;
  /// Prompt tokens that the router expected in the upstream's KV cache and that
  /// were not there.
  std::uint64_t missed_prefix_tokens = 0;
  /// Events for an attempt that is no longer the request's current one.
  std::uint64_t stale_attempt_events = 0;
  std::uint64_t quarantines = 0;  ///< Fingerprints newly quarantined.
  /// Hand-offs to peers, including failed ones.
  std::uint64_t handed_over_requests = 0;

  RankStats& ForRank(Rank rank) {
    return ranks[static_cast<std::size_t>(rank)];
  }
  const RankStats& ForRank(Rank rank) const {
    return ranks[static_cast<std::size_t>(rank)];
  }
};

/// Returns the counters and the slot time of `costs` in the Prometheus text
/// exposition format.
std::string RenderMetrics(const EntryStats& stats, const CostLedger& costs,
                          std::size_t active_requests, int live_entries);

}  // namespace pollenledge
