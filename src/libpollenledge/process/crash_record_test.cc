#include "pollenledge/process/crash_record.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// A crash `at` seconds after the start under a request sent at `sent_at`.
RecordedCrash Crash(int sent_at, int at) {
  return {TimePoint(kSecond * at), TimePoint(kSecond * sent_at)};
}

TEST(CrashRecordTest, CountsOnlyCrashesOfRequestsSentAfterThePreviousCrash) {
  CrashRecord record;
  record.Add(1, Crash(0, 10));
  record.Add(2, Crash(9, 11));
  record.Add(3, Crash(5, 12));
  EXPECT_EQ(record.SequentialCount(), 1U);
  record.Add(4, Crash(10, 13));
  EXPECT_EQ(record.SequentialCount(), 2U);
  record.RemoveUpTo(TimePoint(kSecond * 10), RunPhase::kCompleted);
  EXPECT_EQ(record.SequentialCount(), 1U);
}

TEST(CrashRecordTest, CrashesCloserThanTheIntervalCountOnce) {
  CrashRecord record(3 * kSecond);
  record.Add(1, Crash(0, 10));
  record.Add(2, Crash(10, 11));
  record.Add(3, Crash(11, 12));
  EXPECT_EQ(record.SequentialCount(), 1U);
  record.Add(4, Crash(12, 13));
  EXPECT_EQ(record.SequentialCount(), 2U);
}

TEST(CrashRecordTest, OrderOfReportsDoesNotMatter) {
  CrashRecord first;
  first.Add(1, Crash(0, 10));
  first.Add(1, Crash(4, 10));
  CrashRecord second;
  second.Add(1, Crash(4, 10));
  EXPECT_FALSE(second.Add(1, Crash(0, 10)));
  EXPECT_EQ(first.crashes(), second.crashes());
}

// Guards against a flood of simultaneous crashes that displaces the sequence.
TEST(CrashRecordTest, KeepsTheSequenceWhenFull) {
  CrashRecord record;
  for (CrashId id = 0; id < 100; ++id) record.Add(id, Crash(0, 5));
  CrashId next_id = 1000;
  for (int i = 0; i < 4; ++i) {
    record.Add(next_id++, Crash(10 + 2 * i, 11 + 2 * i));
  }
  EXPECT_EQ(record.SequentialCount(), 5U);
  EXPECT_EQ(record.crashes().size(), CrashRecord::kMaxCrashes);
}

TEST(CrashRecordTest, CountsPauses) {
  CrashRecord record;
  record.Add(1, Crash(0, 1));
  record.Add(2, Crash(30, 31));
  record.Add(3, Crash(40, 41));
  record.Add(4, Crash(61, 62));
  EXPECT_EQ(record.PausesAfter(0, 15 * kSecond), 2U);
  EXPECT_EQ(record.PausesAfter(2, 15 * kSecond), 1U);
}

}  // namespace
}  // namespace pollenledge
