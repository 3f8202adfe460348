// What the nodes of a large fleet tell each other, in virtual time.

#include <gtest/gtest.h>

#include "forward_fleet.h"

namespace pollenledge {
namespace {

using testing::Fleet;

constexpr std::size_t kNodes = 40;

int Collectors(Fleet* fleet) {
  int collectors = 0;
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    if (fleet->node(i).is_collector()) ++collectors;
  }
  return collectors;
}

int Followers(Fleet* fleet) {
  int followers = 0;
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    if (fleet->node(i).FollowsCollectors(fleet->now())) ++followers;
  }
  return followers;
}

// Guards against a large fleet in which each node asks the store for itself.
TEST(LargeFleet, TwoNodesCollectAndTheOthersFollow) {
  Fleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  EXPECT_EQ(Collectors(&fleet), 2);
  EXPECT_EQ(Followers(&fleet), static_cast<int>(kNodes) - 2);
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_EQ(fleet.node(i).membership().AliveCount(fleet.now()),
              static_cast<int>(kNodes))
        << i;
  }
}

// Guards against usage that each node writes to the store for itself.
TEST(LargeFleet, CountsOfUsageAreHandedOver) {
  Fleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  const auto calendar = [&](std::size_t node) {
    return fleet.node(node).calendar().At(fleet.now());
  };
  const UsageWindow window = fleet.node(0).usage().WindowOf(calendar(0));
  fleet.RunFor(std::chrono::seconds(7));
  std::size_t collected = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    ForwardNode& node = fleet.node(i);
    collected += node.usage_collection().CountOf(window);
    EXPECT_EQ(node.IsUsageHandedOver(window), !node.is_collector()) << i;
  }
  EXPECT_EQ(collected, kNodes - 2);
  {
    SCOPED_TRACE("it is remembered for as long as a node looks back");
    fleet.RunFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < kNodes; ++i) {
      ForwardNode& node = fleet.node(i);
      EXPECT_EQ(node.IsUsageHandedOver(window), !node.is_collector()) << i;
    }
  }
}

// Guards against a new node that nobody sends to, since heartbeats are few.
TEST(LargeFleet, ANewNodeFollowsSoon) {
  Fleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  fleet.AddNode();
  fleet.RunFor(std::chrono::seconds(2));
  EXPECT_TRUE(fleet.node(kNodes).FollowsCollectors(fleet.now()));
}

// Guards against followers that stay without a collector's word for long.
TEST(LargeFleet, TheLossOfACollectorIsFeltShortly) {
  Fleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  std::size_t lost = kNodes;
  for (std::size_t i = 0; i < kNodes && lost == kNodes; ++i) {
    if (fleet.node(i).is_collector()) lost = i;
  }
  fleet.cut = [lost](std::size_t from, std::size_t to) {
    return from == lost || to == lost;
  };
  fleet.RunFor(std::chrono::seconds(5));
  EXPECT_GE(Followers(&fleet), static_cast<int>(kNodes) - 3);
}

}  // namespace
}  // namespace pollenledge
