#include "pollenledge/process/usage_collection.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

// Guards against usage counted twice: a collector is lost after it has accepted
// a node's counts, and the node sends them to the next collector.
TEST(UsageCollectionTest, CountsSentToTwoCollectorsCountOnce) {
  UsageCollection first;
  UsageCollection second;
  first.Merge("a.1", {7, {{"c", 3}}});
  first.Merge("b.1", {7, {{"c", 5}}});
  second.Merge("a.1", {7, {{"c", 3}}});
  second.Merge("c.1", {7, {}});
  UsageByProcess all;
  MergeUsage(first.CountsByProcess(7), &all);
  MergeUsage(second.CountsByProcess(7), &all);
  EXPECT_EQ(SumUsage(all), (UsageCounts{{"c", 8}}));
  EXPECT_EQ(all.size(), 3U);
}

// Guards against lost usage: the counts of a restarted node replace those of
// its previous process.
TEST(UsageCollectionTest, CountsOfTwoProcessesOfOneNodeAreAdded) {
  UsageCollection collection;
  collection.Merge("a.1", {7, {{"c", 3}}});
  collection.Merge("a.2", {7, {{"c", 4}}});
  EXPECT_EQ(SumUsage(collection.CountsByProcess(7)), (UsageCounts{{"c", 7}}));
}

TEST(UsageCollectionTest, LaterCountsOfOneProcessReplaceEarlierOnes) {
  UsageCollection collection;
  collection.Merge("a.1", {7, {{"c", 3}}});
  collection.Merge("a.1", {7, {{"c", 4}, {"d", 1}}});
  collection.Merge("a.1", {7, {{"c", 3}}});
  EXPECT_EQ(SumUsage(collection.CountsByProcess(7)),
            (UsageCounts{{"c", 4}, {"d", 1}}));
  collection.EraseBefore(8);
  EXPECT_EQ(collection.ProcessCount(7), 0U);
}

}  // namespace
}  // namespace pollenledge
