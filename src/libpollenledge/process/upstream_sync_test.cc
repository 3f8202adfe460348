#include "pollenledge/process/upstream_sync.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "pollenledge/connection/loop_clock.h"

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

/// Upstreams write their entries each 1.2 s.
constexpr Duration kMinExpiry = std::chrono::milliseconds(1800);

class UpstreamDirectoryTest : public ::testing::Test {
 protected:
  std::size_t Count(double at) { return directory_.Upstreams(At(at)).size(); }

  /// The store answers a listing.
  void List(const StoreListing& listing, double at) {
    directory_.OnStoreResponded(At(at), At(at));
    directory_.OnListed(listing, At(at));
  }
  /// A watch reports a change.
  void Change(const StoreChange& change, double at) {
    directory_.OnChanged(change, At(at));
  }

  UpstreamDirectory directory_{Decode, kMinExpiry};
};

TEST_F(UpstreamDirectoryTest, RemovedEntryIsDroppedAtOnce) {
  List(Listing({{"a", "", 1}, {"b", "", 2}}, 2), 0);
  EXPECT_EQ(Count(0), 2U);
  Change({{"a", "", 3}, true}, 0);
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest,
       EntriesExpiredDuringStoreFailureMayBeWrittenAgain) {
  List(Listing({{"a", "", 1}, {"b", "", 2}}, 2), 0);
  directory_.OnStoreError();
  Change({{"a", "", 3}, true}, 4);
  EXPECT_EQ(Count(4), 2U);
  // The store recovers without both entries; one is written again in time.
  List(Listing({}, 5), 5);
  EXPECT_EQ(Count(5), 2U);
  Change({{"a", "", 6}, false}, 5);
  EXPECT_EQ(Count(8), 1U);
}

// Guards against a node that kept a removed entry 2.4 s after its own network
// partition had healed, and sent requests to an upstream that had left.
TEST_F(UpstreamDirectoryTest, RemovalAfterReregistrationTimeoutTakesEffect) {
  List(Listing({{"a", "", 1}}, 1), 0);
  directory_.OnStoreError();
  List(Listing({{"a", "", 1}}, 1), 1);
  Change({{"a", "", 2}, true}, 1);
  EXPECT_EQ(Count(3.3), 0U);
}

// Guards against a node that kept upstreams which had left during its network
// partition for the whole re-registration time, although the store had all
// other entries. Found in the "standard day" run of Cymorth scale-2.
TEST_F(UpstreamDirectoryTest, SingleMissingEntryAfterStoreFailureIsDropped) {
  List(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3), 0);
  directory_.OnStoreError();
  EXPECT_EQ(Count(4), 3U);
  List(Listing({{"b", "", 2}, {"c", "", 3}}, 4), 5);
  EXPECT_EQ(Count(5), 2U);
}

TEST_F(UpstreamDirectoryTest, OlderRevisionIsIgnored) {
  List(Listing({{"a", "leaving", 5}}, 5), 0);
  Change({{"a", "", 4}, false}, 0);
  EXPECT_TRUE(directory_.Upstreams(At(0)).at(0).leaving);
  // A listing that was read before the entry was written.
  List(Listing({}, 4), 0);
  EXPECT_EQ(Count(0), 1U);
}

TEST_F(UpstreamDirectoryTest, MalformedEntryYieldsNoUpstream) {
  List(Listing({{"a", "garbage", 1}, {"b", "", 2}}, 2), 0);
  EXPECT_EQ(Count(0), 1U);
}

/// The position of a revision in an era of the store.
std::int64_t In(std::int64_t era, std::int64_t revision) {
  return store_position::Make(era, revision);
}

// Guards against a node that takes what a restored store says for known,
// because it knows the revision from before (incident CONFIG).
TEST_F(UpstreamDirectoryTest, RestoredStoreGivesRevisionsOutAgain) {
  List(Listing({{"a", "", In(1, 5)}}, In(1, 5)), 0);
  directory_.OnRestored();
  {
    SCOPED_TRACE("the same revision, for other content");
    List(Listing({{"a", "leaving", In(2, 5)}}, In(2, 5)), 1);
    EXPECT_TRUE(directory_.Upstreams(At(1)).at(0).leaving);
  }
  {
    SCOPED_TRACE("a response of the earlier era that arrives late");
    Change({{"a", "", In(1, 9)}, false}, 1);
    EXPECT_TRUE(directory_.Upstreams(At(1)).at(0).leaving);
  }
}

