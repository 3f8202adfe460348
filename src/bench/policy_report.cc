// Prints the figures of docs/MEASUREMENTS.md: policies beside their baselines
// on the same trace and seed, in virtual time.

#include <cstdio>
#include <cstring>

#include "scenarios.h"

namespace {

using pollenledge::Rank;
using namespace pollenledge::testing;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kSeeds[] = {1, 2, 3};

const char* Name(FloodPolicy policy) {
  return policy == FloodPolicy::kPollenledge ? "pollenledge" : "first-come";
}

const char* Name(RoutingPolicy policy) {
  switch (policy) {
    case RoutingPolicy::kPollenledge:
      return "pollenledge";
    case RoutingPolicy::kLeastReportedLoad:
      return "least-reported";
    case RoutingPolicy::kRandom:
      return "random";
  }
  return "?";
}

void ReportFloods() {
  for (const Rank flooded :
       {Rank::kBackground, Rank::kStandard, Rank::kUrgent}) {
    for (const FloodPolicy policy :
         {FloodPolicy::kPollenledge, FloodPolicy::kFirstComeFirstServed}) {
      for (const std::uint64_t seed : kSeeds) {
        FloodOptions options;
        options.flooded = flooded;
        options.policy = policy;
        options.seed = seed;
        const FloodResult result = RunFlood(options);
        std::printf("flood of %-10s %-11s seed %d utilisation %.2f",
                    ToString(flooded), Name(policy), static_cast<int>(seed),
                    result.utilisation);
        for (std::size_t i = 0; i < pollenledge::kRankCount; ++i) {
          std::printf(" | %s: in target %.3f served %.3f share %.3f",
                      ToString(static_cast<Rank>(i)),
                      result.ranks[i].ShareWithinTarget(),
                      result.ranks[i].ShareServed(), result.share_of_tokens[i]);
        }
        double smallest = 1;
        for (const auto& [customer, work] : result.customers) {
          if (customer != "large") {
            smallest = std::min(smallest, work.ShareServed());
          }
        }
        std::printf(" | worst small customer served %.3f, large %.3f\n",
                    smallest, result.customers.at("large").ShareServed());
      }
    }
  }
}

void ReportRouting() {
  for (const bool slow : {false, true}) {
    for (const int entries : {1, 7}) {
      for (const RoutingPolicy policy :
           {RoutingPolicy::kPollenledge, RoutingPolicy::kLeastReportedLoad,
            RoutingPolicy::kRandom}) {
        for (const std::uint64_t seed : kSeeds) {
          RoutingOptions options;
          options.entries = entries;
          options.policy = policy;
          options.seed = seed;
          options.one_slow_upstream = slow;
          const RoutingResult result = RunRouting(options);
          std::printf(
              "routing %-14s entries %d slow %d seed %d: in target %.3f "
              "cost/answer %.1f spread %.3f computed prompt %lld missed "
              "%lld\n",
              Name(policy), entries, slow ? 1 : 0, static_cast<int>(seed),
              result.work.ShareWithinTarget(), result.cost_micros_per_answer,
              result.spread,
              static_cast<long long>(result.computed_prompt_tokens),  // NOLINT
              static_cast<long long>(result.missed_prefix_tokens));   // NOLINT
        }
      }
    }
  }
}

void ReportReclaims() {
  for (const int notice_ms : {600, 2000, 10'000}) {
    for (const bool naive : {false, true}) {
      for (const std::uint64_t seed : kSeeds) {
        ReclaimOptions options;
        options.notice = std::chrono::milliseconds(notice_ms);
        options.always_start_over = naive;
        options.seed = seed;
        const ReclaimResult result = RunReclaims(options);
        std::printf(
            "reclaim %-11s notice %5d ms seed %d: sent %d refused %d completed "
            "%d "
            "recomputed %lld (%.4f of delivered)\n",
            naive ? "start-over" : "pollenledge", notice_ms,
            static_cast<int>(seed), result.sent, result.refused,
            result.completed,
            static_cast<long long>(result.recomputed_tokens),  // NOLINT
            static_cast<double>(result.recomputed_tokens) /
                static_cast<double>(result.delivered_tokens));
      }
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  const auto wanted = [&](const char* name) {
    return argc < 2 || std::strcmp(argv[1], name) == 0;
  };
  if (wanted("flood")) ReportFloods();
  if (wanted("routing")) ReportRouting();
  if (wanted("reclaim")) ReportReclaims();
  return 0;
}
