#include "pollenledge/process/suspect_document.h"

#include <gtest/gtest.h>

#include "pollenledge/process/suspect_sync.h"

namespace pollenledge {
namespace {

constexpr Duration kMinute = std::chrono::minutes(1);
const WallTime kNow(std::chrono::hours(10));

StoredCrash Crash(std::uint64_t request, CrashId crash, Duration age) {
  return {{0, request}, crash, false, kNow - age};
}

TEST(SuspectDocumentTest, DecodesWhatWasEncoded) {
  const std::vector<StoredCrash> crashes = {
      {{~0ULL, 1}, ~0ULL, true, kNow},
      {{1, 2}, 3, false, kNow - kMinute, kMinute, RunPhase::kWriting}};
  const auto read = DecodeSuspects(EncodeSuspects(crashes));
  ASSERT_TRUE(Ok(read));
  EXPECT_EQ(Value(read), crashes);
  EXPECT_TRUE(Value(DecodeSuspects("")).empty());
}

TEST(SuspectDocumentTest, MalformedDocumentYieldsAnError) {
  for (const char* text :
       {"{", "{}", "[]", R"({"crashes":[{"request":"x"}]})",
        R"({"crashes":[{"request":"00","crash":1,"shared":false,"at_us":1}]})",
        R"({"crashes":{"a":1}})"}) {
    EXPECT_FALSE(Ok(DecodeSuspects(text))) << text;
  }
}

TEST(SuspectDocumentTest, MergeRemovesDuplicatesAndExpiredCrashes) {
  const auto merged = MergeSuspects(
      {Crash(1, 1, kMinute), Crash(2, 1, CrashSuspects::kRejectionTime)},
      {Crash(1, 1, 2 * kMinute), Crash(1, 2, kMinute)}, kNow);
  EXPECT_EQ(merged, (std::vector<StoredCrash>{Crash(1, 1, kMinute),
                                              Crash(1, 2, kMinute)}));
}

// The document must not grow with every request that crashes upstreams.
TEST(SuspectDocumentTest, MergeKeepsOnlyTheLatestRequests) {
  std::vector<StoredCrash> crashes;
  for (std::uint64_t i = 0; i < 2 * kMaxStoredSuspects; ++i) {
    crashes.push_back(Crash(i, 1, std::chrono::milliseconds(i)));
  }
  const auto merged = MergeSuspects({}, crashes, kNow);
  EXPECT_EQ(merged.size(), kMaxStoredSuspects);
  EXPECT_EQ(merged.back().fingerprint.low, kMaxStoredSuspects - 1);
  EXPECT_LT(EncodeSuspects(merged).size(), 64U * 1024);
}

/// Fake store with a single document, which a test can change between calls.
class FakeDocumentStore : public AsyncStore {
 public:
  void Read(const std::string& key, Callback<StoreItem> callback) override {
    ++reads;
    if (unavailable) {
      callback(Error{ErrorCode::kUnavailable, "store unavailable"});
      return;
    }
    StoreItem item;
    if (revision > 0) item.entry = KvEntry{key, text, revision};
    callback(item);
  }
  void Commit(const StoreTransaction& transaction,
              Callback<KvTxnReply> callback) override {
    ++writes;
    if (transaction.writes.front().expected_revision != revision) {
      callback(KvTxnReply{});
      return;
    }
    text = transaction.writes.front().value;
    callback(KvTxnReply{.succeeded = true, .revision = ++revision});
  }
  void List(const std::string&, Callback<StoreListing>) override {}
  void Watch(const std::string&, std::int64_t, Duration,
             Callback<StoreChanges>) override {}
  void GrantLease(Duration, Callback<StoreLease>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  /// The store comes back from a copy without the document.
  void Restore() {
    text.clear();
    revision = 0;
    NotifyRestored();
  }

  std::string text;
  std::int64_t revision = 0;
  bool unavailable = false;
  int reads = 0;
  int writes = 0;
};

class SuspectSyncTest : public ::testing::Test {
 protected:
  SuspectSync MakeSynchronizer() {
    return SuspectSync(
        loop_, &store_, "suspects", [] { return kNow; },
        [this](std::vector<SuspectReport> reports) {
          submitted_.push_back(std::move(reports));
        });
  }

