#include <gtest/gtest.h>

#include <algorithm>

#include "pollenledge/process/router.h"
#include "scenarios.h"

namespace pollenledge {
namespace {

using testing::RoutingOptions;
using testing::RoutingPolicy;
using testing::RoutingResult;
using testing::RunRouting;

// Required share of requests within their latency target.
constexpr double kMinShareWithinTarget = 0.95;

RoutingResult RunPolicy(RoutingPolicy policy, int entries, bool slow) {
  RoutingOptions options;
  options.policy = policy;
  options.entries = entries;
  options.one_slow_upstream = slow;
  return RunRouting(options);
}

// Routing must meet the latency target at a lower cost and with fewer computed
// prompt tokens than two baselines, also when one upstream is slow.
TEST(Routing, MeetsTheTargetAtLowerCostThanTheBaselines) {
  for (const bool slow : {false, true}) {
    const RoutingResult ours = RunPolicy(RoutingPolicy::kPollenledge, 7, slow);
    EXPECT_GE(ours.work.ShareWithinTarget(), kMinShareWithinTarget);
    for (const RoutingPolicy policy :
         {RoutingPolicy::kLeastReportedLoad, RoutingPolicy::kRandom}) {
      const RoutingResult baseline = RunPolicy(policy, 7, slow);
      EXPECT_LT(ours.cost_micros_per_response,
                baseline.cost_micros_per_response);
      EXPECT_LT(ours.computed_prompt_tokens, baseline.computed_prompt_tokens);
    }
  }
}

// Entries that all see the same load reports would all choose the same upstream
// until the next report (herding).
TEST(Routing, SevenEntriesDoNotHerdOntoTheLeastReportedLoad) {
  const RoutingResult ours = RunPolicy(RoutingPolicy::kPollenledge, 7, false);
  const RoutingResult least_load =
      RunPolicy(RoutingPolicy::kLeastReportedLoad, 7, false);
  const RoutingResult random = RunPolicy(RoutingPolicy::kRandom, 7, false);
  // The spread is close to that of random routing and far below that of
  // herding.
  EXPECT_LT(ours.dispatch_imbalance, random.dispatch_imbalance * 1.25);
  EXPECT_LT(ours.dispatch_imbalance, least_load.dispatch_imbalance * 0.5);
}

// ---- The router's indexed choice compared with a scan of all upstreams.

struct Fleet {
  UpstreamTable table;
  std::vector<UpstreamInfo> list;
};

Fleet MakeFleet(std::uint64_t seed, std::size_t size) {
  std::mt19937_64 random(seed);
  Fleet fleet;
  for (std::size_t i = 0; i < size; ++i) {
    const std::string name = "u" + std::to_string(i);
    const auto price = static_cast<std::int64_t>(100'000 * (1 + random() % 3));
    fleet.list.push_back({{name, 1},
                          name + ":1",
                          random() % 4 == 0 ? "other" : "pool",
                          "domain-" + std::to_string(random() % 3),
                          "l4",
                          true,
                          price,
                          4});
  }
  const TimePoint now(std::chrono::seconds(10));
  fleet.table.SetList(fleet.list, now);
  for (const UpstreamInfo& info : fleet.list) {
    const auto handle = fleet.table.FindById(info.id);
    LoadReport report;
    report.running = static_cast<int>(random() % 6);
    report.prefill_tokens_per_s = 4000 + static_cast<double>(random() % 9000);
    report.inter_token_latency_ms = 10 + static_cast<double>(random() % 50);
    fleet.table.Find(*handle)->load.OnReport(report, now);
    if (random() % 5 == 0) {
      fleet.table.AdvanceState(info.id, UpstreamState::kLeaving, now);
    }
  }
  return fleet;
}

RoutingRequest MakeRequest() {
  RoutingRequest request;
  request.pool = "pool";
  request.prompt_tokens = 400;
  return request;
}

// Finds the lowest price of the upstreams that meet the target by scanning.
std::optional<std::int64_t> LowestPriceWithinTarget(
    const Fleet& fleet, const RoutingRequest& request) {
  std::optional<std::int64_t> lowest_price;
  fleet.table.ForEach([&](UpstreamHandle, const UpstreamEntry& entry) {
    if (entry.info.pool != request.pool ||
        entry.state != UpstreamState::kLive) {
      return;
    }
    const LatencyPrediction prediction =
        entry.load.Predict(request.prompt_tokens, entry.info.slots,
                           entry.info.slots, 1, Duration(0));
    const bool meets =
        prediction.has_slot &&
        prediction.time_to_first_token <= request.policy.first_token_target &&
        prediction.inter_token_latency <= request.policy.inter_token_target;
    if (meets &&
        (!lowest_price || entry.info.price_micros_per_hour < *lowest_price)) {
      lowest_price = entry.info.price_micros_per_hour;
    }
  });
  return lowest_price;
}

TEST(Router, ChoosesTheLowestPriceThatAScanFinds) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    // The fleet is so small that the router examines every candidate of a price
    // class.
    const Fleet fleet = MakeFleet(seed, 1 + seed % 20);
    Router router(DomainDistances("domain-0", Duration(0)), seed);
    PrefixIndex prefixes(16);
    const RoutingRequest request = MakeRequest();
    const TimePoint now(std::chrono::seconds(10));
    const auto choice =
        router.Choose(request, fleet.table, prefixes, {1, 0}, now);
    const auto lowest_price = LowestPriceWithinTarget(fleet, request);
    if (!choice.has_value()) {
      EXPECT_FALSE(lowest_price.has_value()) << "seed " << seed;
      continue;
    }
    const UpstreamEntry* entry = fleet.table.Find(choice->upstream);
    EXPECT_EQ(entry->state, UpstreamState::kLive);
    EXPECT_EQ(entry->info.pool, "pool");
    EXPECT_EQ(choice->meets_target, lowest_price.has_value())
        << "seed " << seed;
    if (lowest_price.has_value()) {
      EXPECT_EQ(entry->info.price_micros_per_hour, *lowest_price)
          << "seed " << seed;
    }
  }
}

TEST(Router, NeverChoosesALeavingUpstreamInALargeFleet) {
  const Fleet fleet = MakeFleet(9, 3000);
  Router router(DomainDistances("domain-0", Duration(0)), 9);
  PrefixIndex prefixes(16);
  for (int i = 0; i < 2000; ++i) {
    const auto choice = router.Choose(MakeRequest(), fleet.table, prefixes,
                                      {1, 0}, TimePoint(std::chrono::hours(1)));
    ASSERT_TRUE(choice.has_value());
    ASSERT_EQ(fleet.table.Find(choice->upstream)->state, UpstreamState::kLive);
  }
}

TEST(Router, PrefersTheUpstreamWithTheCachedPrefixAtEqualPriceUnlessFull) {
  UpstreamTable table;
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < 40; ++i) {
    const std::string name = "u" + std::to_string(i);
    list.push_back({{name, 1}, name, "pool", "d", "l4", true, 100, 4});
  }
  table.SetList(list, TimePoint(std::chrono::seconds(1)));
  Router router(DomainDistances("d", Duration(0)), 1);
  PrefixIndex prefixes(16);
  const auto holder = *table.FindById({"u31", 1});
  prefixes.Add(77, holder);
  const std::vector<std::uint64_t> hashes = {77};
  RoutingRequest request = MakeRequest();
  request.prefix_hashes = &hashes;
  const TimePoint now(std::chrono::seconds(2));
  const auto choice = router.Choose(request, table, prefixes, {1, 0}, now);
  ASSERT_TRUE(choice.has_value());
  EXPECT_EQ(choice->upstream, holder);
  EXPECT_EQ(choice->cached_tokens, Router::kPrefixBlockTokens);
  // An upstream without a free slot is not chosen.
  LoadReport full;
  full.running = 4;
  table.Find(holder)->load.OnReport(full, now);
  const auto other = router.Choose(request, table, prefixes, {9, 8}, now);
  ASSERT_TRUE(other.has_value());
  EXPECT_NE(other->upstream, holder);
}

