// Tests in virtual time of the state that the nodes of a large fleet exchange.

#include <gtest/gtest.h>

#include "forward_fleet.h"

namespace pollenledge {
namespace {

using testing::ForwardFleet;

constexpr std::size_t kNodes = 40;

int CountCollectors(ForwardFleet* fleet) {
  int collectors = 0;
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    if (fleet->node(i).is_collector()) ++collectors;
  }
  return collectors;
}

int CountFollowers(ForwardFleet* fleet) {
  int followers = 0;
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    if (fleet->node(i).FollowsCollectors(fleet->now())) ++followers;
  }
  return followers;
}

// Guards against store load that grows with the fleet because every node polls
// the store itself instead of following a collector.
TEST(LargeFleet, TwoNodesBecomeCollectorsAndTheOthersFollow) {
  ForwardFleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  EXPECT_EQ(CountCollectors(&fleet), 2);
  EXPECT_EQ(CountFollowers(&fleet), static_cast<int>(kNodes) - 2);
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_EQ(fleet.node(i).membership().AliveCount(fleet.now()),
              static_cast<int>(kNodes))
        << i;
  }
}

// Guards against store writes that grow with the fleet because every node
// writes its own usage counts instead of reporting them to a collector.
TEST(LargeFleet, FollowersReportTheirUsageToACollector) {
  ForwardFleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  const auto wall_time = [&](std::size_t node) {
    return fleet.node(node).wall_clock().At(fleet.now());
  };
  const UsageWindow window = fleet.node(0).usage().WindowAt(wall_time(0));
  fleet.RunFor(std::chrono::seconds(7));
  std::size_t collected = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    ForwardNode& node = fleet.node(i);
    collected += node.usage_collection().ProcessCount(window);
    EXPECT_EQ(node.IsUsageAcknowledged(window), !node.is_collector()) << i;
  }
  EXPECT_EQ(collected, kNodes - 2);
  {
    SCOPED_TRACE(
        "nodes remember the acknowledgement while they still check the window");
    fleet.RunFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < kNodes; ++i) {
      ForwardNode& node = fleet.node(i);
      EXPECT_EQ(node.IsUsageAcknowledged(window), !node.is_collector()) << i;
    }
  }
}

// Guards against a new node that receives no state for long, because heartbeats
// are sparse in a large fleet.
TEST(LargeFleet, NewNodeFollowsACollectorWithinTwoSeconds) {
  ForwardFleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  fleet.AddNode();
  fleet.RunFor(std::chrono::seconds(2));
  EXPECT_TRUE(fleet.node(kNodes).FollowsCollectors(fleet.now()));
}

// Guards against followers that receive no collector state for long after a
// collector was lost.
TEST(LargeFleet, FollowersRecoverFromTheLossOfACollector) {
  ForwardFleet fleet(kNodes, 1);
  fleet.RunFor(std::chrono::seconds(6));
  std::size_t lost_collector = kNodes;
  for (std::size_t i = 0; i < kNodes && lost_collector == kNodes; ++i) {
    if (fleet.node(i).is_collector()) lost_collector = i;
  }
  fleet.is_partitioned = [lost_collector](std::size_t from, std::size_t to) {
    return from == lost_collector || to == lost_collector;
  };
  fleet.RunFor(std::chrono::seconds(5));
  EXPECT_GE(CountFollowers(&fleet), static_cast<int>(kNodes) - 3);
}

}  // namespace
}  // namespace pollenledge
