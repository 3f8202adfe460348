#include "pollenledge/process/upstream_sync.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

TimePoint At(double seconds) {
  return TimePoint(std::chrono::seconds(100)) + FromSeconds(seconds);
}

Result<ForwardUpstreamInfo> Decode(const KvEntry& entry) {
  if (entry.value == "garbage") {
    return Error{ErrorCode::kInvalidArgument, "not an upstream"};
  }
  ForwardUpstreamInfo info;
  info.id.name = entry.key;
  info.leaving = entry.value == "leaving";
  return info;
}

StoreListing Listing(std::vector<KvEntry> entries, std::int64_t revision) {
  return {std::move(entries), revision};
}

class UpstreamDirectoryTest : public ::testing::Test {
 protected:
  std::size_t Count(double at) { return directory_.Upstreams(At(at)).size(); }

  UpstreamDirectory directory_{Decode};
};

TEST_F(UpstreamDirectoryTest, ARemovedEntryIsGoneAtOnce) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}}, 2), At(0));
  EXPECT_EQ(Count(0), 2U);
  directory_.OnChanged({{"a", "", 3}, true});
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest, EntriesThatLapsedInAnOutageMayComeBack) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}}, 2), At(0));
  directory_.OnStoreTrouble();
  directory_.OnChanged({{"a", "", 3}, true});
  EXPECT_EQ(Count(4), 2U);
  // The store is back without either; one comes back in time.
  directory_.OnListed(Listing({}, 5), At(5));
  EXPECT_EQ(Count(5), 2U);
  directory_.OnChanged({{"a", "", 6}, false});
  EXPECT_EQ(Count(8), 1U);
}

// Found by a hunt: a node whose own cut had healed 2.4 s before still held a
// removed entry, and sent work to the upstream that had left.
TEST_F(UpstreamDirectoryTest, ARemovalAfterTheReturnTimeIsNotHeld) {
  directory_.OnListed(Listing({{"a", "", 1}}, 1), At(0));
  directory_.OnStoreTrouble();
  directory_.OnListed(Listing({{"a", "", 1}}, 1), At(1));
  directory_.OnChanged({{"a", "", 2}, true});
  EXPECT_EQ(Count(3.3), 0U);
}

// Found by a standard day (Cymorth scale-2): a node that had been cut off held
// upstreams that left meanwhile for the whole return time, though the store had
// all others.
TEST_F(UpstreamDirectoryTest, OneOfManyThatIsMissingAfterTroubleIsGone) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3),
                      At(0));
  directory_.OnStoreTrouble();
  EXPECT_EQ(Count(4), 3U);
  directory_.OnListed(Listing({{"b", "", 2}, {"c", "", 3}}, 4), At(5));
  EXPECT_EQ(Count(5), 2U);
}

TEST_F(UpstreamDirectoryTest, WhatIsOlderChangesNothing) {
  directory_.OnListed(Listing({{"a", "leaving", 5}}, 5), At(0));
  directory_.OnChanged({{"a", "", 4}, false});
  EXPECT_TRUE(directory_.Upstreams(At(0)).at(0).leaving);
  // A listing that was read before the entry was written.
  directory_.OnListed(Listing({}, 4), At(0));
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest, AnEntryThatCannotBeReadNamesNoUpstream) {
  directory_.OnListed(Listing({{"a", "garbage", 1}, {"b", "", 2}}, 2), At(0));
  EXPECT_EQ(Count(0), 1U);
}

}  // namespace
}  // namespace pollenledge
