#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "forward_fleet.h"
#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

using testing::Fleet;
using testing::kCrashing;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::size_t kLateRunsAllowed = 3;

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
      if (i % 4 == 1 && step < 4) fleet.Crash(random() % Fleet::kUpstreams);
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
