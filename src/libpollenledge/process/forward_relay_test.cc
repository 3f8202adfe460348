#include <gtest/gtest.h>

#include <utility>

#include "forward_fleet.h"

namespace pollenledge::testing {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::size_t kCutNode = 0;

/// A fleet whose first node has lost its path to the upstreams, so that its
/// requests pass through other nodes. The tables of version 2 add a route.
class RelayedRequests : public ::testing::TestWithParam<std::size_t> {
 protected:
  RelayedRequests() : fleet_(GetParam(), 1) {
    fleet_.is_cut_from_upstream = [](std::size_t node, std::size_t) {
      return node == kCutNode;
    };
    SendFor("read", 2 * kSecond);
  }

  /// Sends requests to the node without a path for `time`, 20 ms apart.
  /// Returns how many ended in which way.
  std::map<std::string, int> SendFor(const std::string& route, Duration time) {
    std::vector<ForwardId> sent;
    const TimePoint end = fleet_.now() + time;
    while (fleet_.now() < end) {
      const std::string content = route + "-" + std::to_string(++number_);
      sent.push_back(fleet_.SubmitRequest(kCutNode, route, content));
      fleet_.RunFor(20 * kMillisecond);
    }
    fleet_.RunFor(kSecond);
    std::map<std::string, int> outcomes;
    for (const ForwardId id : sent) {
      const auto response = fleet_.responses.find(id);
      ++outcomes[response == fleet_.responses.end() ? "none"
                                                    : response->second];
    }
    return outcomes;
  }

  ForwardFleet fleet_;
  int number_ = 0;
};

// Guards against a request of a node that has the newest tables which is
// refused because the node that it passes through has older ones (incident
// CONFIG).
TEST_P(RelayedRequests, AreNotHandledByOlderTables) {
  fleet_.ReadTables(kCutNode, 2);
  {
    SCOPED_TRACE("no other node has the tables yet");
    const std::map<std::string, int> outcomes =
        SendFor("added", 100 * kMillisecond);
    EXPECT_EQ(outcomes.count("404"), 0U);
    EXPECT_EQ(outcomes.count("no-route"), 0U);
    EXPECT_EQ(outcomes.at("peers-outdated"), 5);
  }
  for (std::size_t node = 1; node < fleet_.size() - 1; ++node) {
    fleet_.ReadTables(node, 2);
  }
  {
    SCOPED_TRACE("all but one have them");
    EXPECT_EQ(SendFor("added", 4 * kSecond),
              (std::map<std::string, int>{{"delivered", 200}}));
  }
}

// Guards against a node that seems to go back to older tables, because the
// nodes that its requests pass through activate a version one after the other
// (CONFIG: a machine regresses).
TEST_P(RelayedRequests, AreDecidedByTheTablesOfTheNodeThatTheyArrivedAt) {
  using Versions = std::map<std::string, int>;
  for (std::size_t node = 1; node < fleet_.size() / 2; ++node) {
    fleet_.ReadTables(node, 2);
  }
  fleet_.sent_by_version.clear();
  {
    SCOPED_TRACE("some of the other nodes have later tables");
    SendFor("read", 500 * kMillisecond);
    EXPECT_EQ(fleet_.sent_by_version, (Versions{{"1", 25}}));
  }
  fleet_.ReadTables(kCutNode, 2);
  fleet_.sent_by_version.clear();
  {
    SCOPED_TRACE("the node has them as well");
    SendFor("read", 500 * kMillisecond);
    EXPECT_EQ(fleet_.sent_by_version.count("1"), 0U);
  }
}

// Guards against a node of an earlier release, which doesn't check the version,
// that handles a relayed request by older tables during an upgrade.
TEST_P(RelayedRequests, PassThroughEarlierReleasesOnlyIfTheseHaveTheTables) {
  fleet_.is_earlier_release = [](std::size_t node) { return node > 0; };
  fleet_.RunFor(4 * kSecond);
  for (std::size_t node = 0; node < fleet_.size() / 2; ++node) {
    fleet_.ReadTables(node, 2);
  }
  {
    SCOPED_TRACE("half of the nodes have the tables");
    const std::map<std::string, int> outcomes = SendFor("added", 4 * kSecond);
    EXPECT_EQ(outcomes.count("404"), 0U);
    EXPECT_GE(outcomes.at("delivered"), 100);
  }
}

// Guards against a request that runs on more upstreams than its route allows,
// because the node that it passes through is lost and the next one counts anew
// (review/8, BUDGET).
TEST_P(RelayedRequests, RunOnNoMoreUpstreamsThanTheirRouteAllows) {
  const std::map<std::string, int> limits = {{"once", 1}, {"read", 2}};
  for (const auto& [route, limit] : limits) {
    SCOPED_TRACE(route);
    // Requests that it sends itself fill the node's retry budget.
    const auto cut = std::exchange(fleet_.is_cut_from_upstream, nullptr);
    SendFor(route, 4 * kSecond);
    fleet_.is_cut_from_upstream = cut;
    SendFor(route, kSecond);
    for (std::size_t round = 0; round < 10; ++round) {
      for (int i = 0; i < 5; ++i) {
        const std::string content = route + "-" + std::to_string(++number_);
        fleet_.SubmitRequest(kCutNode, route, content);
      }
      fleet_.RunFor(10 * kMillisecond);
      // Half of the nodes that these requests pass through are lost.
      for (std::size_t peer = 1 + round % 2; peer < fleet_.size(); peer += 2)
        fleet_.StartNode(peer);
      fleet_.RunFor(kSecond);
    }
    for (const auto& [content, arrivals] : fleet_.arrival_counts) {
      if (content.rfind(route + "-", 0) != 0) continue;
      EXPECT_LE(arrivals, limit) << content;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, RelayedRequests,
                         ::testing::Values(std::size_t{6}, std::size_t{24}));

}  // namespace
}  // namespace pollenledge::testing
