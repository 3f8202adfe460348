#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "virtual_world.h"

namespace pollenledge::testing {

// Simulated workloads over a VirtualWorld. The tests and the program that
// prints the figures of docs/MEASUREMENTS.md share them. The seed of a run
// determines its random choices.

// Outcome of all requests of one rank or customer.
struct WorkResult {
  int sent = 0;
  int completed = 0;
  int within_target = 0;  // First token within the rank's target.
  int rejected = 0;       // Any other outcome than completed.
  std::int64_t requested_tokens =
      0;  // Prompt and response tokens of all requests.
  std::int64_t served_tokens = 0;  // Those of completed requests.

  // Fraction of the sent requests that met the target; 1 if none was sent.
  double ShareWithinTarget() const {
    return sent == 0 ? 1 : static_cast<double>(within_target) / sent;
  }
  // Fraction of the requested tokens that were served.
  double ServedTokenShare() const {
    return requested_tokens == 0 ? 1
                                 : static_cast<double>(served_tokens) /
                                       static_cast<double>(requested_tokens);
  }
};

// ---- Overload by one rank.

enum class FloodPolicy {
  kPollenledge,
  kFirstComeFirstServed,  // One rank, one queue, no early rejection.
};

struct FloodOptions {
  Rank flooded_rank = Rank::kBackground;  // The overloaded rank.
  double flood_load_factor = 5;  // Its load, as a multiple of fleet capacity.
  // Load of the largest customer, as a multiple of each other customer's.
  double largest_customer_factor = 50;
  FloodPolicy policy = FloodPolicy::kPollenledge;
  std::uint64_t seed = 1;
  Duration duration{std::chrono::seconds(60)};
};

struct FloodResult {
  std::array<WorkResult, kRankCount> ranks;
  // Work of the overloaded rank, by customer; "large" sends the most.
  std::map<std::string, WorkResult> flooded_rank_by_customer;
  // Fraction of the served tokens that went to each rank, while all ranks had
  // queued work.
  std::array<double, kRankCount> token_share{};
  double utilisation = 0;  // Served tokens over the fleet's token capacity.
};

// Runs three entries and nine upstreams under a load that exceeds their
// capacity.

FloodResult RunFlood(const FloodOptions& options);

// ---- Routing.

enum class RoutingPolicy {
  kPollenledge,
  kLeastReportedLoad,  // The upstream with the lowest load in its last report.
  kRandom,
};

struct RoutingOptions {
  int entries = 7;
  double load_factor = 0.6;  // As a fraction of fleet capacity.
  RoutingPolicy policy = RoutingPolicy::kPollenledge;
  std::uint64_t seed = 1;
  bool one_slow_upstream = false;  // The first upstream is 8 times slower.
  Duration duration{std::chrono::seconds(60)};
};

struct RoutingResult {
  WorkResult work;
  // Upstream cost over the responses within target, in millionths of the
  // currency unit.
  double cost_micros_per_response = 0;
  std::int64_t missed_prefix_tokens = 0;
  std::int64_t computed_prompt_tokens = 0;
  // Coefficient of variation (standard deviation over mean) of the requests
  // dispatched to the upstreams of one price within a report interval.
  double dispatch_imbalance = 0;
};

// Runs 18 upstreams, 12 of them at a third of the price of the others, under a
// steady load of prompts with shared prefixes.
RoutingResult RunRouting(const RoutingOptions& options);

// ---- Reclaimed upstreams.

struct ReclaimOptions {
  Duration notice_period{
      std::chrono::seconds(2)};  // Time before the instance ends.
  // Baseline policy: a failover computes all delivered tokens again and never
  // fetches the KV cache of the previous upstream.
  bool restart_from_scratch = false;
  std::uint64_t seed = 1;
};

struct ReclaimResult {
  int sent = 0;
  int completed = 0;
  int rejected = 0;  // Rejected before they ran; all others were accepted.
  std::int64_t recomputed_tokens = 0;
  std::int64_t delivered_tokens = 0;
};

// Runs a steady load while the cloud reclaims one upstream, then all those of a
// failure domain, then two of another domain.
ReclaimResult RunReclaims(const ReclaimOptions& options);

}  // namespace pollenledge::testing
