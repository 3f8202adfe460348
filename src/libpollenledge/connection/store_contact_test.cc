#include "pollenledge/connection/store_contact.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

TimePoint At(double seconds) {
  return TimePoint(std::chrono::seconds(100)) + FromSeconds(seconds);
}

class StoreContactTest : public ::testing::Test {
 protected:
  StoreContact contact_{std::chrono::seconds(2)};
};

TEST_F(StoreContactTest, OnlyALongTimeWithoutAnswersMayBeAnOutage) {
  contact_.OnResponded(At(0), At(0));
  {
    SCOPED_TRACE("no call at all shows nothing");
    EXPECT_FALSE(contact_.MayBeAway(At(60)));
  }
  contact_.OnResponded(At(60), At(60));
  contact_.OnFailed();
  EXPECT_FALSE(contact_.MayBeAway(At(61.9)));
  EXPECT_TRUE(contact_.MayBeAway(At(62)));
  {
    SCOPED_TRACE("an answer ends it");
    contact_.OnResponded(At(63), At(63));
    EXPECT_FALSE(contact_.MayBeAway(At(63)));
    EXPECT_EQ(contact_.recovered_at(), At(63));
  }
}

TEST_F(StoreContactTest, AnAnswerShowsTheStoreWhenTheCallWasSent) {
  contact_.OnResponded(At(0), At(1.5));
  contact_.OnFailed();
  EXPECT_TRUE(contact_.MayBeAway(At(2)));
  contact_.OnResponded(At(2), At(2.1));
  {
    SCOPED_TRACE("an earlier call that is answered late takes nothing back");
    contact_.OnResponded(At(0.5), At(2.2));
    contact_.OnFailed();
    EXPECT_FALSE(contact_.MayBeAway(At(3.9)));
  }
}

TEST_F(StoreContactTest, ShortFailuresAreNoRecovery) {
  for (int i = 0; i < 20; ++i) {
    contact_.OnResponded(At(i), At(i));
    contact_.OnFailed();
  }
  EXPECT_EQ(contact_.recovered_at(), std::nullopt);
}

}  // namespace
}  // namespace pollenledge
