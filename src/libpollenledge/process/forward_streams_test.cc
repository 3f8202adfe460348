#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

namespace action = forward_action;
namespace event = forward_event;

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);
/// An upstream that sends nothing for so long is given up by these routes.
constexpr Duration kSilence = 4 * kSecond;
/// Time after which another upstream is searched for a begun stream, and within
/// which upstreams that have refused it are used again.
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kLongestBackoff = 2 * kSecond;

/// Drives one node whose service has upstreams of two software versions, "old"
/// ones and "new" ones.
class ForwardStreamsTest : public ::testing::Test {
 protected:
  ForwardStreamsTest() : node_(Options()) {
    ReadTables(1, {{"s", 1}});
    List({{"old1", "v1"}, {"old2", "v1"}, {"new1", "v2"}, {"new2", "v2"}});
    Submit(event::VersionRecordsRead{{{"s", "v1"}, {"s", "v2"}}});
  }

  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.retry_slack = 1000;
    options.retries_per_request = 2;
    return options;
  }

  void ReadTables(std::uint64_t version,
                  const std::vector<WeightedService>& services) {
    ForwardingTables tables;
    tables.version = version;
    ForwardingRoute route;
    route.name = "draft";
    route.host = "h";
    route.path_prefix = "/draft/";
    route.kind = RouteKind::kStreaming;
    route.resumable = true;
    route.is_public = true;
    route.services = services;
    route.timeout = 10 * kSecond;
    route.latency_target = kSecond;
    route.event_gap_target = kSecond;
    route.max_attempts = 4;
    tables.routes = {route};
    for (const WeightedService& service : services) {
      tables.services.push_back({.name = service.service});
    }
    Submit(event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
  }

  /// Lists upstreams of these software versions, by name.
  void List(const std::map<std::string, std::string>& versions,
            std::uint64_t incarnation = 1, int slots = 20) {
    std::vector<ForwardUpstreamInfo> list;
    for (const auto& [name, version] : versions) {
      ForwardUpstreamInfo info;
      info.id = {name, incarnation};
      info.address = name;
      info.service = "s";
      info.software_version = version;
      info.slots = slots;
      list.push_back(info);
    }
    Submit(event::UpstreamsListed{list, ++revision_, now_});
  }

  /// The service has had upstreams of version "v2" only, for long.
  void ServeOneVersion() {
    const std::map<std::string, std::string> list = {{"new1", "v2"},
                                                     {"new2", "v2"}};
    List(list);
    now_ += 2 * StreamVersions::kMaxStreamLifetime;
    List(list);
  }

  void HearFrom(const std::vector<std::string>& peers,
                std::uint64_t heartbeat_number) {
    for (const std::string& name : peers) {
      Heartbeat heartbeat;
      heartbeat.records = {
          MemberRecord{.id = {name, 1}, .heartbeat = heartbeat_number}};
      Submit(event::HeartbeatReceived{heartbeat});
    }
  }

  void Submit(const ForwardEvent& event) {
    actions_ = node_.Handle(event, {now_, WallTime()});
  }

  /// A request arrives. With `first_attempt` it resumes a stream.
  void Arrive(ForwardId id, const std::string& trace_id,
              const std::string& first_attempt = "") {
    ForwardSpec spec;
    spec.trace_id = trace_id;
    spec.content_fingerprint = ComputeFingerprint({trace_id});
    spec.host = "h";
    spec.path = "/draft/x";
    spec.first_attempt = first_attempt;
    if (!first_attempt.empty()) spec.last_event_id = 3;
    Submit(event::RequestArrived{id, spec});
  }

  /// The first event comes on a connection that was used before the list was
  /// read, so that the list shows which process sends it.
  void ReceiveFirstEvent(ForwardId id) {
    ReceiveFirstEvent(id, started_at_ - kSecond);
  }
  void ReceiveFirstEvent(ForwardId id, std::optional<TimePoint> connected_at) {
    Submit(event::ResponseHeadReceived{id, {}});
    Submit(event::FirstEventReceived{id, connected_at});
    Submit(event::EventsForwarded{id, 1});
  }

  template <typename Action>
  const Action* Find() const {
    for (const ForwardAction& candidate : actions_) {
      if (const auto* found = std::get_if<Action>(&candidate)) return found;
    }
    return nullptr;
  }

  std::string SentTo() const {
    const auto* send = Find<action::SendAttempt>();
    return send == nullptr ? "nowhere" : send->upstream.name;
  }
  std::string SentToVersion() const { return SentTo().substr(0, 3); }
  std::string Rejection() const {
    const auto* reject = Find<action::Reject>();
    return reject == nullptr ? "none" : reject->not_run.problem_type;
  }

  /// Begins a stream and returns "old" or "new".
  std::string BeginStream(ForwardId id, const std::string& trace_id) {
    Arrive(id, trace_id);
    std::string version = SentToVersion();
    ReceiveFirstEvent(id);
    return version;
  }

  static Fingerprint FingerprintOf(const std::string& trace_id) {
    return ComputeFingerprint({"", ToHex(ComputeFingerprint({trace_id}))});
  }

  /// A peer reports that requests with this content have crashed upstreams.
  void ReportCrashesOf(const std::string& trace_id) {
    Heartbeat heartbeat;
    heartbeat.records = {MemberRecord{.id = {"peer", 1}}};
    for (CrashId crash = 1; crash <= 3; ++crash) {
      heartbeat.suspect_reports.push_back(
          CrashReport{.fingerprint = FingerprintOf(trace_id),
                      .crash = crash,
                      .age = static_cast<int>(crash) * kSecond});
    }
    Submit(event::HeartbeatReceived{heartbeat});
  }

  void AdvanceTime(Duration time) {
    now_ += time;
    Submit(event::Ticked{});
  }

  /// Allows some retries by first attempts.
  void FillRetryBudget() {
    for (ForwardId id = 100; id < 110; ++id) {
      BeginStream(id, std::to_string(id));
      Submit(event::AttemptEnded{id, ForwardOutcome::kCompleted, 200, {}, {}});
    }
  }

  /// Advances the clock until an attempt is sent, unless one was just sent; for
  /// a limited time.
  void AwaitSend() {
    const TimePoint end = now_ + kLongestBackoff;
    while (SentTo() == "nowhere" && now_ < end) AdvanceTime(kRetryInterval);
  }

  void Refuse(ForwardId id) {
    Submit(event::AttemptEnded{id, ForwardOutcome::kRejected, 503, {}, {}});
  }

  const TimePoint started_at_{std::chrono::seconds(1000)};
  TimePoint now_ = started_at_;
  std::int64_t revision_ = 0;
  ForwardNode node_;
  std::vector<ForwardAction> actions_;
};

