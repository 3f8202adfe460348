#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "forward_request_checker.h"
#include "pollenledge/process/forward_node.h"
#include "random_tables.h"

namespace pollenledge::testing {

/// One `ForwardNode` in virtual time: requests of all kinds arrive while its
/// tables, its upstreams and its peers change in random, overlapping ways. The
/// seed determines all of it.
class RandomForwardChanges {
 public:
  explicit RandomForwardChanges(std::uint64_t seed)
      : random_(seed), node_(Options(seed)) {
    ChangeTables();
    ListUpstreams();
    HearFromPeers();
  }

  /// Runs random events, then ticks until all requests must have ended.
  void Run() {
    for (int step = 0; step < kSteps && checker_.violations().empty(); ++step) {
      AdvanceTime(Uniform(0, 12) * kMillisecond);
      Step(step);
    }
    AdvanceTime(RandomTables::kLongestTimeout + kMinTimerDelay);
    RunLateLookups();
  }

  const ForwardRequestChecker& checker() const { return checker_; }
  const ForwardNode& node() const { return node_; }
  Duration elapsed() const { return now_ - kStart; }

 private:
  static constexpr TimePoint kStart{std::chrono::seconds(1000)};
  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  static constexpr Duration kSecond = std::chrono::seconds(1);
  /// The node's timer doesn't fire earlier after an event.
  static constexpr Duration kMinTimerDelay = kMillisecond;
  static constexpr int kSteps = 1500;
  static constexpr int kUpstreams = 8;
  static constexpr int kCustomers = RandomTables::kCustomers;
  /// Contents that several requests share, so that they are suspected together.
  static constexpr int kSharedContents = 4;

  static std::string Name(const char* prefix, int number) {
    return prefix + std::to_string(number);
  }

  ForwardNodeOptions Options(std::uint64_t seed) {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.self.peer_address = "n";
    options.key_freshness = Chance(0.5) ? 2 * kSecond : Duration(0);
    options.tables_bound = Chance(0.5) ? 2 * kSecond : Duration(0);
    options.retries_per_request = Chance(0.5) ? 0.2 : 2;
    options.retry_slack = Chance(0.5) ? 8 : 1000;
    options.drain_timeout = 8 * kSecond;
    options.adaptive_scheduling = seed % 2 == 0;
    options.assume_uneven_upstreams = seed % 4 == 0;
    options.random_seed = seed;
    return options;
  }

  // Chance.

  int Uniform(int least, int most) { return random_.Uniform(least, most); }
  bool Chance(double probability) { return random_.Chance(probability); }
  template <typename Value>
  Value AnyOf(const std::vector<Value>& values) {
    return random_.AnyOf(values);
  }

  void Step(int step) {
    const int choice = Uniform(0, 99);
    if (choice < 28) Arrive();
    if (choice >= 28 && choice < 82) AdvanceAttempts();
    if (choice >= 82 && choice < 85) ChangeTables();
    if (choice == 85) SendTableStorm();
    if (choice == 86) ReadOlderTables();
    if (choice >= 87 && choice < 90) ListUpstreams();
    if (choice >= 90 && choice < 93) HearFromPeers();
    if (choice == 93) AnswerLookup();
    if (choice == 94) Disconnect();
    if (choice == 95) ChangeUpstreamBehavior();
    if (choice == 96) ConfirmTables();
    if (choice == 97) ReportCrashes();
    if (choice == 98 && Chance(0.2)) FallBehind();
    if (choice == 99) ReadRecords();
    if (step > kSteps / 2 && Chance(0.001))
      Submit(forward_event::DrainStarted{});
  }

  // Time and events.

