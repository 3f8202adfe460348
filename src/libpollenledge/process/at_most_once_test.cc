#include <gtest/gtest.h>

#include "pollenledge/request/claim.h"
#include "virtual_world.h"

namespace pollenledge {
namespace {

using testing::MakeOrder;
using testing::MakeTables;
using testing::VirtualWorld;

constexpr char kCustomer[] = "gonio-station";
constexpr char kKey[] = "order-4";

// Three entries in three failure domains before two service instances.
std::unique_ptr<VirtualWorld> MakeWorld(std::uint64_t seed) {
  auto world = std::make_unique<VirtualWorld>(seed);
  world->AddEntry("a", "domain-a");
  world->AddEntry("b", "domain-b");
  world->AddEntry("c", "domain-c");
  world->AddUpstream("services", "domain-a", 40'000, 64);
  world->AddUpstream("services", "domain-b", 40'000, 64);
  world->Start(MakeTables({kCustomer}));
  world->RunFor(std::chrono::seconds(2));
  return world;
}

// What must hold of every schedule, for all that was sent and answered.
void CheckWorld(const VirtualWorld& world, const std::string& label) {
  std::map<std::string, std::size_t> runs;
  for (const auto& execution : world.executions) ++runs[execution.key];
  for (const auto& [key, count] : runs) {
    EXPECT_LE(count, 1U) << label << ": key " << key << " ran twice";
  }
  for (const auto& answer : world.answers) {
    if (!answer.outcome.has_value()) continue;
    const std::size_t own_runs = world.ExecutionsOf(answer.id);
    if (std::holds_alternative<NotRun>(*answer.outcome)) {
      EXPECT_EQ(own_runs, 0U)
          << label << ": " << ToString(answer.id) << " was said not to run";
    }
    if (std::holds_alternative<Completed>(*answer.outcome)) {
      EXPECT_EQ(own_runs, 1U) << label;
    }
    EXPECT_EQ(world.AnswersTo(answer.id).size(), 1U) << label;
  }
}

// The steps of a request at which a fault is placed: just before the entry
// carries out an action of this kind.
enum class Step { kWriteClaim, kDispatch, kAnswer, kWriteOutcome };
constexpr Step kSteps[] = {Step::kWriteClaim, Step::kDispatch, Step::kAnswer,
                           Step::kWriteOutcome};

bool IsStep(Step step, const EntryAction& action) {
  switch (step) {
    case Step::kWriteClaim:
      return std::holds_alternative<action::WriteClaimRecord>(action);
    case Step::kDispatch:
      return std::holds_alternative<action::Dispatch>(action);
    case Step::kAnswer:
      return std::holds_alternative<action::Answer>(action);
    case Step::kWriteOutcome:
      return std::holds_alternative<action::WriteOutcome>(action);
  }
  return false;
}

enum class Fault { kKill, kKillAfterSending, kFreeze };
constexpr Fault kFaults[] = {Fault::kKill, Fault::kKillAfterSending,
                             Fault::kFreeze};

// Lets the fault befall entry 0 when it first comes to `step`.
void PlaceFault(VirtualWorld* world, Step step, Fault fault) {
  world->before_action = [world, step, fault, done = false](
                             std::size_t entry,
                             const EntryAction& action) mutable {
    if (done || entry != 0 || !IsStep(step, action)) return true;
    done = true;
    switch (fault) {
      case Fault::kKill:
        world->Kill(0);
        return false;
      case Fault::kKillAfterSending:
        world->At(Duration(1), [world] { world->Kill(0); });
        return true;
      case Fault::kFreeze:
        // The action goes out when the process wakes, as from a thread that
        // was about to send it.
        world->Freeze(0);
        world->At(std::chrono::seconds(20), [world, action] {
          world->Thaw(0);
          world->CarryOut(0, action);
        });
        return false;
    }
    return true;
  };
}

TEST(AtMostOnce, AFaultAtEachStepAndAResendElsewhere) {
  for (const Step step : kSteps) {
    for (const Fault fault : kFaults) {
      for (const Duration resend_after :
           {Duration(0), Duration(std::chrono::milliseconds(3)),
            Duration(std::chrono::seconds(1)),
            Duration(std::chrono::seconds(30))}) {
        const auto world = MakeWorld(7);
        PlaceFault(world.get(), step, fault);
        world->Arrive(0, MakeOrder(kCustomer, kKey));
        world->At(resend_after, [&] {
          world->Arrive(1, MakeOrder(kCustomer, kKey));
          world->Arrive(2, MakeOrder(kCustomer, kKey));
        });
        world->RunFor(std::chrono::seconds(60));
        CheckWorld(*world,
                   "step " + std::to_string(static_cast<int>(step)) +
                       " fault " + std::to_string(static_cast<int>(fault)) +
                       " resend after " + std::to_string(resend_after.count()));
        EXPECT_GE(world->answers.size(), 2U);
      }
    }
  }
}

// The check itself must be able to fail: a system that takes an unreachable
// holder for dead runs the work twice.
TEST(AtMostOnce, TheCheckFindsANaiveTakeover) {
  const auto world = MakeWorld(7);
  world->naive_takeover = true;
  // The holder is frozen after it was granted its claim and wakes to send.
  PlaceFault(world.get(), Step::kDispatch, Fault::kFreeze);
  world->Arrive(0, MakeOrder(kCustomer, kKey));
  world->At(std::chrono::seconds(5),
            [&] { world->Arrive(1, MakeOrder(kCustomer, kKey)); });
  world->RunFor(std::chrono::seconds(40));
  EXPECT_EQ(world->ExecutionsOf(kKey), 2U);
}

// Draws one schedule of faults and resends from a seed.
void RunSchedule(std::uint64_t seed) {
  const auto world = MakeWorld(seed);
  std::mt19937_64 random(seed * 31 + 1);
  const auto chance = [&random](double p) {
    return std::uniform_real_distribution<>(0, 1)(random) < p;
  };
  const auto time = [&random](int milliseconds) {
    return Duration(std::chrono::microseconds(
        random() % (static_cast<std::uint64_t>(milliseconds) * 1000)));
  };
  world->kv.lose_answer = chance(0.5) ? 0.4 : 0;
  world->kv.stale_read = chance(0.5) ? 0.5 : 0;
  world->kv.latency = chance(0.2) ? time(900) : time(5);
  if (chance(0.5)) {
    PlaceFault(world.get(), kSteps[random() % 4], kFaults[random() % 3]);
  }
  if (chance(0.4)) {
    world->At(time(200), [&] { world->kv.down = true; });
    world->At(std::chrono::seconds(3) + time(9000),
              [&] { world->kv.down = false; });
  }
  if (chance(0.4)) {
    const std::pair<std::string, std::string> cut =
        chance(0.5) ? std::pair("domain-a", "domain-b")
                    : std::pair("domain-a", "kv");
    world->At(time(200), [&, cut] { world->cuts.insert(cut); });
    world->At(std::chrono::seconds(5) + time(9000),
              [&, cut] { world->cuts.erase(cut); });
  }
  if (chance(0.3)) world->At(time(300), [&] { world->KillUpstream(0); });
  for (int i = 0; i < 8; ++i) {
    const std::size_t entry = random() % 3;
    const std::string key = chance(0.7) ? kKey : "order-5";
    const std::string body = chance(0.9) ? "body" : "other";
    world->At(i < 3 ? time(100) : time(20'000), [&, entry, key, body] {
      if (!world->entries[entry].alive) return;
      world->Arrive(entry, MakeOrder(kCustomer, key, body));
    });
  }
  world->RunFor(std::chrono::seconds(90));
  CheckWorld(*world, "seed " + std::to_string(seed));
}

TEST(AtMostOnce, ThousandsOfSchedules) {
  for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
    RunSchedule(seed);
    if (HasFailure()) return;
  }
}

TEST(AtMostOnce, WhenTheKeyValueServiceIsDown) {
  const auto world = MakeWorld(3);
  world->kv.down = true;
  // The request is refused as not run, with when to come back.
  const RequestId id = world->Arrive(0, MakeOrder(kCustomer, kKey));
  world->RunFor(std::chrono::seconds(6));
  const auto answers = world->AnswersTo(id);
  ASSERT_EQ(answers.size(), 1U);
  const auto* not_run = std::get_if<NotRun>(&*answers[0].outcome);
  ASSERT_NE(not_run, nullptr);
  EXPECT_EQ(not_run->http_status, 503);
  EXPECT_GT(not_run->retry_after.count(), 0);
  EXPECT_EQ(world->ExecutionsOf(kKey), 0U);
  // Once the service is back, the resend runs, through any entry.
  world->kv.down = false;
  const RequestId again = world->Arrive(1, MakeOrder(kCustomer, kKey));
  world->RunFor(std::chrono::seconds(5));
  ASSERT_EQ(world->AnswersTo(again).size(), 1U);
  EXPECT_TRUE(
      std::holds_alternative<Completed>(*world->AnswersTo(again)[0].outcome));
  EXPECT_EQ(world->ExecutionsOf(kKey), 1U);
}

TEST(AtMostOnce, AnUpstreamThatDiesBeforeItAnswers) {
  const auto world = MakeWorld(3);
  const RequestId id = world->Arrive(0, MakeOrder(kCustomer, kKey));
  world->RunFor(std::chrono::milliseconds(20));
  ASSERT_EQ(world->ExecutionsOf(kKey), 1U);
  for (std::size_t u = 0; u < world->upstreams.size(); ++u) {
    if (world->upstreams[u].executions > 0) world->KillUpstream(u);
  }
  world->RunFor(std::chrono::seconds(5));
  // The outcome is unknown, and stays so for a resend through another entry.
  EXPECT_TRUE(std::holds_alternative<UnknownOutcome>(
      *world->AnswersTo(id).at(0).outcome));
  const RequestId again = world->Arrive(2, MakeOrder(kCustomer, kKey));
  world->RunFor(std::chrono::seconds(5));
  EXPECT_TRUE(std::holds_alternative<UnknownOutcome>(
      *world->AnswersTo(again).at(0).outcome));
  EXPECT_EQ(world->ExecutionsOf(kKey), 1U);
}

TEST(AtMostOnce, KeysThatCannotBeTaken) {
  const auto world = MakeWorld(3);
  const auto status = [&](const RequestSpec& spec) {
    const RequestId id = world->Arrive(0, spec);
    world->RunFor(std::chrono::seconds(1));
    const auto answers = world->AnswersTo(id);
    const auto* not_run = std::get_if<NotRun>(&*answers.at(0).outcome);
    return not_run == nullptr ? 0 : not_run->http_status;
  };
  // No key at all.
  EXPECT_EQ(status(MakeOrder(kCustomer, "")), 400);
  // A key used before with another body.
  EXPECT_EQ(status(MakeOrder(kCustomer, kKey, "first")), 0);
  EXPECT_EQ(status(MakeOrder(kCustomer, kKey, "second")), 422);
  EXPECT_EQ(world->ExecutionsOf(kKey), 1U);
  // On a route that takes dated keys only: another form, and one too old.
  Tables tables = MakeTables({kCustomer});
  tables.version = 2;
  tables.routes[3].key_format = KeyFormat::kUuidV7;
  tables.routes[3].key_retention = std::chrono::hours(1);
  world->Submit(0, event::TablesAdopted{std::make_shared<Tables>(tables)});
  EXPECT_EQ(status(MakeOrder(kCustomer, "order-6")), 400);
  world->RunFor(std::chrono::hours(2));
  EXPECT_EQ(
      status(MakeOrder(kCustomer, "00000000-0001-7000-8000-000000000000")),
      422);
}

TEST(ClaimRecord, SurvivesItsJson) {
  ClaimRecord record;
  record.state = ClaimRecord::State::kCompleted;
  record.holder = {{"a.b", 7}, 9};
  record.body_sha256 = "abc";
  record.http_status = 201;
  record.content_type = "application/json";
  record.answer = "{\"n\":1}";
  record.answer_kept = true;
  const Result<ClaimRecord> read = ParseClaimRecord(ToJson(record));
  ASSERT_TRUE(Ok(read));
  EXPECT_EQ(Value(read), record);
  EXPECT_FALSE(Ok(ParseClaimRecord("{\"state\":\"odd\"}")));
  EXPECT_FALSE(Ok(ParseClaimRecord("[]")));
}

}  // namespace
}  // namespace pollenledge
