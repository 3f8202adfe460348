#include <gtest/gtest.h>

#include <algorithm>

#include "pollenledge/process/retry_budget.h"
#include "virtual_world.h"

namespace pollenledge {
namespace {

using testing::MakeSpec;
using testing::MakeTables;
using testing::VirtualWorld;

constexpr std::size_t kMaxUpstreamsLost = 2;  // Per such request, the target.

struct PoisonWorld {
  explicit PoisonWorld(std::uint64_t seed) : world(seed) {
    for (const char* name : {"a", "b", "c"}) {
      world.AddEntry(name, std::string("domain-") + name);
    }
    for (int i = 0; i < 9; ++i) {
      const std::string domain(1, static_cast<char>('a' + i % 3));
      world.AddUpstream("models", "domain-" + domain, 300'000, 8);
      world.upstreams.back().poison = &poison;
    }
    world.Start(MakeTables({"c"}));
    world.RunFor(std::chrono::seconds(3));
  }

  std::size_t Lost() const {
    return static_cast<std::size_t>(
        std::count_if(world.upstreams.begin(), world.upstreams.end(),
                      [](const auto& u) { return !u.alive; }));
  }

  std::set<Fingerprint> poison;
  VirtualWorld world;
};

class Poison : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Poison, TakesTwoUpstreamsAtTheMostAndSparesTheInnocent) {
  PoisonWorld fixture(GetParam());
  VirtualWorld& world = fixture.world;
  // Innocent work on every entry, before and beside the one that crashes.
  std::vector<RequestId> innocent;
  const auto send_innocent = [&] {
    for (std::size_t entry = 0; entry < 3; ++entry) {
      innocent.push_back(
          world.Arrive(entry, MakeSpec("c", Rank::kStandard, 100, 150)));
    }
  };
  for (int i = 0; i < 6; ++i) send_innocent();
  world.RunFor(std::chrono::seconds(1));
  const RequestSpec bad = MakeSpec("c", Rank::kUrgent, 100, 50);
  fixture.poison.insert(bad.fingerprint);
  std::vector<RequestId> guilty = {world.Arrive(0, bad)};
  world.RunFor(std::chrono::seconds(10));
  EXPECT_EQ(fixture.Lost(), kMaxUpstreamsLost);
  // Its caller sends it again, everywhere, while others go on.
  for (int i = 0; i < 5; ++i) {
    send_innocent();
    for (std::size_t entry = 0; entry < 3; ++entry) {
      const RequestId again = world.Arrive(entry, bad);
      EXPECT_EQ(world.AnswersTo(again).size(), 1U) << "not answered at once";
      guilty.push_back(again);
    }
    world.RunFor(std::chrono::seconds(2));
  }
  world.RunFor(std::chrono::seconds(20));
  EXPECT_EQ(fixture.Lost(), kMaxUpstreamsLost);
  for (const RequestId& id : guilty) {
    ASSERT_EQ(world.AnswersTo(id).size(), 1U);
    EXPECT_FALSE(
        std::holds_alternative<Completed>(*world.AnswersTo(id)[0].outcome));
  }
  for (const RequestId& id : innocent) {
    const auto answers = world.AnswersTo(id);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<Completed>(*answers[0].outcome))
        << ToString(id);
  }
}

// The same request through several entries at once, before any knows.
TEST_P(Poison, SentThroughSeveralEntriesAtOnce) {
  PoisonWorld fixture(GetParam());
  const RequestSpec bad = MakeSpec("c", Rank::kUrgent, 100, 50);
  fixture.poison.insert(bad.fingerprint);
  fixture.world.Arrive(0, bad);
  fixture.world.RunFor(std::chrono::milliseconds(100));
  fixture.world.Arrive(1, bad);
  fixture.world.RunFor(std::chrono::seconds(20));
  EXPECT_LE(fixture.Lost(), kMaxUpstreamsLost);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Poison, ::testing::Values(1, 2, 3, 4));

TEST(PoisonReclaim, AnAnnouncedReclaimPutsNoBlame) {
  PoisonWorld fixture(1);
  VirtualWorld& world = fixture.world;
  std::vector<RequestId> ids;
  ids.reserve(12);
  for (int i = 0; i < 12; ++i) {
    ids.push_back(world.Arrive(0, MakeSpec("c", Rank::kStandard, 100, 200)));
  }
  world.RunFor(std::chrono::seconds(1));
  for (const std::size_t u : {0UL, 3UL, 1UL, 4UL}) {
    world.Submit(0, event::UpstreamNoticed{
                        world.upstreams[u].info.id, UpstreamState::kLeaving,
                        std::chrono::milliseconds(10), "notice"});
  }
  world.RunFor(std::chrono::milliseconds(10));
  for (const std::size_t u : {0UL, 3UL, 1UL, 4UL}) world.KillUpstream(u);
  world.RunFor(std::chrono::seconds(30));
  EXPECT_EQ(world.entries[0].node->stats().quarantines, 0U);
  EXPECT_EQ(world.entries[0].node->stats().retries, 0U);
  for (const RequestId& id : ids) {
    ASSERT_EQ(world.AnswersTo(id).size(), 1U);
    EXPECT_TRUE(
        std::holds_alternative<Completed>(*world.AnswersTo(id)[0].outcome));
  }
}

TEST(PoisonReclaim, AWaveThroughTwoDomainsQuarantinesNobody) {
  PoisonWorld fixture(2);
  VirtualWorld& world = fixture.world;
  for (int i = 0; i < 30; ++i) {
    world.Arrive(static_cast<std::size_t>(i % 3),
                 MakeSpec("c", Rank::kStandard, 100, 200));
  }
  world.RunFor(std::chrono::seconds(1));
  // All of domain a at once, and all of domain b soon after, unannounced.
  for (const std::size_t u : {0UL, 3UL, 6UL}) world.KillUpstream(u);
  world.RunFor(std::chrono::milliseconds(300));
  for (const std::size_t u : {1UL, 4UL, 7UL}) world.KillUpstream(u);
  world.RunFor(std::chrono::seconds(30));
  for (const auto& entry : world.entries) {
    EXPECT_EQ(entry.node->stats().quarantines, 0U);
  }
}

TEST(RetryBudgetTest, BoundsRetriesInAWave) {
  RetryBudget budget;
  for (int i = 0; i < 1000; ++i) budget.OnFirstAttempt("p");
  int retries = 0;
  while (budget.TryTake("p")) ++retries;
  EXPECT_EQ(retries, static_cast<int>(RetryBudgetOptions().max_saved));
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstAttempt("p");
    if (budget.TryTake("p")) ++retries;
  }
  EXPECT_LE(retries,
            static_cast<int>(RetryBudgetOptions().max_saved +
                             100 * RetryBudgetOptions().retries_per_attempt));
}

}  // namespace
}  // namespace pollenledge
