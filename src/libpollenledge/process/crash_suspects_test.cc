#include "pollenledge/process/crash_suspects.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

Fingerprint F(std::uint64_t number) { return {0, number}; }

class CrashSuspectsTest : public ::testing::Test {
 protected:
  /// Simulates the crash of a new upstream that runs the requests `running`,
  /// each with one suspect, which were sent directly before.
  std::vector<Fingerprint> CrashUpstream(
      CrashSuspects* suspects, const std::vector<Fingerprint>& running) {
    std::vector<std::vector<Fingerprint>> requests;
    requests.reserve(running.size());
    for (const Fingerprint& fingerprint : running) {
      requests.push_back({fingerprint});
    }
    return CrashUnder(suspects, requests, now_);
  }

  /// Simulates the crash of a new upstream that runs requests with several
  /// suspects, which were sent at `sent_at`.
  std::vector<Fingerprint> CrashUnder(
      CrashSuspects* suspects,
      const std::vector<std::vector<Fingerprint>>& requests,
      TimePoint sent_at) {
    std::vector<SuspectRun> running;
    running.reserve(requests.size());
    for (const auto& fingerprints : requests) {
      running.push_back({fingerprints, sent_at});
    }
    return suspects->OnUpstreamLost(running, next_crash_++, "d", now_);
  }

  Suspicion SuspicionOf(const CrashSuspects& suspects,
                        std::uint64_t number) const {
    return suspects.SuspicionOf(F(number), now_);
  }

  void SendReports(CrashSuspects* from, CrashSuspects* to) const {
    for (const SuspectReport& report :
         from->NextReports(kMaxSuspectReportsPerHeartbeat, now_)) {
      to->OnReport(report, now_);
    }
  }

  static std::size_t SoundReportCount(
      const std::vector<SuspectReport>& reports) {
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [](const SuspectReport& report) {
          return std::holds_alternative<SoundReport>(report);
        }));
  }
  /// Returns the number of sound responses in the next heartbeat.
  std::size_t NextSoundReportCount(CrashSuspects* suspects) const {
    return SoundReportCount(
        suspects->NextReports(kMaxSuspectReportsPerHeartbeat, now_));
  }

  TimePoint now_{kSecond};
  CrashId next_crash_ = 1;
};

TEST_F(CrashSuspectsTest, SecondCrashIdentifiesTheRequestAmongMany) {
  CrashSuspects suspects;
  EXPECT_TRUE(CrashUpstream(&suspects, {F(1), F(2), F(3)}).empty());
  EXPECT_EQ(SuspicionOf(suspects, 2), Suspicion::kSeparated);
  suspects.OnSoundResponse({F(1)}, now_);
  EXPECT_EQ(SuspicionOf(suspects, 1), Suspicion::kNone);
  // Request 2 ran together with requests that were not suspected before.
  const auto rejected = CrashUpstream(&suspects, {F(8), F(2), F(9)});
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_EQ(rejected.front(), F(2));
  EXPECT_EQ(SuspicionOf(suspects, 8), Suspicion::kNone);
  EXPECT_TRUE(suspects.RemainingRejection(F(2), now_).has_value());
  EXPECT_FALSE(
      suspects.RemainingRejection(F(2), now_ + CrashSuspects::kRejectionTime));
}

/// Uses the limit that is configured for platform nodes.
class ThreeCrashes : public CrashSuspectsTest {
 protected:
  CrashSuspects suspects_{{.crashes_to_reject = 3}};
  CrashSuspects other_{{.crashes_to_reject = 3}};
};

TEST_F(ThreeCrashes, SuspicionGrowsWithEachCrash) {
  EXPECT_TRUE(CrashUpstream(&suspects_, {F(1)}).empty());
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kSeparated);
  EXPECT_TRUE(CrashUpstream(&suspects_, {F(1)}).empty());
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kIsolated);
  EXPECT_EQ(CrashUpstream(&suspects_, {F(1)}).size(), 1U);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
}

