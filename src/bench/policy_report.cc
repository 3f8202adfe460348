// Prints the measurements of docs/MEASUREMENTS.md: compares each policy with
// its baselines on the same trace and seed, in virtual time.
//
// policy_report [flood|routing|reclaim]
//
// Without an argument it prints all three reports.

#include <cstdio>
#include <cstring>

#include "scenarios.h"

namespace {

using pollenledge::Rank;
using namespace pollenledge::testing;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kSeeds[] = {1, 2, 3};

const char* PolicyName(FloodPolicy policy) {
  return policy == FloodPolicy::kPollenledge ? "pollenledge" : "first-come";
}

const char* PolicyName(RoutingPolicy policy) {
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

// Admission while one rank floods the fleet, compared with first come, first
// served.
void ReportFloods() {
  for (const Rank flooded :
       {Rank::kBackground, Rank::kStandard, Rank::kUrgent}) {
    for (const FloodPolicy policy :
         {FloodPolicy::kPollenledge, FloodPolicy::kFirstComeFirstServed}) {
      for (const std::uint64_t seed : kSeeds) {
        FloodOptions options;
        options.flooded_rank = flooded;
        options.policy = policy;
        options.seed = seed;
        const FloodResult result = RunFlood(options);
        std::printf("flood of %-10s %-11s seed %d utilisation %.2f",
                    ToString(flooded), PolicyName(policy),
                    static_cast<int>(seed), result.utilisation);
        for (std::size_t i = 0; i < pollenledge::kRankCount; ++i) {
          std::printf(" | %s: within target %.3f served %.3f share %.3f",
                      ToString(static_cast<Rank>(i)),
                      result.ranks[i].ShareWithinTarget(),
                      result.ranks[i].ServedTokenShare(),
                      result.token_share[i]);
        }
        double min_served_share = 1;
        for (const auto& [customer, work] : result.flooded_rank_by_customer) {
          if (customer != "large") {
            min_served_share =
                std::min(min_served_share, work.ServedTokenShare());
          }
        }
        std::printf(
            " | worst small customer served %.3f, large %.3f\n",
            min_served_share,
            result.flooded_rank_by_customer.at("large").ServedTokenShare());
      }
    }
  }
}

// Routing to upstreams, compared with the least reported load and with random
// choice.
void ReportRouting() {
  for (const bool has_slow_upstream : {false, true}) {
    for (const int entries : {1, 7}) {
      for (const RoutingPolicy policy :
           {RoutingPolicy::kPollenledge, RoutingPolicy::kLeastReportedLoad,
            RoutingPolicy::kRandom}) {
        for (const std::uint64_t seed : kSeeds) {
          RoutingOptions options;
          options.entries = entries;
          options.policy = policy;
          options.seed = seed;
          options.one_slow_upstream = has_slow_upstream;
          const RoutingResult result = RunRouting(options);
          std::printf(
              "routing %-14s entries %d slow %d seed %d: within target %.3f "
              "cost/response %.1f spread %.3f computed prompt tokens %lld "
              "missed prefix tokens %lld\n",
              PolicyName(policy), entries, has_slow_upstream ? 1 : 0,
              static_cast<int>(seed), result.work.ShareWithinTarget(),
              result.cost_micros_per_response, result.dispatch_imbalance,
              static_cast<long long>(result.computed_prompt_tokens),  // NOLINT
              static_cast<long long>(result.missed_prefix_tokens));   // NOLINT
        }
      }
    }
  }
}

// Reclaimed upstreams, compared with restarting each interrupted stream from
// the beginning.
void ReportReclaims() {
  for (const int notice_ms : {600, 2000, 10'000}) {
    for (const bool restart_always : {false, true}) {
      for (const std::uint64_t seed : kSeeds) {
        ReclaimOptions options;
        options.notice_period = std::chrono::milliseconds(notice_ms);
        options.restart_from_scratch = restart_always;
        options.seed = seed;
        const ReclaimResult result = RunReclaims(options);
        std::printf(
            "reclaim %-11s notice %5d ms seed %d: sent %d rejected %d "
            "completed %d recomputed tokens %lld (%.4f of delivered)\n",
            restart_always ? "start-over" : "pollenledge", notice_ms,
            static_cast<int>(seed), result.sent, result.rejected,
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
  const auto is_selected = [&](const char* name) {
    return argc < 2 || std::strcmp(argv[1], name) == 0;
  };
  if (is_selected("flood")) ReportFloods();
  if (is_selected("routing")) ReportRouting();
  if (is_selected("reclaim")) ReportReclaims();
  return 0;
}
