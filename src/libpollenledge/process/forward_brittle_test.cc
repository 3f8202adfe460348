#include <gtest/gtest.h>

#include "forward_fleet.h"

namespace pollenledge::testing {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

/// Nodes of a fleet whose upstreams are brittle.
class BrittleUpstreams : public ::testing::TestWithParam<std::size_t> {
 protected:
  /// Sends requests to all nodes for `time`: `per_tick` of each kind to all
  /// nodes together each 10 ms.
  static void SendFor(ForwardFleet* fleet, Duration time, int per_tick) {
    const TimePoint end = fleet->now() + time;
    int number = 0;
    while (fleet->now() < end) {
      for (int i = 0; i < per_tick; ++i) {
        const std::size_t node =
            static_cast<std::size_t>(++number) % fleet->size();
        const std::string content = std::to_string(number);
        fleet->SubmitRequest(node, "draft", "d" + content);
        fleet->SubmitRequest(node, "order", "o" + content);
      }
      fleet->RunFor(10 * kMillisecond);
    }
  }
};

// Guards against upstreams that fail because the nodes, each by an old view of
// the load, send them more than they have room for (rule LIMIT).
TEST_P(BrittleUpstreams, AFloodMakesFewOfThemFail) {
  constexpr int kSlots = 16;
  ForwardFleet fleet(GetParam(), 1);
  fleet.SetSlots(kSlots);
  fleet.MakeBrittle(4);
  SendFor(&fleet, 3 * kSecond, 1);  // All nodes hear of it.
  fleet.brittle_crashes = 0;
  SendFor(&fleet, 8 * kSecond, 6);
  EXPECT_LE(fleet.brittle_crashes, 2 + ForwardFleet::kUpstreamCount / 10);
  // Most slots are used: half of what they could run in the flood.
  EXPECT_GT(fleet.response_counts["delivered"], 1800);
}

INSTANTIATE_TEST_SUITE_P(Nodes, BrittleUpstreams, ::testing::Values(6, 24, 91));

// Guards against a limit that outlives the statement.
TEST(BrittleUpstream, IsUsedFullyAgainAfterwards) {
  UpstreamBalancer balancer(1, "n");
  balancer.SetNodes({"n"}, 8);
  ForwardUpstreamInfo info;
  info.id.name = "u";
  info.service = "s";
  info.slots = 8;
  balancer.SetList({info});
  TimePoint now(kSecond);
  EXPECT_TRUE(balancer.OnBrittle("s", now));
  EXPECT_FALSE(balancer.OnBrittle("s", now)) << "It was known";
  UpstreamCriteria criteria;
  criteria.service = "s";
  int sent = 0;
  const auto send_all = [&] {
    while (ForwardUpstream* upstream = balancer.Choose(criteria, now)) {
      balancer.OnSent(upstream, 0, now);
      ++sent;
    }
  };
  send_all();
  EXPECT_LE(sent, 1) << "An eighth of 0.8 of the slots";
  now += UpstreamBalancer::kBrittleTime;
  send_all();
  EXPECT_GE(sent, 2);
}

}  // namespace
}  // namespace pollenledge::testing
