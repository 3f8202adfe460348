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

/// Counts of what happened to the requests of one rank.
struct RankStats {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t within_target = 0;  ///< First token came within the target.
  std::uint64_t tokens = 0;         ///< Generated and delivered.
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
};

/// Counters of one entry, for metrics and tests. Not thread-safe.
struct EntryStats {
  std::array<RankStats, kRankCount> ranks;
  std::map<std::string, std::uint64_t> tokens_by_customer;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t moves = 0;
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t missed_prefix_tokens = 0;  ///< Expected in a cache, not found.
  std::uint64_t outdated_events = 0;  ///< Of attempts that are not current.
  std::uint64_t quarantines = 0;
  std::uint64_t handed_over = 0;

  RankStats& of(Rank rank) { return ranks[static_cast<std::size_t>(rank)]; }
  const RankStats& of(Rank rank) const {
    return ranks[static_cast<std::size_t>(rank)];
  }
};

/// The counters in the Prometheus text format.
std::string RenderMetrics(const EntryStats& stats, const CostLedger& costs,
                          std::size_t active_requests, int live_entries);

}  // namespace pollenledge
