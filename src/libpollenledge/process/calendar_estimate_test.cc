#include "pollenledge/process/calendar_estimate.h"

#include <gtest/gtest.h>

#include <vector>

namespace pollenledge {
namespace {

constexpr Duration kJump = std::chrono::hours(25);
constexpr Duration kStep = std::chrono::milliseconds(250);
const TimePoint kStart(std::chrono::seconds(100));

/// The true time of day.
WallTime TrueTime(TimePoint now) {
  return WallTime(now.time_since_epoch() + std::chrono::hours(1000));
}

/// Nodes that tell each other their estimates each step.
class Clocks {
 public:
  explicit Clocks(std::size_t nodes) : nodes_(nodes) {}

  void Start(std::size_t node, Duration off) {
    nodes_[node] = CalendarEstimate();
    nodes_[node].Start({now_, TrueTime(now_) + off});
  }
  void RunFor(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t from = 0; from < nodes_.size(); ++from) {
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
          if (to == from) continue;
          nodes_[to].OnPeer(std::to_string(from), nodes_[from].At(now_), now_);
        }
      }
    }
  }
  Duration Off(std::size_t node) const {
    return nodes_[node].At(now_) - TrueTime(now_);
  }

 private:
  TimePoint now_ = kStart;
  std::vector<CalendarEstimate> nodes_;
};

// Guards against usage counted in windows that are a day away: a node was
// killed while the calendar clock of its machine was off by 25 hours.
TEST(CalendarEstimateTest, ANodeThatStartsWithAWrongClockTakesItsPeers) {
  Clocks clocks(6);
  for (std::size_t node = 0; node < 6; ++node) clocks.Start(node, kStep / 10);
  clocks.RunFor(2 * CalendarEstimate::kSettles);
  clocks.Start(0, kJump);
  clocks.Start(1, kJump);
  EXPECT_EQ(clocks.Off(0), kJump);
  clocks.RunFor(CalendarEstimate::kListens + kStep * 2);
  for (std::size_t node = 0; node < 6; ++node) {
    EXPECT_LT(clocks.Off(node), CalendarEstimate::kTolerance) << node;
  }
}

TEST(CalendarEstimateTest, NodesThatAllStartTogetherTakeTheMajority) {
  Clocks clocks(7);
  for (std::size_t node = 0; node < 7; ++node) {
    clocks.Start(node, node < 3 ? kJump : Duration(0));
  }
  clocks.RunFor(CalendarEstimate::kListens + kStep * 4);
  for (std::size_t node = 0; node < 7; ++node) {
    EXPECT_EQ(clocks.Off(node), Duration(0)) << node;
  }
}

TEST(CalendarEstimateTest, ASettledNodeIsNotMovedByManyThatStartWrong) {
  Clocks clocks(5);
  for (std::size_t node = 0; node < 5; ++node) clocks.Start(node, Duration(0));
  clocks.RunFor(2 * CalendarEstimate::kSettles);
  for (std::size_t node = 1; node < 5; ++node) clocks.Start(node, kJump);
  clocks.RunFor(CalendarEstimate::kListens + kStep * 4);
  EXPECT_EQ(clocks.Off(0), Duration(0));
}

TEST(CalendarEstimateTest, AnEstimateIsKnownWithPeersOrAfterAWhile) {
  CalendarEstimate estimate;
  EXPECT_FALSE(estimate.IsKnown(kStart));
  estimate.Start({kStart, TrueTime(kStart)});
  EXPECT_FALSE(estimate.IsKnown(kStart));
  estimate.OnPeer("a", TrueTime(kStart), kStart);
  EXPECT_FALSE(estimate.IsKnown(kStart));
  EXPECT_TRUE(estimate.IsKnown(kStart + CalendarEstimate::kPatience));
  estimate.OnPeer("b", TrueTime(kStart), kStart);
  EXPECT_FALSE(estimate.IsKnown(kStart));
  EXPECT_TRUE(estimate.IsKnown(kStart + CalendarEstimate::kListens));
}

}  // namespace
}  // namespace pollenledge
