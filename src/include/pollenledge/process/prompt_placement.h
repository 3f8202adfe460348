#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// What one upstream offers to a request.
struct PlacementOption {
  std::int64_t cached_tokens = 0;  ///< Of the prompt, from its start.
  /// Rate at which the upstream reads prompts; must be positive.
  double prompt_tokens_per_ms = 1;
  Duration wait{0};  ///< Expected, until it begins to read the prompt.
  /// KV cache that no running request and no retained segment occupies.
  std::int64_t free_kv_tokens = 0;
  /// Share of the tokens evicted for this request that others would have used,
  /// 0 to 1.
  double evicted_use_share = 0;
  /// False if no other upstream may fetch from it.
  bool may_be_fetched_from = true;

  friend bool operator==(const PlacementOption&,
                         const PlacementOption&) = default;
};

/// The needs of one request.
struct PlacementRequest {
  std::int64_t prompt_tokens = 0;
  std::int64_t response_tokens = 0;  ///< Expected.

  friend bool operator==(const PlacementRequest&,
                         const PlacementRequest&) = default;
};

/// What it takes to copy a part of a prompt from one upstream to another.
struct FetchCosts {
  std::int64_t kv_bytes_per_token = 0;  ///< 0: upstreams cannot fetch.
  double bandwidth_mbps = 0;            ///< Megabits per second.
  /// Added to the time of each fetch, for its set-up and what is charged.
  Duration overhead{0};

  friend bool operator==(const FetchCosts&, const FetchCosts&) = default;
};

/// Where a request goes and from where its prompt is fetched.
struct Placement {
  std::size_t option = 0;
  std::optional<std::size_t> fetch_from;
  Duration until_read{0};  ///< Expected wait and time to read the prompt.

  friend bool operator==(const Placement&, const Placement&) = default;
};

/// Returns the time to read `tokens` at the option's rate.
Duration ReadTime(std::int64_t tokens, const PlacementOption& option);

/// Returns the time to copy `tokens`; empty if upstreams cannot fetch.
std::optional<Duration> FetchTime(std::int64_t tokens, const FetchCosts& costs);

/// Returns the time that other requests lose because this one evicts what they
/// would use, at the rate of this upstream.
Duration EvictionCost(const PlacementRequest& request,
                      const PlacementOption& option);

/// Returns the value of sending the request to `option`: the time to read the
/// tokens that it retains, less the wait there and the cost of evictions.
/// Comparable only between upstreams of the same rate; `ChoosePlacement`
/// compares total times.
Duration PlacementValue(const PlacementRequest& request,
                        const PlacementOption& option);

/// Returns the option from which `target` should fetch the part of the prompt
/// that it lacks; empty if reading that part again takes no longer.
std::optional<std::size_t> ChooseFetchSource(
    const PlacementRequest& request, std::size_t target,
    const std::vector<PlacementOption>& options, const FetchCosts& costs);

/// Returns the option with the shortest wait, reading or fetching, and eviction
/// cost together; of equal ones the first. Empty if there are no options.
std::optional<Placement> ChoosePlacement(
    const PlacementRequest& request,
    const std::vector<PlacementOption>& options, const FetchCosts& costs);

}  // namespace pollenledge