// A crash that several nodes observe, or that is reported several times, must
// not be counted more than once.
TEST_F(ThreeCrashes, DuplicateReportsOfACrashCountOnce) {
  for (int i = 0; i < 5; ++i) {
    suspects_.OnReport(CrashReport{F(1), 7, false, kSecond * i}, now_);
  }
  suspects_.AttributeCrash({F(1), false}, 7, now_, "d", now_);
  EXPECT_EQ(suspects_.CrashCount(F(1)), 1U);
}

// If nodes do not add up the crashes that each of them observes, no node ever
// rejects the request.
TEST_F(ThreeCrashes, CrashesObservedByDifferentNodesAddUp) {
  CrashSuspects third({.crashes_to_reject = 3});
  CrashUpstream(&suspects_, {F(1)});
  SendReports(&suspects_, &other_);
  CrashUpstream(&other_, {F(1)});
  SendReports(&other_, &third);
  EXPECT_EQ(SuspicionOf(third, 1), Suspicion::kIsolated);
  EXPECT_EQ(CrashUpstream(&third, {F(1)}).size(), 1U);
  SendReports(&third, &suspects_);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
}

// When a failure domain is lost, several upstreams crash in a row under the
// same requests. These must not be rejected.
TEST_F(ThreeCrashes, RequestsThatShareEachCrashWithOthersAreNotRejected) {
  for (int i = 0; i < 3; ++i) CrashUpstream(&suspects_, {F(1), F(2), F(3)});
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kIsolated);
  suspects_.OnSoundResponse({F(1)}, now_);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
}

// Guards against a request that clears itself of its crashes each time that it
// runs, because it crashes upstreams only after a while (review/6).
TEST_F(ThreeCrashes, ACrashWhileWritingIsClearedOnlyByACompletedResponse) {
  const auto crash_while_writing = [&](std::uint64_t number) {
    return suspects_.OnUpstreamLost({{{F(number)}, now_, RunPhase::kWriting}},
                                    next_crash_++, "d", now_);
  };
  {
    SCOPED_TRACE("all begun responses have one such crash in common");
    crash_while_writing(1);
    EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
    EXPECT_EQ(suspects_.CrashCount(F(1)), 1U);
  }
  {
    SCOPED_TRACE("the next run begins to write, and crashes as well");
    now_ += kSecond;
    suspects_.OnSoundResponse({F(1)}, now_);
    EXPECT_EQ(suspects_.CrashCount(F(1)), 1U);
    EXPECT_FALSE(suspects_.IsVouchedFor(F(1), now_));
    crash_while_writing(1);
    EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kIsolated);
    EXPECT_TRUE(suspects_.MayCrashWhileWriting({F(1)}, now_));
  }
  {
    SCOPED_TRACE("peers learn of it with its phase");
    SendReports(&suspects_, &other_);
    other_.OnReport(SoundReport{F(1), Duration(0)}, now_ + kSecond);
    EXPECT_EQ(other_.CrashCount(F(1)), 2U);
  }
  {
    SCOPED_TRACE("a completed response clears it everywhere");
    now_ += 2 * kSecond;
    suspects_.OnSoundResponse({F(1)}, now_, RunPhase::kCompleted);
    EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
    SendReports(&suspects_, &other_);
    EXPECT_EQ(other_.CrashCount(F(1)), 0U);
  }
}

