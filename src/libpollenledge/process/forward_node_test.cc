#include "pollenledge/process/forward_node.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

namespace action = forward_action;
namespace event = forward_event;

constexpr Duration kFreshness = std::chrono::seconds(5);

ForwardingRoute Route(const std::string& name, RouteKind kind) {
  ForwardingRoute route;
  route.name = name;
  route.host = "h";
  route.prefix = "/" + name + "/";
  route.kind = kind;
  route.services = {{"s", 1}};
  route.timeout = std::chrono::seconds(10);
  route.target = std::chrono::milliseconds(100);
  route.event_gap_target = std::chrono::milliseconds(300);
  route.max_attempts = kind == RouteKind::kNonIdempotent ? 1 : 2;
  return route;
}

ForwardingTables MakeTables(std::uint64_t version) {
  ForwardingTables tables;
  tables.version = version;
  tables.routes = {Route("read", RouteKind::kIdempotent),
                   Route("order", RouteKind::kNonIdempotent),
                   Route("chat", RouteKind::kStreaming),
                   Route("draft", RouteKind::kStreaming)};
  tables.routes[2].max_attempts = 1;
  tables.routes[3].resumable = true;
  tables.services = {{.name = "s"}};
  KeyedCustomer customer;
  customer.name = "c";
  customer.api_keys = {"key"};
  tables.customers = {customer};
  return tables;
}

/// One node, driven by hand.
class ForwardNodeTest : public ::testing::Test {
 protected:
  ForwardNodeTest() : node_(Options()) {
    ReadTables(MakeTables(1));
    event::UpstreamsListed listed;
    for (const char* name : {"u1", "u2", "u3"}) {
      ForwardUpstreamInfo upstream;
      upstream.id.name = name;
      upstream.address = std::string("10.0.0.1:") + name[1];
      upstream.service = "s";
      upstream.slots = 20;
      listed.upstreams.push_back(upstream);
    }
    Tell(listed);
  }

  static ForwardOptions Options() {
    ForwardOptions options;
    options.self.id = {"n", 1};
    options.key_freshness = kFreshness;
    options.retry_slack = 100;
    options.drain_time = std::chrono::milliseconds(7600);
    return options;
  }