// Guards against a stream that goes on at another version within one response
// (incident ORDER).
TEST_F(ForwardStreamsTest, ABrokenStreamGoesOnAtTheVersionThatBeganIt) {
  for (ForwardId id = 1; id <= 40; ++id) {
    const std::string began = BeginStream(id, "a" + std::to_string(id));
    Submit(event::AttemptEnded{id, ForwardOutcome::kConnectionLost, 0, {}});
    EXPECT_EQ(SentToVersion(), began);
    Submit(event::CallerDisconnected{id});
    now_ += kSecond;
  }
}

// Guards against a take-up at this node that goes on at another version.
TEST_F(ForwardStreamsTest, ATakeUpGoesOnAtTheVersionThatBeganIt) {
  for (ForwardId id = 1; id <= 60; id += 3) {
    const std::string first = "a" + std::to_string(id);
    const std::string began = BeginStream(id, first);
    Submit(event::CallerDisconnected{id});
    Arrive(id + 1, first + "-again", first);
    EXPECT_EQ(SentToVersion(), began);
    {
      SCOPED_TRACE("A take-up of a take-up names the first attempt.");
      ReceiveFirstEvent(id + 1);
      Submit(event::CallerDisconnected{id + 1});
      Arrive(id + 2, first + "-third", first);
      EXPECT_EQ(SentToVersion(), began);
    }
    Submit(event::CallerDisconnected{id + 2});
  }
}

