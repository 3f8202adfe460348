#include <gtest/gtest.h>

#include "pollenledge/request/failover_planner.h"
#include "scenarios.h"

namespace pollenledge {
namespace {

using testing::MakeModelRequest;
using testing::MakeTables;
using testing::ReclaimOptions;
using testing::ReclaimResult;
using testing::RunReclaims;
using testing::VirtualWorld;

class Survive : public ::testing::TestWithParam<std::uint64_t> {};

// The platform reclaims one instance, then a whole failure domain, then the
// next domain just after the first domain's requests failed over to it. Every
// accepted request must complete.
TEST_P(Survive, EveryAcceptedRequestCompletesThroughWavesOfReclaims) {
  for (const int notice_ms : {600, 2000, 10'000}) {
    ReclaimOptions options;
    options.seed = GetParam();
    options.notice_period = std::chrono::milliseconds(notice_ms);
    const ReclaimResult result = RunReclaims(options);
    EXPECT_EQ(result.completed, result.sent - result.rejected)
        << "notice of " << notice_ms << " ms";
    options.restart_from_scratch = true;
    const ReclaimResult baseline = RunReclaims(options);
    EXPECT_LE(result.recomputed_tokens, baseline.recomputed_tokens);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Survive, ::testing::Values(1, 2, 3));

std::unique_ptr<VirtualWorld> MakeWorld() {
  auto world = std::make_unique<VirtualWorld>(11);
  world->AddEntry("a", "domain-a");
  world->AddEntry("b", "domain-b");
  for (const char* domain : {"domain-a", "domain-b", "domain-c"}) {
    world->AddUpstream("models", domain, 300'000, 8);
  }
  world->Start(MakeTables({"c"}));
  world->RunFor(std::chrono::seconds(3));
  return world;
}

// An entry that is reclaimed within 3 s cannot finish a long stream itself and
// must hand it off to a peer.
TEST(HandOver, AnEntryWithThreeSecondsOfNoticeHandsItsStreamToAPeer) {
  const auto world = MakeWorld();
  const RequestId id =
      world->SubmitRequest(0, MakeModelRequest("c", Rank::kStandard, 100, 400));
  world->RunFor(std::chrono::seconds(1));
  world->Submit(0, event::DrainRequested{std::chrono::seconds(3)});
  world->RunFor(std::chrono::seconds(3));
  world->KillEntry(0);
  world->RunFor(std::chrono::seconds(20));
  const auto answers = world->ResponsesTo(id);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].entry, 1U);
  EXPECT_TRUE(std::holds_alternative<Completed>(*answers[0].outcome));
  EXPECT_EQ(world->entries[0].node->stats().handed_over_requests, 1U);
}

// A draining entry that stops too early would truncate its running streams.
TEST(Drain, CompletesOnlyAfterEveryStreamHasCompleted) {
  const auto world = MakeWorld();
  std::vector<RequestId> ids;
  ids.reserve(6);
  for (int i = 0; i < 6; ++i) {
    ids.push_back(world->SubmitRequest(
        0, MakeModelRequest("c", Rank::kStandard, 100, 300)));
  }
  world->RunFor(std::chrono::seconds(1));
  world->Submit(0, event::DrainRequested{std::nullopt});
  EXPECT_FALSE(world->entries[0].node->ready());
  // New requests are rejected after the grace period, with a retry delay.
  world->RunFor(std::chrono::seconds(2));
  EXPECT_TRUE(world->entries[0].alive);
  const RequestId late_id =
      world->SubmitRequest(0, MakeModelRequest("c", Rank::kUrgent, 10, 10));
  const auto rejected = world->ResponsesTo(late_id);
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_GT(std::get<NotRun>(*rejected[0].outcome).retry_after.count(), 0);
  world->RunFor(std::chrono::seconds(20));
  EXPECT_FALSE(world->entries[0].alive);
  for (const RequestId& id : ids) {
    ASSERT_EQ(world->ResponsesTo(id).size(), 1U);
    EXPECT_TRUE(
        std::holds_alternative<Completed>(*world->ResponsesTo(id)[0].outcome));
  }
}

// The platform's list may show a leaving instance as live for a long time. Once
// one entry has received the notice, no entry may send it further requests.
TEST(Drain, ALeavingUpstreamGetsNoRequestsEvenIfTheListShowsItLive) {
  const auto world = MakeWorld();
  const UpstreamId leaving = world->upstreams[1].info.id;
  // Only entry b receives the notice, and the list always shows it as live.
  world->Submit(1,
                event::UpstreamNoticeReceived{leaving, UpstreamState::kLeaving,
                                              std::nullopt, "notice"});
  const TimePoint notice_time = world->now().monotonic;
  for (int i = 0; i < 100; ++i) {
    world->SubmitRequest(static_cast<std::size_t>(i % 2),
                         MakeModelRequest("c", Rank::kUrgent, 50, 20));
    world->RunFor(std::chrono::milliseconds(200));
    world->PublishUpstreams();
  }
  for (const auto& execution : world->executions) {
    if (execution.upstream == leaving.name) {
      EXPECT_LE(execution.at, notice_time + std::chrono::seconds(3));
    }
  }
  // The same name with another incarnation is a different instance.
  world->upstreams[1].info.id.incarnation = 2;
  world->PublishUpstreams();
  EXPECT_EQ(world->entries[0].node->upstreams().StateOf({leaving.name, 2}),
            UpstreamState::kLive);
  EXPECT_EQ(world->entries[0].node->upstreams().StateOf(leaving),
            UpstreamState::kLeaving);
}

TEST(Drain, ANoticeReceivedBeforeTheUpstreamIsListedIsKept) {
  UpstreamTable table;
  const TimePoint now(std::chrono::seconds(1));
  EXPECT_TRUE(table.AdvanceState({"u", 1}, UpstreamState::kLeaving, now));
  EXPECT_FALSE(table.AdvanceState({"u", 1}, UpstreamState::kLeaving, now));
  table.SetList({{{"u", 1}, "u", "pool", "d", "l4", true, 1, 1}}, now);
  EXPECT_EQ(table.StateOf({"u", 1}), UpstreamState::kLeaving);
  EXPECT_EQ(table.At(0).state, UpstreamState::kLeaving);
}

// Events of an attempt that is no longer current can arrive late or twice. They
// must not affect the response of the request.
TEST(WholeAnswer, LateAndDuplicateEventsAreDroppedAndCounted) {
  const auto world = MakeWorld();
  const RequestId id =
      world->SubmitRequest(0, MakeModelRequest("c", Rank::kStandard, 100, 100));
  world->RunFor(std::chrono::milliseconds(500));
  event::AttemptFinished late_event;
  late_event.id = id;
  late_event.attempt = 7;
  late_event.result = AttemptOutcome::kCompleted;
  world->Submit(0, late_event);
  world->Submit(0, event::FirstTokenReceived{id, 0});
  EXPECT_TRUE(world->ResponsesTo(id).empty());
  EXPECT_EQ(world->entries[0].node->stats().stale_attempt_events, 2U);
  // The first token of an attempt that was interrupted in the meantime.
  late_event.attempt = 1;
  late_event.result = AttemptOutcome::kInterrupted;
  for (auto& upstream : world->upstreams) {
    world->Submit(0, event::UpstreamNoticeReceived{upstream.info.id,
                                                   UpstreamState::kLeaving,
                                                   std::nullopt, "notice"});
  }
  world->Submit(0, late_event);
  world->Submit(0, event::FirstTokenReceived{id, 1});
  EXPECT_EQ(world->entries[0].node->stats().stale_attempt_events, 3U);
  for (auto& upstream : world->upstreams) ++upstream.info.id.incarnation;
  world->PublishUpstreams();
  world->RunFor(std::chrono::seconds(10));
  EXPECT_EQ(world->ResponsesTo(id).size(), 1U);
}

FailoverStream MakeStream(std::uint64_t sequence, std::int64_t tokens,
                          std::int64_t remaining) {
  return {{{"n", 1}, sequence},
          tokens,
          remaining,
          std::chrono::milliseconds(20),
          Rank::kStandard};
}

TEST(FailoverPlanner, SpendsTheRemainingTimeOnTheLargestCaches) {
  FailoverCosts costs;
  costs.network_bytes_per_s = 1e9;
  costs.kv_bytes_per_token = 1e5;
  const auto kind_of = [](const std::vector<StreamFailover>& moves,
                          std::uint64_t sequence) {
    for (const StreamFailover& move : moves) {
      if (move.id.sequence == sequence) return move.kind;
    }
    return FailoverKind::kFinishInPlace;
  };
  const std::vector<FailoverStream> streams = {
      MakeStream(1, 10'000, 1000), MakeStream(2, 4'000, 1000),
      MakeStream(3, 8'000, 1000), MakeStream(4, 500, 5)};
  // With 2 s of notice and a margin of 500 ms, the transfers of 1 s and 0.8 s
  // do not both fit. The short stream finishes in time.
  const auto moves = PlanFailovers(streams, std::chrono::seconds(2), costs);
  EXPECT_EQ(kind_of(moves, 1), FailoverKind::kTransferCache);
  EXPECT_EQ(kind_of(moves, 2), FailoverKind::kTransferCache);
  EXPECT_EQ(kind_of(moves, 3), FailoverKind::kRecompute);
  EXPECT_EQ(kind_of(moves, 4), FailoverKind::kFinishInPlace);
  // If the remaining time is unknown, no cache is transferred and no stream
  // finishes in place.
  for (const StreamFailover& move :
       PlanFailovers(streams, std::nullopt, costs)) {
    EXPECT_EQ(move.kind, FailoverKind::kRecompute);
  }
}

}  // namespace
}  // namespace pollenledge
