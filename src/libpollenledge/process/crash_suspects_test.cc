#include "pollenledge/process/crash_suspects.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

Fingerprint F(std::uint64_t number) { return {0, number}; }

class CrashSuspectsTest : public ::testing::Test {
 protected:
  /// One more upstream ends while `running` run on it.
  std::vector<Fingerprint> Lose(CrashSuspects* suspects,
                                const std::vector<Fingerprint>& running) {
    return suspects->OnUpstreamLost(running, next_crash_++, "d", now_);
  }

  Suspicion Of(const CrashSuspects& suspects, std::uint64_t number) const {
    return suspects.Of(F(number), now_);
  }

  void TellAll(CrashSuspects* from, CrashSuspects* to) const {
    for (const SuspectReport& report :
         from->ReportsToTell(kMaxSuspectReports, now_)) {
      to->OnReport(report, now_);
    }
  }

  TimePoint now_{kSecond};
  CrashId next_crash_ = 1;
};

TEST_F(CrashSuspectsTest, OneOfManyIsFoundByTheSecondLoss) {
  CrashSuspects suspects;
  EXPECT_TRUE(Lose(&suspects, {F(1), F(2), F(3)}).empty());
  EXPECT_EQ(Of(suspects, 2), Suspicion::kApart);
  suspects.OnCompleted(F(1), now_);
  EXPECT_EQ(Of(suspects, 1), Suspicion::kNone);
  // 2 ran beside innocents that were never suspected.
  const auto guilty = Lose(&suspects, {F(8), F(2), F(9)});
  ASSERT_EQ(guilty.size(), 1U);
  EXPECT_EQ(guilty.front(), F(2));
  EXPECT_EQ(Of(suspects, 8), Suspicion::kNone);
  EXPECT_TRUE(suspects.RefusedFor(F(2), now_).has_value());
  EXPECT_FALSE(suspects.RefusedFor(F(2), now_ + CrashSuspects::kRefusalTime));
}

/// What the platform's nodes are set to.
class ThreeCrashes : public CrashSuspectsTest {
 protected:
  CrashSuspects suspects_{{.crashes_to_refuse = 3}};
  CrashSuspects other_{{.crashes_to_refuse = 3}};
};

TEST_F(ThreeCrashes, SuspicionGrowsWithEachCrash) {
  EXPECT_TRUE(Lose(&suspects_, {F(1)}).empty());
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kApart);
  EXPECT_TRUE(Lose(&suspects_, {F(1)}).empty());
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kAlone);
  EXPECT_EQ(Lose(&suspects_, {F(1)}).size(), 1U);
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kRefused);
}

// Guards against a crash that several nodes saw, or one node was told several
// times, counting more than once.
TEST_F(ThreeCrashes, ACrashCountsOnceHoweverOftenItIsTold) {
  for (int i = 0; i < 5; ++i) {
    suspects_.OnReport(CrashReport{F(1), 7, false, kSecond * i}, now_);
  }
  suspects_.Blame(F(1), 7, false, "d", now_);
  EXPECT_EQ(suspects_.Crashes(F(1)), 1U);
}

// Guards against nodes that each saw one crash and never refuse.
TEST_F(ThreeCrashes, CrashesSeenByDifferentNodesAddUp) {
  CrashSuspects third({.crashes_to_refuse = 3});
  Lose(&suspects_, {F(1)});
  TellAll(&suspects_, &other_);
  Lose(&other_, {F(1)});
  TellAll(&other_, &third);
  EXPECT_EQ(Of(third, 1), Suspicion::kAlone);
  EXPECT_EQ(Lose(&third, {F(1)}).size(), 1U);
  TellAll(&third, &suspects_);
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kRefused);
}

// Guards against the refusal of requests that were only there when a failure
// domain was lost.
TEST_F(ThreeCrashes, WhoeverRanInAWaveWithOthersIsNotRefusedByIt) {
  for (int i = 0; i < 3; ++i) Lose(&suspects_, {F(1), F(2), F(3)});
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kAlone);
  suspects_.OnCompleted(F(1), now_);
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kNone);
}

