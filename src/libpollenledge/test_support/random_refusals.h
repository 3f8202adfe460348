#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pollenledge/process/forward_node.h"
#include "random_tables.h"

namespace pollenledge::testing {

/// Several `ForwardNode`s in virtual time that share upstreams and relay
/// requests to each other, while nodes stop, go on, drain and end, upstreams
/// refuse, stand still, crash and run what they received long before, and
/// tables change. It knows which requests ran, and collects each request that
/// was refused with a status that means "did not run and will not run" although
/// it ran before or later. The seed determines all of it.
class RandomRefusals {
 public:
  explicit RandomRefusals(std::uint64_t seed) : random_(seed) {
    upstreams_.resize(kUpstreams);
    nodes_.resize(kNodes);
    ChangeTables();
    for (std::size_t node = 0; node < kNodes; ++node) StartNode(node);
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      RunFor(Uniform(0, 4) * kMillisecond);
      Step();
    }
    for (std::size_t i = 0; i < kUpstreams; ++i) GoOnUpstream(i);
    for (std::size_t i = 0; i < kNodes; ++i) GoOnNode(i);
    RunFor(2 * RandomTables::kLongestTimeout);
  }

  /// What broke a promise.
  const std::vector<std::string>& violations() const { return violations_; }
  /// How often each kind of event occurred.
  const std::map<std::string, int>& counts() const { return counts_; }

 private:
  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  static constexpr std::size_t kNodes = 4;
  static constexpr std::size_t kUpstreams = 6;
  static constexpr int kSteps = 2500;

  /// A request as one node has it.
  struct Exchange {
    std::uint64_t root = 0;  ///< The caller's request.
    std::size_t node = 0;
    ForwardSpec spec;
    /// The exchange of the node that relayed it, and its attempt; 0: none did.
    ForwardId parent = 0;
    int parent_attempt = 0;
    int attempt = 0;          ///< The one in progress; 0: none.
    ForwardId child = 0;      ///< At the node that the attempt is relayed to.
    int response_status = 0;  ///< Of the last attempt's response.
    bool began = false;       ///< Its stream has begun.
  };
  /// A request that an upstream received.
  struct Job {
    ForwardId id = 0;
    int attempt = 0;
    std::uint64_t root = 0;
    std::string content;
    bool is_stream = false;
  };
  struct Upstream {
    bool is_stalled = false;
    TimePoint down_until;
    std::uint64_t incarnation = 1;
    double refused_share = 0;
    std::vector<Job> unread;  ///< Received while it stood still.
    std::vector<Job> running;
  };
  struct Node {
    std::unique_ptr<ForwardNode> node;
    std::uint64_t incarnation = 0;
    bool is_stopped = false;
    std::vector<std::function<void()>> pending;  ///< While it is stopped.
    std::set<std::size_t> cut_from;              ///< Upstreams.
  };

  int Uniform(int least, int most) { return random_.Uniform(least, most); }
  bool Chance(double probability) { return random_.Chance(probability); }
  std::size_t AnyNode() {
    return static_cast<std::size_t>(Uniform(0, kNodes - 1));
  }
  std::size_t AnyUpstream() {
    return static_cast<std::size_t>(Uniform(0, kUpstreams - 1));
  }
  Duration Delay() { return Uniform(0, 5) * kMillisecond; }

  void Step() {
    const int choice = Uniform(0, 999);
    if (choice < 860) Arrive();
    if (choice >= 860 && choice < 880) Disconnect();
    if (choice >= 880 && choice < 890) ChangeTables();
    if (choice >= 890 && choice < 910) ListUpstreams(AnyNode());
    if (choice >= 910 && choice < 920) CutOrHeal(AnyNode());
    if (choice >= 920 && choice < 930) StopNode(AnyNode());
    if (choice >= 930 && choice < 950) GoOnNode(AnyNode());
    if (choice >= 950 && choice < 960)
      upstreams_[AnyUpstream()].is_stalled = true;
    if (choice >= 960 && choice < 976) GoOnUpstream(AnyUpstream());
    if (choice >= 976 && choice < 980) Crash(AnyUpstream());
    if (choice >= 980 && choice < 990)
      upstreams_[AnyUpstream()].refused_share =
          random_.AnyOf<double>({0, 0.1, 0.9});
    if (choice >= 990 && choice < 992) DrainNode(AnyNode());
    if (choice >= 992 && choice < 994) EndNode(AnyNode());
  }