// Guards against blaming what an upstream has been writing for a while for the
// crashes of a request that was starting there, and the other way round.
TEST_F(ThreeCrashes, StartingAndWritingRequestsAreJudgedApart) {
  const SuspectRun starting{{F(1)}, now_, RunPhase::kStarting};
  const SuspectRun writing{{F(2)}, now_, RunPhase::kWriting};
  const auto blamed = [&] {
    return suspects_.MostSuspected({starting, writing}, now_);
  };
  const BlamedSuspect starting_alone{F(1), false, RunPhase::kStarting};
  const BlamedSuspect writing_alone{F(2), false, RunPhase::kWriting};
  {
    SCOPED_TRACE("nobody is suspected: both may be the cause");
    const BlamedSuspect writing_shared{F(2), true, RunPhase::kWriting};
    EXPECT_EQ(blamed(),
              (std::vector<BlamedSuspect>{starting_alone, writing_shared}));
  }
  {
    SCOPED_TRACE("the starting one is suspected");
    suspects_.AttributeCrash(starting_alone, 1, now_, "d", now_);
    EXPECT_EQ(blamed(), std::vector<BlamedSuspect>{starting_alone});
  }
  {
    SCOPED_TRACE("the writing one is suspected more");
    for (const CrashId crash : {2, 3}) {
      now_ += kSecond;
      suspects_.AttributeCrash(writing_alone, crash, now_, "d", now_);
    }
    EXPECT_EQ(blamed(),
              (std::vector<BlamedSuspect>{starting_alone, writing_alone}));
  }
}

// Many callers send the same request: some repeatedly lose their upstream while
// others get a response. The request must not be rejected.
TEST_F(ThreeCrashes, SoundResponsesClearARequestSentByManyCallers) {
  for (int i = 0; i < 20; ++i) {
    suspects_.OnSoundResponse({F(1)}, now_);
    now_ += kSecond;
    EXPECT_TRUE(CrashUpstream(&suspects_, {F(1)}).empty());
  }
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
  // A node that observed only crashes exonerates the request when it receives
  // the peer's report.
  for (int i = 0; i < 3; ++i) CrashUpstream(&other_, {F(1)});
  EXPECT_EQ(SuspicionOf(other_, 1), Suspicion::kRejected);
  now_ += kSecond;
  suspects_.OnSoundResponse({F(1)}, now_);
  SendReports(&suspects_, &other_);
  EXPECT_EQ(SuspicionOf(other_, 1), Suspicion::kNone);
}

// A request that was sound once may crash upstreams later, and must then be
// rejected.
TEST_F(ThreeCrashes, SoundResponseVouchesForAWhileOnly) {
  suspects_.OnSoundResponse({F(1)}, now_);
  now_ += CrashSuspects::kVouchTime + kSecond;
  for (int i = 0; i < 3; ++i) CrashUpstream(&suspects_, {F(1)});
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
}

// Many new reports must not displace the reports of rejected requests, and a
// node must receive the reports that it missed during a network partition.
TEST_F(ThreeCrashes, ReportsOfRejectedRequestsAreRepeatedRoundRobin) {
  for (std::uint64_t i = 1; i <= 30; ++i) {
    for (int crash = 0; crash < 3; ++crash) CrashUpstream(&suspects_, {F(i)});
  }
  for (std::uint64_t i = 100; i < 600; ++i) CrashUpstream(&suspects_, {F(i)});
  for (int i = 0; i < 600; ++i) {  // These are lost.
    suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now_);
  }
  for (int i = 0; i < 60; ++i) SendReports(&suspects_, &other_);
  for (std::uint64_t i = 1; i <= 30; ++i) {
    EXPECT_EQ(SuspicionOf(other_, i), Suspicion::kRejected) << i;
  }
}

// An attacker's flood of new requests must not evict a rejected request.
TEST_F(ThreeCrashes, RejectedRequestIsKeptWhenTheTableIsFull) {
  for (int i = 0; i < 3; ++i) CrashUpstream(&suspects_, {F(1)});
  for (std::uint64_t i = 0; i < 2 * CrashSuspects::kMaxTrackedSuspects; ++i) {
    now_ += std::chrono::milliseconds(1);
    CrashUpstream(&suspects_, {F(1000 + i)});
  }
  EXPECT_LE(suspects_.size(), CrashSuspects::kMaxTrackedSuspects);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
}

