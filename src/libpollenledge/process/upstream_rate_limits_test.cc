#include "pollenledge/process/upstream_rate_limits.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

using std::chrono::milliseconds;

const UpstreamId kUpstream{"u", 7};

TimePoint At(int ms) {
  return TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

// Guards against limits that outlast what the upstream states, or that end
// before it stops stating them.
TEST(UpstreamRateLimitsTest, ALimitLastsForAsLongAsItIsStated) {
  UpstreamRateLimits limits;
  {
    SCOPED_TRACE("a response without a limit changes nothing");
    EXPECT_EQ(limits.OnResponse(kUpstream, {}, At(0), At(10)),
              RateLimitChange::kNone);
    EXPECT_TRUE(limits.Limited().empty());
  }
  {
    SCOPED_TRACE("the first statement");
    EXPECT_EQ(limits.OnResponse(kUpstream, 2, At(0), At(100)),
              RateLimitChange::kBegan);
    EXPECT_EQ(limits.LimitOf(kUpstream), 2);
  }
  {
    SCOPED_TRACE("older responses that arrive later do not lift or raise it");
    EXPECT_EQ(limits.OnResponse(kUpstream, {}, At(90), At(110)),
              RateLimitChange::kNone);
    EXPECT_EQ(limits.OnResponse(kUpstream, 5, At(90), At(110)),
              RateLimitChange::kNone);
    EXPECT_EQ(limits.LimitOf(kUpstream), 2);
  }
  {
    SCOPED_TRACE("a lower limit counts at once, a higher one if it is newer");
    EXPECT_EQ(limits.OnResponse(kUpstream, 1, At(50), At(120)),
              RateLimitChange::kChanged);
    EXPECT_EQ(limits.OnResponse(kUpstream, 5, At(130), At(140)),
              RateLimitChange::kChanged);
    EXPECT_EQ(limits.LimitOf(kUpstream), 5);
  }
  {
    SCOPED_TRACE("a newer response without a limit ends it");
    EXPECT_EQ(limits.OnResponse(kUpstream, {}, At(150), At(160)),
              RateLimitChange::kEnded);
    EXPECT_EQ(limits.LimitOf(kUpstream), std::nullopt);
  }
}

// Guards against a restarted upstream that is held to the limit of the process
// before it.
TEST(UpstreamRateLimitsTest, ALimitBelongsToOneIncarnation) {
  UpstreamRateLimits limits;
  const UpstreamId restarted{"u", 8};
  limits.OnResponse(kUpstream, 2, At(0), At(10));
  EXPECT_EQ(limits.LimitOf(restarted), std::nullopt);
  EXPECT_EQ(limits.OnResponse(restarted, 3, At(20), At(30)),
            RateLimitChange::kBegan);
  // A late response of the earlier incarnation.
  EXPECT_EQ(limits.OnResponse(kUpstream, 1, At(5), At(40)),
            RateLimitChange::kNone);
  EXPECT_EQ(limits.LimitOf(restarted), 3);
}

// Guards against a limit that is forgotten with the upstream's entry, and
// against memory that grows with upstreams that are gone.
TEST(UpstreamRateLimitsTest, TheLimitOfAnUnlistedUpstreamIsKeptForAWhile) {
  UpstreamRateLimits limits;
  const auto is_listed = [](const UpstreamId&) { return false; };
  limits.OnResponse(kUpstream, 2, At(0), At(10));
  limits.RemoveOutdated(is_listed, At(5000));
  EXPECT_EQ(limits.LimitOf(kUpstream), 2);
  limits.RemoveOutdated(is_listed,
                        At(20) + UpstreamRateLimits::kUnlistedRetention);
  EXPECT_TRUE(limits.Limited().empty());
}

// Guards against peers that keep a limit alive after its end, or lift one that
// was stated again.
TEST(UpstreamRateLimitsTest, TheNewerStatementOfTwoNodesCounts) {
  UpstreamRateLimits here;
  UpstreamRateLimits there;
  here.OnResponse(kUpstream, 2, At(0), At(10));
  const std::vector<RateLimitReport> began = here.NextReports(8, At(20));
  EXPECT_EQ(there.Merge(began.at(0), At(21)), RateLimitChange::kBegan);
  here.OnResponse(kUpstream, {}, At(100), At(110));
  EXPECT_EQ(there.Merge(here.NextReports(8, At(120)).at(0), At(121)),
            RateLimitChange::kEnded);
  // The first report once more, from a third node.
  RateLimitReport late = began.at(0);
  late.age += milliseconds(110);
  EXPECT_EQ(there.Merge(late, At(131)), RateLimitChange::kNone);
  EXPECT_EQ(there.LimitOf(kUpstream), std::nullopt);
  there.OnResponse(kUpstream, 4, At(140), At(150));
  EXPECT_EQ(there.Merge(here.NextReports(8, At(160)).at(0), At(161)),
            RateLimitChange::kNone);
  EXPECT_EQ(there.LimitOf(kUpstream), 4);
}

// Guards against messages that grow with the number of limited upstreams, and
// against limits that are never reported.
TEST(UpstreamRateLimitsTest, ReportsTakeTurns) {
  UpstreamRateLimits limits;
  for (const char* name : {"a", "b", "c"}) {
    limits.OnResponse({name, 1}, 2, At(0), At(0));
  }
  EXPECT_EQ(limits.NextReports(2, At(1)).size(), 2U);
  EXPECT_EQ(limits.NextReports(2, At(1)).at(0).upstream.name, "c");
  EXPECT_EQ(limits.NextReports(8, At(1)).size(), 3U);
  EXPECT_TRUE(UpstreamRateLimits().NextReports(8, At(1)).empty());
}

}  // namespace
}  // namespace pollenledge