// Guards against requests to an upstream that left before the store was
// restored, because the copy is older than that.
TEST_F(UpstreamDirectoryTest, RestoredStoreListsUpstreamsThatHaveLeft) {
  List(Listing({{"a", "", In(1, 1)}, {"b", "", In(1, 2)}, {"c", "", In(1, 3)}},
               In(1, 3)),
       0);
  Change({{"a", "leaving", In(1, 4)}, false}, 0);
  Change({{"b", "", In(1, 5)}, true}, 0);
  EXPECT_EQ(Count(0), 2U);
  directory_.OnRestored();
  directory_.OnListed(
      Listing({{"a", "", In(2, 1)}, {"b", "", In(2, 2)}, {"c", "", In(2, 3)}},
              In(2, 3)),
      At(5));
  EXPECT_EQ(Count(5), 2U);
  EXPECT_TRUE(directory_.Upstreams(At(5)).at(0).leaving);
  // An entry that is written again names an upstream that lives.
  Change({{"b", "", In(2, 7)}, false}, 5);
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
  List(Listing({{"a", "", In(2, 1)}, {"b", "", In(2, 2)}}, In(2, 2)), 5);
  EXPECT_EQ(Count(5), 3U);
  EXPECT_EQ(Count(7.3), 2U);
}

// Guards against requests to upstreams that have left, because a single call to
// the store failed and the missing entries were taken for expired ones (DRAIN).
TEST_F(UpstreamDirectoryTest, AShortFailureMakesNoMissingEntryDoubtful) {
  List(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3), 0);
  directory_.OnStoreError();
  {
    SCOPED_TRACE("a removal that the watch reports meanwhile");
    Change({{"a", "", 4}, true}, 0.5);
    EXPECT_EQ(Count(0.5), 2U);
  }
  {
    SCOPED_TRACE("a removal that the next listing shows");
    List(Listing({{"c", "", 3}}, 5), 1.2);
    EXPECT_EQ(Count(1.2), 1U);
  }
}

// Guards against a removed upstream that gets requests again after a later
// error of the store (DRAIN).
TEST_F(UpstreamDirectoryTest, LaterErrorsDoNotBringARemovedUpstreamBack) {
  List(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3), 0);
  directory_.OnStoreError();
  List(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3), 5);
  Change({{"a", "", 4}, true}, 5.1);
  EXPECT_EQ(Count(5.1), 2U);
  {
    SCOPED_TRACE("the store fails again");
    directory_.OnStoreError();
    EXPECT_EQ(Count(8), 2U);
  }
  {
    SCOPED_TRACE("and returns without the others");
    List(Listing({}, 6), 9);
    EXPECT_EQ(Count(9), 2U);
  }
  {
    SCOPED_TRACE("the entry is written again");
    Change({{"a", "", 7}, false}, 9.5);
    EXPECT_EQ(Count(9.5), 3U);
  }
}

// Guards against upstreams that are dropped while half of their service has
// written its entries again after an outage of the store, and they not yet.
TEST_F(UpstreamDirectoryTest, EntriesAreWrittenAgainOneByOneAfterAnOutage) {
  List(Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3), 0);
  directory_.OnStoreError();
  List(Listing({}, 9), 5);
  Change({{"a", "", 10}, false}, 5.5);
  Change({{"b", "", 11}, false}, 6.5);
  EXPECT_EQ(Count(6.5), 3U);
  Change({{"c", "", 12}, false}, 7);
  EXPECT_EQ(Count(8), 3U);
}

// Guards against any order of short failures and removals in which a removed
// entry is kept (DRAIN). The naive directory holds what was listed or reported
// last.
TEST_F(UpstreamDirectoryTest, ShortFailuresChangeNothingInAnyOrder) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const auto chance = [&random](unsigned one_in) {
      return random() % one_in == 0;
    };
    UpstreamDirectory directory(Decode, kMinExpiry);
    std::map<std::string, std::int64_t> stored;  // Revision by key.
    std::int64_t revision = 0;
    for (const char* key : {"a", "b", "c", "d"}) stored[key] = ++revision;
    std::set<std::string> expected;
    directory.OnStoreResponded(At(0), At(0));
    double at = 0;
    double answered_at = 0;
    for (int step = 0; step < 60; ++step) {
      at += 0.01 * static_cast<double>(random() % 60);
      const bool must_list = at - answered_at > 1.2;
      if (must_list) at = answered_at + 1.2;
      if (!must_list && chance(3)) {
        directory.OnStoreError();
        continue;
      }
      if (!must_list && chance(2)) {
        const std::string key(1, static_cast<char>('a' + random() % 4));
        const bool removes = stored.count(key) > 0;
        ++revision;
        if (removes) {
          stored.erase(key);
          expected.erase(key);
        } else {
          stored[key] = revision;
          expected.insert(key);
        }
        directory.OnChanged({{key, "", revision}, removes}, At(at));
      } else {
        StoreListing listing;
        listing.store_revision = revision;
        expected.clear();
        for (const auto& [key, written_at] : stored) {
          listing.entries.push_back({key, "", written_at});
          expected.insert(key);
        }
        answered_at = at;
        directory.OnStoreResponded(At(at), At(at));
        directory.OnListed(listing, At(at));
      }
      std::set<std::string> names;
      for (const ForwardUpstreamInfo& info : directory.Upstreams(At(at))) {
        names.insert(info.id.name);
      }
      ASSERT_EQ(names, expected) << "at " << at;
    }
  }
}