// Guards against a take-up at another node, or after a restart of all, that
// goes on at another version.
TEST_F(ForwardStreamsTest, AnUnknownStreamIsLookedUp) {
  Arrive(1, "again", "elsewhere");
  const auto* look_up = Find<action::LookUpStream>();
  ASSERT_NE(look_up, nullptr);
  EXPECT_EQ(look_up->stream, StreamVersions::KeyOf("elsewhere"));
  EXPECT_EQ(SentTo(), "nowhere");
  {
    SCOPED_TRACE("The record decides.");
    Submit(event::StreamLookedUp{1, StreamBinding{"s", "v2"}, true});
    EXPECT_EQ(SentToVersion(), "new");
    EXPECT_TRUE(Find<action::SendAttempt>()->verify_incarnation);
  }
  {
    SCOPED_TRACE("A peer may know it first.");
    Arrive(2, "again2", "elsewhere2");
    Heartbeat heartbeat;
    heartbeat.records = {MemberRecord{.id = {"peer", 1}}};
    heartbeat.stream_records = {
        {StreamVersions::KeyOf("elsewhere2"), {"s", "v1"}}};
    Submit(event::HeartbeatReceived{heartbeat});
    EXPECT_EQ(SentToVersion(), "old");
  }
  {
    SCOPED_TRACE(
        "Without a record it is rejected as not run, within a second.");
    Arrive(3, "again3", "nobody-knows");
    for (int i = 0; i < 10 && Rejection() == "none"; ++i) {
      Submit(event::StreamLookedUp{3, std::nullopt, true});
      EXPECT_EQ(Rejection(), "none");
      now_ += 100 * kMillisecond;
      Submit(event::Ticked{});
    }
    EXPECT_EQ(Rejection(), "stream-unknown");
    EXPECT_EQ(Find<action::Reject>()->not_run.http_status, 503);
  }
  {
    SCOPED_TRACE("A caller that leaves meanwhile is forgotten.");
    Arrive(4, "again4", "nobody-knows");
    Submit(event::CallerDisconnected{4});
    Submit(event::StreamLookedUp{4, StreamBinding{"s", "v2"}, true});
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(node_.active_requests(), 2U);
  }
}

// Guards against take-ups that name no first attempt.
TEST_F(ForwardStreamsTest, ATakeUpWithoutAFirstAttemptIsRejected) {
  ForwardSpec spec;
  spec.trace_id = "a";
  spec.host = "h";
  spec.path = "/draft/x";
  spec.last_event_id = 3;
  Submit(event::RequestArrived{1, spec});
  EXPECT_EQ(Rejection(), "stream-unknown");
  EXPECT_EQ(Find<action::Reject>()->not_run.retry_after, Duration(0));
}

// Guards against a service with one version that refuses take-ups, or delays
// them for longer than one read of the store takes.
TEST_F(ForwardStreamsTest, WithOneVersionATakeUpWaitsForOneReadOnly) {
  ServeOneVersion();
  Arrive(1, "again", "elsewhere");
  const auto* look_up = Find<action::LookUpStream>();
  ASSERT_NE(look_up, nullptr);
  EXPECT_EQ(look_up->versions_of, "s");
  EXPECT_EQ(SentTo(), "nowhere");
  Submit(event::StreamLookedUp{1, std::nullopt, true,
                               std::vector<StreamBinding>{{"s", "v2"}}});
  EXPECT_EQ(SentToVersion(), "new");
  EXPECT_TRUE(Find<action::SendAttempt>()->verify_incarnation);
  ReceiveFirstEvent(1);
  now_ += kSecond;
  Submit(event::Ticked{});
  EXPECT_EQ(Find<action::RecordStreams>(), nullptr);
}