  boost::asio::io_context loop_;
  FakeDocumentStore store_;
  std::vector<std::vector<SuspectReport>> submitted_;
};

// If all nodes restart, they must not forward a rejected request again.
TEST_F(SuspectSyncTest, NewNodeLoadsTheCrashesThatAnotherWrote) {
  SuspectSync first = MakeSynchronizer();
  first.Start();
  ASSERT_EQ(submitted_.size(), 1U);
  EXPECT_TRUE(submitted_[0].empty());
  const CrashReport report{{0, 1}, 7, false, kMinute};
  first.AddCrashes({report});
  SuspectSync second = MakeSynchronizer();
  second.Start();
  ASSERT_EQ(submitted_.size(), 2U);
  EXPECT_EQ(submitted_[1], (std::vector<SuspectReport>{report}));

  {
    SCOPED_TRACE("concurrent writes of two nodes are merged");
    store_.revision += 1;  // Another node has written in the meantime.
    second.AddCrashes({{{0, 2}, 8, false, kMinute}});
    loop_.run();
    EXPECT_EQ(Value(DecodeSuspects(store_.text)).size(), 2U);
  }

  {
    SCOPED_TRACE("already stored crashes are not written again");
    const int writes = store_.writes;
    second.AddCrashes({report});
    loop_.restart();
    loop_.run();
    EXPECT_EQ(store_.writes, writes);
  }
}

// Guards against nodes that never learn of crashes which others write after
// their start, and against crashes that come back after the suspect was
// cleared.
TEST_F(SuspectSyncTest, LaterReadDeliversOnlyWhatIsNew) {
  SuspectSync reader = MakeSynchronizer();
  reader.Start();
  SuspectSync writer = MakeSynchronizer();
  writer.Start();
  submitted_.clear();
  const CrashReport first{{0, 1}, 7, false, kMinute};
  writer.AddCrashes({first});
  reader.ReadNow();
  ASSERT_EQ(submitted_.size(), 1U);
  EXPECT_EQ(submitted_[0], std::vector<SuspectReport>{first});

  {
    SCOPED_TRACE("a crash that was delivered is not delivered again");
    reader.ReadNow();
    EXPECT_EQ(submitted_.size(), 1U);
  }

  {
    SCOPED_TRACE("a read that is requested during a write follows it");
    const CrashReport second{{0, 1}, 8, false, kMinute};
    writer.AddCrashes({second});
    loop_.run();
    reader.AddCrashes({{{0, 2}, 9, false, kMinute}});
    reader.ReadNow();
    loop_.restart();
    loop_.run();
    ASSERT_EQ(submitted_.size(), 2U);
    EXPECT_EQ(submitted_[1], std::vector<SuspectReport>{second});
    EXPECT_EQ(Value(DecodeSuspects(store_.text)).size(), 3U);
  }

  {
    SCOPED_TRACE("a read that fails is repeated");
    store_.unavailable = true;
    reader.ReadNow();
    EXPECT_EQ(submitted_.size(), 2U);
    store_.unavailable = false;
    const CrashReport third{{0, 1}, 10, false, kMinute};
    writer.AddCrashes({third});
    loop_.restart();
    loop_.run();
    // The writer has read the other crash before.
    ASSERT_EQ(submitted_.size(), 4U);
    EXPECT_EQ(submitted_[3], std::vector<SuspectReport>{third});
  }
}

// Guards against a rejected request that reaches upstreams again after all
// nodes were restarted, because a restored store has lost it (incident CONFIG).
TEST_F(SuspectSyncTest, CrashesThatARestoredStoreLostAreWrittenAgain) {
  SuspectSync writer = MakeSynchronizer();
  writer.Start();
  writer.AddCrashes({{{0, 1}, 7, false, kMinute}});
  loop_.run();
  SuspectSync reader = MakeSynchronizer();
  reader.Start();
  {
    SCOPED_TRACE("by the node that wrote them, and by one that read them");
    store_.Restore();
    loop_.restart();
    loop_.run();
    EXPECT_EQ(Value(DecodeSuspects(store_.text)).size(), 1U);
  }
  SuspectSync later = MakeSynchronizer();
  later.Start();
  EXPECT_EQ(submitted_.back().size(), 1U);
}

TEST_F(SuspectSyncTest, MalformedDocumentCountsAsEmptyAndIsOverwritten) {
  store_.text = "{";
  store_.revision = 5;
  SuspectSync synchronizer = MakeSynchronizer();
  synchronizer.Start();
  ASSERT_EQ(submitted_.size(), 1U);
  EXPECT_TRUE(submitted_[0].empty());
  synchronizer.AddCrashes({{{0, 1}, 7, false, kMinute}});
  EXPECT_EQ(Value(DecodeSuspects(store_.text)).size(), 1U);
}

// A node must accept requests eventually, even if it cannot read the document.
TEST_F(SuspectSyncTest, UnavailableStoreDelaysStartupForALimitedTime) {
  store_.unavailable = true;
  SuspectSync synchronizer = MakeSynchronizer();
  synchronizer.Start();
  EXPECT_TRUE(submitted_.empty());
  while (submitted_.empty()) loop_.run_one();
  EXPECT_EQ(store_.reads,
            SuspectSync::kStartupReadTimeout / SuspectSync::kRetryInterval);
  EXPECT_TRUE(submitted_[0].empty());
}

}  // namespace
}  // namespace pollenledge
