#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/process/forward_node.h"

namespace pollenledge::testing {

/// Key of the customer whose requests on the route "metered" are limited, with
/// one unit a request.
constexpr char kMeteredKey[] = "metered-key";

/// Content of a request that crashes every upstream that starts it.
constexpr char kCrashingContent[] = "crashing";
/// Content of a stream that crashes its upstream half a second after its first
/// event.
constexpr char kLateCrashingContent[] = "late-crashing";

/// A simulated fleet of forwarding nodes and upstreams that runs in virtual
/// time. It owns the nodes, executes the actions they return and delivers
/// heartbeats between them; heartbeats can be lost or blocked by a network
/// partition.
///
/// All nodes share one clock, one upstream list and one set of tables. The
/// seed determines all random choices. Not thread-safe.
class ForwardFleet {
 public:
  static constexpr std::size_t kUpstreamCount = 12;
  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  static constexpr Duration kSecond = std::chrono::seconds(1);

  /// Starts `nodes` nodes and runs them for 2 s, so that they know each other.
  /// `limit_per_s` limits the customer of kMeteredKey over all nodes.
  ForwardFleet(std::size_t nodes, std::uint64_t seed, double retry_slack = 1000,
               double limit_per_s = 0, RolloutLimits rollout_limits = {})
      : retry_slack_(retry_slack),
        limit_per_s_(limit_per_s),
        rollout_limits_(rollout_limits),
        random_(seed) {
    for (std::size_t i = 0; i < kUpstreamCount; ++i) {
      upstreams_.push_back({.name = "u" + std::to_string(i)});
    }
    for (std::size_t i = 0; i < nodes; ++i) AddNode();
    RunFor(2 * kSecond);
  }

  /// Adds a node to the fleet and starts its periodic ticks.
  void AddNode() {
    nodes_.push_back(nullptr);
    StartNode(nodes_.size() - 1);
    Tick(nodes_.size() - 1);
  }

  /// Starts or restarts a node under a new incarnation. It knows nothing of its
  /// previous run but the crashes that the fleet has persisted. Its requests in
  /// progress are lost.
  void StartNode(std::size_t node) {
    for (const auto& [id, attempt] : std::map(attempts_)) {
      if (attempt.node == node)
        EndRelay(id, ForwardOutcome::kConnectionLost, 0);
    }
    std::erase_if(attempts_, [node](const auto& entry) {
      return entry.second.node == node;
    });
    for (FakeUpstream& upstream : upstreams_) upstream.told_at.erase(node);
    ForwardNodeOptions options;
    options.self.id = {"n" + std::to_string(node), ++incarnation_};
    options.self.peer_address = std::to_string(node);
    options.seeds = {"0", "1", "2"};
    options.retry_slack = retry_slack_;
    options.rollout_limits = rollout_limits_;
    options.random_seed = incarnation_;
    // Machines of two sizes: the larger ones are preferred as collectors.
    options.self.cpu_percent = node % 8 == 0 ? 50 : 12;
    nodes_[node] = std::make_unique<ForwardNode>(options);
    ReadTables(node, 1);
    Submit(node, ListUpstreams());
    delivered_crashes_.erase(node);
    Submit(node, forward_event::SuspectsRead{NewPersistedReports(node)});
  }

  /// Passes the tables of `version` to a node as read from the store now. From
  /// version 2 on they have another route, "added".
  void ReadTables(std::size_t node, std::uint64_t version) {
    Submit(node, forward_event::TablesRead{MakeIndex(version), now_});
  }