// Guards against a node that stood still or was cut off while another version
// joined, and goes on with a stream of that version at the one it knows
// (report of issue 43, ORDER).
TEST_F(ForwardStreamsTest, ANodeOutOfStepReadsTheVersionsBeforeItGoesOn) {
  ServeOneVersion();
  // The others have been heard of and the list was read a moment ago, as far as
  // a process that stood still can tell.
  HearFrom({"p1", "p2", "p3"}, 1);
  now_ += 1500 * kMillisecond;
  {
    SCOPED_TRACE("The record of the stream decides.");
    Arrive(1, "again", "elsewhere");
    EXPECT_EQ(SentTo(), "nowhere");
    Submit(event::StreamLookedUp{
        1, StreamBinding{"s", "v3"}, true,
        std::vector<StreamBinding>{{"s", "v2"}, {"s", "v3"}}});
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(Rejection(), "version-gone") << "the list does not have it yet";
  }
  {
    SCOPED_TRACE("From then on the service is known to be mixed.");
    Arrive(2, "again2", "elsewhere2");
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(Find<action::LookUpStream>()->versions_of, "");
  }
}

// Guards against an answer of the store that shows a second version but no
// record of the stream.
TEST_F(ForwardStreamsTest, WithoutARecordAStreamOfTwoVersionsIsRejected) {
  ServeOneVersion();
  Arrive(1, "again", "elsewhere");
  for (int i = 0; i < 10 && Rejection() == "none"; ++i) {
    Submit(event::StreamLookedUp{
        1, std::nullopt, true,
        std::vector<StreamBinding>{{"s", "v2"}, {"s", "v3"}}});
    ASSERT_EQ(SentTo(), "nowhere");
    now_ += 100 * kMillisecond;
    Submit(event::Ticked{});
    ASSERT_EQ(SentTo(), "nowhere");
  }
  EXPECT_EQ(Rejection(), "stream-unknown");
}

// Guards against take-ups that are refused for as long as the store is away.
TEST_F(ForwardStreamsTest, WhileTheStoreIsAwayThePeersDecide) {
  ServeOneVersion();
  const auto wait_without_store = [this](ForwardId id, bool peers_live) {
    for (int i = 0; i < 10 && SentTo() == "nowhere" && Rejection() == "none";
         ++i) {
      Submit(event::StreamLookedUp{id, std::nullopt, false, std::nullopt});
      now_ += 100 * kMillisecond;
      if (peers_live) {
        HearFrom({"p1", "p2", "p3"}, 100 * id + static_cast<ForwardId>(i));
      }
      Submit(event::Ticked{});
    }
  };
  HearFrom({"p1", "p2", "p3"}, 1);
  {
    SCOPED_TRACE("Most peers are heard of since the request came.");
    Arrive(1, "again", "elsewhere");
    wait_without_store(1, true);
    EXPECT_EQ(SentToVersion(), "new");
  }
  {
    SCOPED_TRACE("No peer is: this node may be cut off or have stood still.");
    Arrive(2, "again2", "elsewhere2");
    wait_without_store(2, false);
    EXPECT_EQ(SentTo(), "nowhere");
    EXPECT_EQ(Rejection(), "stream-unknown");
  }
}

// Guards against a list that is older than a restart of the upstream that a
// stream goes on at (ORDER, soak seed 4).
TEST_F(ForwardStreamsTest, AResumedStreamAsksTheUpstreamForItsIncarnation) {
  ServeOneVersion();
  Arrive(1, "first");
  EXPECT_FALSE(Find<action::SendAttempt>()->verify_incarnation);
  ReceiveFirstEvent(1);
  Submit(event::AttemptEnded{1, ForwardOutcome::kConnectionLost, 0, {}});
  EXPECT_TRUE(Find<action::SendAttempt>()->verify_incarnation);
}

