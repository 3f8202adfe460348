#include "pollenledge/process/path_monitor.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

TEST(PathMonitorTest, ThePathIsLostOnceManyUpstreamsFailInARow) {
  PathMonitor paths;
  constexpr std::size_t kUpstreams = 18;
  {
    SCOPED_TRACE("One upstream that fails again and again is just that.");
    for (int i = 0; i < 20; ++i) paths.OnConnectFailed("s", "u0", kUpstreams);
    EXPECT_EQ(paths.StateOf("s"), PathState::kReachable);
  }
  {
    SCOPED_TRACE("Several are a reason to probe others.");
    paths.OnConnectFailed("s", "u1", kUpstreams);
    EXPECT_TRUE(paths.OnConnectFailed("s", "u2", kUpstreams));
    EXPECT_EQ(paths.StateOf("s"), PathState::kSuspected);
    EXPECT_TRUE(paths.HasFailed("s", "u2"));
    EXPECT_FALSE(paths.HasFailed("s", "u3"));
  }
  {
    SCOPED_TRACE("A contact ends the suspicion.");
    EXPECT_FALSE(paths.OnContact("s"));
    EXPECT_TRUE(paths.DoubtfulServices().empty());
  }
  {
    SCOPED_TRACE("Without one the path is lost.");
    for (int i = 0; i < 7; ++i) {
      paths.OnConnectFailed("s", "u" + std::to_string(i), kUpstreams);
    }
    EXPECT_EQ(paths.LostServices(), std::vector<std::string>{"s"});
    EXPECT_FALSE(paths.IsLost("other"));
    EXPECT_TRUE(paths.OnContact("s"));
    EXPECT_EQ(paths.StateOf("s"), PathState::kReachable);
  }
  {
    SCOPED_TRACE("All of a small service are enough.");
    paths.OnConnectFailed("small", "u0", 2);
    EXPECT_TRUE(paths.OnConnectFailed("small", "u1", 2));
    EXPECT_TRUE(paths.IsLost("small"));
  }
}

}  // namespace
}  // namespace pollenledge
