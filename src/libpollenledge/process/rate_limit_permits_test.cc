#include "pollenledge/process/rate_limit_permits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace pollenledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UpstreamId kUpstream{"u", 1};
const PermitCoordinator kSelf{"n0", "address"};

TimePoint At(int ms) { return TimePoint(seconds(100)) + milliseconds(ms); }

// Guards against permits of two coordinators that are used at the same time.
TEST(RateLimitPermitsTest, ANewCoordinatorWaits) {
  RateLimitPermits permits;
  permits.SetCoordinator(kUpstream, kSelf, At(0));
  EXPECT_EQ(permits.Grant(kUpstream, 4, 4, At(900)), 0);
  EXPECT_EQ(permits.Grant(kUpstream, 4, 4, At(1000)), 2);
  // The same coordinator again changes nothing.
  permits.SetCoordinator(kUpstream, kSelf, At(1100));
  EXPECT_EQ(permits.Grant(kUpstream, 4, 4, At(1300)), 1);
  permits.RestartTakeover(At(1400));
  EXPECT_EQ(permits.Grant(kUpstream, 4, 4, At(2300)), 0);
  EXPECT_EQ(permits.Grant({"u", 2}, 4, 4, At(3000)), 0);
}

// Guards against a permit that is used long after it was granted, twice, or by
// another process than the one that requested it.
TEST(RateLimitPermitsTest, APermitIsForOneRequestAndExpires) {
  RateLimitPermits permits;
  permits.OnGranted({kUpstream, 2}, At(0), At(10));
  EXPECT_TRUE(permits.HasPermit(kUpstream, At(499)));
  EXPECT_FALSE(permits.HasPermit(kUpstream, At(500)));
  permits.Consume(kUpstream, At(20));
  EXPECT_TRUE(permits.HasPermit(kUpstream, At(30)));
  permits.Consume(kUpstream, At(30));
  EXPECT_FALSE(permits.HasPermit(kUpstream, At(30)));
  permits.OnGranted({kUpstream, 1}, At(0), At(600));
  EXPECT_FALSE(permits.HasPermit(kUpstream, At(600)));
  permits.OnGranted({kUpstream, 1}, At(9000), At(600));
  EXPECT_FALSE(permits.HasPermit(kUpstream, At(600)));
}

// Guards against an upstream that accepts nothing and is never tried again.
TEST(RateLimitPermitsTest, AnUpstreamThatAcceptsNothingIsProbed) {
  RateLimitPermits permits;
  permits.SetCoordinator(kUpstream, kSelf, At(0));
  int granted = 0;
  for (int ms = 0; ms < 20'000; ms += 50) {
    granted += permits.Grant(kUpstream, 0, 1, At(ms));
  }
  EXPECT_EQ(granted, 4);
}

class PermitSeeds : public ::testing::TestWithParam<unsigned> {};

// Guards against windows in which a coordinator grants more than the limit and
// its burst, whatever the nodes request. The naive count of all grants is the
// reference.
TEST_P(PermitSeeds, NoWindowExceedsTheLimit) {
  std::mt19937 random(GetParam());
  const double limit = std::uniform_real_distribution<>(0.3, 20)(random);
  RateLimitPermits permits;
  permits.SetCoordinator(kUpstream, kSelf, At(0));
  std::vector<int> granted_at;
  for (int ms = 0; ms < 30'000; ms += static_cast<int>(random() % 300)) {
    const int count = static_cast<int>(random() % 8);
    const int granted = permits.Grant(kUpstream, limit, count, At(ms));
    EXPECT_LE(granted, count);
    granted_at.insert(granted_at.end(), static_cast<std::size_t>(granted), ms);
  }
  for (std::size_t first = 0; first < granted_at.size(); ++first) {
    const auto end =
        std::find_if(granted_at.begin(), granted_at.end(),
                     [&](int ms) { return ms >= granted_at[first] + 4000; });
    const double in_window = static_cast<double>(
        end - granted_at.begin() - static_cast<std::ptrdiff_t>(first));
    EXPECT_LE(in_window, 4 * limit + 0.25 * limit + 1);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PermitSeeds, ::testing::Range(1U, 9U));

}  // namespace
}  // namespace pollenledge
