#include "pollenledge/process/stream_record_sync.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "pollenledge/process/stream_versions.h"

namespace pollenledge {
namespace {

const StreamBinding kOld{"s", "v1"};
const StreamBinding kNew{"s", "v2"};

/// Fake store that a test can make fail or restore from an empty copy.
class FakeRecordStore : public AsyncStore {
 public:
  void Read(const std::string& key, Callback<StoreItem> callback) override {
    if (unavailable) {
      callback(Unavailable());
      return;
    }
    StoreItem item;
    if (const auto found = values.find(key); found != values.end())
      item.entry = KvEntry{key, found->second, 1};
    callback(item);
  }
  void List(const std::string& prefix,
            Callback<StoreListing> callback) override {
    ++lists;
    if (unavailable) {
      callback(Unavailable());
      return;
    }
    StoreListing listing;
    for (const auto& [key, value] : values) {
      if (key.rfind(prefix, 0) == 0) listing.entries.push_back({key, value, 1});
    }
    callback(listing);
  }
  void Commit(const StoreTransaction& transaction,
              Callback<KvTxnReply> callback) override {
    ++commits;
    if (unavailable) {
      callback(Unavailable());
      return;
    }
    EXPECT_LE(transaction.writes.size() + transaction.removals.size(), 32U);
    for (const KvWrite& write : transaction.writes) {
      if (write.lease != 0 && leases.count(write.lease) == 0) {
        callback(Error{ErrorCode::kNotFound, "no such lease"});
        return;
      }
      if (write.expected_revision == 0 && values.count(write.key) > 0) {
        callback(KvTxnReply{});
        return;
      }
    }
    for (const KvWrite& write : transaction.writes) {
      values[write.key] = write.value;
    }
    for (const std::string& key : transaction.removals) values.erase(key);
    callback(KvTxnReply{.succeeded = true, .revision = 1});
  }
  void GrantLease(Duration time_to_live,
                  Callback<StoreLease> callback) override {
    if (unavailable) {
      callback(Unavailable());
      return;
    }
    EXPECT_GE(time_to_live, 2 * StreamVersions::kMaxStreamLifetime);
    leases.insert(++last_lease);
    callback(StoreLease{last_lease, time_to_live});
  }
  void Watch(const std::string&, std::int64_t, Duration,
             Callback<StoreChanges>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  void Restore() {
    values.clear();
    leases.clear();
    NotifyRestored();
  }

  static Error Unavailable() {
    return {ErrorCode::kUnavailable, "store unavailable"};
  }

  std::map<std::string, std::string> values;
  std::set<std::int64_t> leases;
  std::int64_t last_lease = 0;
  bool unavailable = false;
  int lists = 0;
  int commits = 0;
};

class StreamRecordSyncTest : public ::testing::Test {
 protected:
  StreamRecordSync MakeSync() {
    return StreamRecordSync(
        loop_, &store_, "versions/", "streams/",
        StreamVersions::kMaxStreamLifetime,
        [this](std::vector<StreamBinding> versions, bool streams_lost) {
          versions_ = std::set(versions.begin(), versions.end());
          streams_lost_ = streams_lost;
          ++reads_;
        });
  }

  static StreamRecord Record(int number) {
    return {StreamVersions::KeyOf(std::to_string(number)),
            number % 2 == 0 ? kOld : kNew};
  }

  /// Searches for the stream's record; "unavailable", "none" or its version.
  static std::string FindVersion(StreamRecordSync* sync, int number) {
    std::string found;
    sync->Find(Record(number).stream, "",
               [&found](const StreamRecordSync::Found& result) {
                 found = !result.responded ? "unavailable"
                         : !result.binding.has_value()
                             ? "none"
                             : result.binding->software_version;
               });
    return found;
  }

  void RunLoop() {
    loop_.restart();
    loop_.run();
  }

