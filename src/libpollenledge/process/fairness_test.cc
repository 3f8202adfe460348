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

// The brief's targets.
constexpr double kUrgentWithinTarget = 0.95;
constexpr double kSmallCustomerServed = 0.95;

class Fairness : public ::testing::TestWithParam<std::uint64_t> {};

FloodResult Flood(Rank flooded, std::uint64_t seed,
                  FloodPolicy policy = FloodPolicy::kPollenledge) {
  FloodOptions options;
  options.flooded = flooded;
  options.seed = seed;
  options.policy = policy;
  return RunFlood(options);
}

void ExpectSmallCustomersServed(const FloodResult& result) {
  for (const auto& [customer, work] : result.customers) {
    if (customer == "large") continue;
    EXPECT_GE(work.ShareServed(), kSmallCustomerServed) << customer;
  }
}

TEST_P(Fairness, AFloodOfTheLeastUrgentWork) {
  const FloodResult result = Flood(Rank::kBackground, GetParam());
  EXPECT_GE(result.ranks[0].ShareWithinTarget(), kUrgentWithinTarget);
  ExpectSmallCustomersServed(result);
}

TEST_P(Fairness, AFloodOfTheMostUrgentWork) {
  const FloodResult result = Flood(Rank::kUrgent, GetParam());
  // What is accepted of the flood meets its target.
  const WorkResult& urgent = result.ranks[0];
  EXPECT_GE(urgent.within_target, kUrgentWithinTarget * urgent.completed);
  // The others keep their floors, as MakeTables sets them.
  EXPECT_GE(result.share_of_tokens[1], 0.10);
  EXPECT_GE(result.share_of_tokens[2], 0.05);
  ExpectSmallCustomersServed(result);
}

TEST_P(Fairness, TheBaselineServesNeither) {
  const FloodResult naive =
      Flood(Rank::kBackground, GetParam(), FloodPolicy::kFirstComeFirstServed);
  EXPECT_LT(naive.ranks[0].ShareWithinTarget(), kUrgentWithinTarget);
  for (const auto& [customer, work] : naive.customers) {
    EXPECT_LT(work.ShareServed(), kSmallCustomerServed) << customer;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fairness, ::testing::Values(1, 2, 3));

// ---- The queue against a naive one that keeps no order and scans everything.

// Fair order by scanning: the customer with the least virtual time goes next.
class NaiveQueue {
 public:
  void Push(const QueuedRequest& request) {
    Customer& customer = customers_[request.customer];
    if (customer.waiting.empty()) {
      customer.time = std::max(
          customer.time, time_ - FairQueue::kBurstRequests * request.cost);
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
    time_ = std::max(time_, best->time);
    best->time += next.cost;
    return next;
  }

 private:
  struct Customer {
    double time = 0;
    std::vector<QueuedRequest> waiting;
  };
  std::map<std::string, Customer> customers_;
  double time_ = 0;
};

TEST(FairQueueTest, GivesTheOrderOfTheNaiveQueue) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    FairQueue queue;
    queue.Configure(testing::MakeTables({"a", "b", "c", "d"}));
    NaiveQueue naive;
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
        naive.Push(request);
      } else {
        ASSERT_EQ(queue.Pop(now), naive.Pop()) << "seed " << seed;
      }
    }
  }
}

TEST(FairQueueTest, AReturnedRequestChangesNothing) {
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
  queue.Return(*first);
  EXPECT_EQ(queue.size(), 6U);
  EXPECT_EQ(queue.Pop(now), first);
}

TEST(FairQueueTest, ExpiredRequestsComeOutAtOnce) {
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

// ---- Limits over all entries.

double TotalShare(const VirtualWorld& world, const std::string& customer) {
  double total = 0;
  for (const auto& entry : world.entries) {
    if (entry.alive) total += entry.node->limit_shares().ShareOf(customer);
  }
  return total;
}

class LimitsTest : public ::testing::Test {
 protected:
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

  // The sum of the shares never exceeds the limit by more than rounding.
  void ExpectWithinLimit(Duration length) {
    for (Duration t{0}; t < length; t += std::chrono::milliseconds(250)) {
      world_.RunFor(std::chrono::milliseconds(250));
      ASSERT_LE(TotalShare(world_, "a"), kLimit * 1.001);
    }
  }

  VirtualWorld world_;
};

TEST_F(LimitsTest, HoldFromTheFirstMomentOn) {
  ExpectWithinLimit(std::chrono::seconds(20));
  EXPECT_GE(TotalShare(world_, "a"), kLimit * 0.95);
}

TEST_F(LimitsTest, HoldWhileEntriesLoseEachOther) {
  world_.RunFor(std::chrono::seconds(10));
  world_.cuts.insert({"domain-a", "domain-b"});
  ExpectWithinLimit(std::chrono::seconds(60));
  world_.cuts.clear();
  ExpectWithinLimit(std::chrono::seconds(30));
}

TEST_F(LimitsTest, HoldWhileEntriesDie) {
  world_.RunFor(std::chrono::seconds(10));
  world_.Kill(0);
  world_.Kill(3);
  ExpectWithinLimit(std::chrono::seconds(60));
}

TEST(LimitShares, AnIdleEntryLendsItsPart) {
  // Parts of 100 for each of three; the idle one's goes to those who ask.
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {500, 500, 0}, 0), 150);
  // Parts of entries that cannot be heard are not lent.
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {500}, 2), 100);
  EXPECT_DOUBLE_EQ(ShareOfLimit(300, {0, 0, 0}, 0), 100);
}

}  // namespace
}  // namespace pollenledge
