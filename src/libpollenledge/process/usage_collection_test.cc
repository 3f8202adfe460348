#include "pollenledge/process/usage_collection.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

// Guards against usage that is counted twice when a collector was lost after
// it took a node's counts, and the node handed them to the next one.
TEST(UsageCollectionTest, CountsHandedOverTwiceCountOnce) {
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

// Guards against a restarted node whose counts take the place of those of the
// process before it.
TEST(UsageCollectionTest, TwoProcessesOfOneNodeBothCount) {
  UsageCollection collection;
  collection.Take("a.1", {7, {{"c", 3}}});
  collection.Take("a.2", {7, {{"c", 4}}});
  EXPECT_EQ(SumOf(collection.Of(7)), (UsageCounts{{"c", 7}}));
}

TEST(UsageCollectionTest, LaterCountsOfOneProcessTakeThePlaceOfEarlierOnes) {
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