  void ReadTables(ForwardingTables tables) {
    Tell(event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
  }

  void Tell(const ForwardEvent& what) {
    actions_ = node_.Handle(what, {now_, WallTime()});
  }

  void Arrive(ForwardId id, const std::string& route,
              const std::string& key = "key",
              std::optional<Duration> time_left = std::nullopt) {
    ForwardSpec spec;
    spec.time_left = time_left;
    spec.trace_id = std::to_string(id);
    spec.host = "h";
    spec.path = "/" + route + "/x";
    spec.api_key = key;
    Tell(event::Arrived{id, spec});
  }

  void End(ForwardId id, ForwardEnd end, int status = 0) {
    Tell(event::AttemptEnded{id, end, status, std::nullopt});
  }

  /// Lets time pass with a tick at the end.
  void Pass(Duration time) {
    now_ += time;
    Tell(event::Ticked{});
  }

  template <typename Action>
  const Action* Find() const {
    for (const ForwardAction& one : actions_) {
      if (const auto* found = std::get_if<Action>(&one)) return found;
    }
    return nullptr;
  }

  /// Gives the node the retries that many first attempts earn.
  void EarnRetries() {
    for (ForwardId id = 1000; id < 1050; ++id) {
      Arrive(id, "read");
      End(id, ForwardEnd::kCompleted, 200);
    }
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
  std::vector<ForwardAction> actions_;
};

TEST_F(ForwardNodeTest, ARequestGoesToAnUpstreamAndItsAnswerBack) {
  Arrive(1, "order");
  const auto* send = Find<action::SendAttempt>();
  ASSERT_NE(send, nullptr);
  EXPECT_EQ(send->customer, "c");
  EXPECT_EQ(send->deadline, now_ + std::chrono::seconds(10));
  EXPECT_FALSE(send->reuse_connection);
  End(1, ForwardEnd::kCompleted, 200);
  EXPECT_NE(Find<action::Deliver>(), nullptr);
  EXPECT_EQ(node_.active_requests(), 0U);
}

TEST_F(ForwardNodeTest, WhatMayNotRunIsRefusedForItsReason) {
  Arrive(1, "nowhere");
  EXPECT_EQ(Find<action::Refuse>()->not_run.http_status, 404);
  Arrive(2, "read", "stranger");
  EXPECT_EQ(Find<action::Refuse>()->not_run.http_status, 401);
}

// Guards against idle connections that upstreams drop without notice and that
// look like crashes under the same request again and again.
TEST_F(ForwardNodeTest, ASuspectedRequestGoesOutOnANewConnection) {
  EarnRetries();
  // The answers to those no longer vouch for the same request.
  now_ += CrashSuspects::kVouchTime;
  ReadTables(MakeTables(1));
  now_ += std::chrono::milliseconds(1);
  Arrive(1, "read");
  EXPECT_TRUE(Find<action::SendAttempt>()->reuse_connection);
  End(1, ForwardEnd::kBroken);
  ASSERT_NE(Find<action::SendAttempt>(), nullptr);
  EXPECT_FALSE(Find<action::SendAttempt>()->reuse_connection);
}

TEST_F(ForwardNodeTest, ANonIdempotentRequestIsNotSentAgainOnceItMayHaveRun) {
  EarnRetries();
  for (const ForwardEnd end : {ForwardEnd::kBroken, ForwardEnd::kFailed}) {
    Arrive(1, "order");
    End(1, end, end == ForwardEnd::kFailed ? 500 : 0);
    EXPECT_EQ(Find<action::SendAttempt>(), nullptr);
    EXPECT_EQ(Find<action::Refuse>(), nullptr);
  }
}

TEST_F(ForwardNodeTest, ANonIdempotentRequestThatDidNotRunGoesElsewhere) {
  EarnRetries();
  Arrive(1, "order");
  const std::string first = Find<action::SendAttempt>()->upstream.name;
  End(1, ForwardEnd::kRefused, 503);
  ASSERT_NE(Find<action::SendAttempt>(), nullptr);
  EXPECT_NE(Find<action::SendAttempt>()->upstream.name, first);
  // Refused again: the caller is told that it did not run, and when to come
  // back.
  End(1, ForwardEnd::kRefused, 503);
  ASSERT_NE(Find<action::Refuse>(), nullptr);
  EXPECT_EQ(Find<action::Refuse>()->not_run.http_status, 503);
  EXPECT_GT(Find<action::Refuse>()->not_run.retry_after, Duration(0));
}

TEST_F(ForwardNodeTest, ARefusalAfterARunIsNotCalledNotRun) {
  EarnRetries();
  Arrive(1, "read");
  End(1, ForwardEnd::kBroken);
  ASSERT_NE(Find<action::SendAttempt>(), nullptr);
  // Two upstreams say that they did not run it; the first may have.
  End(1, ForwardEnd::kRefused, 503);
  End(1, ForwardEnd::kRefused, 503);
  EXPECT_EQ(Find<action::Refuse>(), nullptr);
  ASSERT_NE(Find<action::Fail>(), nullptr);
  EXPECT_EQ(Find<action::Fail>()->status, 502);
}

TEST_F(ForwardNodeTest, AnIdempotentRequestIsTriedOnceMoreWithinTheBudget) {
  Arrive(1, "read");
  End(1, ForwardEnd::kFailed, 500);
  // No retry was earned yet: the upstream's own failure is passed on.
  EXPECT_EQ(Find<action::SendAttempt>(), nullptr);
  EXPECT_NE(Find<action::Deliver>(), nullptr);
  EarnRetries();
  Arrive(2, "read");
  End(2, ForwardEnd::kFailed, 500);
  EXPECT_NE(Find<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, ASilentUpstreamIsLeftForAnother) {
  EarnRetries();
  Arrive(1, "read");
  const std::string first = Find<action::SendAttempt>()->upstream.name;
  Pass(std::chrono::milliseconds(260));
  EXPECT_NE(Find<action::CancelAttempt>(), nullptr);
  ASSERT_NE(Find<action::SendAttempt>(), nullptr);
  EXPECT_NE(Find<action::SendAttempt>()->upstream.name, first);
}

TEST_F(ForwardNodeTest, AResumableStreamGoesOnWhereItStopped) {
  EarnRetries();
  Arrive(1, "draft");
  Tell(event::FirstEvent{1});
  Tell(event::EventsPassed{1, 17});
  End(1, ForwardEnd::kBroken);
  ASSERT_NE(Find<action::SendAttempt>(), nullptr);
  EXPECT_EQ(Find<action::SendAttempt>()->last_event_id, 17);
}

TEST_F(ForwardNodeTest, AStreamThatMayNotBeResumedIsBrokenOff) {
  EarnRetries();
  Arrive(1, "chat");
  Tell(event::FirstEvent{1});
  End(1, ForwardEnd::kBroken);
  EXPECT_EQ(Find<action::SendAttempt>(), nullptr);
  EXPECT_NE(Find<action::Fail>(), nullptr);
}

TEST_F(ForwardNodeTest, ARequestHasItsAnswerAtItsTimeout) {
  Arrive(1, "order");
  Pass(std::chrono::seconds(10));
  EXPECT_NE(Find<action::CancelAttempt>(), nullptr);
  ASSERT_NE(Find<action::Fail>(), nullptr);
  EXPECT_EQ(Find<action::Fail>()->status, 504);
}

TEST_F(ForwardNodeTest, KeysNeedAFreshProof) {
  Pass(kFreshness);
  Arrive(1, "read");
  EXPECT_EQ(Find<action::Refuse>()->not_run.type, "stale-configuration");
  EXPECT_FALSE(node_.Ready(now_));
  // The same version, read again.
  ReadTables(MakeTables(1));
  Arrive(2, "read");
  EXPECT_NE(Find<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, APeersProofCountsFromTheTimeOfTheQuestion) {
  const auto answer = [this](std::uint64_t version, Duration asked_ago,
                             Duration age) {
    Heartbeat heartbeat;
    heartbeat.records.resize(1);
    heartbeat.records[0].id = {"collector", 1};
    heartbeat.records[0].tables_version = version;
    heartbeat.asked_at = now_ - asked_ago;
    heartbeat.proof_age = age;
    Tell(event::HeartbeatReceived{heartbeat});
  };
  Pass(kFreshness);
  ASSERT_FALSE(node_.Ready(now_));
  {
    SCOPED_TRACE("a proof of other tables proves nothing");
    answer(2, Duration(0), Duration(0));
    EXPECT_FALSE(node_.Ready(now_));
  }
  {
    SCOPED_TRACE(
        "an answer that took long on the way is as old as its question");
    answer(1, kFreshness, Duration(0));
    EXPECT_FALSE(node_.Ready(now_));
  }
  {
    SCOPED_TRACE("the peer's own proof was old");
    answer(1, Duration(0), kFreshness);
    EXPECT_FALSE(node_.Ready(now_));
  }
  {
    SCOPED_TRACE("a fresh one counts");
    answer(1, std::chrono::milliseconds(200), std::chrono::milliseconds(800));
    EXPECT_TRUE(node_.Ready(now_));
    EXPECT_EQ(node_.TablesAge(now_), std::chrono::seconds(1));
  }
  {
    SCOPED_TRACE("an older one does not take its place");
    answer(1, std::chrono::seconds(2), Duration(0));
    EXPECT_EQ(node_.TablesAge(now_), std::chrono::seconds(1));
  }
}

TEST_F(ForwardNodeTest, AReadIsSavedWhileAProofIsFresh) {
  constexpr Duration kPeriod = std::chrono::milliseconds(1500);
  EXPECT_FALSE(node_.NeedsTablesRead(kPeriod, now_ + kPeriod / 2));
  EXPECT_TRUE(node_.NeedsTablesRead(kPeriod, now_ + kPeriod));
}

TEST_F(ForwardNodeTest, AQueuedRequestIsNotSentOnAProofThatHasAged) {
  // All slots are taken.
  for (ForwardId id = 1; id <= 15; ++id) Arrive(id, "order");
  Pass(std::chrono::milliseconds(4590));
  Arrive(100, "order");
  ASSERT_EQ(Find<action::SendAttempt>(), nullptr);
  now_ += std::chrono::milliseconds(30);
  End(1, ForwardEnd::kCompleted, 200);
  EXPECT_EQ(Find<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, AnOlderVersionNeverComesBack) {
  ForwardingTables newer = MakeTables(5);
  newer.routes.pop_back();
  ReadTables(newer);
  ReadTables(MakeTables(4));
  EXPECT_EQ(node_.index()->tables().version, 5U);
}

TEST_F(ForwardNodeTest, ALeavingUpstreamGetsNoMoreWork) {
  event::UpstreamsListed listed;
  for (const auto& [name, upstream] : node_.upstreams().all()) {
    listed.upstreams.push_back(upstream.info);
  }
  listed.upstreams[0].leaving = true;
  listed.upstreams.pop_back();  // u3 is gone from the list.
  Tell(listed);
  for (ForwardId id = 1; id <= 4; ++id) {
    Arrive(id, "read");
    EXPECT_EQ(Find<action::SendAttempt>()->upstream.name, "u2");
  }
}

TEST_F(ForwardNodeTest, ACallerThatLeavesStopsItsAttempt) {
  Arrive(1, "read");
  Tell(event::CallerLeft{1});
  EXPECT_NE(Find<action::CancelAttempt>(), nullptr);
  EXPECT_EQ(node_.active_requests(), 0U);
}

TEST_F(ForwardNodeTest, ADrainingNodeIsNotReadyButServesWhatComes) {
  EXPECT_TRUE(node_.Ready(now_));
  Tell(event::DrainStarted{});
  EXPECT_FALSE(node_.Ready(now_));
  Arrive(1, "read");
  EXPECT_NE(Find<action::SendAttempt>(), nullptr);
}

// Guards against streams that a stopping node takes in its last seconds and
// cuts at the end of its grace (LOST on the grown Cymorth, hunt-7f96-3).
TEST_F(ForwardNodeTest, ADrainingNodeTakesNothingThatItWouldCut) {
  Tell(event::DrainStarted{});
  {
    SCOPED_TRACE("while the balancer still sends callers, all work is taken");
    Pass(std::chrono::milliseconds(1900));
    Arrive(1, "draft");
    EXPECT_NE(Find<action::SendAttempt>(), nullptr);
  }
  {
    SCOPED_TRACE("later a stream that may outlast the node goes elsewhere");
    Pass(std::chrono::milliseconds(1200));
    Arrive(2, "draft");
    EXPECT_EQ(Find<action::SendAttempt>(), nullptr);
    ASSERT_NE(Find<action::Refuse>(), nullptr);
    const NotRun& not_run = Find<action::Refuse>()->not_run;
    EXPECT_EQ(not_run.http_status, 503);
    EXPECT_EQ(not_run.type, "stopping");
    EXPECT_GT(not_run.retry_after, Duration(0));
    EXPECT_LT(not_run.retry_after, std::chrono::milliseconds(200));
  }
  {
    SCOPED_TRACE("what must end in time is still taken");
    Arrive(3, "read", "key", std::chrono::seconds(4));
    EXPECT_NE(Find<action::SendAttempt>(), nullptr);
  }
}

}  // namespace
}  // namespace pollenledge
