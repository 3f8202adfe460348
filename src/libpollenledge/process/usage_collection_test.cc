#include "pollenledge/process/usage_collection.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

// Guards against usage counted twice: a collector is lost after it has accepted
// a node's counts, and the node sends them to the next collector.
TEST(UsageCollectionTest, CountsSentToTwoCollectorsCountOnce) {
  UsageCollection first;
  UsageCollection second;
  first.Take("a.1", {7, {{"c", 3}}});
  first.Take("b.1", {7, {{"c", 5}}});
  second.Take("a.1", {7, {{"c", 3}}});
  second.Take("c.1", {7, {}});
  UsageByProcess all;
  MergeUsage(first.Of(7), &all);
  MergeUsage(second.Of(7), &all);
  EXPECT_EQ(SumOf(all), (UsageCounts{{"c", 8}}));
  EXPECT_EQ(all.size(), 3U);
}

// Guards against lost usage: the counts of a restarted node replace those of
// its previous process.
TEST(UsageCollectionTest, CountsOfTwoProcessesOfOneNodeAreAdded) {
  UsageCollection collection;
  collection.Take("a.1", {7, {{"c", 3}}});
  collection.Take("a.2", {7, {{"c", 4}}});
  EXPECT_EQ(SumOf(collection.Of(7)), (UsageCounts{{"c", 7}}));
}

TEST(UsageCollectionTest, LaterCountsOfOneProcessReplaceEarlierOnes) {
  UsageCollection collection;
  collection.Take("a.1", {7, {{"c", 3}}});
  collection.Take("a.1", {7, {{"c", 4}, {"d", 1}}});
  collection.Take("a.1", {7, {{"c", 3}}});
  EXPECT_EQ(SumOf(collection.Of(7)), (UsageCounts{{"c", 4}, {"d", 1}}));
  collection.ForgetBefore(8);
  EXPECT_EQ(collection.CountOf(7), 0U);
}

}  // namespace
}  // namespace pollenledge
