#include <gtest/gtest.h>

#include <algorithm>

#include "pollenledge/process/fair_queue.h"
#include "pollenledge/process/limit_shares.h"
#include "scenarios.h"

namespace pollenledge {
namespace {

using testing::FloodOptions;
using testing::FloodPolicy;
using testing::FloodResult;
using testing::RunFlood;
using testing::VirtualWorld;
using testing::WorkResult;

// Required shares of urgent requests within their latency target and of small
// customers' tokens served, both during a flood.
constexpr double kMinUrgentShareWithinTarget = 0.95;
constexpr double kMinSmallCustomerShareServed = 0.95;

class Fairness : public ::testing::TestWithParam<std::uint64_t> {};

FloodResult Flood(Rank flooded, std::uint64_t seed,
                  FloodPolicy policy = FloodPolicy::kPollenledge) {
  FloodOptions options;
  options.flooded_rank = flooded;
  options.seed = seed;
  options.policy = policy;
  return RunFlood(options);
}

void ExpectSmallCustomersServed(const FloodResult& result) {
  for (const auto& [customer, work] : result.flooded_rank_by_customer) {
    if (customer == "large") continue;
    EXPECT_GE(work.ServedTokenShare(), kMinSmallCustomerShareServed)
        << customer;
  }
}

// A flood of background requests must not take capacity from urgent requests or
// from the small customers of the flooded rank.
TEST_P(Fairness, UrgentWorkAndSmallCustomersAreServedInABackgroundFlood) {
  const FloodResult result = Flood(Rank::kBackground, GetParam());
  EXPECT_GE(result.ranks[0].ShareWithinTarget(), kMinUrgentShareWithinTarget);
  ExpectSmallCustomersServed(result);
}

// With strict priorities a flood of urgent requests would starve the other
// ranks. Their rank floors must hold, and the urgent requests that are accepted
// must still meet their target.
TEST_P(Fairness, LowerRanksKeepTheirFloorsInAnUrgentFlood) {
  const FloodResult result = Flood(Rank::kUrgent, GetParam());
  // The accepted requests of the flood meet their target.
  const WorkResult& urgent = result.ranks[0];
  EXPECT_GE(urgent.within_target,
            kMinUrgentShareWithinTarget * urgent.completed);
  // The other ranks keep the rank floors that MakeTables sets.
  EXPECT_GE(result.token_share[1], 0.10);
  EXPECT_GE(result.token_share[2], 0.05);
  ExpectSmallCustomersServed(result);
}

// Shows that the checks can fail: with first-come-first-served queueing, a
// flood starves both urgent requests and small customers.
TEST_P(Fairness, FirstComeFirstServedMissesBothTargets) {
  const FloodResult baseline =
      Flood(Rank::kBackground, GetParam(), FloodPolicy::kFirstComeFirstServed);
  EXPECT_LT(baseline.ranks[0].ShareWithinTarget(), kMinUrgentShareWithinTarget);
  for (const auto& [customer, work] : baseline.flooded_rank_by_customer) {
    EXPECT_LT(work.ServedTokenShare(), kMinSmallCustomerShareServed)
        << customer;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fairness, ::testing::Values(1, 2, 3));

// ---- FairQueue compared with a reference implementation that scans all
// customers.

// Fair queue that finds the customer with the lowest virtual time by scanning.
class ReferenceQueue {
 public:
  void Push(const QueuedRequest& request) {
    Customer& customer = customers_[request.customer];
    if (customer.waiting.empty()) {
      customer.time =
          std::max(customer.time,
                   virtual_time_ - FairQueue::kBurstRequests * request.cost);
    }
    customer.waiting.push_back(request);
  }

  std::optional<QueuedRequest> Pop() {
    Customer* best = nullptr;
    for (auto& [name, customer] : customers_) {
      if (customer.waiting.empty()) continue;
      if (best == nullptr || customer.time < best->time) best = &customer;
    }
    if (best == nullptr) return std::nullopt;
    const QueuedRequest next = best->waiting.front();
    best->waiting.erase(best->waiting.begin());
    virtual_time_ = std::max(virtual_time_, best->time);
    best->time += next.cost;
    return next;
  }

 private:
  struct Customer {
    double time = 0;
    std::vector<QueuedRequest> waiting;
  };
  std::map<std::string, Customer> customers_;
  double virtual_time_ = 0;
};

TEST(FairQueueTest, PopsInTheOrderOfTheReferenceQueue) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    FairQueue queue;
    queue.Configure(testing::MakeTables({"a", "b", "c", "d"}));
    ReferenceQueue reference;
    TimePoint now(std::chrono::seconds(1));
    for (int step = 0; step < 300; ++step) {
      now += std::chrono::milliseconds(random() % 20);
      if (random() % 2 == 0) {
        QueuedRequest request;
        request.id = {{"n", 1}, static_cast<std::uint64_t>(step + 1)};
        request.customer =
            std::string(1, static_cast<char>('a' + random() % 4));
        request.cost = static_cast<double>(1 + random() % 50);
        queue.Push(request);
        reference.Push(request);
      } else {
        ASSERT_EQ(queue.Pop(now), reference.Pop()) << "seed " << seed;
      }
    }
  }
}

// A request that was popped but could not be dispatched must neither lose its
// place nor be charged to its customer.
TEST(FairQueueTest, ARequeuedRequestIsPoppedFirst) {
  FairQueue queue;
  queue.Configure(testing::MakeTables({"a", "b"}));
  const TimePoint now(std::chrono::seconds(1));
  for (std::uint64_t i = 1; i <= 6; ++i) {
    queue.Push({{{"n", 1}, i},
                i % 2 == 0 ? "a" : "b",
                Rank::kStandard,
                10,
                now,
                now + std::chrono::seconds(9)});
  }
  const auto first = queue.Pop(now);
  queue.Requeue(*first);
  EXPECT_EQ(queue.size(), 6U);
  EXPECT_EQ(queue.Pop(now), first);
}

TEST(FairQueueTest, RemoveExpiredReturnsOnlyRequestsPastTheirDeadline) {
  FairQueue queue;
  const TimePoint now(std::chrono::seconds(1));
  queue.Push({{{"n", 1}, 1},
              "a",
              Rank::kUrgent,
              1,
              now,
              now + std::chrono::milliseconds(10)});
  queue.Push({{{"n", 1}, 2},
              "a",
              Rank::kUrgent,
              1,
              now,
              now + std::chrono::milliseconds(30)});
  EXPECT_TRUE(queue.RemoveExpired(now).empty());
  EXPECT_EQ(queue.RemoveExpired(now + std::chrono::milliseconds(20)).size(),
            1U);
  EXPECT_EQ(queue.size(), 1U);
}

// ---- Limits across all entries.

double TotalShare(const VirtualWorld& world, const std::string& customer) {
  double total = 0;
  for (const auto& entry : world.entries) {
    if (entry.alive) total += entry.node->limit_shares().ShareOf(customer);
  }
  return total;
}

class LimitsTest : public ::testing::Test {
 protected:
  // Limit of the customer over all entries, in tokens per second.
  static constexpr double kLimit = 6000;