// Guards against streams of a version that has left, which wait or go on
// elsewhere.
TEST_F(ForwardStreamsTest, AStreamWhoseVersionHasLeftIsRejectedAtOnce) {
  const std::string began = BeginStream(1, "a");
  Submit(event::CallerDisconnected{1});
  List(began == "old" ? std::map<std::string, std::string>{{"new1", "v2"}}
                      : std::map<std::string, std::string>{{"old1", "v1"}});
  Arrive(2, "again", "a");
  EXPECT_EQ(Rejection(), "version-gone");
  EXPECT_EQ(Find<action::Reject>()->not_run.retry_after, Duration(0));
}

// Guards against records that are written only when nodes have been killed.
TEST_F(ForwardStreamsTest, BindingsAreWrittenSoonAfterTheFirstEvent) {
  BeginStream(1, "a");
  EXPECT_LE(node_.NextTickTime(now_), now_ + ForwardNode::kStreamTellInterval);
  now_ += ForwardNode::kStreamTellInterval;
  Submit(event::Ticked{});
  const auto* record = Find<action::RecordStreams>();
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->records.size(), 1U);
  EXPECT_EQ(record->records[0].stream, StreamVersions::KeyOf("a"));
}

// Guards against a version that begins streams before the store has a record of
// it, so that nobody knows of it after a restart of all nodes.
TEST_F(ForwardStreamsTest, NewStreamsBeginAtRecordedVersions) {
  List({{"old1", "v1"}, {"third", "v3"}}, 1, 100);
  const auto* update = Find<action::UpdateVersionRecords>();
  ASSERT_NE(update, nullptr);
  EXPECT_EQ(update->added, (std::vector<StreamBinding>{{"s", "v3"}}));
  for (ForwardId id = 1; id <= 20; ++id) {
    Arrive(id, std::to_string(id));
    EXPECT_EQ(SentTo(), "old1");
    Submit(event::AttemptEnded{id, ForwardOutcome::kCompleted, 200, {}});
  }
  {
    SCOPED_TRACE("Once it is recorded, it is used.");
    Submit(event::VersionRecordsRead{{{"s", "v1"}, {"s", "v3"}}});
    std::set<std::string> used;
    for (ForwardId id = 30; id < 50; ++id) {
      Arrive(id, std::to_string(id));
      used.insert(SentTo());
    }
    EXPECT_EQ(used.count("third"), 1U);
  }
  {
    SCOPED_TRACE("If there is no other version, it is used at once.");
    List({{"fourth", "v4"}});
    Arrive(22, "22");
    EXPECT_EQ(SentTo(), "fourth");
  }
}

// Guards against an odd entry without a version that makes a service mixed.
TEST_F(ForwardStreamsTest, AnUpstreamWithoutAVersionGetsNoResumableStreams) {
  List({{"old1", "v1"}, {"odd", ""}}, 1, 100);
  now_ += 2 * StreamVersions::kMaxStreamLifetime;
  List({{"old1", "v1"}, {"odd", ""}}, 1, 100);
  EXPECT_EQ(node_.stream_versions().OnlyVersion("s", now_), "v1");
  for (ForwardId id = 1; id <= 20; ++id) {
    Arrive(id, std::to_string(id));
    EXPECT_EQ(SentTo(), "old1");
    Submit(event::AttemptEnded{id, ForwardOutcome::kCompleted, 200, {}});
  }
  {
    SCOPED_TRACE("If none states a version, all are used.");
    List({{"odd", ""}}, 1, 100);
    now_ += 2 * StreamVersions::kMaxStreamLifetime;
    Submit(event::VersionRecordsRead{{{"s", ""}}});
    List({{"odd", ""}}, 1, 100);
    Arrive(21, "21");
    EXPECT_EQ(SentTo(), "odd");
    Arrive(22, "again", "elsewhere");
    Submit(event::StreamLookedUp{22, std::nullopt, true,
                                 std::vector<StreamBinding>{{"s", ""}}});
    EXPECT_EQ(SentTo(), "odd");
  }
}