TEST_F(ThreeCrashes, CrashAfterExpiryRenewsTheRejection) {
  for (int i = 0; i < 3; ++i) CrashUpstream(&suspects_, {F(1)});
  now_ += CrashSuspects::kRejectionTime;
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kIsolated);
  EXPECT_EQ(CrashUpstream(&suspects_, {F(1)}).size(), 1U);
}

// Guards against a verdict on a sound suspect that ends by a response which is
// older than the crashes, and on one that has just become crash-causing.
TEST_F(ThreeCrashes, OlderSoundResponseClearsNoCrash) {
  suspects_.OnSoundResponse({F(1)}, now_);
  now_ += kSecond;
  const TimePoint before_crashes = now_;
  for (int i = 0; i < 6; ++i) {
    now_ += kSecond / 10;
    CrashUpstream(&suspects_, {F(1)});
  }
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
  suspects_.OnSoundResponse({F(1)}, before_crashes);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
  suspects_.OnSoundResponse({F(1)}, now_);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
}

// Guards against a verdict on what ran everywhere when many upstreams are lost
// together: only requests sent after a crash tell whether it was the cause.
TEST_F(ThreeCrashes, UpstreamsLostTogetherCountOnce) {
  const TimePoint sent_at = now_;
  for (int i = 0; i < 6; ++i) {
    now_ += kSecond / 100;
    CrashUnder(&suspects_, {{F(1)}}, sent_at);
  }
  EXPECT_EQ(suspects_.CrashCount(F(1)), 1U);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kSeparated);
}

// Guards against a verdict on a sound segment that always runs together with
// the cause: requests with only one of the two must show which one it is.
TEST_F(ThreeCrashes, SuspectsThatRanTogetherAreToldApart) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    now_ += kSecond;
    CrashUnder(&suspects_, {{F(100 + i), F(1), F(2)}}, now_);
  }
  EXPECT_EQ(suspects_.SuspicionOf({F(200), F(1), F(2)}, now_),
            Suspicion::kRejected);
  EXPECT_EQ(suspects_.SuspicionOf({F(201), F(1)}, now_), Suspicion::kIsolated);
  EXPECT_EQ(suspects_.SuspicionOf({F(202), F(2)}, now_), Suspicion::kIsolated);
  now_ += kSecond;
  CrashUnder(&suspects_, {{F(203), F(2)}}, now_);
  EXPECT_EQ(SuspicionOf(suspects_, 2), Suspicion::kRejected);
  EXPECT_EQ(SuspicionOf(suspects_, 1), Suspicion::kNone);
}

// Guards against suspicion of bystanders: once the cause of a crash is known,
// nothing else that ran on the upstream is suspected because of it, also if
// another node reported the crash.
TEST_F(ThreeCrashes, CrashesOfAKnownCauseAreNotAttributedToBystanders) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    now_ += kSecond;
    const CrashId crash = next_crash_;
    CrashUnder(&suspects_, {{F(100 + i), F(1)}}, now_);
    if (i > 0) other_.OnUpstreamLost({{{F(2)}, now_}}, crash, "d", now_);
  }
  EXPECT_EQ(SuspicionOf(other_, 2), Suspicion::kIsolated);
  SendReports(&suspects_, &other_);
  EXPECT_EQ(SuspicionOf(other_, 1), Suspicion::kRejected);
  EXPECT_EQ(SuspicionOf(other_, 2), Suspicion::kNone);
  SendReports(&other_, &suspects_);
  EXPECT_EQ(SuspicionOf(suspects_, 2), Suspicion::kNone);
}