  /// A request that the node holds until its tables are confirmed is decided by
  /// those that it then has, so that its route may have another timeout.
  void FollowHeldRequests(const ForwardEvent& event,
                          const std::vector<ForwardAction>& actions) {
    if (const auto* arrived =
            std::get_if<forward_event::RequestArrived>(&event)) {
      const bool is_held = std::any_of(
          actions.begin(), actions.end(), [](const ForwardAction& action) {
            return std::holds_alternative<forward_action::ReadTables>(action);
          });
      if (is_held) held_[arrived->id] = {arrived->spec, now_};
      return;
    }
    const bool are_released = std::any_of(
        actions.begin(), actions.end(), [](const ForwardAction& action) {
          const auto* line = std::get_if<forward_action::WriteLogLine>(&action);
          return line != nullptr &&
                 line->event == std::string("requests_released");
        });
    if (!are_released) return;
    const bool are_due_only =
        std::holds_alternative<forward_event::Ticked>(event);
    std::erase_if(held_, [&](const auto& entry) {
      const auto& [id, held] = entry;
      if (are_due_only && now_ < ReleaseTime(id, held)) return false;
      const auto found = checker_.open().find(id);
      if (found != checker_.open().end())
        ApplyRoute(held.spec, held.arrived_at, &found->second);
      return true;
    });
  }

  struct Held {
    ForwardSpec spec;
    TimePoint arrived_at;
  };

  /// Returns when the node decides on a held request at the latest.
  TimePoint ReleaseTime(ForwardId id, const Held& held) {
    const auto found = checker_.open().find(id);
    if (found == checker_.open().end()) return now_;
    const Duration time_left = found->second.deadline - held.arrived_at;
    return held.arrived_at +
           std::min<Duration>(HeldRequests::kMaxWait,
                              time_left / HeldRequests::kMaxWaitDivisor);
  }

  void Submit(const ForwardEvent& event) {
    checker_.BeforeEvent(event, now_);
    const std::vector<ForwardAction> actions =
        node_.Handle(event, {now_, WallTime()});
    FollowHeldRequests(event, actions);
    checker_.AfterEvent(event, actions, node_);
    for (const ForwardAction& action : actions) {
      if (const auto* lookup =
              std::get_if<forward_action::LookUpStream>(&action))
        lookups_.push_back(*lookup);
      if (const auto* probe =
              std::get_if<forward_action::ProbeUpstream>(&action))
        probes_.push_back(probe->upstream);
    }
  }

  /// Advances the time with the ticks that the node asks for.
  void AdvanceTime(Duration time) {
    const TimePoint end = now_ + time;
    for (;;) {
      const TimePoint due =
          std::max<TimePoint>(now_ + kMinTimerDelay, node_.NextTickTime(now_));
      if (due > end) break;
      now_ = due;
      Submit(forward_event::Ticked{});
    }
    now_ = end;
  }

  /// The process gets no processor time for a while.
  void FallBehind() {
    now_ += Uniform(50, 1500) * kMillisecond;
    Submit(forward_event::Ticked{});
  }

  // Requests.

  void Arrive() {
    const ForwardId id = ++last_id_;
    ForwardSpec spec;
    spec.trace_id = std::to_string(id);
    spec.host = "h";
    spec.path = "/" + Name("r", Uniform(0, RandomTables::kRoutes - 1)) + "/" +
                (Chance(0.3) ? "part/x" : "x");
    const int content = Uniform(0, 12);
    spec.content_fingerprint = ContentFingerprint(
        content < kSharedContents ? Name("shared", content) : spec.trace_id);
    spec.api_key = Name("key", Uniform(0, Chance(0.9) ? 1 : kCustomers));
    if (Chance(0.4)) spec.time_left = Uniform(0, 3000) * kMillisecond;
    spec.prompt_tokens = Uniform(0, 2000);
    spec.max_response_tokens = Uniform(1, 400);
    spec.has_token_counts = Chance(0.7);
    for (int i = Uniform(0, 3); i > 0; --i) {
      spec.prompt_segments.push_back(
          {static_cast<std::uint64_t>(Uniform(1, 9)), 100});
    }
    if (Chance(0.25)) ResumeAnother(&spec);
    spec.is_relayed = Chance(0.05);
    if (Chance(0.01)) spec.min_tables_version = version_ + 1;
    Track(id, spec);
    Submit(forward_event::RequestArrived{id, spec});
  }

