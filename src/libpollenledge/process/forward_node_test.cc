#include "pollenledge/process/forward_node.h"

#include <gtest/gtest.h>

#include <ostream>
#include <set>

namespace pollenledge {
namespace {

namespace action = forward_action;
namespace event = forward_event;

constexpr Duration kKeyFreshness = std::chrono::seconds(5);

ForwardingRoute Route(const std::string& name, RouteKind kind) {
  ForwardingRoute route;
  route.name = name;
  route.host = "h";
  route.path_prefix = "/" + name + "/";
  route.kind = kind;
  route.services = {{"s", 1}};
  route.timeout = std::chrono::seconds(10);
  route.latency_target = std::chrono::milliseconds(100);
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
  ForwardingCustomer customer;
  customer.name = "c";
  customer.api_keys = {"key"};
  tables.access = KnownCustomers{{customer}};
  return tables;
}

/// Drives one node with events and a manual clock.
class ForwardNodeTest : public ::testing::Test {
 protected:
  ForwardNodeTest() : node_(Options()) {
    ReadTables(MakeTables(1));
    Submit(event::UpstreamsListed{ListWithout(""), 0, {}});
  }

  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.key_freshness = kKeyFreshness;
    options.retry_slack = 100;
    options.drain_timeout = std::chrono::milliseconds(7600);
    return options;
  }