// Guards against take-ups without room that hold up streams of other versions.
TEST_F(ForwardStreamsTest, AVersionWithoutRoomHoldsUpNoOther) {
  List({{"old1", "v1"}, {"new1", "v2"}}, 1, 4);
  Submit(event::StreamLookedUp{});
  ForwardId id = 1;
  int at_old = 0;
  // Fill the old version with take-ups.
  for (; id <= 20; ++id) {
    const std::string first = "first" + std::to_string(id);
    Arrive(id, "again" + std::to_string(id), first);
    Submit(event::StreamLookedUp{id, StreamBinding{"s", "v1"}, true});
    if (SentToVersion() == "old") ++at_old;
  }
  EXPECT_GT(node_.queued_requests(), 0U);
  Arrive(id, "new-stream");
  EXPECT_EQ(SentToVersion(), "new");
  {
    SCOPED_TRACE("What waits goes to its own version when there is room.");
    Submit(event::AttemptEnded{1, ForwardOutcome::kCompleted, 200, {}});
    EXPECT_EQ(SentToVersion(), "old");
  }
}

// Guards against a list that names the right upstream with the wrong version:
// it has restarted as another one.
TEST_F(ForwardStreamsTest, AStreamAtAReplacedUpstreamCannotBeResumed) {
  Arrive(1, "a");
  const std::string upstream = SentTo();
  ReceiveFirstEvent(1, std::nullopt);
  List({{"old1", "v3"}, {"old2", "v3"}, {"new1", "v3"}, {"new2", "v3"}}, 2);
  EXPECT_NE(Find<action::RecordStreams>(), nullptr) << "Others are told";
  Submit(event::CallerDisconnected{1});
  Arrive(2, "again", "a");
  EXPECT_EQ(Rejection(), "version-gone");
}

TEST_F(ForwardStreamsTest, SoIsAStreamWhoseCallerLeftBeforeThat) {
  Arrive(1, "a");
  ReceiveFirstEvent(1, std::nullopt);
  Submit(event::CallerDisconnected{1});
  now_ += kSecond;
  List({{"old1", "v3"}, {"old2", "v3"}, {"new1", "v3"}, {"new2", "v3"}}, 2);
  List({{"old1", "v1"}, {"new1", "v2"}}, 3);
  Arrive(2, "again", "a");
  EXPECT_EQ(Rejection(), "version-gone");
}

// Guards against streams that go on at another service after a route was moved.
TEST_F(ForwardStreamsTest, AStreamOfAServiceThatTheRouteHasLeftIsRejected) {
  BeginStream(1, "a");
  Submit(event::CallerDisconnected{1});
  ReadTables(2, {{"other", 1}});
  Arrive(2, "again", "a");
  EXPECT_EQ(Rejection(), "stream-moved");
}

// Guards against attempts of one stream that go to different services of a
// split route.
TEST_F(ForwardStreamsTest, TheServiceOfASplitRouteFollowsFromTheFirstAttempt) {
  ReadTables(2, {{"s", 1}, {"other", 1}});
  int sent = 0;  // To "s"; the other service has no upstreams.
  for (ForwardId id = 1; id <= 200; ++id) {
    const std::string trace_id = "a" + std::to_string(id);
    Arrive(id, trace_id);
    const bool chose_s = SentTo() != "nowhere";
    sent += chose_s ? 1 : 0;
    Submit(event::CallerDisconnected{id});
    Arrive(1000 + id, trace_id);
    EXPECT_EQ(SentTo() != "nowhere", chose_s);
    Submit(event::CallerDisconnected{1000 + id});
  }
  EXPECT_GT(sent, 60);
  EXPECT_LT(sent, 140);
}