// Guards against upstreams that are crashed by retrials of a rejected suspect
// without end, and against a wrong verdict that is never tested.
TEST_F(ThreeCrashes, RejectedSuspectIsTriedAgainTwice) {
  for (int i = 0; i < 3; ++i) {
    now_ += kSecond;
    CrashUpstream(&suspects_, {F(1)});
  }
  std::size_t retrials = 0;
  for (int second = 0; second < 3600; ++second) {
    now_ += kSecond;
    suspects_.OnRequestRejected({F(1)}, now_);
    ASSERT_EQ(SuspicionOf(suspects_, 1), Suspicion::kRejected);
    if (!suspects_.IsRetrialDue(F(1), now_)) continue;
    ++retrials;
    CrashUpstream(&suspects_, {F(1)});
  }
  EXPECT_EQ(retrials, CrashSuspects::kMaxRetrials);
}

// Guards against nodes that send each other the same report without end.
TEST_F(ThreeCrashes, ReturningSoundReportIsNotSentAgain) {
  CrashUpstream(&suspects_, {F(1)});
  CrashUpstream(&other_, {F(1)});
  now_ += kSecond;
  suspects_.OnSoundResponse({F(1)}, now_);
  now_ += kSecond;
  CrashUpstream(&suspects_, {F(1)});
  CrashUpstream(&other_, {F(1)});
  std::size_t last_sent = 0;
  for (int round = 0; round < 40; ++round) {
    now_ += kSecond / 4;
    for (auto [from, to] :
         {std::pair(&suspects_, &other_), std::pair(&other_, &suspects_)}) {
      const auto reports =
          from->NextReports(kMaxSuspectReportsPerHeartbeat, now_);
      last_sent = SoundReportCount(reports);
      now_ += kSecond / 1000;  // On the way.
      for (const SuspectReport& report : reports) to->OnReport(report, now_);
    }
  }
  EXPECT_EQ(last_sent, 0U);
}

// Guards against heartbeats full of one sound response, which left no room for
// the levels of limits in a fleet of 90 nodes: it was announced again for each
// report of a crash before it.
TEST_F(ThreeCrashes, StaleCrashReportsAnnounceASoundResponseOnce) {
  suspects_.OnSoundResponse({F(1)}, now_);
  std::size_t announcements = 0;
  for (CrashId crash = 1; crash <= 100; ++crash) {
    suspects_.OnReport(CrashReport{F(1), crash, true, kSecond}, now_);
    announcements += NextSoundReportCount(&suspects_);
  }
  EXPECT_GE(announcements, 1U);
  EXPECT_LE(announcements, 8U);
  {
    SCOPED_TRACE("a later crash, after many more sound responses");
    for (int i = 0; i < 60; ++i) {
      now_ += kSecond;
      suspects_.OnSoundResponse({F(1)}, now_);
    }
    suspects_.OnReport(CrashReport{F(1), 200, true, kSecond}, now_);
    EXPECT_EQ(NextSoundReportCount(&suspects_), 1U);
  }
}

TEST(CrashIdTest, RepeatedCrashOfAnIncarnationHasAnotherId) {
  const UpstreamId upstream{"u", 1};
  EXPECT_EQ(CrashIdOf(upstream, 0, "a"), CrashIdOf(upstream, 0, "b"));
  EXPECT_NE(CrashIdOf(upstream, 0, "a"), CrashIdOf({"u", 2}, 0, "a"));
  EXPECT_NE(CrashIdOf(upstream, 0, "a"), CrashIdOf(upstream, 1, "a"));
  EXPECT_NE(CrashIdOf(upstream, 1, "a"), CrashIdOf(upstream, 2, "a"));
}

TEST(FingerprintTest, PartBoundariesChangeTheFingerprint) {
  EXPECT_EQ(ComputeFingerprint({"a", "bc"}), ComputeFingerprint({"a", "bc"}));
  EXPECT_NE(ComputeFingerprint({"a", "bc"}), ComputeFingerprint({"ab", "c"}));
  EXPECT_NE(ComputeFingerprint({"a", ""}), ComputeFingerprint({"a"}));
  EXPECT_EQ(ToHex({1, 2}), "00000000000000010000000000000002");
}

}  // namespace
}  // namespace pollenledge