  void ReadTables(ForwardingTables tables) {
    Submit(event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
  }

  /// Returns the list of upstreams without `name`, as the store has it.
  static std::vector<ForwardUpstreamInfo> ListWithout(const std::string& name) {
    std::vector<ForwardUpstreamInfo> list;
    for (const char* listed : {"u1", "u2", "u3"}) {
      if (listed == name) continue;
      ForwardUpstreamInfo upstream;
      upstream.id.name = listed;
      upstream.address = std::string("10.0.0.1:") + listed[1];
      upstream.service = "s";
      upstream.slots = 20;
      list.push_back(upstream);
    }
    return list;
  }

  void Submit(const ForwardEvent& event) {
    actions_ = node_.Handle(event, {now_, WallTime()});
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
    Submit(event::RequestArrived{id, spec});
  }

  void EndAttempt(ForwardId id, ForwardOutcome end, int status = 0) {
    Submit(event::AttemptEnded{id, end, status, std::nullopt});
  }

  /// Advances the clock and then submits a tick.
  void AdvanceTime(Duration time) {
    now_ += time;
    Submit(event::Ticked{});
  }

  template <typename Action>
  const Action* FindAction() const {
    for (const ForwardAction& candidate : actions_) {
      if (const auto* found = std::get_if<Action>(&candidate)) return found;
    }
    return nullptr;
  }

  /// Fills the retry budget by completing 50 first attempts.
  void FillRetryBudget() {
    for (ForwardId id = 1000; id < 1050; ++id) {
      Arrive(id, "read");
      EndAttempt(id, ForwardOutcome::kCompleted, 200);
    }
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
  std::vector<ForwardAction> actions_;
};

TEST_F(ForwardNodeTest, CompletedAttemptDeliversTheResponse) {
  Arrive(1, "order");
  const auto* send = FindAction<action::SendAttempt>();
  ASSERT_NE(send, nullptr);
  EXPECT_EQ(send->customer, "c");
  EXPECT_EQ(send->deadline, now_ + std::chrono::seconds(10));
  EXPECT_EQ(send->connection_reuse, ConnectionReuse::kRecentlyUsed);
  EndAttempt(1, ForwardOutcome::kCompleted, 200);
  EXPECT_NE(FindAction<action::DeliverResponse>(), nullptr);
  EXPECT_EQ(node_.active_requests(), 0U);
}

TEST_F(ForwardNodeTest, RejectsUnknownRouteWith404AndUnknownKeyWith401) {
  Arrive(1, "nowhere");
  EXPECT_EQ(FindAction<action::Reject>()->not_run.http_status, 404);
  Arrive(2, "read", "stranger");
  EXPECT_EQ(FindAction<action::Reject>()->not_run.http_status, 401);
}

// Guards against a suspected request being sent on a reused idle connection.
// Upstreams may close idle connections without notice, and each such loss would
// be attributed to the request as another crash.
TEST_F(ForwardNodeTest, SuspectedRequestUsesANewConnection) {
  FillRetryBudget();
  // Let the exoneration by those completed requests expire.
  now_ += CrashSuspects::kVouchTime;
  ReadTables(MakeTables(1));
  now_ += std::chrono::milliseconds(1);
  Arrive(1, "read");
  EXPECT_EQ(FindAction<action::SendAttempt>()->connection_reuse,
            ConnectionReuse::kAny);
  EndAttempt(1, ForwardOutcome::kConnectionLost);
  ASSERT_NE(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_EQ(FindAction<action::SendAttempt>()->connection_reuse,
            ConnectionReuse::kRecentlyUsed);
}

TEST_F(ForwardNodeTest, NonIdempotentRequestThatMayHaveRunIsNotRetried) {
  FillRetryBudget();
  for (const ForwardOutcome end :
       {ForwardOutcome::kConnectionLost, ForwardOutcome::kFailed}) {
    Arrive(1, "order");
    EndAttempt(1, end, end == ForwardOutcome::kFailed ? 500 : 0);
    EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
    EXPECT_EQ(FindAction<action::Reject>(), nullptr);
  }
}

TEST_F(ForwardNodeTest, NonIdempotentRequestThatDidNotRunIsRetriedElsewhere) {
  FillRetryBudget();
  Arrive(1, "order");
  const std::string first = FindAction<action::SendAttempt>()->upstream.name;
  EndAttempt(1, ForwardOutcome::kRejected, 503);
  ASSERT_NE(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_NE(FindAction<action::SendAttempt>()->upstream.name, first);
  // Rejected a second time: the caller gets a rejection with Retry-After.
  EndAttempt(1, ForwardOutcome::kRejected, 503);
  ASSERT_NE(FindAction<action::Reject>(), nullptr);
  EXPECT_EQ(FindAction<action::Reject>()->not_run.http_status, 503);
  EXPECT_GT(FindAction<action::Reject>()->not_run.retry_after, Duration(0));
}

TEST_F(ForwardNodeTest, RejectionAfterAPossibleRunFailsTheRequest) {
  FillRetryBudget();
  Arrive(1, "read");
  EndAttempt(1, ForwardOutcome::kConnectionLost);
  ASSERT_NE(FindAction<action::SendAttempt>(), nullptr);
  // Later attempts did not run, but the first attempt may have.
  EndAttempt(1, ForwardOutcome::kRejected, 503);
  EndAttempt(1, ForwardOutcome::kRejected, 503);
  EXPECT_EQ(FindAction<action::Reject>(), nullptr);
  ASSERT_NE(FindAction<action::Fail>(), nullptr);
  EXPECT_EQ(FindAction<action::Fail>()->status, 502);
}

TEST_F(ForwardNodeTest, IdempotentRequestIsRetriedOnlyWithinTheBudget) {
  Arrive(1, "read");
  EndAttempt(1, ForwardOutcome::kFailed, 500);
  // The retry budget is empty: the upstream's error response is forwarded.
  EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_NE(FindAction<action::DeliverResponse>(), nullptr);
  FillRetryBudget();
  Arrive(2, "read");
  EndAttempt(2, ForwardOutcome::kFailed, 500);
  EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, UnresponsiveUpstreamCausesARetryElsewhere) {
  FillRetryBudget();
  Arrive(1, "read");
  const std::string first = FindAction<action::SendAttempt>()->upstream.name;
  AdvanceTime(std::chrono::milliseconds(260));
  EXPECT_NE(FindAction<action::CancelAttempt>(), nullptr);
  ASSERT_NE(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_NE(FindAction<action::SendAttempt>()->upstream.name, first);
}

// Guards against a sound answer that is broken off because this process has not
// read it yet (LOST).
TEST_F(ForwardNodeTest, AnUpstreamWhoseBytesWaitUnreadIsNotUnresponsive) {
  bool is_unread = true;
  node_.SetUnreadResponseSource([&](ForwardId) { return is_unread; });
  FillRetryBudget();
  Arrive(1, "read");
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(std::chrono::milliseconds(260));
    EXPECT_EQ(FindAction<action::CancelAttempt>(), nullptr);
  }
  is_unread = false;
  AdvanceTime(std::chrono::milliseconds(260));
  EXPECT_NE(FindAction<action::CancelAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, ResumableStreamContinuesAfterTheLastEvent) {
  FillRetryBudget();
  Arrive(1, "draft");
  Submit(event::FirstEventReceived{1});
  Submit(event::EventsForwarded{1, 17});
  EndAttempt(1, ForwardOutcome::kConnectionLost);
  ASSERT_NE(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_EQ(FindAction<action::SendAttempt>()->last_event_id, 17);
}

TEST_F(ForwardNodeTest, NonResumableStreamFailsAfterConnectionLoss) {
  FillRetryBudget();
  Arrive(1, "chat");
  Submit(event::FirstEventReceived{1});
  EndAttempt(1, ForwardOutcome::kConnectionLost);
  EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
  EXPECT_NE(FindAction<action::Fail>(), nullptr);
}

TEST_F(ForwardNodeTest, RequestFailsWith504AtItsTimeout) {
  Arrive(1, "order");
  AdvanceTime(std::chrono::seconds(10));
  EXPECT_NE(FindAction<action::CancelAttempt>(), nullptr);
  ASSERT_NE(FindAction<action::Fail>(), nullptr);
  EXPECT_EQ(FindAction<action::Fail>()->status, 504);
}

TEST_F(ForwardNodeTest, RejectsKeyedRequestsUntilTheTablesAreConfirmedAgain) {
  AdvanceTime(kKeyFreshness);
  Arrive(1, "read");
  EXPECT_EQ(FindAction<action::Reject>()->not_run.problem_type,
            "stale-configuration");
  EXPECT_FALSE(node_.IsReady(now_));
  // Reading the same version again confirms it.
  ReadTables(MakeTables(1));
  Arrive(2, "read");
  EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, PeersConfirmationCountsFromTheTimeOfTheQuery) {
  const auto respond = [this](std::uint64_t version, Duration queried_ago,
                              Duration age) {
    Heartbeat heartbeat;
    heartbeat.records.resize(1);
    heartbeat.records[0].id = {"collector", 1};
    heartbeat.records[0].tables_version = version;
    heartbeat.queried_at = now_ - queried_ago;
    heartbeat.tables_confirmation_age = age;
    Submit(event::HeartbeatReceived{heartbeat});
  };
  AdvanceTime(kKeyFreshness);
  ASSERT_FALSE(node_.IsReady(now_));
  {
    SCOPED_TRACE("a confirmation of another version does not count");
    respond(2, Duration(0), Duration(0));
    EXPECT_FALSE(node_.IsReady(now_));
  }
  {
    SCOPED_TRACE("a response that was long in transit is as old as its query");
    respond(1, kKeyFreshness, Duration(0));
    EXPECT_FALSE(node_.IsReady(now_));
  }
  {
    SCOPED_TRACE("the peer's own confirmation was old");
    respond(1, Duration(0), kKeyFreshness);
    EXPECT_FALSE(node_.IsReady(now_));
  }
  {
    SCOPED_TRACE("a fresh confirmation counts");
    respond(1, std::chrono::milliseconds(200), std::chrono::milliseconds(800));
    EXPECT_TRUE(node_.IsReady(now_));
    EXPECT_EQ(node_.TablesAge(now_), std::chrono::seconds(1));
  }
  {
    SCOPED_TRACE("an older confirmation does not replace a newer one");
    respond(1, std::chrono::seconds(2), Duration(0));
    EXPECT_EQ(node_.TablesAge(now_), std::chrono::seconds(1));
  }
}

TEST_F(ForwardNodeTest, TablesReadIsSkippedWhileTheConfirmationIsFresh) {
  constexpr Duration kPeriod = std::chrono::milliseconds(1500);
  EXPECT_FALSE(node_.NeedsTablesRead(kPeriod, now_ + kPeriod / 2));
  EXPECT_TRUE(node_.NeedsTablesRead(kPeriod, now_ + kPeriod));
}

TEST_F(ForwardNodeTest, QueuedRequestIsNotSentOnceItsKeyIsStale) {
  // Fill all slots.
  for (ForwardId id = 1; id <= 15; ++id) Arrive(id, "order");
  AdvanceTime(std::chrono::milliseconds(4590));
  Arrive(100, "order");
  ASSERT_EQ(FindAction<action::SendAttempt>(), nullptr);
  now_ += std::chrono::milliseconds(30);
  EndAttempt(1, ForwardOutcome::kCompleted, 200);
  EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
}

TEST_F(ForwardNodeTest, OlderTablesVersionIsIgnored) {
  ForwardingTables newer = MakeTables(5);
  newer.routes.pop_back();
  ReadTables(newer);
  ReadTables(MakeTables(4));
  EXPECT_EQ(node_.tables_index()->tables().version, 5U);
}

// Guards against a revoked key that is accepted because a store that was
// restored from an older copy confirms the tables from before (incident
// CONFIG).
TEST_F(ForwardNodeTest, AStoreThatIsBehindDoesNotConfirmTheTables) {
  ReadTables(MakeTables(16));
  AdvanceTime(std::chrono::seconds(3));
  {
    SCOPED_TRACE("a read of an earlier version");
    ReadTables(MakeTables(14));
    EXPECT_EQ(node_.tables_index()->tables().version, 16U);
    EXPECT_EQ(node_.TablesAge(now_), std::chrono::seconds(3));
  }
  {
    SCOPED_TRACE("the operator writes the version again");
    ReadTables(MakeTables(16));
    EXPECT_EQ(node_.TablesAge(now_), Duration(0));
  }
}

// Guards against a node that starts from the older copy and accepts a key that
// its peers know to be revoked.
TEST_F(ForwardNodeTest, TablesThatPeersHaveReplacedAreNotConfirmed) {
  ReadTables(MakeTables(14));
  Heartbeat heartbeat;
  heartbeat.records.resize(1);
  heartbeat.records.front().id = {"m", 1};
  heartbeat.records.front().tables_version = 16;
  Submit(event::HeartbeatReceived{heartbeat});
  {
    SCOPED_TRACE("a read that began before the peer's version was known");
    Submit(event::TablesRead{
        std::make_shared<const ForwardingIndex>(MakeTables(14)),
        now_ - std::chrono::milliseconds(10)});
    EXPECT_TRUE(node_.TablesAge(now_).has_value());
  }
  AdvanceTime(std::chrono::milliseconds(50));
  ReadTables(MakeTables(14));
  EXPECT_EQ(node_.TablesAge(now_), std::nullopt);
  Arrive(1, "read");
  ASSERT_NE(FindAction<action::Reject>(), nullptr);
  EXPECT_EQ(FindAction<action::Reject>()->not_run.problem_type,
            "stale-configuration");
  ReadTables(MakeTables(16));
  EXPECT_EQ(node_.TablesAge(now_), Duration(0));
}

// Guards against a node that starts just after a restore, when no peer
// remembers more, and accepts a key that was revoked since the copy was made.
TEST_F(ForwardNodeTest, TablesThatMayBeOutdatedAreNotConfirmed) {
  ForwardNode started(Options());
  const auto read = [&](bool may_be_outdated) {
    started.Handle(event::TablesRead{std::make_shared<const ForwardingIndex>(
                                         MakeTables(14)),
                                     now_, may_be_outdated},
                   {now_, WallTime()});
  };
  read(true);
  EXPECT_EQ(started.tables_index()->tables().version, 14U);
  EXPECT_EQ(started.TablesAge(now_), std::nullopt);
  read(false);
  EXPECT_EQ(started.TablesAge(now_), Duration(0));
}

TEST_F(ForwardNodeTest, LeavingOrRemovedUpstreamGetsNoRequests) {
  event::UpstreamsListed listed;
  for (const auto& [name, upstream] : node_.upstreams().all()) {
    listed.upstreams.push_back(upstream.info);
  }
  listed.upstreams[0].leaving = true;
  listed.upstreams.pop_back();  // Removes u3.
  Submit(listed);
  for (ForwardId id = 1; id <= 4; ++id) {
    Arrive(id, "read");
    EXPECT_EQ(FindAction<action::SendAttempt>()->upstream.name, "u2");
  }
}

// Guards against requests to an upstream that has said in a response that it
// leaves, while the list of upstreams does not say so yet (issue 32).
TEST_F(ForwardNodeTest, UpstreamThatStatesThatItLeavesGetsNoRequests) {
  Arrive(1, "read");
  const UpstreamId leaving = FindAction<action::SendAttempt>()->upstream;
  Submit(event::ResponseHeadReceived{1, {.leaving = true}});
  const auto sends_to_it = [&](ForwardId first) {
    for (ForwardId id = first; id < first + 20; ++id) {
      Arrive(id, "read");
      const auto* send = FindAction<action::SendAttempt>();
      if (send == nullptr || send->upstream == leaving) return true;
      EndAttempt(id, ForwardOutcome::kCompleted, 200);
    }
    return false;
  };
  EXPECT_FALSE(sends_to_it(100));
  {
    SCOPED_TRACE("an entry that still says ready, also after it was missing");
    EndAttempt(1, ForwardOutcome::kCompleted, 200);
    Submit(event::UpstreamsListed{ListWithout(leaving.name), 2, {}});
    Submit(event::UpstreamsListed{ListWithout(""), 3, {}});
    EXPECT_FALSE(sends_to_it(200));
  }
  {
    SCOPED_TRACE("a new incarnation");
    std::vector<ForwardUpstreamInfo> list = ListWithout("");
    for (ForwardUpstreamInfo& info : list) info.id.incarnation = 9;
    Submit(event::UpstreamsListed{list, 4, {}});
    std::set<std::string> used;
    for (ForwardId id = 300; id < 340; ++id) {
      Arrive(id, "read");
      used.insert(FindAction<action::SendAttempt>()->upstream.name);
      EndAttempt(id, ForwardOutcome::kCompleted, 200);
    }
    EXPECT_EQ(used.count(leaving.name), 1U);
  }
}

// Guards against nodes that send to a leaving upstream because only a peer was
// told.
TEST_F(ForwardNodeTest, PeersTellOfUpstreamsThatLeave) {
  Heartbeat heartbeat;
  heartbeat.records.resize(1);
  heartbeat.records.front().id = {"m", 1};
  heartbeat.leaving_upstreams = {{"u1", 0}, {"u2", 7}};
  Submit(event::HeartbeatReceived{heartbeat});
  std::set<std::string> used;
  for (ForwardId id = 1; id < 40; ++id) {
    Arrive(id, "read");
    used.insert(FindAction<action::SendAttempt>()->upstream.name);
    EndAttempt(id, ForwardOutcome::kCompleted, 200);
  }
  // Another incarnation of u2 is leaving.
  EXPECT_EQ(used, (std::set<std::string>{"u2", "u3"}));
}

// Guards against requests to an upstream that has asked for a pause, and
// against callers that wait for it (issue 32).
TEST_F(ForwardNodeTest, UpstreamThatAsksForAPauseGetsNoRequests) {
  using std::chrono::milliseconds;
  Arrive(1, "order");
  const std::string pausing = FindAction<action::SendAttempt>()->upstream.name;
  Submit(event::ResponseHeadReceived{1, {.retry_after = milliseconds(3000)}});
  EndAttempt(1, ForwardOutcome::kRejected, 503);
  for (ForwardId id = 100; id < 129; ++id) {
    AdvanceTime(milliseconds(100));
    Arrive(id, "read");
    EXPECT_NE(FindAction<action::SendAttempt>()->upstream.name, pausing) << id;
    EndAttempt(id, ForwardOutcome::kCompleted, 200);
  }
  {
    SCOPED_TRACE("the return is gradual");
    AdvanceTime(milliseconds(200));
    int sent = 0;
    for (ForwardId id = 200; id < 240; ++id) {
      Arrive(id, "read");
      const auto* send = FindAction<action::SendAttempt>();
      if (send != nullptr && send->upstream.name == pausing) ++sent;
    }
    EXPECT_LE(sent, 2);
    EXPECT_GE(sent, 1);
  }
}

struct StatementCase {
  std::string name;
  UpstreamSignals signals;
  bool is_missing_at_response = false;
  int max_sent = 0;  ///< Requests sent to it later.
};

void PrintTo(const StatementCase& statement, std::ostream* out) {
  *out << statement.name;
}

class MissingEntryStatements
    : public ForwardNodeTest,
      public ::testing::WithParamInterface<StatementCase> {};

// Guards against an upstream that is forgotten with its entry in the store:
// when the entry was back, it got requests although it had stated that it
// leaves, that it wants a pause, or that it accepts no requests.
TEST_P(MissingEntryStatements, HoldWhenTheEntryIsBack) {
  Arrive(1, "read");
  const std::string name = FindAction<action::SendAttempt>()->upstream.name;
  if (GetParam().is_missing_at_response)
    Submit(event::UpstreamsListed{ListWithout(name), 1, {}});
  Submit(event::ResponseHeadReceived{1, GetParam().signals});
  EndAttempt(1, ForwardOutcome::kCompleted, 200);
  Submit(event::UpstreamsListed{ListWithout(name), 2, {}});
  AdvanceTime(std::chrono::seconds(3));
  ReadTables(MakeTables(1));
  Submit(event::UpstreamsListed{ListWithout(""), 3, {}});
  int sent = 0;
  for (ForwardId id = 2; id < 20; ++id) {
    Arrive(id, "read");
    const auto* send = FindAction<action::SendAttempt>();
    ASSERT_NE(send, nullptr);
    if (send->upstream.name == name) ++sent;
    EndAttempt(id, ForwardOutcome::kCompleted, 200);
  }
  EXPECT_LE(sent, GetParam().max_sent);
}

constexpr Duration kStatedPause = std::chrono::seconds(30);
INSTANTIATE_TEST_SUITE_P(
    Signals, MissingEntryStatements,
    ::testing::Values(
        StatementCase{"leaving", {.leaving = true}, false},
        StatementCase{"leaving-while-missing", {.leaving = true}, true},
        StatementCase{"pause", {.retry_after = kStatedPause}, false},
        StatementCase{
            "pause-while-missing", {.retry_after = kStatedPause}, true},
        // One request tells whether the limit has ended.
        StatementCase{"limit", {.max_requests_per_s = 0}, false, 1},
        StatementCase{
            "limit-while-missing", {.max_requests_per_s = 0}, true, 1}));

// Guards against a queue that waits for upstreams that accept nothing until
// after its deadline.
TEST_F(ForwardNodeTest, RejectsAtOnceIfAllUpstreamsAskForAPause) {
  using std::chrono::seconds;
  for (ForwardId id = 1; id <= 3; ++id) {
    Arrive(id, "order");
    const auto* send = FindAction<action::SendAttempt>();
    ASSERT_NE(send, nullptr);
    Submit(event::ResponseHeadReceived{id, {.retry_after = seconds(1 + id)}});
    EndAttempt(id, ForwardOutcome::kRejected, 503);
  }
  Arrive(10, "read");
  const auto* reject = FindAction<action::Reject>();
  ASSERT_NE(reject, nullptr);
  EXPECT_EQ(reject->not_run.problem_type, "upstreams-pause");
  // The earliest return, spread over callers.
  EXPECT_GE(reject->not_run.retry_after, std::chrono::milliseconds(1400));
  EXPECT_LE(reject->not_run.retry_after, std::chrono::milliseconds(3000));
}

TEST_F(ForwardNodeTest, CallerDisconnectCancelsTheAttempt) {
  Arrive(1, "read");
  Submit(event::CallerDisconnected{1});
  EXPECT_NE(FindAction<action::CancelAttempt>(), nullptr);
  EXPECT_EQ(node_.active_requests(), 0U);
}

TEST_F(ForwardNodeTest, DrainingNodeIsNotReadyButServesRequests) {
  EXPECT_TRUE(node_.IsReady(now_));
  Submit(event::DrainStarted{});
  EXPECT_FALSE(node_.IsReady(now_));
  Arrive(1, "read");
  EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
}

// Guards against truncated streams: a draining node admitted streams in its
// last seconds and aborted them at the end of its grace period (incident LOST
// on the enlarged Cymorth, hunt-7f96-3).
TEST_F(ForwardNodeTest, DrainingNodeRejectsRequestsThatMayOutlastIt) {
  Submit(event::DrainStarted{});
  {
    SCOPED_TRACE(
        "all requests are admitted until the load balancer has noticed");
    AdvanceTime(std::chrono::milliseconds(1900));
    Arrive(1, "draft");
    EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
  }
  {
    SCOPED_TRACE("later, a stream that may outlast the node is rejected");
    AdvanceTime(std::chrono::milliseconds(1200));
    Arrive(2, "draft");
    EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
    ASSERT_NE(FindAction<action::Reject>(), nullptr);
    const NotRun& not_run = FindAction<action::Reject>()->not_run;
    EXPECT_EQ(not_run.http_status, 503);
    EXPECT_EQ(not_run.problem_type, "stopping");
    EXPECT_GT(not_run.retry_after, Duration(0));
    EXPECT_LT(not_run.retry_after, std::chrono::milliseconds(200));
  }
  {
    SCOPED_TRACE("a request that must complete in time is still admitted");
    Arrive(3, "read", "key", std::chrono::seconds(4));
    EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
  }
}

// Guards against requests that are cut off at the end of a grace period that
// the node counts from the late handling of its stop signal (LOST).
TEST_F(ForwardNodeTest, AStopSignalThatWaitedLeavesLessOfTheGracePeriod) {
  using std::chrono::seconds;
  Submit(event::DrainStarted{std::chrono::milliseconds(1500)});
  {
    SCOPED_TRACE("a request that ends before the process does is admitted");
    AdvanceTime(seconds(2));
    Arrive(1, "read", "key", seconds(2));
    EXPECT_NE(FindAction<action::SendAttempt>(), nullptr);
  }
  {
    SCOPED_TRACE("one that may end after it is refused");
    Arrive(2, "read", "key", std::chrono::milliseconds(4600));
    EXPECT_EQ(FindAction<action::SendAttempt>(), nullptr);
    ASSERT_NE(FindAction<action::Reject>(), nullptr);
    EXPECT_EQ(FindAction<action::Reject>()->not_run.problem_type, "stopping");
  }
}

// Guards against requests whose connections are closed without a response at
// the end of the grace period (LOST).
TEST_F(ForwardNodeTest, AtTheEndOfTheGracePeriodEachRequestIsAnswered) {
  ForwardId last = 0;
  while (node_.queued_requests() == 0) {
    ASSERT_LT(last, 100U);
    Arrive(++last, "order");
  }
  Submit(event::DrainStarted{});
  Submit(event::DrainTimedOut{});
  {
    SCOPED_TRACE("what is at work may have run");
    ASSERT_NE(FindAction<action::Fail>(), nullptr);
    EXPECT_LT(FindAction<action::Fail>()->id, last);
    EXPECT_EQ(FindAction<action::Fail>()->status, 504);
    EXPECT_NE(FindAction<action::CancelAttempt>(), nullptr);
  }
  {
    SCOPED_TRACE("what is queued has not");
    ASSERT_NE(FindAction<action::Reject>(), nullptr);
    EXPECT_EQ(FindAction<action::Reject>()->id, last);
    EXPECT_EQ(FindAction<action::Reject>()->not_run.http_status, 503);
  }
  EXPECT_EQ(node_.active_requests(), 0U);
}

// Guards against a response that waits unread while the grace period ends and
// is replaced by a failure.
TEST_F(ForwardNodeTest, AtTheEndOfTheGracePeriodUnreadResponsesAreLeft) {
  node_.SetUnreadResponseSource([](ForwardId id) { return id == 1; });
  Arrive(1, "order");
  Submit(event::DrainStarted{});
  Submit(event::DrainTimedOut{});
  EXPECT_EQ(FindAction<action::Fail>(), nullptr);
  EndAttempt(1, ForwardOutcome::kCompleted, 200);
  EXPECT_NE(FindAction<action::DeliverResponse>(), nullptr);
}

}  // namespace
}  // namespace pollenledge
