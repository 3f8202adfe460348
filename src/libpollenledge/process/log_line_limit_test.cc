#include "pollenledge/process/log_line_limit.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

// Guards against a flood of refusals that becomes a flood of log lines, and
// against refusals that leave no trace in the log.
TEST(LogLineLimitTest, AFloodIsCountedInsteadOfWritten) {
  LogLineLimit limit(3, kSecond);
  TimePoint now{std::chrono::seconds(100)};
  int written = 0;
  for (int i = 0; i < 1000; ++i) written += limit.TryWrite(now) ? 1 : 0;
  EXPECT_EQ(written, 3);
  now += kSecond;
  EXPECT_TRUE(limit.TryWrite(now));
  EXPECT_EQ(limit.TakeLeftOut(), 997);
  EXPECT_EQ(limit.TakeLeftOut(), 0);
}

// Guards against single refusals that are left out.
TEST(LogLineLimitTest, RareLinesAreAllWritten) {
  LogLineLimit limit(1, kSecond);
  for (int i = 0; i < 100; ++i)
    EXPECT_TRUE(limit.TryWrite(TimePoint{i * kSecond}));
  EXPECT_EQ(limit.TakeLeftOut(), 0);
}

}  // namespace
}  // namespace pollenledge
