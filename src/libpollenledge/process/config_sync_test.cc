#include "pollenledge/process/config_sync.h"

#include <gtest/gtest.h>

#include <vector>

namespace pollenledge {
namespace {

/// A store that answers each read at once, and watches when the test says so.
class ScriptedStore : public AsyncStore {
 public:
  void Read(const std::string& key, Callback<StoreItem> callback) override {
    ++reads;
    callback(StoreItem{KvEntry{key, "tables", 5}, 40});
  }
  void List(const std::string&, Callback<StoreListing>) override {}
  void Watch(const std::string&, std::int64_t after_revision, Duration,
             Callback<StoreChanges> callback) override {
    watched_from.push_back(after_revision);
    watches.push_back(std::move(callback));
  }
  void Commit(const StoreTransaction&, Callback<KvTxnReply>) override {}
  void GrantLease(Duration, Callback<StoreLease>) override {}
  void RenewLease(std::int64_t, Callback<StoreLease>) override {}
  void RevokeLease(std::int64_t) override {}

  int reads = 0;
  std::vector<std::int64_t> watched_from;
  std::vector<Callback<StoreChanges>> watches;
};

// Guards against a watch that begins at the revision of tables which nobody has
// changed for long, so that the store has no history from there: it fails at
// once, and each read starts the next one.
TEST(ConfigSyncTest, TheWatchBeginsAtTheRevisionOfTheRead) {
  boost::asio::io_context loop;
  ScriptedStore store;
  ConfigSync sync(
      loop, &store, "tables",
      TablesTimes{std::chrono::hours(2), std::chrono::hours(1)},
      [](const std::string&) -> Result<ForwardingTables> {
        return ForwardingTables{};
      },
      {[](Duration, TimePoint) { return true; }, [] { return true; },
       [] { return false; }},
      [] { return false; }, [](const ForwardEvent&) {});
  sync.Start();
  EXPECT_EQ(store.watched_from, std::vector<std::int64_t>{40});
  {
    SCOPED_TRACE("a watch that ends is followed by one read");
    store.watches.back()(Error{ErrorCode::kUnknownOutcome, "cut"});
    EXPECT_EQ(store.reads, 1);
    loop.restart();
    while (store.reads == 1 && loop.run_one() > 0) {
    }
    EXPECT_EQ(store.reads, 2);
    EXPECT_EQ(store.watched_from, (std::vector<std::int64_t>{40, 40}));
  }
}

}  // namespace
}  // namespace pollenledge
