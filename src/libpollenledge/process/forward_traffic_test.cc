#include <gtest/gtest.h>

#include "forward_fleet.h"

namespace pollenledge::testing {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

/// A large fleet under traffic, of which the heartbeat messages are counted.
class TrafficBetweenNodes : public ::testing::Test {
 protected:
  static constexpr std::size_t kNodes = 24;
  static constexpr Duration kTime = 6 * kSecond;

  /// Runs the fleet under traffic and returns how many messages each node has
  /// sent. Upstreams crash one after another if `crashes` is true.
  std::map<std::size_t, int> CountMessages(bool crashes) {
    fleet_.heartbeats_sent.clear();
    const TimePoint end = fleet_.now() + kTime;
    for (int i = 0; fleet_.now() < end; ++i) {
      const std::size_t node = static_cast<std::size_t>(i) % kNodes;
      fleet_.SubmitRequest(node, i % 2 == 0 ? "read" : "draft",
                           "request-" + std::to_string(++number_));
      if (crashes && i % 50 == 0)
        fleet_.CrashUpstream(static_cast<std::size_t>(i / 50) %
                             ForwardFleet::kUpstreamCount);
      fleet_.RunFor(5 * kMillisecond);
    }
    return fleet_.heartbeats_sent;
  }

  ForwardFleet fleet_{kNodes, 1};
  int number_ = 0;
};

// Guards against reports of crashes that every node passes on at once and that
// fill the links of small machines, so that the store's responses and changed
// tables arrive late (incident CONFIG). The bound is the control traffic of a
// node, 14 KB/s, in messages of 600 bytes.
TEST_F(TrafficBetweenNodes, IsBoundedWhileUpstreamsCrash) {
  constexpr int kMaxReportsPerSecond = 24;
  const int seconds = static_cast<int>(kTime / kSecond);
  std::map<std::size_t, int> calm = CountMessages(false);
  for (const auto& [node, sent] : CountMessages(true)) {
    EXPECT_LE(sent, calm[node] + kMaxReportsPerSecond * seconds)
        << "node " << node;
  }
}

}  // namespace
}  // namespace pollenledge::testing