  // Time.

  void Schedule(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

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

  /// Runs `event` at a node after `delay`; once it goes on, if it is stopped
  /// then; never, if the process has ended by then.
  void Post(std::size_t node, Duration delay, std::function<void()> event) {
    Schedule(delay, [this, node, incarnation = nodes_[node].incarnation,
                     event = std::move(event)] {
      if (nodes_[node].incarnation != incarnation) return;
      if (nodes_[node].is_stopped) {
        nodes_[node].pending.push_back(event);
      } else {
        event();
      }
    });
  }

  void Submit(std::size_t node, const ForwardEvent& event) {
    for (const ForwardAction& action :
         nodes_[node].node->Handle(event, {now_, WallTime()})) {
      std::visit([&](const auto& known) { Execute(node, known); }, action);
    }
  }

  // Nodes.

  void StartNode(std::size_t index) {
    Node& node = nodes_[index];
    ++node.incarnation;
    node.is_stopped = false;
    node.pending.clear();
    ForwardNodeOptions options;
    options.self.id = {"n" + std::to_string(index), node.incarnation};
    options.self.peer_address = std::to_string(index);
    options.seeds = {"0", "1", "2", "3"};
    options.retry_slack = 1000;
    options.retries_per_request = 2;
    options.drain_timeout = std::chrono::seconds(3);
    options.adaptive_scheduling = Chance(0.5);
    options.random_seed = node.incarnation * kNodes + index;
    node.node = std::make_unique<ForwardNode>(options);
    Submit(index, forward_event::TablesRead{tables_, now_});
    ListUpstreams(index);
    Submit(index, forward_event::SuspectsRead{});
    Tick(index);
  }

  void Tick(std::size_t node) {
    Submit(node, forward_event::Ticked{});
    Post(node, 10 * kMillisecond, [this, node] { Tick(node); });
  }

  void StopNode(std::size_t node) {
    nodes_[node].is_stopped = true;
    Count("node stopped");
  }

  /// The events that arrived meanwhile are handled in any order.
  void GoOnNode(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.is_stopped) return;
    node.is_stopped = false;
    std::vector<std::function<void()>> pending =
        std::exchange(node.pending, {});
    while (!pending.empty()) {
      const auto next =
          pending.begin() +
          Uniform(0, std::min<int>(3, static_cast<int>(pending.size()) - 1));
      const auto event = std::move(*next);
      pending.erase(next);
      event();
    }
  }

  void DrainNode(std::size_t index) {
    if (nodes_[index].is_stopped) return;
    Submit(index, forward_event::DrainStarted{});
    Post(index, std::chrono::seconds(3), [this, index] { EndNode(index); });
    Count("node drained");
  }

  /// Ends the process without further word and starts it again.
  void EndNode(std::size_t index) {
    Count("node ended");
    std::vector<ForwardId> ids;
    for (const auto& [id, exchange] : exchanges_) {
      if (exchange.node == index) ids.push_back(id);
    }
    for (const ForwardId id : ids) {
      const Exchange exchange = exchanges_.at(id);
      LeaveChild(exchange);
      exchanges_.erase(id);
      if (exchange.parent != 0)
        EndLater(exchange.parent, exchange.parent_attempt,
                 ForwardOutcome::kConnectionLost, 0);
    }
    StartNode(index);
  }