  void ResumeAnother(ForwardSpec* spec) {
    spec->last_event_id = Uniform(0, 20);
    if (Chance(0.9))
      spec->first_attempt =
          std::to_string(Uniform(1, static_cast<int>(last_id_)));
  }

  void Track(ForwardId id, const ForwardSpec& spec) {
    OpenRequest request;
    request.deadline = now_ + RandomTables::kLongestTimeout;
    ApplyRoute(spec, now_, &request);
    request.last_event_id = spec.last_event_id.value_or(0);
    checker_.Add(id, request);
  }

  /// Sets what the node's tables say of the request.
  void ApplyRoute(const ForwardSpec& spec, TimePoint arrived_at,
                  OpenRequest* request) const {
    const ForwardingRoute* route =
        node_.tables_index()->FindRoute(spec.host, spec.path);
    if (route == nullptr) return;
    request->deadline =
        arrived_at +
        std::min(route->timeout, spec.time_left.value_or(route->timeout));
    request->is_stream = route->kind == RouteKind::kStreaming;
  }

  static Fingerprint ContentFingerprint(const std::string& content) {
    return ComputeFingerprint({content});
  }

  void Disconnect() {
    if (const std::optional<ForwardId> id = AnyOpen(false))
      Submit(forward_event::CallerDisconnected{*id});
  }

  /// Returns a request in progress.
  std::optional<ForwardId> AnyOpen(bool has_attempt) {
    std::vector<ForwardId> ids;
    for (const auto& [id, request] : checker_.open()) {
      const bool is_silent = silent_.count(request.upstream) > 0;
      if (!has_attempt || (request.has_attempt && !is_silent))
        ids.push_back(id);
    }
    if (ids.empty()) return std::nullopt;
    return AnyOf(ids);
  }

  // Attempts.

  void AdvanceAttempts() {
    for (int i = Uniform(1, 4); i > 0; --i) AdvanceAttempt();
  }

  void AdvanceAttempt() {
    const std::optional<ForwardId> id = AnyOpen(true);
    if (!id.has_value()) return;
    const OpenRequest& request = checker_.open().at(*id);
    const bool is_relayed = request.upstream.empty();
    if (is_cut_ && !is_relayed && !request.attempt_begun) {
      EndAttempt(*id, ForwardOutcome::kNotSent);
    } else if (request.attempt_begun && Chance(0.93)) {
      ReceiveEvents(*id);
    } else if (request.attempt_begun) {
      EndAttempt(*id,
                 AnyOf<ForwardOutcome>({ForwardOutcome::kCompleted,
                                        ForwardOutcome::kCompleted,
                                        ForwardOutcome::kConnectionLost,
                                        ForwardOutcome::kInvalidResponse}));
    } else {
      AnswerAttempt(*id);
    }
  }

  void AnswerAttempt(ForwardId id) {
    const bool is_stream = checker_.open().at(id).is_stream;
    const bool is_rejected = Chance(rejected_share_);
    Submit(forward_event::ResponseHeadReceived{id, AnySignals(is_rejected)});
    if (is_rejected) {
      EndAttempt(id, ForwardOutcome::kRejected);
    } else if (is_stream && Chance(0.8)) {
      ReceiveEvents(id);
    } else {
      EndAttempt(
          id,
          AnyOf<ForwardOutcome>(
              {ForwardOutcome::kCompleted, ForwardOutcome::kCompleted,
               ForwardOutcome::kCompleted, ForwardOutcome::kNotSent,
               ForwardOutcome::kFailed, ForwardOutcome::kConnectionLost,
               ForwardOutcome::kInvalidResponse, ForwardOutcome::kCancelled}));
    }
  }

  UpstreamSignals AnySignals(bool is_rejected) {
    UpstreamSignals signals;
    if (Chance(0.7)) signals.load = ReportedLoad{Uniform(0, 6), 0, 4, 100};
    if (Chance(0.03)) signals.max_requests_per_s = Uniform(0, 20);
    signals.leaving = Chance(0.002);
    if (is_rejected && Chance(0.3))
      signals.retry_after = Uniform(0, 400) * kMillisecond;
    if (is_rejected && Chance(0.05)) signals.max_rejections_per_s = 2;
    return signals;
  }

