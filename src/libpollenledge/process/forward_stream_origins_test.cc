#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

namespace action = forward_action;
namespace event = forward_event;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
/// Longer than a request waits until its node knows which version began its
/// stream, and shorter than its deadline.
constexpr Duration kLongWait = 3 * kSecond;

/// The software version and the incarnation that an upstream's entry states.
struct Entry {
  std::string software_version;
  std::uint64_t incarnation = 1;
};

/// Drives one node whose service has three upstreams. They start again under
/// their names as other versions while the node's list is older.
class ForwardStreamOriginsTest : public ::testing::Test {
 protected:
  ForwardStreamOriginsTest() : node_(Options()) {
    ReadTables();
    ReadList();
    Submit(event::VersionRecordsRead{{{"s", "v1"}}});
    now_ += 2 * StreamVersions::kMaxStreamLifetime;
    ReadList();
  }

  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.retry_slack = 1000;
    options.retries_per_request = 2;
    return options;
  }

  void ReadTables() {
    ForwardingTables tables;
    tables.version = 1;
    ForwardingRoute route;
    route.name = "draft";
    route.host = "h";
    route.path_prefix = "/draft/";
    route.kind = RouteKind::kStreaming;
    route.resumable = true;
    route.is_public = true;
    route.services = {{"s", 1}};
    route.timeout = 10 * kSecond;
    route.latency_target = kSecond;
    route.event_gap_target = kSecond;
    route.max_attempts = 4;
    tables.routes = {route};
    tables.services = {{.name = "s"}};
    Submit(event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
  }

  std::vector<ForwardUpstreamInfo> Listed() const {
    std::vector<ForwardUpstreamInfo> list;
    for (const auto& [name, entry] : entries_) {
      ForwardUpstreamInfo info;
      info.id = {name, entry.incarnation};
      info.address = name;
      info.service = "s";
      info.software_version = entry.software_version;
      info.slots = 20;
      list.push_back(info);
    }
    return list;
  }

  /// The store is read, as it is now.
  void ReadList() {
    Submit(event::UpstreamsListed{Listed(), ++revision_, now_});
  }
  /// A watch tells of a change.
  void WatchList() {
    Submit(event::UpstreamsListed{Listed(), ++revision_, {}});
  }

  void Submit(const ForwardEvent& event) {
    std::vector<ForwardAction> actions =
        node_.Handle(event, {now_, WallTime()});
    actions_.insert(actions_.end(), actions.begin(), actions.end());
  }

  /// Ticks for `time`, as the node asks for it.
  void Wait(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ = std::min(end, std::max<TimePoint>(node_.NextTickTime(now_),
                                               now_ + kMillisecond));
      Submit(event::Ticked{});
    }
  }

  void Arrive(ForwardId id, const std::string& trace_id,
              const std::string& first_attempt = "") {
    actions_.clear();
    ForwardSpec spec;
    spec.trace_id = trace_id;
    spec.content_fingerprint = ComputeFingerprint({trace_id});
    spec.host = "h";
    spec.path = "/draft/x";
    spec.first_attempt = first_attempt;
    if (!first_attempt.empty()) spec.last_event_id = 3;
    Submit(event::RequestArrived{id, spec});
  }

  /// A stream begins on a connection that was last used at `connected_at`; a
  /// new one if empty. Returns the upstream that it began at.
  std::string BeginStream(ForwardId id, const std::string& trace_id,
                          std::optional<TimePoint> connected_at = {},
                          bool process_verified = false) {
    Arrive(id, trace_id);
    std::string upstream = SentTo();
    now_ += 50 * kMillisecond;
    Submit(event::ResponseHeadReceived{id, {}});
    Submit(event::FirstEventReceived{id, connected_at, process_verified});
    Submit(event::EventsForwarded{id, 1});
    now_ += 50 * kMillisecond;
    actions_.clear();
    return upstream;
  }

  void LoseConnection(ForwardId id) {
    actions_.clear();
    Submit(event::AttemptEnded{id, ForwardOutcome::kConnectionLost, 0, {}});
  }

  /// The last action of this kind since the last step; null if there is none.
  template <typename Action>
  const Action* Find() const {
    const Action* last = nullptr;
    for (const ForwardAction& candidate : actions_) {
      if (const auto* found = std::get_if<Action>(&candidate)) last = found;
    }
    return last;
  }
  std::string SentTo() const {
    const auto* send = Find<action::SendAttempt>();
    return send == nullptr ? "nowhere" : send->upstream.name;
  }
  std::string Rejection() const {
    const auto* reject = Find<action::Reject>();
    return reject == nullptr ? "none" : reject->not_run.problem_type;
  }

  TimePoint now_{std::chrono::seconds(1000)};
  std::int64_t revision_ = 0;
  std::map<std::string, Entry> entries_ = {
      {"a", {"v1"}}, {"b", {"v1"}}, {"c", {"v1"}}};
  ForwardNode node_;
  std::vector<ForwardAction> actions_;
};

// Guards against a stream that begins at an upstream which has just started
// again as another version, and goes on at the version of the older list
// (ORDER, soak seed 3).
TEST_F(ForwardStreamOriginsTest, AStreamOfAnUnlistedRestartIsNotJoined) {
  const std::string upstream = BeginStream(1, "x");
  entries_[upstream] = {"v3", 2};
  LoseConnection(1);
  EXPECT_EQ(SentTo(), "nowhere") << "the list is older than the stream";
  {
    SCOPED_TRACE("the list shows the restart");
    now_ += 5 * kMillisecond;
    ReadList();
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_NE(Find<action::Fail>(), nullptr);
  }
  {
    SCOPED_TRACE("its caller is told at once that it can't be resumed");
    Arrive(2, "again", "x");
    EXPECT_EQ(Rejection(), "version-gone");
  }
}

