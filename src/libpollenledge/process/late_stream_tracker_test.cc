#include "pollenledge/process/late_stream_tracker.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

// Guards against delayed scale requests: the node that sends them starts few
// streams itself, so its own counts show a shortage of upstreams too late.
TEST(LateStreamTrackerTest, LateShareCoversAllNodes) {
  constexpr int kNodes = 100;
  LateStreamTracker tracker;
  const auto merge_all = [&](std::uint64_t streams, std::uint64_t late,
                             TimePoint now) {
    for (int node = 0; node < kNodes; ++node) {
      tracker.Merge(std::to_string(node), {{"s", streams, late}}, now);
    }
  };
  {
    SCOPED_TRACE("counts in the first report of a process are not used");
    merge_all(500, 400, kStart);
    EXPECT_EQ(tracker.LateShare("s", kStart), std::nullopt);
  }
  const TimePoint later = kStart + std::chrono::seconds(1);
  {
    SCOPED_TRACE("one stream of each node is enough");
    merge_all(501, 400, later);
    EXPECT_EQ(tracker.LateShare("s", later), 0.0);
    merge_all(502, 401, later);
    EXPECT_EQ(tracker.LateShare("s", later), 0.5);
  }
  {
    SCOPED_TRACE("a repeated report counts once");
    merge_all(502, 401, later);
    EXPECT_EQ(tracker.LateShare("s", later), 0.5);
  }
  {
    SCOPED_TRACE("counts older than the window are dropped");
    const TimePoint end = later + LateStreamTracker::kWindow * 2;
    EXPECT_EQ(tracker.LateShare("s", end), std::nullopt);
  }
}

TEST(LateStreamTrackerTest, TooFewStreamsGiveNoShare) {
  LateStreamTracker tracker;
  tracker.Merge("a", {}, kStart);
  tracker.Merge("a", {{"s", LateStreamTracker::kMinStreams - 1, 5}}, kStart);
  EXPECT_EQ(tracker.LateShare("s", kStart), std::nullopt);
  EXPECT_EQ(tracker.LateShare("other", kStart), std::nullopt);
}

}  // namespace
}  // namespace pollenledge