  /// Sends a request to a node now; returns the request's id. `route` is
  /// "read", "once", "order", "draft" or "chat". Content kCrashingContent
  /// crashes the upstream when it arrives, and a shared segment in
  /// `crashing_segments` when the upstream begins to write the response.
  ForwardId SubmitRequest(std::size_t node, const std::string& route,
                          const std::string& content,
                          const std::vector<std::uint64_t>& segments = {},
                          bool is_relayed = false,
                          std::uint64_t min_tables_version = 0,
                          std::optional<int> max_runs = std::nullopt) {
    const ForwardId id = next_id_++;
    ForwardSpec spec;
    spec.is_relayed = is_relayed;
    spec.min_tables_version = min_tables_version;
    spec.max_runs = max_runs;
    for (const std::uint64_t segment : segments) {
      spec.prompt_segments.push_back({segment, kSegmentTokens});
    }
    const std::vector<std::uint64_t> shared = SharedSegmentIds(spec);
    crashes_on_start_[id] =
        std::any_of(shared.begin(), shared.end(), [&](std::uint64_t segment) {
          return crashing_segments.count(segment) > 0;
        });
    spec.trace_id = content + std::to_string(id);
    spec.host = "h";
    spec.api_key = kMeteredKey;
    spec.path = "/" + route + "/x";
    const std::string body = content.substr(0, content.find('?'));
    spec.content_fingerprint = ComputeFingerprint({route, content});
    if (body != content)
      spec.path_fingerprint = ComputeFingerprint({route, body});
    contents_[id] = body;
    routes_[id] = route;
    submitted_at_[id] = now_;
    Submit(node, forward_event::RequestArrived{id, spec});
    return id;
  }

  /// Passes an event to a node and executes the actions it returns.
  void Submit(std::size_t node, const ForwardEvent& event) {
    for (const ForwardAction& action :
         nodes_[node]->Handle(event, {now_, WallTime()})) {
      std::visit([&](const auto& known) { Execute(node, known); }, action);
    }
  }

  /// Advances the virtual clock and runs the events that are due.
  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    now_ = end;
  }