// Guards against streams that are given up, or delayed for long, because their
// upstream might have started again.
TEST_F(ForwardStreamOriginsTest, AStreamGoesOnOnceTheListConfirmsItsUpstream) {
  const std::string upstream = BeginStream(1, "x");
  LoseConnection(1);
  {
    SCOPED_TRACE("the list is asked for");
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_NE(Find<action::ReadUpstreams>(), nullptr);
    EXPECT_EQ(Find<action::Fail>(), nullptr);
  }
  {
    SCOPED_TRACE("what a watch tells confirms no other entry");
    entries_["d"] = {"v1"};
    WatchList();
    EXPECT_EQ(SentTo(), "nowhere");
  }
  now_ += 5 * kMillisecond;
  ReadList();
  EXPECT_NE(SentTo(), "nowhere");
  EXPECT_NE(SentTo(), upstream);
  EXPECT_EQ(Find<action::SendAttempt>()->last_event_id, 1);
}

// Guards against a price that streams pay whose upstream is known.
TEST_F(ForwardStreamOriginsTest, AStreamOfAKnownUpstreamGoesOnAtOnce) {
  {
    SCOPED_TRACE("its connection is older than the list");
    BeginStream(1, "x", now_ - kMillisecond);
    LoseConnection(1);
    EXPECT_NE(SentTo(), "nowhere");
  }
  {
    SCOPED_TRACE("the list was read since");
    BeginStream(2, "y");
    ReadList();
    LoseConnection(2);
    EXPECT_NE(SentTo(), "nowhere");
  }
  {
    SCOPED_TRACE("the process has said which one it is");
    BeginStream(3, "z", {}, true);
    LoseConnection(3);
    EXPECT_NE(SentTo(), "nowhere");
  }
  {
    SCOPED_TRACE("it was known before the upstream started again");
    const std::string upstream = BeginStream(4, "w");
    ReadList();
    entries_[upstream] = {"v3", 2};
    WatchList();
    LoseConnection(4);
    EXPECT_NE(SentTo(), "nowhere");
    EXPECT_NE(SentTo(), upstream);
  }
}

// Guards against a connection that is used again, but was opened after the list
// was read.
TEST_F(ForwardStreamOriginsTest, AKeptConnectionMayBeYoungerThanTheList) {
  now_ += 300 * kMillisecond;
  BeginStream(1, "x", now_ - kMillisecond);
  LoseConnection(1);
  EXPECT_EQ(SentTo(), "nowhere");
}

// Guards against a take-up at this node that doesn't wait.
TEST_F(ForwardStreamOriginsTest, ATakeUpWaitsForTheListToo) {
  const std::string upstream = BeginStream(1, "x");
  Submit(event::CallerDisconnected{1});
  {
    SCOPED_TRACE("it goes on once the list confirms the upstream");
    Arrive(2, "again", "x");
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_NE(Find<action::ReadUpstreams>(), nullptr);
    now_ += 5 * kMillisecond;
    ReadList();
    EXPECT_NE(SentTo(), "nowhere");
  }
  {
    SCOPED_TRACE("it is refused if the list shows another version");
    const std::string other = BeginStream(3, "y");
    Submit(event::CallerDisconnected{3});
    Arrive(4, "again-y", "y");
    EXPECT_EQ(SentTo(), "nowhere");
    entries_[other] = {"v3", 2};
    WatchList();
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(Rejection(), "version-gone");
  }
}

// Guards against streams that end whenever the store is away, and against ones
// that wait for it until their deadline.
TEST_F(ForwardStreamOriginsTest, WithoutAListTheWaitIsBounded) {
  {
    SCOPED_TRACE("with one version the stream goes on at that one");
    BeginStream(1, "x");
    LoseConnection(1);
    EXPECT_EQ(SentTo(), "nowhere");
    Wait(kLongWait);
    EXPECT_NE(SentTo(), "nowhere");
  }
  entries_["c"] = {"v2", 2};
  ReadList();
  Submit(event::VersionRecordsRead{{{"s", "v1"}, {"s", "v2"}}});
  {
    SCOPED_TRACE("with two versions it ends, and can't be resumed");
    BeginStream(2, "y");
    LoseConnection(2);
    Wait(kLongWait);
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_NE(Find<action::Fail>(), nullptr);
    ReadList();
    Arrive(3, "again", "y");
    EXPECT_EQ(Rejection(), "version-gone");
  }
  {
    SCOPED_TRACE("so does the wait of a take-up; its caller may come again");
    BeginStream(4, "z");
    Submit(event::CallerDisconnected{4});
    Arrive(5, "again-z", "z");
    Wait(kSecond);
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(Rejection(), "stream-unconfirmed");
  }
}

// Guards against a request that waits and is forgotten, or ends twice.
TEST_F(ForwardStreamOriginsTest, ACallerMayLeaveMeanwhile) {
  BeginStream(1, "x");
  LoseConnection(1);
  Submit(event::CallerDisconnected{1});
  EXPECT_EQ(node_.active_requests(), 0U);
  now_ += 5 * kMillisecond;
  ReadList();
  EXPECT_EQ(SentTo(), "nowhere");
}

// Guards against a silent upstream that is left for one of another version.
TEST_F(ForwardStreamOriginsTest, ASilentUpstreamIsKeptUntilItIsConfirmed) {
  BeginStream(1, "x");
  Wait(5 * kSecond);
  EXPECT_EQ(SentTo(), "nowhere");
  EXPECT_NE(Find<action::ReadUpstreams>(), nullptr);
  ReadList();
  Wait(5 * kSecond);
  EXPECT_NE(SentTo(), "nowhere");
}

}  // namespace
}  // namespace pollenledge
