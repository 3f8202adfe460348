#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/process/forward_node.h"

namespace pollenledge::testing {

/// Content of a request that crashes every upstream that starts it.
constexpr char kCrashing[] = "crashing";

/// A simulated fleet of forwarding nodes and upstreams that runs in virtual
/// time. It owns the nodes, executes the actions they return and delivers
/// heartbeats between them; heartbeats can be lost or blocked by a network
/// partition.
///
/// All nodes share one clock, one upstream list and one set of tables. The
/// seed determines all random choices. Not thread-safe.
class Fleet {
 public:
  static constexpr std::size_t kUpstreams = 12;

  /// Starts `nodes` nodes and runs them for 2 s, so that they know each other.
  Fleet(std::size_t nodes, std::uint64_t seed, double retry_slack = 1000)
      : retry_slack_(retry_slack), random_(seed) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back({"u" + std::to_string(i), 1, TimePoint()});
    }
    for (std::size_t i = 0; i < nodes; ++i) AddNode();
    RunFor(2 * kSecond);
  }

  /// Adds a node to the fleet and starts its periodic ticks.
  void AddNode() {
    nodes_.push_back(nullptr);
    Start(nodes_.size() - 1);
    Tick(nodes_.size() - 1);
  }

  /// Starts or restarts a node under a new incarnation, without any state from
  /// its previous run.
  void Start(std::size_t node) {
    ForwardOptions options;
    options.self.id = {"n" + std::to_string(node), ++incarnation_};
    options.self.peer_address = std::to_string(node);
    options.seeds = {"0", "1", "2"};
    options.retry_slack = retry_slack_;
    options.random_seed = incarnation_;
    nodes_[node] = std::make_unique<ForwardNode>(options);
    Tell(node, forward_event::TablesRead{Index(), now_});
    Tell(node, List());
  }

  /// Sends a request to a node now; returns the request's id. `route` is
  /// "read", "order" or "draft". Content kCrashingContent crashes the upstream.
  ForwardId Arrive(std::size_t node, const std::string& route,
                   const std::string& content) {
    const ForwardId id = next_id_++;
    ForwardSpec spec;
    spec.trace_id = content + std::to_string(id);
    spec.host = "h";
    spec.path = "/" + route + "/x";
    spec.content = FingerprintOf({route, content});
    contents_[id] = content;
    Tell(node, forward_event::Arrived{id, spec});
    return id;
  }

  /// Passes an event to a node and executes the actions it returns.
  void Tell(std::size_t node, const ForwardEvent& event) {
    for (const ForwardAction& action :
         nodes_[node]->Handle(event, {now_, WallTime()})) {
      std::visit([&](const auto& known) { Do(node, known); }, action);
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
  void Crash(std::size_t upstream) {
    if (now_ < upstreams_[upstream].away_until) return;
    upstreams_[upstream].away_until = now_ + kAway;
    ++upstreams_[upstream].incarnation;
    const std::string& name = upstreams_[upstream].name;
    for (const auto& [id, attempt] : std::map(attempts_)) {
      if (attempt.upstream == name) End(id, ForwardEnd::kBroken);
    }
    At(kAway + 100 * kMillisecond, [this] {
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        Tell(node, List());
      }
    });
  }

  /// Number of crashes later than `propagation_time` after the third crash. By
  /// then every node should reject the crash-causing request.
  std::size_t LateRuns(Duration propagation_time) const {
    if (crashes.size() < 3) return 0;
    return static_cast<std::size_t>(std::count_if(
        crashes.begin(), crashes.end(),
        [&](TimePoint at) { return at > crashes[2] + propagation_time; }));
  }

  ForwardNode& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  /// Fingerprint under which nodes suspect kCrashingContent on `route`.
  Fingerprint CrashingOn(const std::string& route) const {
    return FingerprintOf({"", ToHex(FingerprintOf({route, kCrashing}))});
  }
  TimePoint now() const { return now_; }

  // Times at which the crash-causing request crashed an upstream.
  std::vector<TimePoint> crashes;
  // Contents of the requests that were rejected as suspects.
  std::set<std::string> refused;
  // Number of responses to callers: "refused", "failed" or "delivered".
  std::map<std::string, int> answers;
  // Times of the first attempts and of the retries.
  std::vector<TimePoint> first_sends;
  std::vector<TimePoint> repeats;
  // Whether upstreams fail every attempt.
  bool failing = false;
  // Probability that a heartbeat datagram is lost.
  double loss = 0;
  // Returns whether a network partition separates the sender from the receiver.
  // Unset: no partition.
  std::function<bool(std::size_t, std::size_t)> cut;

 private:
  struct Upstream {
    std::string name;
    std::uint64_t incarnation = 1;
    TimePoint away_until;
  };
  struct Attempt {
    std::size_t node = 0;
    std::string upstream;
    int number = 0;  // Unique over the fleet; a retry gets a new one.
  };

  // Tables with one route of each kind: "read", "order" and "draft".
  static std::shared_ptr<const ForwardingIndex> Index() {
    ForwardingTables tables;
    tables.version = 1;
    for (const RouteKind kind :
         {RouteKind::kIdempotent, RouteKind::kNonIdempotent,
          RouteKind::kStreaming}) {
      ForwardingRoute route;
      route.name = kind == RouteKind::kIdempotent      ? "read"
                   : kind == RouteKind::kNonIdempotent ? "order"
                                                       : "draft";
      route.host = "h";
      route.prefix = "/" + route.name + "/";
      route.kind = kind;
      route.resumable = true;
      route.is_public = true;
      route.services = {{"s", 1}};
      route.timeout = 10 * kSecond;
      route.target = kSecond;
      route.event_gap_target = kSecond;
      route.max_attempts = kind == RouteKind::kNonIdempotent ? 1 : 2;
      tables.routes.push_back(route);
    }
    tables.services = {{.name = "s"}};
    return std::make_shared<const ForwardingIndex>(std::move(tables));
  }

  forward_event::UpstreamsListed List() const {
    forward_event::UpstreamsListed listed;
    for (const Upstream& upstream : upstreams_) {
      ForwardUpstreamInfo info;
      info.id = {upstream.name, upstream.incarnation};
      info.address = upstream.name;
      info.service = "s";
      info.domain = "d";
      info.slots = 64;
      listed.upstreams.push_back(info);
    }
    return listed;
  }

  // Runs `event` once `delay` has passed.
  void At(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void Tick(std::size_t node) {
    Tell(node, forward_event::Ticked{});
    At(50 * kMillisecond, [this, node] { Tick(node); });
  }

  void Do(std::size_t node, const forward_action::SendAttempt& send) {
    (send.repeat_after.has_value() ? repeats : first_sends).push_back(now_);
    const int number = ++attempt_number_;
    attempts_[send.id] = {node, send.upstream.name, number};
    const auto index =
        static_cast<std::size_t>(std::stoul(send.upstream.name.substr(1)));
    At(kMillisecond, [this, id = send.id, number, index] {
      if (!IsPresent(id, number)) return;
      if (now_ < upstreams_[index].away_until) {
        End(id, ForwardEnd::kNotSent);
      } else if (failing) {
        End(id, ForwardEnd::kFailed);
      } else if (contents_[id] == kCrashing) {
        crashes.push_back(now_);
        Crash(index);
      } else {
        At(kServiceTime, [this, id, number] {
          if (IsPresent(id, number)) End(id, ForwardEnd::kCompleted);
        });
      }
    });
  }
  void Do(std::size_t, const forward_action::Refuse& refuse) {
    ++answers["refused"];
    const std::string& reason = refuse.not_run.type;
    if (reason == "ends-upstreams" || reason == "tried-alone") {
      refused.insert(contents_[refuse.id]);
    }
  }
  void Do(std::size_t, const forward_action::Fail&) { ++answers["failed"]; }
  void Do(std::size_t, const forward_action::Deliver&) {
    ++answers["delivered"];
  }
  void Do(std::size_t, const forward_action::CancelAttempt& cancel) {
    attempts_.erase(cancel.id);
  }
  void Do(std::size_t node, const forward_action::SendHeartbeat& send) {
    const std::size_t to = std::stoul(send.message.address);
    if (std::uniform_real_distribution<>(0, 1)(random_) < loss) return;
    if (to >= nodes_.size() || (cut && cut(node, to))) return;
    At(kMillisecond, [this, to, heartbeat = send.message.heartbeat] {
      Tell(to, forward_event::HeartbeatReceived{heartbeat});
    });
  }
  void Do(std::size_t, const forward_action::ReadTables&) {}
  void Do(std::size_t, const forward_action::KeepSuspects&) {}
  void Do(std::size_t, const forward_action::LogDecision&) {}

  // Whether this attempt is still the current one of its request.
  bool IsPresent(ForwardId id, int number) const {
    const auto found = attempts_.find(id);
    return found != attempts_.end() && found->second.number == number;
  }

  void End(ForwardId id, ForwardEnd end) {
    const std::size_t node = attempts_.at(id).node;
    attempts_.erase(id);
    Tell(node, forward_event::AttemptEnded{
                   id, end, end == ForwardEnd::kCompleted ? 200 : 0, {}});
  }

  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  static constexpr Duration kSecond = std::chrono::seconds(1);
  // How long a crashed upstream stays down.
  static constexpr Duration kAway = 2 * kSecond;
  static constexpr Duration kServiceTime = 30 * kMillisecond;

  TimePoint now_{std::chrono::seconds(1000)};
  double retry_slack_;
  std::uint64_t incarnation_ = 0;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<ForwardNode>> nodes_;
  std::vector<Upstream> upstreams_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<ForwardId, Attempt> attempts_;
  std::map<ForwardId, std::string> contents_;
  ForwardId next_id_ = 1;
  int attempt_number_ = 0;
};

}  // namespace pollenledge::testing
