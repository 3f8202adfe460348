#include "pollenledge/process/lateness_tally.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

// Guards against a fleet that learns late that it is short of upstreams, since
// the node that orders them begins few streams itself.
TEST(LatenessTallyTest, TheShareIsThatOfAllNodes) {
  constexpr int kNodes = 100;
  LatenessTally tally;
  const auto tell = [&](std::uint64_t streams, std::uint64_t late,
                        TimePoint now) {
    for (int node = 0; node < kNodes; ++node) {
      tally.Take(std::to_string(node), {{"s", streams, late}}, now);
    }
  };
  {
    SCOPED_TRACE("what was before the first word does not count");
    tell(500, 400, kStart);
    EXPECT_EQ(tally.Share("s", kStart), std::nullopt);
  }
  const TimePoint later = kStart + std::chrono::seconds(1);
  {
    SCOPED_TRACE("one stream of each node tells enough");
    tell(501, 400, later);
    EXPECT_EQ(tally.Share("s", later), 0.0);
    tell(502, 401, later);
    EXPECT_EQ(tally.Share("s", later), 0.5);
  }
  {
    SCOPED_TRACE("a word that comes twice counts once");
    tell(502, 401, later);
    EXPECT_EQ(tally.Share("s", later), 0.5);
  }
  {
    SCOPED_TRACE("what is old is forgotten");
    const TimePoint end = later + LatenessTally::kWindow * 2;
    EXPECT_EQ(tally.Share("s", end), std::nullopt);
  }
}

TEST(LatenessTallyTest, FewStreamsTellNothing) {
  LatenessTally tally;
  tally.Take("a", {}, kStart);
  tally.Take("a", {{"s", LatenessTally::kLeastStreams - 1, 5}}, kStart);
  EXPECT_EQ(tally.Share("s", kStart), std::nullopt);
  EXPECT_EQ(tally.Share("other", kStart), std::nullopt);
}

}  // namespace
}  // namespace pollenledge