// Guards against the refusal of a request that many callers send alike, some
// of whom lose their upstream again and again while the others are answered.
TEST_F(ThreeCrashes, WholeAnswersVouchForARequestThatManySend) {
  for (int i = 0; i < 20; ++i) {
    suspects_.OnCompleted(F(1), now_);
    now_ += kSecond;
    EXPECT_TRUE(Lose(&suspects_, {F(1)}).empty());
  }
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kNone);
  // The node that only saw the crashes is told as well.
  for (int i = 0; i < 3; ++i) Lose(&other_, {F(1)});
  EXPECT_EQ(Of(other_, 1), Suspicion::kRefused);
  TellAll(&suspects_, &other_);
  EXPECT_EQ(Of(other_, 1), Suspicion::kNone);
}

// Guards against a request that was answered once and ends upstreams from then
// on.
TEST_F(ThreeCrashes, AWholeAnswerVouchesForAWhileOnly) {
  suspects_.OnCompleted(F(1), now_);
  now_ += CrashSuspects::kVouchTime + kSecond;
  for (int i = 0; i < 3; ++i) Lose(&suspects_, {F(1)});
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kRefused);
}

// Guards against news that drowns in other news, and against a node that was
// cut off and never learns what it missed.
TEST_F(ThreeCrashes, EveryRefusalIsToldAgainInTurn) {
  for (std::uint64_t i = 1; i <= 30; ++i) {
    for (int crash = 0; crash < 3; ++crash) Lose(&suspects_, {F(i)});
  }
  for (std::uint64_t i = 100; i < 600; ++i) Lose(&suspects_, {F(i)});
  for (int i = 0; i < 600; ++i) {  // Nobody hears these.
    suspects_.ReportsToTell(kMaxSuspectReports, now_);
  }
  for (int i = 0; i < 60; ++i) TellAll(&suspects_, &other_);
  for (std::uint64_t i = 1; i <= 30; ++i) {
    EXPECT_EQ(Of(other_, i), Suspicion::kRefused) << i;
  }
}

// Guards against an attacker whose new requests drive out a refusal.
TEST_F(ThreeCrashes, MemoryIsBoundedAndKeepsTheRefused) {
  for (int i = 0; i < 3; ++i) Lose(&suspects_, {F(1)});
  for (std::uint64_t i = 0; i < 2 * CrashSuspects::kMaxTracked; ++i) {
    now_ += std::chrono::milliseconds(1);
    Lose(&suspects_, {F(1000 + i)});
  }
  EXPECT_LE(suspects_.size(), CrashSuspects::kMaxTracked);
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kRefused);
}

TEST_F(ThreeCrashes, OneMoreCrashRenewsARefusalThatRanOut) {
  for (int i = 0; i < 3; ++i) Lose(&suspects_, {F(1)});
  now_ += CrashSuspects::kRefusalTime;
  EXPECT_EQ(Of(suspects_, 1), Suspicion::kAlone);
  EXPECT_EQ(Lose(&suspects_, {F(1)}).size(), 1U);
}

TEST(CrashIdTest, ASecondEndOfTheSameIncarnationHasAnotherName) {
  const UpstreamId upstream{"u", 1};
  EXPECT_EQ(CrashIdOf(upstream, 0, "a"), CrashIdOf(upstream, 0, "b"));
  EXPECT_NE(CrashIdOf(upstream, 0, "a"), CrashIdOf({"u", 2}, 0, "a"));
  EXPECT_NE(CrashIdOf(upstream, 0, "a"), CrashIdOf(upstream, 1, "a"));
  EXPECT_NE(CrashIdOf(upstream, 1, "a"), CrashIdOf(upstream, 2, "a"));
}

TEST(FingerprintTest, ThePartsBordersCount) {
  EXPECT_EQ(FingerprintOf({"a", "bc"}), FingerprintOf({"a", "bc"}));
  EXPECT_NE(FingerprintOf({"a", "bc"}), FingerprintOf({"ab", "c"}));
  EXPECT_NE(FingerprintOf({"a", ""}), FingerprintOf({"a"}));
  EXPECT_EQ(ToHex({1, 2}), "00000000000000010000000000000002");
}

}  // namespace
}  // namespace pollenledge