TEST(PrefixIndex, EvictsTheLeastRecentlyUsedPrefixBeyondItsCapacity) {
  PrefixIndex index(2);
  index.Add(1, {1, 1});
  index.Add(2, {1, 1});
  index.Add(1, {2, 1});
  index.Add(3, {1, 1});
  std::array<UpstreamHandle, PrefixIndex::kMaxHoldersPerPrefix> holders{};
  std::size_t count = 0;
  EXPECT_EQ(index.Find({2}, &holders, &count), 0U);
  EXPECT_EQ(index.Find({1}, &holders, &count), 1U);
  ASSERT_EQ(count, 2U);
  EXPECT_EQ(holders[0], (UpstreamHandle{2, 1}));
  index.Remove(1, {2, 1});
  index.Find({1}, &holders, &count);
  EXPECT_EQ(count, 1U);
}

TEST(SlotQuota, QuotasOfAllEntriesAddUpToTheSlots) {
  for (int slots = 1; slots < 20; ++slots) {
    for (int count = 1; count < 9; ++count) {
      int sum = 0;
      for (int entry = 0; entry < count; ++entry) {
        sum += SlotQuota(slots, 5, {count, entry});
      }
      EXPECT_EQ(sum, slots);
    }
  }
}

}  // namespace
}  // namespace pollenledge
