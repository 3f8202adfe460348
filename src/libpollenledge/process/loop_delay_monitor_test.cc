#include "pollenledge/process/loop_delay_monitor.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

using std::chrono::milliseconds;

class LoopDelayMonitorTest : public ::testing::Test {
 protected:
  static TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

  /// The loop runs on time until `ms`, with a timer each 250 ms.
  void RunUntil(int ms) {
    for (int at = 0; at <= ms; at += kPeriodMs) {
      monitor_.OnTimer(At(at));
      monitor_.OnTimerArmed(At(at + kPeriodMs));
    }
  }

  static constexpr int kPeriodMs = 250;
  LoopDelayMonitor monitor_;
};

// Guards against a grace period that is counted from the handling of a stop
// signal which a loop that stood still found late (LOST).
TEST_F(LoopDelayMonitorTest, WhatALateLoopFindsMayHaveArrivedWhenItLastRan) {
  RunUntil(1000);
  {
    SCOPED_TRACE("a loop on time handles what arrives");
    EXPECT_EQ(monitor_.EarliestArrival(At(1100)), At(1100));
  }
  {
    SCOPED_TRACE("it stood still, and handles an event before its timer");
    monitor_.OnEvent(At(2500));
    EXPECT_EQ(monitor_.EarliestArrival(At(2500)), At(1000));
  }
  {
    SCOPED_TRACE("and an event after its timer");
    EXPECT_EQ(monitor_.OnTimer(At(2510)), milliseconds(1260));
    monitor_.OnTimerArmed(At(2760));
    monitor_.OnEvent(At(2520));
    EXPECT_EQ(monitor_.EarliestArrival(At(2520)), At(1000));
  }
  {
    SCOPED_TRACE("once it has caught up, the delay is over");
    monitor_.OnTimer(At(2760));
    EXPECT_EQ(monitor_.EarliestArrival(At(2900)), At(2900));
    monitor_.OnTimerArmed(At(3520));
    monitor_.OnTimer(At(3520));
    EXPECT_EQ(monitor_.EarliestArrival(At(3520)), At(3520));
  }
}

// Guards against a delay that is forgotten because another one follows it.
TEST_F(LoopDelayMonitorTest, ASecondDelayDoesNotHideTheFirst) {
  RunUntil(1000);
  monitor_.OnTimer(At(2500));
  monitor_.OnTimerArmed(At(2600));
  monitor_.OnTimer(At(2800));
  EXPECT_EQ(monitor_.EarliestArrival(At(2800)), At(1000));
}

// Guards against a stop without grace period on a loop that is always a little
// late.
TEST_F(LoopDelayMonitorTest, DelaysOneAfterTheOtherDoNotAddUp) {
  constexpr int kDelayMs = 150;
  int at = 0;
  for (int i = 0; i < 100; ++i, at += kPeriodMs + kDelayMs) {
    monitor_.OnTimer(At(at));
    monitor_.OnTimerArmed(At(at + kPeriodMs));
  }
  const Duration age = At(at) - monitor_.EarliestArrival(At(at));
  EXPECT_LE(age, milliseconds(kPeriodMs + kDelayMs));
}

}  // namespace
}  // namespace pollenledge
