#include <gtest/gtest.h>

#include <random>

#include "pollenledge/process/entry_node.h"
#include "pollenledge/version/config_edit.h"
#include "virtual_world.h"

namespace pollenledge {
namespace {

// A fake key-value service with one key and configurable faults.
struct FakeSingleKeyStore {
  std::optional<KvEntry> entry;
  std::optional<KvEntry> past_entry;
  std::int64_t revision = 0;
  double lost_rate = 0;     // Probability that a write's response is lost.
  double stale_rate = 0;    // Probability that a read returns `past_entry`.
  double failure_rate = 0;  // Probability that a call fails without effect.
  std::mt19937_64 random;

  bool Chance(double p) {
    return std::uniform_real_distribution<>(0, 1)(random) < p;
  }

  Result<std::optional<KvEntry>> Read() {
    if (Chance(failure_rate)) return Error{ErrorCode::kUnavailable, "down"};
    return Chance(stale_rate) ? past_entry : entry;
  }

  Result<KvTxnReply> Write(const KvWrite& write) {
    if (Chance(failure_rate)) return Error{ErrorCode::kUnknownOutcome, "lost"};
    const std::int64_t current = entry.has_value() ? entry->mod_revision : 0;
    KvTxnReply reply;
    reply.succeeded = current == write.expected_revision;
    if (reply.succeeded) {
      if (Chance(0.5)) past_entry = entry;
      entry = KvEntry{write.key, write.value, ++revision};
    } else if (entry.has_value()) {
      reply.current.push_back(*entry);
    }
    reply.revision = revision;
    if (Chance(lost_rate)) return Error{ErrorCode::kUnknownOutcome, "lost"};
    return reply;
  }
};

// Executes one operator's edit step by step, so that a test can interleave
// several edits.
class EditRun {
 public:
  EditRun(const std::string& id, std::uint64_t base, TimePoint deadline)
      : edit_({base, id, id, {"routes of " + id, "pools"}}, deadline),
        id_(id),
        step_(edit_.Start()) {}

  bool done() const {
    return !std::holds_alternative<ReadConfig>(step_) &&
           !std::holds_alternative<WriteConfig>(step_);
  }
  const EditStep& result() const { return step_; }
  const std::string& id() const { return id_; }

  void Advance(FakeSingleKeyStore* store, TimePoint now) {
    if (std::holds_alternative<ReadConfig>(step_)) {
      step_ = edit_.OnRead(store->Read(), now);
    } else if (const auto* write = std::get_if<WriteConfig>(&step_)) {
      step_ = edit_.OnWrite(store->Write(write->write), now);
    }
  }

