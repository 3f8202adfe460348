#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <string>

#include "forward_fleet.h"

namespace pollenledge {
namespace {

using testing::ForwardFleet;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
/// The platform's bound: in a window, an upstream may receive one and a half
/// times its limit and `kSlack` requests more, once it has stated its limit for
/// `kPropagationTime`.
constexpr Duration kWindow = 4 * kSecond;
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr Duration kPropagationTime = 3 * kSecond;
/// Minimum share of the requests that must be served while other upstreams have
/// capacity for all of them.
constexpr double kMinServedShare = 0.97;

/// Upstreams of a fleet that state a limit, and the load on it.
struct LimitedLoad {
  std::size_t nodes = 6;
  std::size_t limited = 3;
  double requests_per_s = 2;  ///< The stated limit.
  Duration interval{3300};    ///< Between two requests to the fleet.
  std::string route = "read";
  std::uint64_t seed = 1;
};

void PrintTo(const LimitedLoad& load, std::ostream* out) {
  *out << load.route << '-' << load.nodes << "-limit-" << load.requests_per_s
       << "-seed-" << load.seed;
}

/// Sends requests to the nodes of a fleet at random.
class Traffic {
 public:
  Traffic(ForwardFleet* fleet, const LimitedLoad& load)
      : fleet_(fleet), load_(load), random_(load.seed) {}

  void Run(Duration time) {
    const TimePoint end = fleet_->now() + time;
    while (fleet_->now() < end) {
      fleet_->SubmitRequest(random_() % fleet_->size(), load_.route,
                            "x" + std::to_string(random_()));
      fleet_->RunFor(load_.interval);
    }
  }

  /// Sets the limit that the limited upstreams state.
  void StateLimits(std::optional<double> requests_per_s) {
    stated_at_ = fleet_->now();
    for (std::size_t i = 0; i < load_.limited; ++i) {
      fleet_->StateLimit(i, requests_per_s);
    }
  }

  /// Expects the platform's bound to hold for all nodes together since the
  /// limits were stated.
  void ExpectWithinLimit(double requests_per_s, bool only_told = false) const {
    const double allowed =
        kTolerance * requests_per_s * ToSeconds(kWindow) + kSlack;
    for (std::size_t i = 0; i < load_.limited; ++i) {
      EXPECT_LE(static_cast<double>(fleet_->MostArrivals(
                    i, stated_at_ + kPropagationTime, kWindow, only_told)),
                allowed)
          << "upstream " << i;
    }
  }

  /// Returns the share of the responses since `TakeServedShare` was last called
  /// that were delivered.
  double TakeServedShare() {
    double total = 0;
    for (const auto& [kind, count] : fleet_->response_counts) total += count;
    const double served = fleet_->response_counts["delivered"] / total;
    fleet_->response_counts.clear();
    return served;
  }

