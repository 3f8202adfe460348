#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "virtual_world.h"

namespace pollenledge::testing {

// Workloads over a VirtualWorld, shared by the tests and by the program that
// prints the figures of docs/MEASUREMENTS.md.

// What became of one kind of work.
struct WorkResult {
  int sent = 0;
  int completed = 0;
  int within_target = 0;  // First token within the rank's target.
  int refused = 0;
  std::int64_t tokens_asked = 0;
  std::int64_t tokens_served = 0;

  double ShareWithinTarget() const {
    return sent == 0 ? 1 : static_cast<double>(within_target) / sent;
  }
  double ShareServed() const {
    return tokens_asked == 0 ? 1
                             : static_cast<double>(tokens_served) /
                                   static_cast<double>(tokens_asked);
  }
};

// ---- Floods.

enum class FloodPolicy {
  kPollenledge,
  kFirstComeFirstServed,  // One rank, one queue, no early refusal.
};

struct FloodOptions {
  Rank flooded = Rank::kBackground;  // The rank that floods in.
  double flood_factor = 5;           // Of what the fleet can take.
  double largest_customer = 50;      // Of what each other one asks.
  FloodPolicy policy = FloodPolicy::kPollenledge;
  std::uint64_t seed = 1;
  Duration length{std::chrono::seconds(60)};
};

struct FloodResult {
  std::array<WorkResult, kRankCount> ranks;
  // Of the flooded rank, by customer; "large" asks for most.
  std::map<std::string, WorkResult> customers;
  // Part of the tokens served that each rank had while all had work waiting.
  std::array<double, kRankCount> share_of_tokens{};
  double utilisation = 0;  // Tokens served, of what the fleet can take.
};

FloodResult RunFlood(const FloodOptions& options);

// ---- Routing.

enum class RoutingPolicy {
  kPollenledge,
  kLeastReportedLoad,  // The upstream whose last report shows least.
  kRandom,
};

struct RoutingOptions {
  int entries = 7;
  double load = 0.6;  // Of what the fleet can take.
  RoutingPolicy policy = RoutingPolicy::kPollenledge;
  std::uint64_t seed = 1;
  bool one_slow_upstream = false;
  Duration length{std::chrono::seconds(60)};
};

struct RoutingResult {
  WorkResult work;
  double cost_micros_per_answer = 0;
  std::int64_t missed_prefix_tokens = 0;
  std::int64_t computed_prompt_tokens = 0;
  // Standard deviation over mean of the requests given to upstreams of one
  // price within a report interval.
  double spread = 0;
};

RoutingResult RunRouting(const RoutingOptions& options);

// ---- Reclaims.

struct ReclaimOptions {
  Duration notice{std::chrono::seconds(2)};
  bool always_start_over = false;  // The naive version.
  std::uint64_t seed = 1;
};

struct ReclaimResult {
  int sent = 0;
  int completed = 0;
  int refused = 0;  // Before they ran; all others were accepted.
  std::int64_t recomputed_tokens = 0;
  std::int64_t delivered_tokens = 0;
};

ReclaimResult RunReclaims(const ReclaimOptions& options);

}  // namespace pollenledge::testing