  LimitsTest() : world_(5) {
    for (int i = 0; i < 6; ++i) {
      world_.AddEntry("entry-" + std::to_string(i),
                      i % 2 == 0 ? "domain-a" : "domain-b");
    }
    Tables tables = testing::MakeTables({"a"});
    tables.customers[0].tokens_per_s = static_cast<std::int64_t>(kLimit);
    world_.Start(tables);
  }

  // Expects that the sum of the entries' shares never exceeds the limit by more
  // than rounding errors.
  void ExpectWithinLimit(Duration length) {
    for (Duration t{0}; t < length; t += std::chrono::milliseconds(250)) {
      world_.RunFor(std::chrono::milliseconds(250));
      ASSERT_LE(TotalShare(world_, "a"), kLimit * 1.001);
    }
  }

  VirtualWorld world_;
};

// Entries that start at the same time do not know each other yet. Their shares
// must not add up to more than the limit, and must reach 95 % of it.
TEST_F(LimitsTest, HoldWhileEntriesDiscoverEachOther) {
  ExpectWithinLimit(std::chrono::seconds(20));
  EXPECT_GE(TotalShare(world_, "a"), kLimit * 0.95);
}

// Each side of a network partition could take the whole limit. The share of an
// unreachable entry must stay reserved, also while the sides reconnect.
TEST_F(LimitsTest, HoldDuringAndAfterANetworkPartition) {
  world_.RunFor(std::chrono::seconds(10));
  world_.partitions.insert({"domain-a", "domain-b"});
  ExpectWithinLimit(std::chrono::seconds(60));
  world_.partitions.clear();
  ExpectWithinLimit(std::chrono::seconds(30));
}

TEST_F(LimitsTest, HoldAfterEntriesCrash) {
  world_.RunFor(std::chrono::seconds(10));
  world_.KillEntry(0);
  world_.KillEntry(3);
  ExpectWithinLimit(std::chrono::seconds(60));
}

TEST(LimitShares, OnlyReachableIdleEntriesLendTheirShares) {
  // Each of three entries has a share of 100. The share of the idle entry is
  // split among the others.
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {500, 500, 0}, 0), 150);
  // Shares of unreachable entries are not lent.
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {500}, 2), 100);
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {0, 0, 0}, 0), 100);
}

}  // namespace
}  // namespace pollenledge