// Guards against an isolated node that goes by an old list.
TEST_F(ForwardStreamsTest, ANodeWithoutPeersDoesNotRelyOnAnOldList) {
  List({{"new1", "v2"}});
  now_ += 2 * StreamVersions::kMaxStreamLifetime;
  List({{"new1", "v2"}});
  Heartbeat heartbeat;
  for (const char* name : {"p1", "p2", "p3"}) {
    heartbeat.records = {MemberRecord{.id = {name, 1}, .heartbeat = 1}};
    Submit(event::HeartbeatReceived{heartbeat});
  }
  now_ += 30 * kSecond;
  Arrive(1, "again", "elsewhere");
  EXPECT_NE(Find<action::LookUpStream>(), nullptr);
  EXPECT_EQ(SentTo(), "nowhere");
}

// Guards against a begun stream that is cut because peers report that requests
// like it crash upstreams (incident LOST).
TEST_F(ForwardStreamsTest, AVerdictOnItsContentDoesNotEndABegunStream) {
  Arrive(1, "a");
  ReceiveFirstEvent(1);
  Arrive(2, "a");
  ASSERT_NE(SentTo(), "nowhere");
  ReportCrashesOf("a");
  {
    SCOPED_TRACE("one that has not begun at its upstream is ended");
    ASSERT_NE(Find<action::Fail>(), nullptr);
    EXPECT_EQ(Find<action::Fail>()->id, 2U);
    EXPECT_EQ(node_.active_requests(), 1U);
  }
  Submit(event::AttemptEnded{1, ForwardOutcome::kCompleted, 200, {}, {}});
  EXPECT_NE(Find<action::DeliverResponse>(), nullptr);
}

// Guards against a sound stream that is cut because this node gave its silent
// upstream up and another one refused it (incident LOST).
TEST_F(ForwardStreamsTest, RefusalsAfterSilenceDoNotEndABegunStream) {
  FillRetryBudget();
  const std::string version = BeginStream(1, "a");
  AdvanceTime(kSilence);
  ASSERT_EQ(SentToVersion(), version);
  Refuse(1);
  EXPECT_EQ(Find<action::Fail>(), nullptr);
  {
    SCOPED_TRACE("it is sent on, however often it was refused");
    for (int i = 0; i < 3; ++i) {
      AwaitSend();
      ASSERT_EQ(SentToVersion(), version);
      EXPECT_EQ(Find<action::SendAttempt>()->last_event_id, 1);
      Refuse(1);
      EXPECT_EQ(Find<action::Fail>(), nullptr);
    }
  }
  {
    SCOPED_TRACE("its deadline ends it");
    AdvanceTime(10 * kSecond);
    ASSERT_NE(Find<action::Fail>(), nullptr);
    EXPECT_EQ(Find<action::Fail>()->status, 504);
  }
}

// Guards against a stream that waits for another upstream and is cut by a
// verdict, or goes on with the crashes (incident LOST).
TEST_F(ForwardStreamsTest, AVerdictOnItsContentLetsASoundStreamWait) {
  BeginStream(1, "a");
  AdvanceTime(kSilence);
  ASSERT_NE(SentTo(), "nowhere");
  ReportCrashesOf("a");
  EXPECT_NE(Find<action::CancelAttempt>(), nullptr);
  EXPECT_EQ(Find<action::Fail>(), nullptr);
  AdvanceTime(kRetryInterval);
  EXPECT_EQ(SentTo(), "nowhere");
  {
    SCOPED_TRACE("it goes on once an operator has lifted the verdict");
    Submit(event::SuspectLifted{FingerprintOf("a")});
    AdvanceTime(kRetryInterval);
    EXPECT_NE(SentTo(), "nowhere");
  }
}

// Guards against a stream that waits on although its upstream broke it off: its
// caller can resume it elsewhere.
TEST_F(ForwardStreamsTest, ABrokenStreamThatIsRefusedEnds) {
  BeginStream(1, "a");
  Submit(event::AttemptEnded{1, ForwardOutcome::kConnectionLost, 0, {}, {}});
  ASSERT_NE(SentTo(), "nowhere");
  Refuse(1);
  EXPECT_NE(Find<action::Fail>(), nullptr);
}

}  // namespace
}  // namespace pollenledge