  void ReceiveEvents(ForwardId id) {
    OpenRequest& request = checker_.open().at(id);
    request.attempt_begun = true;
    request.response_begun = true;
    request.last_event_id += Uniform(1, 3);
    const std::int64_t last_event_id = request.last_event_id;
    Submit(forward_event::FirstEventReceived{id});
    Submit(forward_event::EventsForwarded{id, last_event_id});
  }

  void EndAttempt(ForwardId id, ForwardOutcome end) {
    const auto found = checker_.open().find(id);
    if (found == checker_.open().end() || !found->second.has_attempt) return;
    forward_event::AttemptEnded ended{id, end, StatusOf(end), {}, {}};
    if (Chance(0.5)) ended.connection_idle = Uniform(0, 900) * kMillisecond;
    Submit(ended);
  }

  int StatusOf(ForwardOutcome end) {
    if (end == ForwardOutcome::kCompleted) return 200;
    if (end == ForwardOutcome::kFailed) return 500;
    return end == ForwardOutcome::kRejected ? AnyOf<int>({421, 429, 503}) : 0;
  }

  // Tables.

  void ChangeTables() {
    ++version_;
    tables_.push_back(std::make_shared<const ForwardingIndex>(
        RandomTables(&random_).Make(version_)));
    if (Chance(0.5)) {
      Submit(forward_event::TablesWatchUpdate{tables_.back()});
    } else {
      Submit(forward_event::TablesRead{tables_.back(), now_, Chance(0.1)});
    }
  }

  /// Many versions within few milliseconds, some of them out of order.
  void SendTableStorm() {
    for (int i = Uniform(3, 12); i > 0; --i) {
      ChangeTables();
      AdvanceTime(Uniform(0, 2) * kMillisecond);
      if (Chance(0.3)) ReadOlderTables();
    }
  }

  void ReadOlderTables() {
    Submit(forward_event::TablesRead{AnyOf(tables_),
                                     now_ - Uniform(0, 9) * kSecond});
  }

  void ConfirmTables() {
    Submit(forward_event::TablesRead{tables_.back(), now_});
  }

  // Upstreams.

  void ListUpstreams() {
    std::vector<ForwardUpstreamInfo> list;
    for (int i = 0; i < kUpstreams; ++i) {
      if (Chance(0.1)) ++incarnations_[i];
      if (Chance(0.1)) continue;
      ForwardUpstreamInfo info;
      info.id = {Name("u", i), incarnations_[i]};
      info.address = info.id.name;
      info.service = Chance(0.95) ? std::string(1, "abc"[i % 3]) : "a";
      info.domain = Name("d", i % 2);
      info.software_version = VersionOf(incarnations_[i]);
      info.slots = Uniform(1, 6);
      info.leaving = Chance(0.05);
      list.push_back(info);
    }
    forward_event::UpstreamsListed listed{list, ++revision_, {}};
    if (Chance(0.5)) listed.read_at = now_;
    Submit(listed);
  }

  static std::string VersionOf(std::uint64_t incarnation) {
    return incarnation == 0 ? "" : "v" + std::to_string(incarnation / 2);
  }

  /// Changes which upstreams are silent, and what the others answer.
  void ChangeUpstreamBehavior() {
    silent_.clear();
    for (int i = 0; i < kUpstreams; ++i) {
      if (Chance(0.4)) silent_.insert(Name("u", i));
    }
    rejected_share_ = AnyOf<double>({0, 0.1, 0.9});
    is_cut_ = Chance(0.15);
    for (const UpstreamId& upstream : std::exchange(probes_, {})) {
      Submit(forward_event::UpstreamProbed{upstream, !is_cut_});
    }
  }

  // Peers and the store.

