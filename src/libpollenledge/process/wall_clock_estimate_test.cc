#include "pollenledge/process/wall_clock_estimate.h"

#include <gtest/gtest.h>

#include <vector>

namespace pollenledge {
namespace {

constexpr Duration kClockError = std::chrono::hours(25);
constexpr Duration kStep = std::chrono::milliseconds(250);
const TimePoint kStart(std::chrono::seconds(100));

/// The correct wall-clock time.
WallTime TrueTime(TimePoint now) {
  return WallTime(now.time_since_epoch() + std::chrono::hours(1000));
}

/// Simulates nodes that send each other their estimates at each step.
class ClockSimulation {
 public:
  explicit ClockSimulation(std::size_t nodes) : nodes_(nodes) {}

  void Start(std::size_t node, Duration offset) {
    nodes_[node] = WallClockEstimate();
    nodes_[node].Start({now_, TrueTime(now_) + offset});
  }
  void RunFor(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t from = 0; from < nodes_.size(); ++from) {
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
          if (to == from) continue;
          nodes_[to].OnPeerEstimate(std::to_string(from), nodes_[from].At(now_),
                                    now_);
        }
      }
    }
  }
  Duration OffsetOf(std::size_t node) const {
    return nodes_[node].At(now_) - TrueTime(now_);
  }

 private:
  TimePoint now_ = kStart;
  std::vector<WallClockEstimate> nodes_;
};

// Guards against usage that is counted in windows of the wrong day: a node was
// killed and restarted while the wall clock of its machine was wrong by 25
// hours.
TEST(WallClockEstimateTest, NodeStartingWithWrongClockAdoptsPeersEstimate) {
  ClockSimulation fleet(6);
  for (std::size_t node = 0; node < 6; ++node) fleet.Start(node, kStep / 10);
  fleet.RunFor(2 * WallClockEstimate::kCorrectionWindow);
  fleet.Start(0, kClockError);
  fleet.Start(1, kClockError);
  EXPECT_EQ(fleet.OffsetOf(0), kClockError);
  fleet.RunFor(WallClockEstimate::kSamplingTime + kStep * 2);
  for (std::size_t node = 0; node < 6; ++node) {
    EXPECT_LT(fleet.OffsetOf(node), WallClockEstimate::kMinCorrection) << node;
  }
}

TEST(WallClockEstimateTest, NodesStartingTogetherAgreeOnMajority) {
  ClockSimulation fleet(7);
  for (std::size_t node = 0; node < 7; ++node) {
    fleet.Start(node, node < 3 ? kClockError : Duration(0));
  }
  fleet.RunFor(WallClockEstimate::kSamplingTime + kStep * 4);
  for (std::size_t node = 0; node < 7; ++node) {
    EXPECT_EQ(fleet.OffsetOf(node), Duration(0)) << node;
  }
}

TEST(WallClockEstimateTest, NodePastCorrectionWindowIgnoresWrongPeers) {
  ClockSimulation fleet(5);
  for (std::size_t node = 0; node < 5; ++node) fleet.Start(node, Duration(0));
  fleet.RunFor(2 * WallClockEstimate::kCorrectionWindow);
  for (std::size_t node = 1; node < 5; ++node) fleet.Start(node, kClockError);
  fleet.RunFor(WallClockEstimate::kSamplingTime + kStep * 4);
  EXPECT_EQ(fleet.OffsetOf(0), Duration(0));
}

TEST(WallClockEstimateTest, EstimateIsReliableWithPeersOrAfterTimeout) {
  WallClockEstimate estimate;
  EXPECT_FALSE(estimate.IsReliable(kStart));
  estimate.Start({kStart, TrueTime(kStart)});
  EXPECT_FALSE(estimate.IsReliable(kStart));
  estimate.OnPeerEstimate("a", TrueTime(kStart), kStart);
  EXPECT_FALSE(estimate.IsReliable(kStart));
  EXPECT_TRUE(estimate.IsReliable(kStart + WallClockEstimate::kNoPeerTimeout));
  estimate.OnPeerEstimate("b", TrueTime(kStart), kStart);
  EXPECT_FALSE(estimate.IsReliable(kStart));
  EXPECT_TRUE(estimate.IsReliable(kStart + WallClockEstimate::kSamplingTime));
}

}  // namespace
}  // namespace pollenledge