  boost::asio::io_context loop_;
  FakeRecordStore store_;
  std::set<StreamBinding> versions_;
  bool streams_lost_ = false;
  int reads_ = 0;
};

// Guards against bindings that are lost when all nodes are killed.
TEST_F(StreamRecordSyncTest, ANewNodeFindsWhatAnotherWrote) {
  StreamRecordSync writer = MakeSync();
  writer.Start();
  writer.UpdateVersions({kOld, kNew}, {});
  std::vector<StreamRecord> records;
  records.reserve(100);
  for (int i = 0; i < 100; ++i) records.push_back(Record(i));
  const int commits_before = store_.commits;
  writer.RecordStreams(records);
  RunLoop();
  EXPECT_EQ(store_.commits - commits_before, 4) << "32 records in a call";
  StreamRecordSync reader = MakeSync();
  reader.Start();
  EXPECT_EQ(versions_, (std::set<StreamBinding>{kOld, kNew}));
  EXPECT_EQ(FindVersion(&reader, 0), "v1");
  EXPECT_EQ(FindVersion(&reader, 99), "v2");
  EXPECT_EQ(FindVersion(&reader, 100), "none");
}

// Guards against a take-up that goes by versions which were read before it
// came.
TEST_F(StreamRecordSyncTest, ASearchReadsTheVersionsFirst) {
  StreamRecordSync sync = MakeSync();
  StreamRecordSync::Found found;
  const auto find = [&] {
    sync.Find(
        Record(1).stream, "s",
        [&found](const StreamRecordSync::Found& result) { found = result; });
  };
  {
    SCOPED_TRACE("with one version the stream's record doesn't matter");
    sync.UpdateVersions({kOld, {"other", "v2"}}, {});
    sync.RecordStreams({Record(1)});
    find();
    EXPECT_TRUE(found.responded);
    EXPECT_EQ(found.versions->size(), 2U);
    EXPECT_EQ(found.binding, std::nullopt);
  }
  {
    SCOPED_TRACE("with two it decides");
    sync.UpdateVersions({kNew}, {});
    find();
    EXPECT_EQ(found.versions->size(), 3U);
    EXPECT_EQ(found.binding, kNew);
  }
  {
    SCOPED_TRACE("without the store nothing is known");
    store_.unavailable = true;
    find();
    EXPECT_FALSE(found.responded);
    EXPECT_EQ(found.versions, std::nullopt);
  }
}

TEST_F(StreamRecordSyncTest, TwoNodesMayRecordAVersionAtOnce) {
  StreamRecordSync first = MakeSync();
  StreamRecordSync second = MakeSync();
  first.Start();
  second.Start();
  first.UpdateVersions({kOld}, {});
  versions_.clear();
  second.UpdateVersions({kOld}, {});
  EXPECT_EQ(versions_, std::set<StreamBinding>{kOld});
  first.UpdateVersions({}, {kOld});
  EXPECT_TRUE(versions_.empty());
}

TEST_F(StreamRecordSyncTest, AStoreThatFailsIsTriedAgain) {
  StreamRecordSync sync = MakeSync();
  store_.unavailable = true;
  sync.Start();
  sync.RecordStreams({Record(1)});
  EXPECT_EQ(FindVersion(&sync, 1), "unavailable");
  EXPECT_EQ(reads_, 0);
  store_.unavailable = false;
  RunLoop();
  EXPECT_EQ(reads_, 1);
  EXPECT_EQ(FindVersion(&sync, 1), "v2");
  {
    SCOPED_TRACE("Also when the lease has ended.");
    store_.leases.clear();
    sync.RecordStreams({Record(2)});
    RunLoop();
    EXPECT_EQ(FindVersion(&sync, 2), "v1");
  }
}

// Guards against a store that was restored from an older copy and lacks the
// records.
TEST_F(StreamRecordSyncTest, ARestoreIsReported) {
  StreamRecordSync sync = MakeSync();
  sync.Start();
  sync.UpdateVersions({kOld}, {});
  sync.RecordStreams({Record(1)});
  EXPECT_FALSE(streams_lost_);
  store_.Restore();
  EXPECT_TRUE(streams_lost_);
  EXPECT_TRUE(versions_.empty());
  sync.RecordStreams({Record(1)});
  RunLoop();
  EXPECT_EQ(FindVersion(&sync, 1), "v2");
}

// Guards against a call for each node of a large fleet that tells its few
// records.
TEST_F(StreamRecordSyncTest, RecordsOfManyNodesAreWrittenTogether) {
  StreamRecordSync sync = MakeSync();
  sync.RecordStreams({Record(0)});
  EXPECT_EQ(store_.commits, 1) << "The first is written at once";
  for (int i = 1; i < 20; ++i) sync.RecordStreams({Record(i)});
  EXPECT_EQ(store_.commits, 1);
  RunLoop();
  EXPECT_EQ(store_.commits, 2);
  EXPECT_EQ(FindVersion(&sync, 19), "v2");
}

// Guards against records of another writer.
TEST_F(StreamRecordSyncTest, MalformedRecordsAreIgnored) {
  for (const char* text : {"", "{", "[]", R"({"service":"s"})",
                           R"({"service":1,"software_version":"v1"})"}) {
    EXPECT_FALSE(Ok(DecodeBinding(text))) << text;
  }
  EXPECT_EQ(Value(DecodeBinding(EncodeBinding(kOld))), kOld);
  store_.values["versions/odd"] = "{";
  store_.values["versions/v1"] = EncodeBinding(kOld);
  StreamRecordSync sync = MakeSync();
  sync.Start();
  EXPECT_EQ(versions_, std::set<StreamBinding>{kOld});
}

// Guards against memory that grows while the store is away.
TEST_F(StreamRecordSyncTest, PendingRecordsAreBounded) {
  StreamRecordSync sync = MakeSync();
  store_.unavailable = true;
  const int count = static_cast<int>(StreamRecordSync::kMaxPendingRecords);
  for (int i = 0; i < 2 * count; i += 2) {
    sync.RecordStreams({Record(i), Record(i + 1)});
  }
  store_.unavailable = false;
  RunLoop();
  EXPECT_EQ(store_.values.size(), StreamRecordSync::kMaxPendingRecords);
  EXPECT_EQ(FindVersion(&sync, 0), "none");
  EXPECT_EQ(FindVersion(&sync, 2 * count - 1), "v2");
}

}  // namespace
}  // namespace pollenledge
