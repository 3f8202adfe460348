#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kAway = 2 * kSecond;  // Of an upstream that ended.
constexpr Duration kServiceTime = 30 * kMillisecond;
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kLateRunsAllowed = 3;
constexpr char kCrashing[] = "crashing";

/// Some nodes and upstreams in virtual time. Datagrams between nodes may be
/// lost; a request whose content is `kCrashing` ends each upstream that begins
/// it.
class Fleet {
 public:
  Fleet(std::size_t nodes, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back({"u" + std::to_string(i), 1, TimePoint()});
    }
    for (std::size_t i = 0; i < nodes; ++i) AddNode();
    RunFor(2 * kSecond);
  }

  void AddNode() {
    ForwardOptions options;
    const std::string name = "n" + std::to_string(nodes_.size());
    options.self.id = {name, 1};
    options.self.peer_address = std::to_string(nodes_.size());
    options.seeds = {"0", "1", "2"};
    options.retry_slack = 1000;
    options.random_seed = nodes_.size() + 1;
    nodes_.push_back(std::make_unique<ForwardNode>(options));
    const std::size_t node = nodes_.size() - 1;
    Tell(node, forward_event::TablesRead{Index(), now_});
    Tell(node, List());
    Tick(node);
  }

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

  /// Ends an upstream with everything on it.
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

  std::size_t LateRuns(Duration contact) const {
    if (crashes.size() < 3) return 0;
    return static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(),
                      [&](TimePoint at) { return at > crashes[2] + contact; }));
  }

  ForwardNode& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  Fingerprint CrashingOn(const std::string& route) const {
    return FingerprintOf({"", ToHex(FingerprintOf({route, kCrashing}))});
  }
  TimePoint now() const { return now_; }

  std::vector<TimePoint> crashes;      // By the crash-causing request.
  std::set<std::string> refused;       // Contents refused as suspects.
  std::map<std::string, int> answers;  // By kind of end.
  double loss = 0;                     // Part of the datagrams.
  std::function<bool(std::size_t, std::size_t)> cut;  // Between two nodes.

 private:
  struct Upstream {
    std::string name;
    std::uint64_t incarnation = 1;
    TimePoint away_until;
  };
  struct Attempt {
    std::size_t node = 0;
    std::string upstream;
    int number = 0;
  };

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

  void At(Duration after, std::function<void()> event) {
    events_.emplace(now_ + after, std::move(event));
  }

  void Tick(std::size_t node) {
    Tell(node, forward_event::Ticked{});
    At(50 * kMillisecond, [this, node] { Tick(node); });
  }

  void Tell(std::size_t node, const ForwardEvent& event) {
    for (const ForwardAction& action :
         nodes_[node]->Handle(event, {now_, WallTime()})) {
      std::visit([&](const auto& known) { Do(node, known); }, action);
    }
  }

  void Do(std::size_t node, const forward_action::SendAttempt& send) {
    const int number = ++attempt_number_;
    attempts_[send.id] = {node, send.upstream.name, number};
    const auto index =
        static_cast<std::size_t>(std::stoul(send.upstream.name.substr(1)));
    At(kMillisecond, [this, id = send.id, number, index] {
      if (!IsPresent(id, number)) return;
      if (now_ < upstreams_[index].away_until) {
        End(id, ForwardEnd::kNotSent);
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
  void Do(std::size_t, const forward_action::KeepSuspects&) {}
  void Do(std::size_t, const forward_action::LogDecision&) {}

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

  TimePoint now_{std::chrono::seconds(1000)};
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<ForwardNode>> nodes_;
  std::vector<Upstream> upstreams_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<ForwardId, Attempt> attempts_;
  std::map<ForwardId, std::string> contents_;
  ForwardId next_id_ = 1;
  int attempt_number_ = 0;
};

struct Shape {
  std::size_t nodes;
  Duration contact;
  std::string route;
  std::uint64_t seed;
};

class CrashingRequest : public ::testing::TestWithParam<Shape> {};

// Guards against a request that ends upstreams and is sent on and on through
// any node, with a third of the datagrams lost (incident BUDGET).
TEST_P(CrashingRequest, ReachesUpstreamsAFewTimesOnly) {
  Fleet fleet(GetParam().nodes, GetParam().seed);
  fleet.loss = 0.3;
  std::mt19937_64 random(GetParam().seed);
  int innocent = 0;
  for (int i = 0; i < 48; ++i) {
    fleet.Arrive(random() % fleet.size(), GetParam().route, kCrashing);
    for (int step = 0; step < 25; ++step) {
      fleet.Arrive(random() % fleet.size(), GetParam().route,
                   "innocent" + std::to_string(++innocent));
      fleet.RunFor(20 * kMillisecond);
    }
  }
  EXPECT_LE(fleet.LateRuns(GetParam().contact), kLateRunsAllowed);
  EXPECT_EQ(fleet.refused, std::set<std::string>{kCrashing});
}

// Guards against innocent requests that are refused because they were there
// when upstreams ended, and against a crash-causing request that hides in such
// waves.
TEST_P(CrashingRequest, IsFoundAmongWavesOfOtherCrashes) {
  Fleet fleet(GetParam().nodes, GetParam().seed);
  std::mt19937_64 random(GetParam().seed);
  int innocent = 0;
  for (int i = 0; i < 48; ++i) {
    fleet.Arrive(random() % fleet.size(), GetParam().route, kCrashing);
    for (int step = 0; step < 25; ++step) {
      if (i % 4 == 1 && step < 4) fleet.Crash(random() % kUpstreams);
      fleet.Arrive(random() % fleet.size(), GetParam().route,
                   "innocent" + std::to_string(++innocent));
      // Many callers send this one alike.
      fleet.Arrive(random() % fleet.size(), GetParam().route, "common");
      fleet.RunFor(20 * kMillisecond);
    }
  }
  EXPECT_LE(fleet.LateRuns(GetParam().contact), kLateRunsAllowed);
  EXPECT_EQ(fleet.refused, std::set<std::string>{kCrashing});
}

// Guards against a node that a partition kept from what the others learnt, and
// against a new one.
TEST_P(CrashingRequest, IsKnownToNodesThatWereAway) {
  Fleet fleet(GetParam().nodes, GetParam().seed);
  const std::size_t away = fleet.size() - 1;
  fleet.cut = [away](std::size_t from, std::size_t to) {
    return from == away || to == away;
  };
  for (int i = 0; i < 8; ++i) {
    fleet.Arrive(0, GetParam().route, kCrashing);
    fleet.RunFor(kSecond);
  }
  const Fingerprint crashing = fleet.CrashingOn(GetParam().route);
  ASSERT_EQ(fleet.node(0).suspects().Of(crashing, fleet.now()),
            Suspicion::kRefused);
  EXPECT_EQ(fleet.node(away).suspects().Of(crashing, fleet.now()),
            Suspicion::kNone);
  fleet.cut = nullptr;
  fleet.AddNode();
  fleet.RunFor(GetParam().contact);
  for (const std::size_t node : {away, fleet.size() - 1}) {
    EXPECT_EQ(fleet.node(node).suspects().Of(crashing, fleet.now()),
              Suspicion::kRefused)
        << node;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashingRequest,
                         ::testing::Values(Shape{4, 3 * kSecond, "read", 1},
                                           Shape{4, 3 * kSecond, "order", 2},
                                           Shape{4, 3 * kSecond, "draft", 3},
                                           Shape{7, 3 * kSecond, "read", 4},
                                           Shape{7, 3 * kSecond, "order", 5},
                                           Shape{91, 4 * kSecond, "read", 6},
                                           Shape{91, 4 * kSecond, "order", 7}));

// Guards against a verdict that comes while the request waits in the queue.
TEST(CrashingRequestInQueue, IsRefusedThere) {
  ForwardOptions options;
  options.self.id = {"n", 1};
  options.retry_slack = 100;
  ForwardNode node(options);
  TimePoint now{std::chrono::seconds(1000)};
  ForwardingTables tables;
  tables.version = 1;
  ForwardingRoute route;
  route.name = "read";
  route.host = "h";
  route.prefix = "/";
  route.is_public = true;
  route.services = {{"s", 1}};
  route.timeout = route.target = 10 * kSecond;
  route.max_attempts = 2;
  tables.routes = {route};
  tables.services = {{.name = "s"}};
  const auto tell = [&](const ForwardEvent& event) {
    return node.Handle(event, {now, WallTime()});
  };
  tell(forward_event::TablesRead{
      std::make_shared<const ForwardingIndex>(std::move(tables)), now});
  ForwardUpstreamInfo upstream;
  upstream.id = {"u", 1};
  upstream.service = "s";
  upstream.slots = 1;
  tell(forward_event::UpstreamsListed{{upstream}});
  const auto arrive = [&](ForwardId id, const char* content) {
    ForwardSpec spec;
    spec.host = "h";
    spec.path = "/";
    spec.content = FingerprintOf({content});
    return tell(forward_event::Arrived{id, spec});
  };
  arrive(1, "other");
  arrive(2, "other");
  arrive(3, kCrashing);
  ASSERT_EQ(node.queued_requests(), 1U);
  Heartbeat heartbeat;
  heartbeat.records = {{.id = {"peer", 1}}};
  const Fingerprint crashing =
      FingerprintOf({"", ToHex(FingerprintOf({kCrashing}))});
  for (CrashId crash = 1; crash <= 3; ++crash) {
    heartbeat.suspects.push_back(CrashReport{crashing, crash, false, {}});
  }
  const auto actions = tell(forward_event::HeartbeatReceived{heartbeat});
  const auto refusal = std::find_if(
      actions.begin(), actions.end(), [](const ForwardAction& action) {
        return std::holds_alternative<forward_action::Refuse>(action);
      });
  ASSERT_NE(refusal, actions.end());
  EXPECT_EQ(std::get<forward_action::Refuse>(*refusal).id, 3U);
  EXPECT_EQ(node.queued_requests(), 0U);
}

}  // namespace
}  // namespace pollenledge