 private:
  ConfigEdit edit_;
  std::string id_;
  EditStep step_;
};

ConfigDocument DocumentIn(const FakeSingleKeyStore& store) {
  if (!store.entry.has_value()) return {};
  return Value(ParseConfigDocument(store.entry->value));
}

bool InHistory(const FakeSingleKeyStore& store, const std::string& id) {
  const ConfigDocument document = DocumentIn(store);
  return std::count(document.edit_history.begin(), document.edit_history.end(),
                    id) > 0;
}

// Guards against an edit whose reported result is wrong, which can happen when
// edits race and responses are lost, reads are stale or calls fail. At most one
// edit of the same base version may be accepted.
TEST(ConfigEdit, ConcurrentEditsReportTheirActualResult) {
  int accepted = 0;
  int conflicts = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    FakeSingleKeyStore store;
    store.random.seed(seed);
    store.lost_rate = seed % 3 == 0 ? 0.5 : 0;
    store.stale_rate = seed % 2 == 0 ? 0.4 : 0;
    store.failure_rate = seed % 5 == 0 ? 0.3 : 0;
    TimePoint now(std::chrono::seconds(1));
    const TimePoint deadline = now + std::chrono::seconds(4);
    std::uint64_t last_version = 0;
    for (int round = 0; round < 3; ++round) {
      const std::uint64_t base = DocumentIn(store).version;
      std::vector<EditRun> edits;
      edits.reserve(3);
      for (int i = 0; i < 3; ++i) {
        edits.emplace_back(
            "r" + std::to_string(round) + "o" + std::to_string(i), base,
            deadline + std::chrono::seconds(5 * round));
      }
      while (std::any_of(edits.begin(), edits.end(),
                         [](const EditRun& edit) { return !edit.done(); })) {
        edits[store.random() % 3].Advance(&store, now);
        now += std::chrono::milliseconds(10);
        ASSERT_GE(DocumentIn(store).version, last_version);
        last_version = DocumentIn(store).version;
      }
      int winners = 0;
      for (const EditRun& edit : edits) {
        const bool took_effect = InHistory(store, edit.id());
        if (std::holds_alternative<EditAccepted>(edit.result())) {
          ASSERT_TRUE(took_effect) << "seed " << seed;
          ASSERT_EQ(std::get<EditAccepted>(edit.result()).version, base + 1);
          ++winners;
          ++accepted;
        }
        if (std::holds_alternative<EditConflict>(edit.result())) {
          ASSERT_FALSE(took_effect) << "seed " << seed;
          ++conflicts;
        }
        if (std::holds_alternative<EditUnavailable>(edit.result())) {
          ASSERT_FALSE(took_effect) << "seed " << seed;
        }
      }
      ASSERT_LE(winners, 1) << "seed " << seed;
    }
  }
  EXPECT_GT(accepted, 0);
  EXPECT_GT(conflicts, 0);
}

TEST(ConfigEdit, LostWriteResponseIsResolvedByReadingBack) {
  FakeSingleKeyStore store;
  store.lost_rate = 1;
  EditRun first("one", 0, TimePoint(std::chrono::seconds(10)));
  const TimePoint now(std::chrono::seconds(1));
  while (!first.done()) first.Advance(&store, now);
  EXPECT_EQ(first.result(), EditStep(EditAccepted{1}));
}

TEST(ConfigEdit, ReappliedEditIsFoundAfterLaterEdits) {
  FakeSingleKeyStore store;
  const TimePoint now(std::chrono::seconds(1));
  for (const auto& [id, base] :
       {std::pair("one", 0), std::pair("two", 1), std::pair("three", 2)}) {
    EditRun edit_run(id, static_cast<std::uint64_t>(base),
                     TimePoint(std::chrono::seconds(10)));
    while (!edit_run.done()) edit_run.Advance(&store, now);
  }
  EditRun reapplied("one", 0, TimePoint(std::chrono::seconds(10)));
  while (!reapplied.done()) reapplied.Advance(&store, now);
  EXPECT_EQ(reapplied.result(), EditStep(EditAccepted{1}));
  EXPECT_EQ(DocumentIn(store).version, 3U);
}

TEST(ConfigEdit, UnavailableServiceReportsThatNothingChanged) {
  FakeSingleKeyStore store;
  store.failure_rate = 1;
  EditRun first("one", 0, TimePoint(std::chrono::seconds(10)));
  first.Advance(&store, TimePoint(std::chrono::seconds(1)));
  EXPECT_TRUE(std::holds_alternative<EditUnavailable>(first.result()));
}

TEST(ConfigInForce, LowerVersionNeverReplacesTheActiveTables) {
  testing::VirtualWorld world(1);
  world.AddEntry("a", "domain-a");
  world.Start(testing::MakeTables({"c"}));
  const auto adopt = [&](std::uint64_t version) {
    Tables tables = testing::MakeTables({"c"});
    tables.version = version;
    world.Submit(0, event::TablesActivated{std::make_shared<Tables>(tables)});
    return world.entries[0].node->tables()->version;
  };
  std::mt19937_64 random(3);
  std::uint64_t highest = 1;
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t offered = random() % 500;
    highest = std::max(highest, offered);
    ASSERT_EQ(adopt(offered), highest);
  }
}

TEST(ConfigInForce, RequestUsesTheTablesActiveAtItsArrival) {
  testing::VirtualWorld world(1);
  world.AddEntry("a", "domain-a");
  world.AddUpstream("models", "domain-a", 300'000, 8);
  world.Start(testing::MakeTables({"c"}));
  world.RunFor(std::chrono::seconds(1));
  const RequestId id = world.SubmitRequest(
      0, testing::MakeModelRequest("c", Rank::kUrgent, 50, 50));
  Tables without_routes = testing::MakeTables({"c"});
  without_routes.version = 2;
  without_routes.routes.clear();
  world.Submit(
      0, event::TablesActivated{std::make_shared<Tables>(without_routes)});
  const RequestId later = world.SubmitRequest(
      0, testing::MakeModelRequest("c", Rank::kUrgent, 50, 50));
  world.RunFor(std::chrono::seconds(5));
  EXPECT_TRUE(
      std::holds_alternative<Completed>(*world.ResponsesTo(id).at(0).outcome));
  EXPECT_EQ(
      std::get<NotRun>(*world.ResponsesTo(later).at(0).outcome).http_status,
      404);
}

}  // namespace
}  // namespace pollenledge