 private:
  ForwardFleet* fleet_;
  LimitedLoad load_;
  std::mt19937_64 random_;
  TimePoint stated_at_;
};

class LimitedUpstreams : public ::testing::TestWithParam<LimitedLoad> {};

// Guards against upstreams that receive many times the rate that they stated,
// because no node regards it, or each node regards it alone (incident LIMIT).
TEST_P(LimitedUpstreams, ReceiveNoMoreThanTheyStatedFromAllNodesTogether) {
  const LimitedLoad load = GetParam();
  ForwardFleet fleet(load.nodes, load.seed);
  Traffic traffic(&fleet, load);
  traffic.Run(3 * kSecond);
  traffic.StateLimits(load.requests_per_s);
  traffic.TakeServedShare();
  traffic.Run(12 * kSecond);
  traffic.ExpectWithinLimit(load.requests_per_s);
  EXPECT_GE(traffic.TakeServedShare(), kMinServedShare);
}

// Guards against a limit that is exceeded, or callers that are rejected, while
// the nodes that know of it are killed.
TEST_P(LimitedUpstreams, StayWithinTheLimitWhenNodesAreKilled) {
  const LimitedLoad load = GetParam();
  ForwardFleet fleet(load.nodes, load.seed);
  Traffic traffic(&fleet, load);
  traffic.StateLimits(load.requests_per_s);
  traffic.Run(6 * kSecond);
  {
    SCOPED_TRACE("one node after the other, at most seven");
    for (std::size_t node = 0; node < std::min<std::size_t>(7, load.nodes);
         ++node) {
      fleet.StartNode(node);
      traffic.Run(kSecond);
    }
    traffic.Run(3 * kSecond);
    traffic.ExpectWithinLimit(load.requests_per_s);
  }
  {
    SCOPED_TRACE("all nodes at once");
    traffic.TakeServedShare();
    for (std::size_t node = 0; node < load.nodes; ++node) fleet.StartNode(node);
    traffic.Run(12 * kSecond);
    traffic.ExpectWithinLimit(load.requests_per_s, true);
    EXPECT_GE(traffic.TakeServedShare(), kMinServedShare);
  }
}

// Guards against a limit that is exceeded because messages between nodes are
// lost.
TEST_P(LimitedUpstreams, StayWithinTheLimitWhenMessagesAreLost) {
  const LimitedLoad load = GetParam();
  ForwardFleet fleet(load.nodes, load.seed);
  Traffic traffic(&fleet, load);
  fleet.datagram_loss = 0.3;
  traffic.StateLimits(load.requests_per_s);
  traffic.Run(15 * kSecond);
  traffic.ExpectWithinLimit(load.requests_per_s);
  EXPECT_GE(traffic.TakeServedShare(), kMinServedShare);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LimitedUpstreams,
    ::testing::Values(LimitedLoad{}, LimitedLoad{.requests_per_s = 1.4},
                      LimitedLoad{.requests_per_s = 0, .seed = 2},
                      LimitedLoad{.requests_per_s = 8, .seed = 3},
                      LimitedLoad{.nodes = 4, .route = "draft", .seed = 4},
                      LimitedLoad{.nodes = 7, .route = "order", .seed = 5},
                      LimitedLoad{.nodes = 91, .seed = 6},
                      LimitedLoad{.nodes = 91,
                                  .requests_per_s = 1.4,
                                  .route = "draft",
                                  .seed = 7}));

/// A limit on every upstream of the service, below the demand.
LimitedLoad EveryUpstreamLimited(std::size_t nodes, double requests_per_s) {
  return {.nodes = nodes,
          .limited = ForwardFleet::kUpstreamCount,
          .requests_per_s = requests_per_s,
          .interval = 10 * kMillisecond,
          .seed = 11};
}

class EveryUpstream : public ::testing::TestWithParam<std::size_t> {};

// Guards against upstreams that are left alone although they accept some
// requests, and against callers that wait for them in vain.
TEST_P(EveryUpstream, ThatIsLimitedIsUsedForWhatItAccepts) {
  const LimitedLoad load = EveryUpstreamLimited(GetParam(), 3);
  ForwardFleet fleet(load.nodes, load.seed);
  Traffic traffic(&fleet, load);
  traffic.StateLimits(load.requests_per_s);
  traffic.Run(5 * kSecond);
  traffic.TakeServedShare();
  traffic.Run(10 * kSecond);
  traffic.ExpectWithinLimit(load.requests_per_s);
  // Demand is 100 a second, the upstreams accept 36.
  EXPECT_GE(traffic.TakeServedShare(), 0.36 * 0.8);
  EXPECT_LE(fleet.longest_wait_of_rejected, 850 * kMillisecond);
}

INSTANTIATE_TEST_SUITE_P(Nodes, EveryUpstream,
                         ::testing::Values(1, 4, 6, 7, 91));

// Guards against a limit that outlasts its end because nobody sends the
// upstream a request that would tell.
TEST(RateLimitEnds, UpstreamsAreUsedAgainWhenTheyStateNoLimit) {
  for (const std::size_t nodes : {4, 6, 91}) {
    SCOPED_TRACE(nodes);
    const LimitedLoad load{.nodes = nodes, .seed = nodes};
    ForwardFleet fleet(nodes, load.seed);
    Traffic traffic(&fleet, load);
    traffic.StateLimits(0);
    traffic.Run(6 * kSecond);
    traffic.StateLimits({});
    traffic.Run(8 * kSecond);
    const TimePoint settled = fleet.now();
    traffic.Run(4 * kSecond);
    for (std::size_t i = 0; i < load.limited; ++i) {
      EXPECT_GE(fleet.MostArrivals(i, settled, kWindow, false), 50U)
          << "upstream " << i;
    }
  }
}

/// Returns the number of nodes with each view of who coordinates an upstream.
std::map<std::string, int> CoordinatorViews(ForwardFleet* fleet,
                                            const UpstreamId& upstream) {
  std::map<std::string, int> views;
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    ++views[fleet->node(i).permits().CoordinatorOf(upstream).name];
  }
  return views;
}

// Guards against two coordinators that each grant the whole limit: heartbeats
// are sparse in a large fleet, so some nodes always suspected some candidate.
TEST(RateLimitCoordinator, IsTheSameAtAllNodesOfALargeFleet) {
  for (const std::size_t nodes : {10, 91}) {
    SCOPED_TRACE(nodes);
    const LimitedLoad load{.nodes = nodes, .seed = nodes};
    ForwardFleet fleet(nodes, load.seed);
    Traffic traffic(&fleet, load);
    traffic.StateLimits(2);
    traffic.Run(8 * kSecond);
    for (int second = 0; second < 8; ++second) {
      traffic.Run(kSecond);
      for (const char* name : {"u0", "u1", "u2"}) {
        EXPECT_EQ(CoordinatorViews(&fleet, {name, 1}).size(), 1U) << name;
      }
    }
  }
}

// Guards against a restarted upstream that is held to the limit of the process
// before it.
TEST(RateLimitEnds, ARestartedUpstreamHasNoLimit) {
  const LimitedLoad load{.limited = 1};
  ForwardFleet fleet(load.nodes, load.seed);
  Traffic traffic(&fleet, load);
  traffic.StateLimits(0);
  traffic.Run(5 * kSecond);
  traffic.StateLimits({});
  fleet.CrashUpstream(0);
  traffic.Run(3 * kSecond);
  const TimePoint restarted = fleet.now();
  traffic.Run(4 * kSecond);
  EXPECT_GE(fleet.MostArrivals(0, restarted, kWindow, false), 50U);
}

class RateLimitInPartition : public ::testing::TestWithParam<std::size_t> {};

// Guards against the two sides of a partition that each use the whole limit.
TEST_P(RateLimitInPartition, BothSidesTogetherStayWithinTheLimit) {
  for (const double requests_per_s : {0.0, 2.0, 8.0}) {
    SCOPED_TRACE(requests_per_s);
    const LimitedLoad load = EveryUpstreamLimited(GetParam(), requests_per_s);
    ForwardFleet fleet(load.nodes, load.seed);
    Traffic traffic(&fleet, load);
    traffic.StateLimits(requests_per_s);
    traffic.Run(5 * kSecond);
    const std::size_t first_side = load.nodes / 2;
    fleet.is_partitioned = [first_side](std::size_t a, std::size_t b) {
      return (a < first_side) != (b < first_side);
    };
    traffic.Run(10 * kSecond);
    fleet.is_partitioned = nullptr;
    traffic.Run(8 * kSecond);
    traffic.ExpectWithinLimit(requests_per_s);
  }
}

INSTANTIATE_TEST_SUITE_P(Nodes, RateLimitInPartition,
                         ::testing::Values(6, 10, 40));

}  // namespace
}  // namespace pollenledge