  /// Crashes an upstream with all its running attempts, unless it is already
  /// down. It restarts under a new incarnation after kUpstreamRestartTime.
  void CrashUpstream(std::size_t upstream) {
    if (now_ < upstreams_[upstream].down_until) return;
    upstreams_[upstream].down_until = now_ + kUpstreamRestartTime;
    ++upstreams_[upstream].incarnation;
    const std::string& name = upstreams_[upstream].name;
    for (const auto& [id, attempt] : std::map(attempts_)) {
      if (attempt.upstream == name && IsRunning(id, attempt.number))
        EndAttempt(id, ForwardOutcome::kConnectionLost);
    }
    Schedule(kUpstreamRestartTime + 100 * kMillisecond, [this] {
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        Submit(node, ListUpstreams());
      }
    });
  }

  /// Sets the requests per second that an upstream states in its responses from
  /// now on; empty: it states no limit.
  void StateLimit(std::size_t upstream, std::optional<double> requests_per_s) {
    upstreams_[upstream].requests_per_s = requests_per_s;
  }

  /// Makes all upstreams brittle: from now on each rejects requests beyond its
  /// slots, states `max_rejections_per_s`, and crashes if it has to reject more
  /// than that in a second.
  void MakeBrittle(int max_rejections_per_s) {
    max_rejections_per_s_ = max_rejections_per_s;
  }

  /// Sets the number of requests that each upstream runs concurrently.
  void SetSlots(int slots) {
    slots_ = slots;
    ListUpstreamsAtAllNodes();
  }

  /// Passes the current list of upstreams to all nodes.
  void ListUpstreamsAtAllNodes() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      Submit(node, ListUpstreams());
    }
  }

  /// Returns the number of requests that the upstreams from `first` to before
  /// `end` received.
  std::size_t ArrivalsAt(std::size_t first, std::size_t end) const {
    std::size_t count = 0;
    for (std::size_t i = first; i < end; ++i) {
      count += upstreams_[i].arrivals.size();
    }
    return count;
  }

  /// A request that an upstream received.
  struct Arrival {
    TimePoint at;
    std::size_t node = 0;
    /// The node had received the upstream's limit at least `kToldTime` before.
    bool node_was_told = false;
  };
  static constexpr Duration kToldTime = std::chrono::milliseconds(500);

  /// Returns the largest number of requests that the upstream received within
  /// `window` after `from`, from all nodes or from those that were told.
  std::size_t MostArrivals(std::size_t upstream, TimePoint from,
                           Duration window, bool only_told) const {
    std::vector<TimePoint> times;
    for (const Arrival& arrival : upstreams_[upstream].arrivals) {
      if (arrival.at < from || (only_told && !arrival.node_was_told)) continue;
      times.push_back(arrival.at);
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= window) ++first;
      most = std::max(most, last + 1 - first);
    }
    return most;
  }

  /// Number of crashes later than `propagation_time` after the third crash. By
  /// then every node should reject the crash-causing request.
  std::size_t CrashesAfterThird(Duration propagation_time) const {
    if (crash_times.size() < 3) return 0;
    return static_cast<std::size_t>(std::count_if(
        crash_times.begin(), crash_times.end(),
        [&](TimePoint at) { return at > crash_times[2] + propagation_time; }));
  }

  ForwardNode& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  /// Fingerprint under which nodes suspect kCrashingContent on `route`.
  Fingerprint CrashingFingerprint(const std::string& route) const {
    return ComputeFingerprint(
        {"", ToHex(ComputeFingerprint({route, kCrashingContent}))});
  }
  TimePoint now() const { return now_; }

  // Times at which the crash-causing request crashed an upstream.
  std::vector<TimePoint> crash_times;
  // Prompt segments that crash each upstream that begins to write a response.
  std::set<std::uint64_t> crashing_segments;
  // Times at which upstreams received a request with such a segment.
  std::vector<TimePoint> crashing_send_times;
  // The response to each request: "failed", "delivered", or why it was
  // rejected.
  std::map<ForwardId, std::string> responses;
  // Contents of the requests that were rejected as suspects.
  std::set<std::string> rejected_suspect_contents;
  // Number of responses to callers: "refused", "failed" or "delivered".
  std::map<std::string, int> response_counts;
  // The longest time from the arrival of a request to its rejection.
  Duration longest_wait_of_rejected{0};
  // Number of log lines of all nodes, by event.
  std::map<std::string, int> log_line_counts;
  // Number of attempts, by the version of the tables that they were decided by.
  std::map<std::string, int> sent_by_version;
  // Number of attempts that reached an upstream, by the request's content.
  std::map<std::string, int> arrival_counts;
  // Counters of all nodes, by name and labels.
  std::map<std::string, int> counters;
  // Times of the first attempts and of the retries.
  std::vector<TimePoint> first_send_times;
  std::vector<TimePoint> retry_times;
  // Crashes of brittle upstreams that had to reject too much.
  int brittle_crashes = 0;
  // Whether upstreams fail every attempt.
  bool upstreams_fail = false;
  // Software versions of the upstreams; empty: they state none. Upstreams
  // beyond its end are not listed.
  std::vector<std::string> software_versions;
  // The version whose upstreams fail every attempt; empty: none.
  std::string failing_version;
  // Probability that a heartbeat datagram is lost.
  double datagram_loss = 0;
  // Returns whether a network partition separates a node from an upstream.
  // Unset: no partition.
  std::function<bool(std::size_t, std::size_t)> is_cut_from_upstream;
  // How long a node waits until connecting to such an upstream fails.
  Duration connect_failure_time = kMillisecond;
  // Returns whether a node runs an earlier release, which knows nothing of the
  // tables version of a relayed request. Unset: none does.
  std::function<bool(std::size_t)> is_earlier_release;
  // Heartbeat messages that each node has sent, lost ones too.
  std::map<std::size_t, int> heartbeats_sent;
  // Reads of the tables that the nodes asked for.
  int tables_reads = 0;
  // Reads of the persisted crashes that the nodes asked for.
  int suspects_reads = 0;
  // Whether crashes can be neither persisted nor read.
  bool is_store_cut = false;
  // Returns whether a network partition separates the sender from the receiver.
  // Unset: no partition.
  std::function<bool(std::size_t, std::size_t)> is_partitioned;

 private:
  struct FakeUpstream {
    std::string name;
    std::uint64_t incarnation = 1;
    TimePoint down_until;
    std::optional<double> requests_per_s;  // The limit that it states.
    std::vector<Arrival> arrivals;
    std::deque<TimePoint> rejections;          // Of the last second.
    std::map<std::size_t, TimePoint> told_at;  // By node, of this limit.
  };
  struct Attempt {
    std::size_t node = 0;
    std::string upstream;
    int number = 0;  // Unique over the fleet; a retry gets a new one.
    bool has_arrived = false;
  };

  struct PersistedCrash {
    CrashReport report;
    TimePoint persisted_at;
  };

  // The persisted crashes that a node has not read since its start.
  std::vector<SuspectReport> NewPersistedReports(std::size_t node) {
    std::vector<SuspectReport> reports;
    if (is_store_cut) return reports;
    for (const auto& [key, crash] : persisted_crashes_) {
      if (!delivered_crashes_[node].insert(key).second) continue;
      CrashReport report = crash.report;
      report.age += now_ - crash.persisted_at;
      reports.emplace_back(report);
    }
    return reports;
  }

  // Tables with a route "metered" of the customer of kMeteredKey, and public
  // ones of each kind: "read" and "order", and the streams
  // "draft" and "chat", of which only "draft" can be resumed. From version 2 on
  // another one, "added".
  std::shared_ptr<const ForwardingIndex> MakeIndex(
      std::uint64_t version) const {
    ForwardingTables tables;
    tables.version = version;
    std::map<std::string, RouteKind> routes{
        {"read", RouteKind::kIdempotent}, {"metered", RouteKind::kIdempotent},
        {"once", RouteKind::kIdempotent}, {"order", RouteKind::kNonIdempotent},
        {"draft", RouteKind::kStreaming}, {"chat", RouteKind::kStreaming}};
    if (version > 1) routes["added"] = RouteKind::kIdempotent;
    for (const auto& [name, kind] : routes) {
      ForwardingRoute route;
      route.name = name;
      route.host = "h";
      route.path_prefix = "/" + route.name + "/";
      route.kind = kind;
      route.resumable = name != "chat";
      route.is_public = name != "metered";
      route.services = {{"s", 1}};
      route.timeout = 10 * kSecond;
      route.latency_target = kSecond;
      route.event_gap_target = kSecond;
      const bool runs_once =
          name == "order" || name == "chat" || name == "once";
      route.max_attempts = runs_once ? 1 : 2;
      tables.routes.push_back(route);
    }
    tables.services = {{.name = "s"}};
    tables.access = KnownCustomers{{{.name = "metered",
                                     .api_keys = {kMeteredKey},
                                     .limit_per_s = limit_per_s_,
                                     .burst = limit_per_s_}}};
    return std::make_shared<const ForwardingIndex>(std::move(tables));
  }

  forward_event::UpstreamsListed ListUpstreams() const {
    forward_event::UpstreamsListed listed;
    for (const FakeUpstream& upstream : upstreams_) {
      ForwardUpstreamInfo info;
      info.id = {upstream.name, upstream.incarnation};
      info.address = upstream.name;
      info.service = "s";
      info.domain = "d";
      info.slots = slots_;
      const std::size_t index = listed.upstreams.size();
      if (!software_versions.empty()) {
        // Upstreams without a version are not listed.
        if (index >= software_versions.size()) break;
        info.software_version = software_versions[index];
      }
      listed.upstreams.push_back(info);
    }
    return listed;
  }

  // Runs `event` once `delay` has passed.
  void Schedule(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void Tick(std::size_t node) {
    Submit(node, forward_event::Ticked{});
    Schedule(50 * kMillisecond, [this, node] { Tick(node); });
  }

  void Execute(std::size_t node, const forward_action::SendAttempt& send) {
    (send.previous_end.has_value() ? retry_times : first_send_times)
        .push_back(now_);
    const int number = ++attempt_number_;
    attempts_[send.id] = {node, send.upstream.name, number};
    const auto index =
        static_cast<std::size_t>(std::stoul(send.upstream.name.substr(1)));
    if (is_cut_from_upstream && is_cut_from_upstream(node, index)) {
      Schedule(connect_failure_time, [this, id = send.id, number] {
        if (IsRunning(id, number)) EndAttempt(id, ForwardOutcome::kNotSent);
      });
      return;
    }
    Schedule(kMillisecond, [this, id = send.id, number, index] {
      if (!IsRunning(id, number)) return;
      RecordArrival(attempts_.at(id).node, index);
      attempts_.at(id).has_arrived = true;
      ++arrival_counts[contents_.at(id)];
      if (now_ < upstreams_[index].down_until) {
        EndAttempt(id, ForwardOutcome::kNotSent);
      } else if (upstreams_fail ||
                 (!failing_version.empty() &&
                  software_versions[index] == failing_version)) {
        EndAttempt(id, ForwardOutcome::kFailed);
      } else if (max_rejections_per_s_.has_value() &&
                 RunningAt(index) > slots_) {
        RejectForWantOfRoom(id, index);
      } else if (contents_[id] == kCrashingContent) {
        crash_times.push_back(now_);
        CrashUpstream(index);
      } else if (crashes_on_start_[id]) {
        crashing_send_times.push_back(now_);
        Schedule(kPromptTime, [this, id, number, index] {
          if (!IsRunning(id, number)) return;
          crash_times.push_back(now_);
          CrashUpstream(index);
        });
      } else if (IsStream(id)) {
        Schedule(kPromptTime,
                 [this, id, number] { WriteEvent(id, number, 1); });
      } else {
        Schedule(kServiceTime, [this, id, number] {
          if (!IsRunning(id, number)) return;
          SubmitHead(id);
          EndAttempt(id, ForwardOutcome::kCompleted);
        });
      }
    });
  }
  // Another node handles the request as a caller's and responds to this one.
  void Execute(std::size_t node, const forward_action::RelayRequest& relay) {
    const int number = ++attempt_number_;
    attempts_[relay.id] = {node, "", number};
    const std::size_t peer = std::stoul(relay.address);
    const std::string route = routes_.at(relay.id);
    const std::string content = contents_.at(relay.id);
    ++log_line_counts["relay"];
    const std::uint64_t min_version =
        is_earlier_release && is_earlier_release(peer)
            ? 0
            : relay.min_tables_version;
    Schedule(kMillisecond, [this, id = relay.id, number, peer, route, content,
                            min_version, max_runs = relay.max_runs] {
      if (!IsRunning(id, number)) return;
      relayed_from_[next_id_] = id;
      SubmitRequest(peer, route, content, {}, true, min_version, max_runs);
    });
  }
  void Execute(std::size_t node, const forward_action::ProbeUpstream& probe) {
    const auto index =
        static_cast<std::size_t>(std::stoul(probe.upstream.name.substr(1)));
    const bool is_cut =
        is_cut_from_upstream && is_cut_from_upstream(node, index);
    const bool is_down = now_ < upstreams_[index].down_until;
    Schedule(is_cut ? connect_failure_time : kMillisecond,
             [this, node, upstream = probe.upstream, is_cut, is_down] {
               Submit(node, forward_event::UpstreamProbed{upstream,
                                                          !is_cut && !is_down});
             });
  }
  // Ends the attempt of the node that relayed a request.
  bool EndRelay(ForwardId id, ForwardOutcome end, int status) {
    const auto found = relayed_from_.find(id);
    if (found == relayed_from_.end()) return false;
    const ForwardId origin = found->second;
    relayed_from_.erase(found);
    relayed_statuses_[origin] = status;
    Schedule(kMillisecond, [this, origin, end, status] {
      const auto attempt = attempts_.find(origin);
      if (attempt == attempts_.end()) return;
      const std::size_t node = attempt->second.node;
      attempts_.erase(attempt);
      Submit(node, forward_event::AttemptEnded{origin, end, status, {}});
    });
    return true;
  }
  void Execute(std::size_t, const forward_action::Reject& refuse) {
    if (EndRelay(refuse.id, ForwardOutcome::kRejected,
                 refuse.not_run.http_status))
      return;
    ++response_counts["refused"];
    longest_wait_of_rejected = std::max<Duration>(
        longest_wait_of_rejected, now_ - submitted_at_.at(refuse.id));
    responses[refuse.id] = refuse.not_run.problem_type;
    const std::string& reason = refuse.not_run.problem_type;
    if (reason == "ends-upstreams" || reason == "tried-alone") {
      rejected_suspect_contents.insert(contents_[refuse.id]);
    }
  }
  void Execute(std::size_t, const forward_action::Fail& fail) {
    if (EndRelay(fail.id, ForwardOutcome::kFailed, fail.status)) return;
    ++response_counts["failed"];
    responses[fail.id] = "failed";
  }
  void Execute(std::size_t, const forward_action::DeliverResponse& deliver) {
    if (EndRelay(deliver.id, ForwardOutcome::kCompleted, 200)) return;
    const auto relayed = relayed_statuses_.find(deliver.id);
    const bool is_error =
        relayed != relayed_statuses_.end() && relayed->second >= 400;
    const std::string outcome =
        is_error ? std::to_string(relayed->second) : "delivered";
    ++response_counts[outcome];
    responses[deliver.id] = outcome;
  }
  void Execute(std::size_t, const forward_action::CancelAttempt& cancel) {
    attempts_.erase(cancel.id);
  }
  void Execute(std::size_t node, const forward_action::SendHeartbeat& send) {
    const std::size_t to = std::stoul(send.message.address);
    ++heartbeats_sent[node];
    if (std::uniform_real_distribution<>(0, 1)(random_) < datagram_loss) return;
    if (to >= nodes_.size() || (is_partitioned && is_partitioned(node, to)))
      return;
    Heartbeat heartbeat = send.message.heartbeat;
    for (MemberRecord& record : heartbeat.records) {
      if (is_earlier_release &&
          is_earlier_release(std::stoul(record.id.name.substr(1))))
        record.checks_tables_version = false;
    }
    Schedule(kMillisecond, [this, to, heartbeat = std::move(heartbeat)] {
      Submit(to, forward_event::HeartbeatReceived{heartbeat});
    });
  }
  void Execute(std::size_t, const forward_action::PollPromptCache&) {}
  void Execute(std::size_t node, const forward_action::ReadUpstreams&) {
    forward_event::UpstreamsListed listed = ListUpstreams();
    listed.read_at = now_;
    Schedule(kMillisecond, [this, node, listed = std::move(listed)] {
      Submit(node, listed);
    });
  }
  void Execute(std::size_t, const forward_action::ReadTables&) {
    ++tables_reads;
  }
  // The nodes of this fleet get their tables by `ReadTables` only.
  void Execute(std::size_t, const forward_action::ParseTables&) {}
  void Execute(std::size_t node, const forward_action::ReadSuspects&) {
    ++suspects_reads;
    Schedule(kMillisecond, [this, node] {
      const auto reports = NewPersistedReports(node);
      if (!reports.empty()) Submit(node, forward_event::SuspectsRead{reports});
    });
  }
  void Execute(std::size_t, const forward_action::PersistSuspects& persist) {
    if (is_store_cut) return;
    for (const CrashReport& report : persist.crash_reports) {
      persisted_crashes_.try_emplace({report.fingerprint, report.crash},
                                     PersistedCrash{report, now_});
    }
  }
  void Execute(std::size_t, const forward_action::UpdateVersionRecords&) {}
  void Execute(std::size_t, const forward_action::RecordStreams&) {}
  void Execute(std::size_t, const forward_action::LookUpStream&) {}
  void Execute(std::size_t, const forward_action::Count& count) {
    ++counters[count.counter + " " + count.labels];
  }
  void Execute(std::size_t, const forward_action::WriteLogLine& line) {
    ++log_line_counts[line.event];
    for (const LogField& field : line.fields) {
      if (line.event == "sent" && field.name == "tables_version")
        ++sent_by_version[field.value];
    }
  }

  bool IsStream(ForwardId id) const {
    const std::string& route = routes_.at(id);
    return route == "draft" || route == "chat";
  }

  // Delivers an event of a stream and schedules the next one or the end.
  void WriteEvent(ForwardId id, int number, int event) {
    if (!IsRunning(id, number)) return;
    const std::size_t node = attempts_.at(id).node;
    if (event == kLateCrashEvent && contents_[id] == kLateCrashingContent) {
      crash_times.push_back(now_);
      CrashUpstream(std::stoul(attempts_.at(id).upstream.substr(1)));
      return;
    }
    if (event == 1) SubmitHead(id);
    Submit(node, forward_event::FirstEventReceived{id});
    Submit(node, forward_event::EventsForwarded{id, event});
    Schedule(kEventInterval, [this, id, number, event] {
      if (!IsRunning(id, number)) return;
      if (event < kStreamEvents) {
        WriteEvent(id, number, event + 1);
      } else {
        EndAttempt(id, ForwardOutcome::kCompleted);
      }
    });
  }

  // The number of attempts that an upstream has, with the newest one.
  int RunningAt(std::size_t index) const {
    return static_cast<int>(std::count_if(
        attempts_.begin(), attempts_.end(), [&](const auto& entry) {
          return entry.second.upstream == upstreams_[index].name &&
                 entry.second.has_arrived;
        }));
  }

  void RejectForWantOfRoom(ForwardId id, std::size_t index) {
    std::deque<TimePoint>& rejections = upstreams_[index].rejections;
    rejections.push_back(now_);
    while (now_ - rejections.front() >= kSecond) rejections.pop_front();
    SubmitHead(id);
    if (static_cast<int>(rejections.size()) <= *max_rejections_per_s_) {
      EndAttempt(id, ForwardOutcome::kRejected);
      return;
    }
    rejections.clear();
    ++brittle_crashes;
    CrashUpstream(index);
  }

  void RecordArrival(std::size_t node, std::size_t upstream_index) {
    FakeUpstream& upstream = upstreams_[upstream_index];
    const auto told = upstream.told_at.find(node);
    const bool was_told =
        told != upstream.told_at.end() && now_ - told->second >= kToldTime;
    upstream.arrivals.push_back({now_, node, was_told});
  }

  // Delivers the head of the response to a running attempt.
  void SubmitHead(ForwardId id) {
    const Attempt& attempt = attempts_.at(id);
    FakeUpstream& upstream = upstreams_[static_cast<std::size_t>(
        std::stoul(attempt.upstream.substr(1)))];
    UpstreamSignals signals;
    signals.max_requests_per_s = upstream.requests_per_s;
    if (max_rejections_per_s_.has_value())
      signals.max_rejections_per_s = *max_rejections_per_s_;
    if (signals.max_requests_per_s.has_value()) {
      upstream.told_at.try_emplace(attempt.node, now_);
    } else {
      upstream.told_at.erase(attempt.node);
    }
    Submit(attempt.node, forward_event::ResponseHeadReceived{id, signals});
  }

  // Whether this attempt is still the current one of its request.
  bool IsRunning(ForwardId id, int number) const {
    const auto found = attempts_.find(id);
    return found != attempts_.end() && found->second.number == number;
  }

  void EndAttempt(ForwardId id, ForwardOutcome end) {
    const std::size_t node = attempts_.at(id).node;
    attempts_.erase(id);
    Submit(node, forward_event::AttemptEnded{
                     id, end, end == ForwardOutcome::kCompleted ? 200 : 0, {}});
  }

  // How long a crashed upstream stays down.
  static constexpr Duration kUpstreamRestartTime = 2 * kSecond;
  static constexpr Duration kServiceTime = 30 * kMillisecond;
  // From the arrival of a stream's request to its first event.
  static constexpr Duration kPromptTime = 200 * kMillisecond;
  static constexpr Duration kEventInterval = 50 * kMillisecond;
  static constexpr int kStreamEvents = 12;
  static constexpr int kLateCrashEvent = 11;
  static constexpr std::int64_t kSegmentTokens = 100;

  TimePoint now_{std::chrono::seconds(1000)};
  double retry_slack_;
  double limit_per_s_;
  RolloutLimits rollout_limits_;
  int slots_ = 64;
  std::optional<int> max_rejections_per_s_;
  std::uint64_t incarnation_ = 0;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<ForwardNode>> nodes_;
  std::vector<FakeUpstream> upstreams_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<ForwardId, Attempt> attempts_;
  std::map<ForwardId, std::string> contents_;
  std::map<ForwardId, std::string> routes_;
  // The request that another node relayed, by that of the receiving node.
  std::map<ForwardId, ForwardId> relayed_from_;
  // The status of the last relay's response, by the request that was relayed.
  std::map<ForwardId, int> relayed_statuses_;
  std::map<ForwardId, TimePoint> submitted_at_;
  std::map<ForwardId, bool> crashes_on_start_;
  // By request or prompt segment and crash.
  std::map<std::pair<Fingerprint, CrashId>, PersistedCrash> persisted_crashes_;
  // What each node has read of them since its start.
  std::map<std::size_t, std::set<std::pair<Fingerprint, CrashId>>>
      delivered_crashes_;
  ForwardId next_id_ = 1;
  int attempt_number_ = 0;
};

}  // namespace pollenledge::testing