  void HearFromPeers() {
    for (int i = 0; i < 3; ++i) {
      if (Chance(0.2)) continue;
      Heartbeat heartbeat;
      MemberRecord record;
      record.id = {Name("p", i), 1};
      record.peer_address = record.id.name;
      record.heartbeat = ++heartbeat_number_;
      record.tables_version = version_ + (Chance(0.01) ? 1 : 0);
      record.checks_tables_version = Chance(0.9);
      record.draining = Chance(0.1);
      if (Chance(0.2)) record.unreachable_services = {"a"};
      heartbeat.records = {record};
      if (last_id_ > 0 && Chance(0.5)) {
        const auto id = Uniform(1, static_cast<int>(last_id_));
        heartbeat.stream_records = {
            {StreamVersions::KeyOf(std::to_string(id)), AnyBinding()}};
      }
      if (Chance(0.02)) heartbeat.leaving_upstreams = {AnyUpstream()};
      heartbeat.rate_limit_reports = {
          {AnyUpstream(), static_cast<double>(Uniform(0, 20)), Chance(0.8)}};
      heartbeat.granted_permits = {{AnyUpstream(), Uniform(1, 3)}};
      heartbeat.permits_requested_at = now_ - 5 * kMillisecond;
      Submit(forward_event::HeartbeatReceived{heartbeat});
    }
  }

  UpstreamId AnyUpstream() {
    const int number = Uniform(0, kUpstreams - 1);
    return {Name("u", number), incarnations_[number]};
  }

  StreamBinding AnyBinding() {
    return {AnyOf<std::string>({"a", "b", "c"}),
            VersionOf(static_cast<std::uint64_t>(Uniform(0, 4)))};
  }

  /// Peers report crashes by a content that callers of this node send as well.
  void ReportCrashes() {
    const std::string content = Name("shared", Uniform(0, kSharedContents - 1));
    const std::string customer =
        Chance(0.5) ? "" : Name("c", Uniform(0, kCustomers - 1));
    const Fingerprint fingerprint =
        ComputeFingerprint({customer, ToHex(ContentFingerprint(content))});
    std::vector<SuspectReport> reports;
    for (int i = Uniform(2, 4); i > 0; --i) {
      reports.push_back(CrashReport{.fingerprint = fingerprint,
                                    .crash = ++last_crash_,
                                    .age = i * 200 * kMillisecond});
    }
    Submit(forward_event::SuspectsRead{reports});
    if (Chance(0.3)) Submit(forward_event::SuspectLifted{fingerprint});
  }

  void ReadRecords() {
    std::vector<StreamBinding> versions;
    for (int i = Uniform(0, 6); i > 0; --i) versions.push_back(AnyBinding());
    Submit(forward_event::VersionRecordsRead{versions, Chance(0.1)});
  }

  void AnswerLookup() {
    if (lookups_.empty()) return;
    const forward_action::LookUpStream lookup = AnyOf(lookups_);
    forward_event::StreamLookedUp answer{lookup.id, {}, Chance(0.8), {}};
    if (Chance(0.5)) answer.binding = AnyBinding();
    if (!lookup.versions_of.empty() && Chance(0.5))
      answer.versions = std::vector<StreamBinding>{AnyBinding()};
    Submit(answer);
  }

  /// Answers of the store that come after the ends of their requests.
  void RunLateLookups() {
    for (const forward_action::LookUpStream& lookup :
         std::exchange(lookups_, {})) {
      Submit(forward_event::StreamLookedUp{lookup.id, AnyBinding(), true, {}});
    }
  }

  RandomSource random_;
  TimePoint now_ = kStart;
  ForwardNode node_;
  ForwardRequestChecker checker_;
  ForwardId last_id_ = 0;
  std::uint64_t version_ = 0;
  std::vector<std::shared_ptr<const ForwardingIndex>> tables_;
  std::int64_t revision_ = 0;
  std::map<int, std::uint64_t> incarnations_;
  std::uint64_t heartbeat_number_ = 0;
  CrashId last_crash_ = 0;
  std::set<std::string> silent_;  ///< Upstreams that send nothing.
  double rejected_share_ = 0;
  bool is_cut_ = false;  ///< No upstream can be reached.
  std::vector<forward_action::LookUpStream> lookups_;
  std::vector<UpstreamId> probes_;
  std::map<ForwardId, Held> held_;  ///< Not decided by the node yet.
};

}  // namespace pollenledge::testing
