#include "pollenledge/process/lateness_tally.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

// Guards against late scaling: the node that sends scale requests starts few
// streams itself, so it detects a shortage of upstreams late from its own
// counts.
TEST(LatenessTallyTest, LateShareCoversAllNodes) {
  constexpr int kNodes = 100;
  LatenessTally tracker;
  const auto merge_all = [&](std::uint64_t streams, std::uint64_t late,
                             TimePoint now) {
    for (int node = 0; node < kNodes; ++node) {
      tracker.Take(std::to_string(node), {{"s", streams, late}}, now);
    }
  };
  {
    SCOPED_TRACE("counts in the first report of a process are not used");
    merge_all(500, 400, kStart);
    EXPECT_EQ(tracker.Share("s", kStart), std::nullopt);
  }
  const TimePoint later = kStart + std::chrono::seconds(1);
  {
    SCOPED_TRACE("one stream of each node is enough");
    merge_all(501, 400, later);
    EXPECT_EQ(tracker.Share("s", later), 0.0);
    merge_all(502, 401, later);
    EXPECT_EQ(tracker.Share("s", later), 0.5);
  }
  {
    SCOPED_TRACE("a repeated report counts once");
    merge_all(502, 401, later);
    EXPECT_EQ(tracker.Share("s", later), 0.5);
  }
  {
    SCOPED_TRACE("counts older than the window are dropped");
    const TimePoint end = later + LatenessTally::kWindow * 2;
    EXPECT_EQ(tracker.Share("s", end), std::nullopt);
  }
}

TEST(LatenessTallyTest, TooFewStreamsGiveNoShare) {
  LatenessTally tracker;
  tracker.Take("a", {}, kStart);
  tracker.Take("a", {{"s", LatenessTally::kLeastStreams - 1, 5}}, kStart);
  EXPECT_EQ(tracker.Share("s", kStart), std::nullopt);
  EXPECT_EQ(tracker.Share("other", kStart), std::nullopt);
}

}  // namespace
}  // namespace pollenledge