TEST(UpstreamListTimesTest, TheWorstAgeLeavesAReserveOfTheBound) {
  // A read that is not answered is sent once more after 200 ms.
  constexpr Duration kHedge = std::chrono::milliseconds(200);
  constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
  for (const int bound_ms : {2000, 3000, 4000}) {
    SCOPED_TRACE(bound_ms);
    const Duration bound = std::chrono::milliseconds(bound_ms);
    const UpstreamListTimes times = MakeUpstreamListTimes(bound, kHeartbeat);
    EXPECT_LE(times.list_period + 2 * kHedge, bound * 9 / 10);
    {
      SCOPED_TRACE("a listing that failed at once is repeated in time");
      EXPECT_LE(times.list_period + times.retry_delay, bound * 9 / 10);
    }
    EXPECT_LT(times.check_interval, times.list_period / 4);
    EXPECT_EQ(times.min_expiry, kHeartbeat * 3 / 2);
  }
}

/// A store whose calls end when the test says so.
class ScriptedStore : public AsyncStore {
 public:
  void Read(const std::string&, Callback<StoreItem>) override {}
  void List(const std::string&, Callback<StoreListing> callback) override {
    lists.push_back(std::move(callback));
  }
  void Watch(const std::string&, std::int64_t, Duration,
             Callback<StoreChanges> callback) override {
    watches.push_back(std::move(callback));
  }
  void Commit(const StoreTransaction&, Callback<KvTxnReply>) override {}
  void GrantLease(Duration, Callback<StoreLease>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  void Answer(std::size_t list, const StoreListing& listing) {
    NotifyContact(true, BootClockNow());
    lists.at(list)(listing);
  }

  std::vector<Callback<StoreListing>> lists;
  std::vector<Callback<StoreChanges>> watches;
};

// Guards against a node that waits for its next periodic listing after its
// watch has ended, and misses removals until then (DRAIN).
TEST(UpstreamSyncTest, AWatchThatEndsIsFollowedByAListing) {
  boost::asio::io_context loop;
  ScriptedStore store;
  std::vector<ForwardUpstreamInfo> upstreams;
  UpstreamListTimes times;
  times.list_period = std::chrono::hours(1);
  times.check_interval = std::chrono::minutes(1);
  times.retry_delay = std::chrono::milliseconds(5);
  times.min_expiry = kMinExpiry;
  UpstreamSync sync(
      loop, &store, "upstreams/", times, Decode,
      {[](Duration, TimePoint) { return true; }, [] { return true; },
       [] { return false; }},
      [&upstreams](const ForwardEvent& event) {
        upstreams = std::get<forward_event::UpstreamsListed>(event).upstreams;
      });
  sync.Start();
  store.Answer(0, Listing({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}}, 3));
  EXPECT_EQ(upstreams.size(), 3U);
  for (const ErrorCode code :
       {ErrorCode::kUnknownOutcome, ErrorCode::kNotFound}) {
    const std::size_t lists = store.lists.size();
    store.watches.back()(Error{code, "the watch has ended"});
    // The next event that is due is the listing.
    loop.restart();
    while (store.lists.size() == lists && loop.run_one() > 0) {
    }
    ASSERT_EQ(store.lists.size(), lists + 1);
    store.Answer(lists, Listing({{"c", "", 3}}, 9));
    EXPECT_EQ(upstreams.size(), 1U);
    EXPECT_EQ(store.watches.size(), lists + 1) << "a new watch has started";
  }
}

}  // namespace
}  // namespace pollenledge