  void CutOrHeal(std::size_t index) {
    std::set<std::size_t>& cut = nodes_[index].cut_from;
    if (!cut.empty()) {
      cut.clear();
      return;
    }
    const bool is_whole = Chance(0.7);
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (is_whole || Chance(0.5)) cut.insert(i);
    }
  }

  void ChangeTables() {
    ForwardingTables made = RandomTables(&random_).Make(++version_);
    tables_ = std::make_shared<const ForwardingIndex>(std::move(made));
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (nodes_[i].node == nullptr) continue;
      Post(i, Uniform(0, 300) * kMillisecond, [this, i, tables = tables_] {
        Submit(i, forward_event::TablesWatchUpdate{tables});
      });
    }
  }

  void ListUpstreams(std::size_t node) {
    if (nodes_[node].is_stopped) return;
    forward_event::UpstreamsListed listed;
    listed.revision = ++revision_;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      ForwardUpstreamInfo info;
      info.id = {"u" + std::to_string(i), upstreams_[i].incarnation};
      info.address = info.id.name;
      info.service = std::string(1, "abc"[i % 3]);
      info.domain = "d";
      info.slots = 4;
      info.leaving = Chance(0.05);
      listed.upstreams.push_back(info);
    }
    Submit(node, listed);
  }

  // Callers.

  void Arrive() {
    const std::size_t node = AnyNode();
    ForwardSpec spec;
    const std::uint64_t root = ++last_root_;
    spec.trace_id = std::to_string(root);
    spec.host = "h";
    spec.path =
        "/r" + std::to_string(Uniform(0, RandomTables::kRoutes - 1)) + "/x";
    const std::string content =
        Chance(0.08) ? "crash" + std::to_string(Uniform(0, 2)) : spec.trace_id;
    contents_[root] = content;
    spec.content_fingerprint = ComputeFingerprint({content});
    spec.api_key = "key" + std::to_string(Uniform(0, 2));
    if (Chance(0.5)) spec.time_left = Uniform(1, 1500) * kMillisecond;
    if (Chance(0.1)) {
      spec.last_event_id = Uniform(0, 5);
      spec.first_attempt = std::to_string(Uniform(1, static_cast<int>(root)));
    }
    Exchange exchange;
    exchange.root = root;
    exchange.node = node;
    exchange.spec = spec;
    Post(node, Delay(), [this, exchange] { Begin(exchange); });
  }

  void Begin(const Exchange& exchange) {
    const ForwardId id = ++last_id_;
    exchanges_[id] = exchange;
    if (exchange.parent != 0) {
      // The relaying node may have ended, or given up the attempt.
      const auto parent = exchanges_.find(exchange.parent);
      const bool is_awaited = parent != exchanges_.end() &&
                              parent->second.attempt == exchange.parent_attempt;
      if (is_awaited) parent->second.child = id;
      if (!is_awaited) Count("relay read after its end");
      Submit(exchange.node, forward_event::RequestArrived{id, exchange.spec});
      if (!is_awaited && exchanges_.count(id) > 0) LeaveNode(id);
      return;
    }
    Count("request");
    Submit(exchange.node, forward_event::RequestArrived{id, exchange.spec});
  }

  void Disconnect() {
    if (exchanges_.empty()) return;
    auto any = exchanges_.begin();
    std::advance(any, Uniform(0, static_cast<int>(exchanges_.size()) - 1));
    if (any->second.parent == 0) LeaveNode(any->first);
  }

  /// The caller or the relaying node closes the connection of an exchange.
  void LeaveNode(ForwardId id) {
    Post(exchanges_.at(id).node, Delay(), [this, id] {
      const auto found = exchanges_.find(id);
      if (found == exchanges_.end()) return;
      Submit(found->second.node, forward_event::CallerDisconnected{id});
      exchanges_.erase(id);
    });
  }

  void LeaveChild(const Exchange& exchange) {
    if (exchanges_.count(exchange.child) > 0) LeaveNode(exchange.child);
  }

  // Attempts.

  Exchange* FindAttempt(ForwardId id, int attempt) {
    const auto found = exchanges_.find(id);
    const bool is_current = found != exchanges_.end() && attempt != 0 &&
                            found->second.attempt == attempt;
    return is_current ? &found->second : nullptr;
  }

  /// The node learns of the end, unless it has given up the attempt by then.
  void EndLater(ForwardId id, int attempt, ForwardOutcome end, int status) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    Post(found->second.node, Delay(), [this, id, attempt, end, status] {
      Exchange* exchange = FindAttempt(id, attempt);
      if (exchange == nullptr) return;
      exchange->attempt = 0;
      exchange->child = 0;
      exchange->response_status = status;
      Submit(exchange->node, forward_event::AttemptEnded{id, end, status, {}});
    });
  }

  void Execute(std::size_t node, const forward_action::SendAttempt& send) {
    Exchange* exchange = BeginAttempt(send.id, "sent");
    if (exchange == nullptr) return;
    const auto index =
        static_cast<std::size_t>(std::stoul(send.upstream.name.substr(1)));
    const int attempt = exchange->attempt;
    Count("send");
    const bool is_down = now_ < upstreams_[index].down_until;
    if (nodes_[node].cut_from.count(index) > 0 || is_down || Chance(0.02)) {
      EndLater(send.id, attempt, ForwardOutcome::kNotSent, 0);
      return;
    }
    Job job{send.id, attempt, exchange->root, contents_.at(exchange->root),
            send.kind == RouteKind::kStreaming};
    Schedule(Delay(), [this, index, job] {
      Upstream& upstream = upstreams_[index];
      if (now_ < upstream.down_until) {
        EndLater(job.id, job.attempt, ForwardOutcome::kConnectionLost, 0);
      } else if (upstream.is_stalled) {
        upstream.unread.push_back(job);
      } else {
        Receive(index, job);
      }
    });
  }

  void Execute(std::size_t /*node*/,
               const forward_action::RelayRequest& relay) {
    Exchange* exchange = BeginAttempt(relay.id, "relayed");
    if (exchange == nullptr) return;
    const int attempt = exchange->attempt;
    const auto peer = static_cast<std::size_t>(std::stoul(relay.address));
    Count("relay");
    if (Chance(0.03)) {
      EndLater(relay.id, attempt, ForwardOutcome::kNotSent, 0);
      return;
    }
    Exchange child;
    child.root = exchange->root;
    child.node = peer;
    child.parent = relay.id;
    child.parent_attempt = attempt;
    child.spec = exchange->spec;
    child.spec.is_relayed = true;
    child.spec.time_left = relay.deadline - now_;
    child.spec.last_event_id = relay.last_event_id;
    child.spec.first_attempt = relay.first_attempt;
    child.spec.min_tables_version = relay.min_tables_version;
    child.spec.max_runs = relay.max_runs;
    Schedule(Delay(), [this, child, incarnation = nodes_[peer].incarnation] {
      if (nodes_[child.node].incarnation != incarnation) {
        EndLater(child.parent, child.parent_attempt,
                 ForwardOutcome::kConnectionLost, 0);
        return;
      }
      Post(child.node, Duration(0), [this, child] { Begin(child); });
      // A process that ends with the request unread resets the connection.
      Schedule(RandomTables::kLongestTimeout, [this, child] {
        EndLater(child.parent, child.parent_attempt,
                 ForwardOutcome::kConnectionLost, 0);
      });
    });
  }

  Exchange* BeginAttempt(ForwardId id, const char* action) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
      Report(0, std::string(action) + " after the response");
      return nullptr;
    }
    Exchange& exchange = found->second;
    if (exchange.attempt != 0)
      Report(exchange.root, std::string(action) + " during another attempt");
    exchange.attempt = ++last_attempt_;
    exchange.child = 0;
    exchange.response_status = 0;
    return &exchange;
  }

  void Execute(std::size_t /*node*/,
               const forward_action::CancelAttempt& cancel) {
    const auto found = exchanges_.find(cancel.id);
    if (found == exchanges_.end()) return;
    Count("cancel");
    LeaveChild(found->second);
    found->second.attempt = 0;
    found->second.child = 0;
  }

  // Upstreams.

  /// An upstream reads a request, maybe long after its node gave it up.
  void Receive(std::size_t index, const Job& job) {
    const bool is_awaited = FindAttempt(job.id, job.attempt) != nullptr;
    if (!is_awaited && Chance(0.5)) return;  // It saw the connection's end.
    if (Chance(upstreams_[index].refused_share)) {
      EndLater(job.id, job.attempt, ForwardOutcome::kRejected,
               random_.AnyOf<int>({421, 429, 503}));
      return;
    }
    if (!is_awaited) Count("run after its attempt was given up");
    Count("run");
    ran_.insert(job.root);
    if (refused_.count(job.root) > 0)
      Report(job.root, "runs after it was refused: " + refused_.at(job.root));
    upstreams_[index].running.push_back(job);
    if (job.content.substr(0, 5) == "crash") {
      Crash(index);
      return;
    }
    if (Chance(0.1)) return;  // It never answers.
    Schedule(Uniform(5, 80) * kMillisecond,
             [this, index, job] { Answer(index, job); });
  }

  void Answer(std::size_t index, const Job& job) {
    auto& running = upstreams_[index].running;
    const auto found = std::find_if(
        running.begin(), running.end(),
        [&](const Job& other) { return other.attempt == job.attempt; });
    if (found == running.end()) return;  // It has crashed.
    running.erase(found);
    const Exchange* exchange = FindAttempt(job.id, job.attempt);
    if (exchange == nullptr) return;
    const std::size_t node = exchange->node;
    if (job.is_stream) {
      Post(node, Duration(0),
           [this, job, last = Uniform(1, 30)] { ForwardEvents(job, last); });
    }
    const ForwardOutcome end = random_.AnyOf<ForwardOutcome>(
        {ForwardOutcome::kCompleted, ForwardOutcome::kCompleted,
         ForwardOutcome::kCompleted, ForwardOutcome::kFailed,
         ForwardOutcome::kConnectionLost, ForwardOutcome::kInvalidResponse});
    EndLater(job.id, job.attempt, end,
             end == ForwardOutcome::kCompleted ? 200 : 500);
  }

  void ForwardEvents(const Job& job, std::int64_t last) {
    Exchange* exchange = FindAttempt(job.id, job.attempt);
    if (exchange == nullptr) return;
    exchange->began = true;
    const std::size_t node = exchange->node;
    Submit(node, forward_event::ResponseHeadReceived{job.id, {}});
    Submit(node, forward_event::FirstEventReceived{job.id});
    Submit(node, forward_event::EventsForwarded{job.id, last});
  }

  void GoOnUpstream(std::size_t index) {
    upstreams_[index].is_stalled = false;
    for (const Job& job : std::exchange(upstreams_[index].unread, {}))
      Receive(index, job);
  }

  void Crash(std::size_t index) {
    Count("upstream crashed");
    Upstream& upstream = upstreams_[index];
    upstream.is_stalled = false;
    upstream.down_until = now_ + Uniform(10, 500) * kMillisecond;
    ++upstream.incarnation;
    std::vector<Job> lost = std::exchange(upstream.running, {});
    for (const Job& job : std::exchange(upstream.unread, {}))
      lost.push_back(job);
    for (const Job& job : lost) {
      EndLater(job.id, job.attempt, ForwardOutcome::kConnectionLost, 0);
    }
  }

  // Responses.

  static bool IsPromise(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  void Execute(std::size_t /*node*/, const forward_action::Reject& reject) {
    Respond(reject.id, ForwardOutcome::kRejected, reject.not_run.http_status,
            reject.not_run.problem_type);
  }
  void Execute(std::size_t /*node*/, const forward_action::Fail& fail) {
    Respond(fail.id, ForwardOutcome::kFailed, fail.status, fail.reason);
  }
  void Execute(std::size_t /*node*/,
               const forward_action::DeliverResponse& deliver) {
    const auto found = exchanges_.find(deliver.id);
    const int status =
        found == exchanges_.end() ? 0 : found->second.response_status;
    const bool is_failure = status >= 500 && status != 503;
    Respond(deliver.id,
            IsPromise(status) ? ForwardOutcome::kRejected
            : is_failure      ? ForwardOutcome::kFailed
                              : ForwardOutcome::kCompleted,
            status, "passed on");
  }

  void Respond(ForwardId id, ForwardOutcome end, int status,
               const std::string& reason) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
      Report(0, "answered after its end: " + reason);
      return;
    }
    const Exchange exchange = found->second;
    exchanges_.erase(found);
    if (exchange.attempt != 0)
      Report(exchange.root, "answered with a running attempt: " + reason);
    if (IsPromise(status) && exchange.began)
      Report(exchange.root, "refused after an event");
    if (exchange.parent != 0) {
      if (IsPromise(status)) Count("refused to a node");
      EndLater(exchange.parent, exchange.parent_attempt, end, status);
      return;
    }
    if (!IsPromise(status)) {
      Count(ToString(end));
      return;
    }
    Count("refused");
    Count("refused " + reason);
    refused_[exchange.root] = reason;
    if (ran_.count(exchange.root) > 0)
      Report(exchange.root, "refused after it ran: " + reason);
  }

  // Other actions.

  void Execute(std::size_t node, const forward_action::ProbeUpstream& probe) {
    const auto index =
        static_cast<std::size_t>(std::stoul(probe.upstream.name.substr(1)));
    const bool reached = nodes_[node].cut_from.count(index) == 0 &&
                         now_ >= upstreams_[index].down_until;
    Post(node, Delay(), [this, node, upstream = probe.upstream, reached] {
      Submit(node, forward_event::UpstreamProbed{upstream, reached});
    });
  }
  void Execute(std::size_t /*node*/,
               const forward_action::SendHeartbeat& send) {
    const auto to = static_cast<std::size_t>(std::stoul(send.message.address));
    if (Chance(0.1)) return;
    Post(to, Delay(), [this, to, heartbeat = send.message.heartbeat] {
      Submit(to, forward_event::HeartbeatReceived{heartbeat});
    });
  }
  void Execute(std::size_t node, const forward_action::LookUpStream& look_up) {
    if (Chance(0.2)) return;  // The store does not answer.
    forward_event::StreamLookedUp answer{look_up.id, {}, true, {}};
    if (Chance(0.7))
      answer.binding =
          StreamBinding{random_.AnyOf<std::string>({"a", "b", "c"}), ""};
    Post(node, Uniform(0, 300) * kMillisecond,
         [this, node, answer] { Submit(node, answer); });
  }
  template <typename Action>
  void Execute(std::size_t /*node*/, const Action& /*action*/) {}

  void Count(const std::string& what) { ++counts_[what]; }
  void Report(std::uint64_t root, const std::string& what) {
    violations_.push_back("request " + std::to_string(root) + ": " + what);
  }

  RandomSource random_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Node> nodes_;
  std::vector<Upstream> upstreams_;
  std::map<ForwardId, Exchange> exchanges_;
  std::map<std::uint64_t, std::string> contents_;  ///< By caller's request.
  std::set<std::uint64_t> ran_;                    ///< Callers' requests.
  std::map<std::uint64_t, std::string> refused_;   ///< And why.
  std::shared_ptr<const ForwardingIndex> tables_;
  std::uint64_t version_ = 0;
  std::int64_t revision_ = 0;
  std::uint64_t last_root_ = 0;
  ForwardId last_id_ = 0;
  int last_attempt_ = 0;
  std::vector<std::string> violations_;
  std::map<std::string, int> counts_;
};

}  // namespace pollenledge::testing
