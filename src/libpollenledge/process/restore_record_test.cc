#include "pollenledge/process/restore_record.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

WallTime At(int seconds) { return WallTime(std::chrono::seconds(seconds)); }

/// A store with one entry, which can be restored to an earlier state of it.
class RestorableStore : public AsyncStore {
 public:
  std::int64_t era() const override { return era_; }
  void Read(const std::string& key, Callback<StoreItem> callback) override {
    StoreItem item;
    if (entry.has_value()) item.entry = KvEntry{key, *entry, revision};
    callback(item);
  }
  void Commit(const StoreTransaction& transaction,
              Callback<KvTxnReply> callback) override {
    const KvWrite& write = transaction.writes.front();
    if (write.expected_revision != (entry.has_value() ? revision : 0)) {
      callback(KvTxnReply{});
      return;
    }
    entry = write.value;
    callback(KvTxnReply{.succeeded = true, .revision = ++revision});
  }
  void List(const std::string&, Callback<StoreListing>) override {}
  void Watch(const std::string&, std::int64_t, Duration,
             Callback<StoreChanges>) override {}
  void GrantLease(Duration, Callback<StoreLease>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  /// Begins a new era without the entry.
  void Restore() {
    ++era_;
    entry.reset();
    NotifyRestored();
  }

  std::optional<std::string> entry;
  std::int64_t revision = 1;

 private:
  std::int64_t era_ = store_position::kFirstEra;
};

class RestoreRecordTest : public ::testing::Test {
 protected:
  std::unique_ptr<RestoreRecord> StartProcess() {
    auto record = std::make_unique<RestoreRecord>(
        loop_, &store_, "restore", [this] { return now_; },
        [this] { return may_write_; });
    record->Start();
    return record;
  }
  /// Runs what is due without a delay.
  void RunDue() {
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds(20));
  }

  boost::asio::io_context loop_;
  RestorableStore store_;
  WallTime now_ = At(100);
  bool may_write_ = true;
};

// Guards against usage windows that a process abandons, or reports twice,
// because it does not know whether the store lost what was reported.
TEST_F(RestoreRecordTest, ARestoreIsKnownToAllProcesses) {
  const auto first = StartProcess();
  {
    SCOPED_TRACE("a store that was never restored has no record");
    EXPECT_TRUE(first->is_known());
    EXPECT_EQ(first->restored_at(), std::nullopt);
    EXPECT_EQ(store_.entry, std::nullopt);
  }
  now_ = At(200);
  store_.Restore();
  EXPECT_FALSE(first->is_known());
  RunDue();
  {
    SCOPED_TRACE("the process that saw the restore records it");
    EXPECT_TRUE(first->is_known());
    EXPECT_EQ(first->restored_at(), At(200));
    EXPECT_TRUE(store_.entry.has_value());
  }
  now_ = At(300);
  {
    SCOPED_TRACE("a process that starts later reads the record");
    const auto later = StartProcess();
    EXPECT_EQ(later->restored_at(), At(200));
  }
}

// Guards against a fleet whose processes were all killed right after a restore,
// so that none of them remembers it.
TEST_F(RestoreRecordTest, ARestoreThatNobodyRecordedMayHaveJustHappened) {
  store_.Restore();
  may_write_ = false;
  const auto first = StartProcess();
  EXPECT_TRUE(first->is_known());
  EXPECT_EQ(first->restored_at(), At(100));
  EXPECT_EQ(store_.entry, std::nullopt);
  may_write_ = true;
  now_ = At(150);
  const auto second = StartProcess();
  EXPECT_EQ(second->restored_at(), At(150));
  EXPECT_TRUE(store_.entry.has_value());
}

// Guards against a process that starts right after a restore and takes the copy
// for what the operator wrote last.
TEST_F(RestoreRecordTest, AProcessThatStartsAfterARestoreWaitsForLostWrites) {
  const auto running = StartProcess();
  EXPECT_FALSE(running->MayLackWrites());
  store_.Restore();
  {
    SCOPED_TRACE("a process that ran knows what is newer than the copy");
    EXPECT_FALSE(running->MayLackWrites());
  }
  RunDue();
  now_ += std::chrono::seconds(1);
  const auto started = StartProcess();
  EXPECT_TRUE(started->MayLackWrites());
  now_ += RestoreRecord::kRewriteTime;
  EXPECT_FALSE(started->MayLackWrites());
  {
    SCOPED_TRACE("a process that starts later does not wait");
    EXPECT_FALSE(StartProcess()->MayLackWrites());
  }
  {
    SCOPED_TRACE("nobody recorded the restore");
    store_.Restore();
    const auto first = StartProcess();
    EXPECT_TRUE(first->MayLackWrites());
    now_ += RestoreRecord::kRewriteTime;
    EXPECT_FALSE(first->MayLackWrites());
  }
}

// Guards against a process that still waits when the store is restored again.
TEST_F(RestoreRecordTest, ASecondRestoreExtendsTheWait) {
  store_.Restore();
  const auto started = StartProcess();
  now_ += std::chrono::seconds(1);
  store_.Restore();
  RunDue();
  now_ += std::chrono::milliseconds(1500);
  EXPECT_TRUE(started->MayLackWrites());
}

TEST_F(RestoreRecordTest, MalformedRecordIsReplaced) {
  store_.Restore();
  store_.entry = "garbage";
  const auto record = StartProcess();
  EXPECT_EQ(record->restored_at(), At(100));
  EXPECT_EQ(store_.entry, EncodeRestore({2, At(100)}));
  EXPECT_FALSE(Ok(DecodeRestore("{}")));
}

}  // namespace
}  // namespace pollenledge
