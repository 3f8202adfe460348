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

TEST_F(UpstreamDirectoryTest, RemovedEntryIsDroppedAtOnce) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}}, 2), At(0));
  EXPECT_EQ(Count(0), 2U);
  directory_.OnChanged({{"a", "", 3}, true});
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest,
       EntriesExpiredDuringStoreFailureMayBeWrittenAgain) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}}, 2), At(0));
  directory_.OnStoreError();
  directory_.OnChanged({{"a", "", 3}, true});
  EXPECT_EQ(Count(4), 2U);
  // The store recovers without both entries; one is written again in time.
  directory_.OnListed(Listing({}, 5), At(5));
  EXPECT_EQ(Count(5), 2U);
  directory_.OnChanged({{"a", "", 6}, false});
  EXPECT_EQ(Count(8), 1U);
}

// Guards against a node that kept a removed entry 2.4 s after its own network
// partition had healed, and sent requests to an upstream that had left.
TEST_F(UpstreamDirectoryTest, RemovalAfterReregistrationTimeoutTakesEffect) {
  directory_.OnListed(Listing({{"a", "", 1}}, 1), At(0));
  directory_.OnStoreError();
  directory_.OnListed(Listing({{"a", "", 1}}, 1), At(1));
  directory_.OnChanged({{"a", "", 2}, true});
  EXPECT_EQ(Count(3.3), 0U);
}

// Guards against a node that kept upstreams which had left during its network
// partition for the whole re-registration time, although the store had all
// other entries. Found in the "standard day" run of Cymorth scale-2.
TEST_F(UpstreamDirectoryTest, SingleMissingEntryAfterStoreFailureIsDropped) {
  directory_.OnListed(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3),
                      At(0));
  directory_.OnStoreError();
  EXPECT_EQ(Count(4), 3U);
  directory_.OnListed(Listing({{"b", "", 2}, {"c", "", 3}}, 4), At(5));
  EXPECT_EQ(Count(5), 2U);
}

TEST_F(UpstreamDirectoryTest, OlderRevisionIsIgnored) {
  directory_.OnListed(Listing({{"a", "leaving", 5}}, 5), At(0));
  directory_.OnChanged({{"a", "", 4}, false});
  EXPECT_TRUE(directory_.Upstreams(At(0)).at(0).leaving);
  // A listing that was read before the entry was written.
  directory_.OnListed(Listing({}, 4), At(0));
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest, MalformedEntryYieldsNoUpstream) {
  directory_.OnListed(Listing({{"a", "garbage", 1}, {"b", "", 2}}, 2), At(0));
  EXPECT_EQ(Count(0), 1U);
}

/// The position of a revision in an era of the store.
std::int64_t In(std::int64_t era, std::int64_t revision) {
  return store_position::Make(era, revision);
}

// Guards against a node that takes what a restored store says for known,
// because it knows the revision from before (incident CONFIG).
TEST_F(UpstreamDirectoryTest, RestoredStoreGivesRevisionsOutAgain) {
  directory_.OnListed(Listing({{"a", "", In(1, 5)}}, In(1, 5)), At(0));
  directory_.OnRestored();
  {
    SCOPED_TRACE("the same revision, for other content");
    directory_.OnListed(Listing({{"a", "leaving", In(2, 5)}}, In(2, 5)), At(1));
    EXPECT_TRUE(directory_.Upstreams(At(1)).at(0).leaving);
  }
  {
    SCOPED_TRACE("a response of the earlier era that arrives late");
    directory_.OnChanged({{"a", "", In(1, 9)}, false});
    EXPECT_TRUE(directory_.Upstreams(At(1)).at(0).leaving);
  }
}

// Guards against requests to an upstream that left before the store was
// restored, because the copy is older than that.
TEST_F(UpstreamDirectoryTest, RestoredStoreListsUpstreamsThatHaveLeft) {
  directory_.OnListed(
      Listing({{"a", "", In(1, 1)}, {"b", "", In(1, 2)}, {"c", "", In(1, 3)}},
              In(1, 3)),
      At(0));
  directory_.OnChanged({{"a", "leaving", In(1, 4)}, false});
  directory_.OnChanged({{"b", "", In(1, 5)}, true});
  EXPECT_EQ(Count(0), 2U);
  directory_.OnRestored();
  directory_.OnListed(
      Listing({{"a", "", In(2, 1)}, {"b", "", In(2, 2)}, {"c", "", In(2, 3)}},
              In(2, 3)),
      At(5));
  EXPECT_EQ(Count(5), 2U);
  EXPECT_TRUE(directory_.Upstreams(At(5)).at(0).leaving);
  // An entry that is written again names an upstream that lives.
  directory_.OnChanged({{"b", "", In(2, 7)}, false});
  EXPECT_EQ(Count(5), 3U);
}

// Guards against upstreams that are dropped for the second in which they have
// not yet written again what the store lost.
TEST_F(UpstreamDirectoryTest, EntriesThatARestoredStoreLostAreKeptForAWhile) {
  directory_.OnListed(
      Listing({{"a", "", In(1, 1)}, {"b", "", In(1, 2)}, {"c", "", In(1, 3)}},
              In(1, 3)),
      At(0));
  directory_.OnRestored();
  directory_.OnListed(
      Listing({{"a", "", In(2, 1)}, {"b", "", In(2, 2)}}, In(2, 2)), At(5));
  EXPECT_EQ(Count(5), 3U);
  EXPECT_EQ(Count(7.3), 2U);
}

}  // namespace
}  // namespace pollenledge
