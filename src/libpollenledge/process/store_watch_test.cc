#include "pollenledge/process/store_watch.h"

#include <gtest/gtest.h>

#include <vector>

namespace pollenledge {
namespace {

/// A store that answers a watch only when the test says so.
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
  void KeepLease(std::int64_t, Callback<StoreLease>) override {}
  void EndLease(std::int64_t) override {}

  std::vector<Poll> polls;
};

class StoreWatchTest : public ::testing::Test {
 protected:
  void RunLoop() {
    loop_.restart();
    loop_.run();
  }
  void Answer(std::size_t poll, std::int64_t revision) {
    store_.polls.at(poll).callback(
        StoreChanges{.changes = {}, .store_revision = revision});
  }
  void FailPoll(std::size_t poll) {
    store_.polls.at(poll).callback(
        Error{ErrorCode::kNotFound, "the history is gone"});
  }

  boost::asio::io_context loop_;
  ScriptedStore store_;
  std::vector<std::int64_t> heard_;
  int errors_ = 0;
  bool needed_ = true;
  StoreWatch watch_{loop_,
                    &store_,
                    "config/",
                    std::chrono::milliseconds(1),
                    [this] { return needed_; },
                    [this](const StoreChanges& changes) {
                      heard_.push_back(changes.store_revision);
                    },
                    [this](const Error&) { ++errors_; }};
};

TEST_F(StoreWatchTest, GoesOnFromWhatItHeard) {
  watch_.OnReadSucceeded(7);
  ASSERT_EQ(store_.polls.size(), 1U);
  EXPECT_EQ(store_.polls[0].after_revision, 7);

  {
    SCOPED_TRACE("a second read begins no second watch");
    watch_.OnReadSucceeded(8);
    EXPECT_EQ(store_.polls.size(), 1U);
  }
  {
    SCOPED_TRACE("after an answer it polls from the answer's revision");
    Answer(0, 9);
    RunLoop();
    EXPECT_EQ(heard_, std::vector<std::int64_t>{9});
    ASSERT_EQ(store_.polls.size(), 2U);
    EXPECT_EQ(store_.polls[1].after_revision, 9);
  }
}

TEST_F(StoreWatchTest, BeginsAnewAfterTrouble) {
  watch_.OnReadSucceeded(7);
  {
    SCOPED_TRACE("a failed read leaves the silent watch to itself");
    watch_.OnReadFailed();
    watch_.OnReadSucceeded(12);
    ASSERT_EQ(store_.polls.size(), 2U);
    EXPECT_EQ(store_.polls[1].after_revision, 12);
  }
  {
    SCOPED_TRACE("what the old watch still brings is ignored");
    Answer(0, 8);
    FailPoll(0);
    RunLoop();
    EXPECT_TRUE(heard_.empty());
    EXPECT_EQ(errors_, 0);
    EXPECT_EQ(store_.polls.size(), 2U);
  }
  {
    SCOPED_TRACE("a failed watch waits for the next read");
    FailPoll(1);
    RunLoop();
    EXPECT_EQ(errors_, 1);
    EXPECT_EQ(store_.polls.size(), 2U);
    watch_.OnReadSucceeded(20);
    ASSERT_EQ(store_.polls.size(), 3U);
    EXPECT_EQ(store_.polls[2].after_revision, 20);
  }
}

TEST_F(StoreWatchTest, RunsOnceAlsoIfAReadFailsInThePause) {
  watch_.OnReadSucceeded(7);
  Answer(0, 9);
  // The pause before the next poll has begun.
  watch_.OnReadFailed();
  watch_.OnReadSucceeded(10);
  RunLoop();
  ASSERT_EQ(store_.polls.size(), 2U);
  EXPECT_EQ(store_.polls[1].after_revision, 10);
}

// Guards against each node of a large fleet holding a watch of its own.
TEST_F(StoreWatchTest, ANodeThatIsToldByOthersDoesNotWatch) {
  watch_.OnReadSucceeded(7);
  needed_ = false;
  Answer(0, 9);
  RunLoop();
  EXPECT_EQ(store_.polls.size(), 1U);
  watch_.OnReadSucceeded(12);
  EXPECT_EQ(store_.polls.size(), 1U);
  needed_ = true;
  watch_.OnReadSucceeded(15);
  EXPECT_EQ(store_.polls.size(), 2U);
}

}  // namespace
}  // namespace pollenledge
