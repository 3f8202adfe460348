#include "pollenledge/process/store_watch.h"

#include <gtest/gtest.h>

#include <vector>

namespace pollenledge {
namespace {

/// A store that responds to a watch only when the test calls the callback.
class ScriptedStore : public AsyncStore {
 public:
  struct Poll {
    std::int64_t after_revision = 0;
    Callback<StoreChanges> callback;
  };

  void Read(const std::string&, Callback<StoreItem>) override {}
  void List(const std::string&, Callback<StoreListing>) override {}
  void Watch(const std::string&, std::int64_t after_revision, Duration,
             Callback<StoreChanges> callback) override {
    polls.push_back({after_revision, std::move(callback)});
  }
  void Commit(const StoreTransaction&, Callback<KvTxnReply>) override {}
  void GrantLease(Duration, Callback<StoreLease>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  std::vector<Poll> polls;
};

class StoreWatchTest : public ::testing::Test {
 protected:
  void RunLoop() {
    loop_.restart();
    loop_.run();
  }
  void Respond(std::size_t poll, std::int64_t revision) {
    store_.polls.at(poll).callback(
        StoreChanges{.changes = {}, .store_revision = revision});
  }
  void FailPoll(std::size_t poll) {
    store_.polls.at(poll).callback(
        Error{ErrorCode::kNotFound, "the history was discarded"});
  }

  boost::asio::io_context loop_;
  ScriptedStore store_;
  std::vector<std::int64_t> received_revisions_;
  int errors_ = 0;
  bool needs_watch_ = true;
  StoreWatch watch_{loop_,
                    &store_,
                    "config/",
                    std::chrono::milliseconds(1),
                    [this] { return needs_watch_; },
                    [this](const StoreChanges& changes) {
                      received_revisions_.push_back(changes.store_revision);
                    },
                    [this](const Error&) { ++errors_; }};
};

TEST_F(StoreWatchTest, ContinuesFromLastReceivedRevision) {
  watch_.OnReadSucceeded(7);
  ASSERT_EQ(store_.polls.size(), 1U);
  EXPECT_EQ(store_.polls[0].after_revision, 7);

  {
    SCOPED_TRACE("a second read starts no second watch");
    watch_.OnReadSucceeded(8);
    EXPECT_EQ(store_.polls.size(), 1U);
  }
  {
    SCOPED_TRACE("the next poll starts from the revision of the response");
    Respond(0, 9);
    RunLoop();
    EXPECT_EQ(received_revisions_, std::vector<std::int64_t>{9});
    ASSERT_EQ(store_.polls.size(), 2U);
    EXPECT_EQ(store_.polls[1].after_revision, 9);
  }
}

TEST_F(StoreWatchTest, RestartsAfterFailedReadOrPoll) {
  watch_.OnReadSucceeded(7);
  {
    SCOPED_TRACE("a failed read abandons the running watch");
    watch_.OnReadFailed();
    watch_.OnReadSucceeded(12);
    ASSERT_EQ(store_.polls.size(), 2U);
    EXPECT_EQ(store_.polls[1].after_revision, 12);
  }
  {
    SCOPED_TRACE("responses to the abandoned watch are ignored");
    Respond(0, 8);
    FailPoll(0);
    RunLoop();
    EXPECT_TRUE(received_revisions_.empty());
    EXPECT_EQ(errors_, 0);
    EXPECT_EQ(store_.polls.size(), 2U);
  }
  {
    SCOPED_TRACE("a failed watch restarts after the next read");
    FailPoll(1);
    RunLoop();
    EXPECT_EQ(errors_, 1);
    EXPECT_EQ(store_.polls.size(), 2U);
    watch_.OnReadSucceeded(20);
    ASSERT_EQ(store_.polls.size(), 3U);
    EXPECT_EQ(store_.polls[2].after_revision, 20);
  }
}

TEST_F(StoreWatchTest, ReadFailureDuringPollDelayLeavesOneWatch) {
  watch_.OnReadSucceeded(7);
  Respond(0, 9);
  // The delay before the next poll has started.
  watch_.OnReadFailed();
  watch_.OnReadSucceeded(10);
  RunLoop();
  ASSERT_EQ(store_.polls.size(), 2U);
  EXPECT_EQ(store_.polls[1].after_revision, 10);
}

// Guards against every node of a large fleet keeping its own watch on the
// store.
TEST_F(StoreWatchTest, NodeThatNeedsNoWatchDoesNotPoll) {
  watch_.OnReadSucceeded(7);
  needs_watch_ = false;
  Respond(0, 9);
  RunLoop();
  EXPECT_EQ(store_.polls.size(), 1U);
  watch_.OnReadSucceeded(12);
  EXPECT_EQ(store_.polls.size(), 1U);
  needs_watch_ = true;
  watch_.OnReadSucceeded(15);
  EXPECT_EQ(store_.polls.size(), 2U);
}

}  // namespace
}  // namespace pollenledge
