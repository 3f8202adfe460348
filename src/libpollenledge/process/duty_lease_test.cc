#include "pollenledge/process/duty_lease.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr Duration kTakeoverDelay = std::chrono::seconds(3);
constexpr Duration kTimeToLive = std::chrono::seconds(4);

TimePoint At(double seconds) {
  return TimePoint(std::chrono::seconds(100)) + FromSeconds(seconds);
}

TEST(DutyLeaseValidityTest, HolderActsOnlyBetweenTakeoverDelayAndSafetyMargin) {
  DutyLeaseValidity validity(kTakeoverDelay);
  EXPECT_FALSE(validity.MayAct(At(0)));
  validity.OnAcquired(7, At(0), kTimeToLive, false, At(0.1));
  EXPECT_FALSE(validity.MayAct(At(2)));
  validity.OnRenewed(At(2), kTimeToLive);
  EXPECT_TRUE(validity.MayAct(At(3.2)));
  EXPECT_FALSE(validity.MayAct(At(6 - 1.3)));
}

TEST(DutyLeaseValidityTest, FirstHolderEverActsWithoutTakeoverDelay) {
  DutyLeaseValidity validity(kTakeoverDelay);
  validity.OnAcquired(7, At(0), kTimeToLive, true, At(0.1));
  EXPECT_TRUE(validity.MayAct(At(0.1)));
}

// Guards against a holder that acts after its lease has expired, because it
// measured the lease from the arrival of a delayed response.
TEST(DutyLeaseValidityTest, RenewalExtendsTheLeaseFromItsSendTime) {
  DutyLeaseValidity validity(kTakeoverDelay);
  validity.OnAcquired(7, At(0), kTimeToLive, false, At(0));
  // The machine was suspended before the response arrived, so the renewed lease
  // may have expired in the meantime.
  validity.OnRenewed(At(1), kTimeToLive);
  EXPECT_FALSE(validity.MayAct(At(9)));
}

TEST(DutyLeaseValidityTest, EarlierRenewalDoesNotShortenALaterOne) {
  DutyLeaseValidity validity(Duration(0));
  validity.OnAcquired(7, At(0), kTimeToLive, false, At(0));
  validity.OnRenewed(At(3), kTimeToLive);
  validity.OnRenewed(At(1), kTimeToLive);
  EXPECT_TRUE(validity.MayAct(At(5)));
}

// Guards against two holders at once: the store lost the lease of one that
// still believes in it, and grants another one at once (incident CONFIG).
TEST(DutyLeaseValidityTest, HolderWaitsForALeaseThatTheStoreLost) {
  DutyLeaseValidity earlier(kTakeoverDelay);
  earlier.OnAcquired(7, At(0), kTimeToLive, true, At(0));
  earlier.OnRenewed(At(9.9), kTimeToLive);
  DutyLeaseValidity later(kTakeoverDelay);
  later.OnLeasesLost(At(10), kTimeToLive);
  later.OnAcquired(9, At(10.1), kTimeToLive, false, At(10.1));
  EXPECT_FALSE(later.MayAct(At(12)));
  for (int step = 0; step < 100; ++step) {
    const double at = 10.1 + 0.1 * step;
    later.OnRenewed(At(at), kTimeToLive);
    // Calls that the earlier holder sent last have arrived by then.
    EXPECT_FALSE(later.MayAct(At(at)) && earlier.MayAct(At(at - 2.9))) << at;
  }
  EXPECT_TRUE(later.MayAct(At(20)));
}

}  // namespace
}  // namespace pollenledge
