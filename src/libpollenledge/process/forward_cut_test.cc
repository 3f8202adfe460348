#include <gtest/gtest.h>

#include "forward_fleet.h"

namespace pollenledge::testing {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
/// Time after which callers of nodes that are cut off must be served again.
constexpr Duration kContactTime = 3 * kSecond;

/// A fleet of which some nodes lose their connections to all upstreams.
struct CutCase {
  const char* name = "";
  std::size_t nodes = 6;
  std::size_t cut_nodes = 2;
  /// How long connecting takes until it fails: immediately if connections are
  /// reset, else until the timeout.
  Duration connect_failure_time{0};
};

void PrintTo(const CutCase& value, std::ostream* out) { *out << value.name; }

class NodesCutFromUpstreams : public ::testing::TestWithParam<CutCase> {
 protected:
  NodesCutFromUpstreams() : fleet_(GetParam().nodes, 1) {
    fleet_.connect_failure_time = GetParam().connect_failure_time;
    fleet_.is_cut_from_upstream = [](std::size_t node, std::size_t) {
      return node < GetParam().cut_nodes;
    };
  }

  /// Sends requests of each kind to all nodes for `time`, 20 ms apart at each
  /// node, and returns their ids by whether the node is cut off.
  std::map<bool, std::vector<ForwardId>> SendFor(Duration time) {
    std::map<bool, std::vector<ForwardId>> sent;
    const TimePoint end = fleet_.now() + time;
    while (fleet_.now() < end) {
      for (std::size_t node = 0; node < fleet_.size(); ++node) {
        for (const char* route : {"read", "order", "draft", "chat"}) {
          const std::string content =
              route + std::to_string(node) + "-" + std::to_string(++number_);
          sent[node < GetParam().cut_nodes].push_back(
              fleet_.SubmitRequest(node, route, content));
        }
      }
      fleet_.RunFor(80 * kMillisecond);
    }
    fleet_.RunFor(2 * kSecond);
    return sent;
  }

  double ServedShare(const std::vector<ForwardId>& ids) const {
    std::size_t served = 0;
    for (const ForwardId id : ids) {
      const auto response = fleet_.responses.find(id);
      if (response != fleet_.responses.end() && response->second == "delivered")
        ++served;
    }
    return static_cast<double>(served) / static_cast<double>(ids.size());
  }

  ForwardFleet fleet_;
  int number_ = 0;
};

// Guards against nodes without a path to any upstream whose callers are
// rejected while other nodes reach all upstreams (incident RECOVER).
TEST_P(NodesCutFromUpstreams, TheirCallersAreServedLikeOthers) {
  SendFor(kContactTime);
  std::map<bool, std::vector<ForwardId>> sent = SendFor(6 * kSecond);
  EXPECT_GT(ServedShare(sent[false]), 0.95);
  EXPECT_GT(ServedShare(sent[true]), 0.95);
}

// Guards against upstreams that crash together being taken for a lost path:
// requests that pass through other nodes then reach upstreams more often than
// the retry budget allows (rule BUDGET).
TEST(CrashedUpstreams, AreNoLostPathWhileOthersRespond) {
  ForwardFleet fleet(6, 1);
  for (int round = 0; round < 6; ++round) {
    for (std::size_t upstream = 0; upstream < 5; ++upstream) {
      fleet.CrashUpstream((upstream + static_cast<std::size_t>(round) * 5) %
                          ForwardFleet::kUpstreamCount);
    }
    for (int i = 0; i < 300; ++i) {
      const std::string content =
          std::to_string(round) + "-" + std::to_string(i);
      fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "read", content);
      fleet.RunFor(10 * kMillisecond);
    }
  }
  EXPECT_EQ(fleet.log_line_counts["upstreams_unreachable"], 0);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, NodesCutFromUpstreams,
    ::testing::Values(CutCase{"SmallReset", 6, 2, kMillisecond},
                      CutCase{"SmallSilent", 6, 4, 300 * kMillisecond},
                      CutCase{"LargeReset", 24, 8, kMillisecond},
                      CutCase{"LargeSilent", 24, 8, 300 * kMillisecond}));

}  // namespace
}  // namespace pollenledge::testing
