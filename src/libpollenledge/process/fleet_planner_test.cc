#include "pollenledge/process/fleet_planner.h"

#include <gtest/gtest.h>

#include <cmath>

namespace pollenledge {
namespace {

TimePoint At(double seconds) {
  return TimePoint(std::chrono::seconds(100)) + FromSeconds(seconds);
}

ForwardingService Service() {
  ForwardingService service;
  service.name = "llm";
  service.scaling =
      ScalingBounds{.min_upstreams = 1,
                    .max_upstreams = 6,
                    .boot_time = std::chrono::seconds(4),
                    .reclaimable_price_ratio = 0.18,
                    .domain_prices_per_s = {{"a", 1}, {"b", 0.8}}};
  return service;
}

/// A fleet to which the planner's scale requests are applied immediately.
class FleetPlannerTest : public ::testing::Test {
 protected:
  FleetPlannerTest() {
    Add("a", false, 3);
    Add("b", false, 2);
  }

  void Add(const std::string& domain, bool reclaimable, int count) {
    for (int i = 0; i < count; ++i) {
      ForwardUpstreamInfo upstream;
      upstream.id.name = std::to_string(next_id_++);
      upstream.service = "llm";
      upstream.domain = domain;
      upstream.reclaimable = reclaimable;
      upstreams_.push_back(upstream);
    }
  }

  int Count(bool reclaimable) const {
    int count = 0;
    for (const ForwardUpstreamInfo& upstream : upstreams_) {
      if (upstream.reclaimable == reclaimable) ++count;
    }
    return count;
  }

  /// Adds or removes upstreams until the requested count is reached.
  void ApplyRequest(const ScaleRequest& request) {
    int present = 0;
    for (auto it = upstreams_.begin(); it != upstreams_.end();) {
      const bool same = it->domain == request.domain &&
                        it->reclaimable == request.reclaimable;
      if (same && ++present > request.count) {
        it = upstreams_.erase(it);
      } else {
        ++it;
      }
    }
    if (present < request.count) {
      Add(request.domain, request.reclaimable, request.count - present);
    }
  }

  /// Removes the reclaimable upstreams of `domain`; from now on no reclaimable
  /// capacity is available.
  void Reclaim(const std::string& domain) {
    ApplyRequest({"llm", domain, 0, true});
    no_reclaimable_capacity_ = true;
  }

  /// Plans every half second from `from` to `to`. Returns the minimum number of
  /// upstreams after a step.
  int Run(double from, double to, double late_share = 0) {
    int min_count = 1000;
    for (double at = from; at < to; at += 0.5) {
      const auto requests =
          planner_.Plan(Service(), upstreams_, late_share, At(at));
      for (const ScaleRequest& request : requests) {
        const bool rejected = request.reclaimable && no_reclaimable_capacity_;
        if (!rejected) ApplyRequest(request);
        planner_.OnScaleRequestCompleted(request,
                                         rejected
                                             ? ScaleRequestOutcome::kNoCapacity
                                             : ScaleRequestOutcome::kAccepted,
                                         At(at));
      }
      min_count = std::min(min_count, static_cast<int>(upstreams_.size()));
    }
    return min_count;
  }

  /// Number of upstreams that must be ready at low load.
  static int LowLoadCount() {
    return static_cast<int>(std::ceil(FleetPlanner::kLowLoadBaselineShare * 5));
  }

  FleetPlanner planner_{{{"a", 3}, {"b", 2}}};
  std::vector<ForwardUpstreamInfo> upstreams_;
  bool no_reclaimable_capacity_ = false;
  int next_id_ = 1;
};

TEST_F(FleetPlannerTest, ReclaimableUpstreamsReplaceTheOnDemandFleet) {
  EXPECT_GE(Run(0, 10), 5);
  EXPECT_EQ(Count(false), 0);
  // The baseline, plus as many as the largest failure domain has.
  EXPECT_EQ(Count(true), 8);
}

TEST_F(FleetPlannerTest, LossOfADomainLeavesEnoughUpstreamsAtLowLoad) {
  const int required = LowLoadCount();
  Run(0, 10);
  Reclaim("a");
  EXPECT_GE(static_cast<int>(upstreams_.size()), required);
  Run(10, 20);
  // No reclaimable capacity is available and the remaining reclaimable
  // upstreams may be reclaimed next, so on-demand ones are requested.
  EXPECT_GE(Count(false), required);
  Reclaim("b");
  EXPECT_GE(static_cast<int>(upstreams_.size()), required);
  // When reclaimable capacity is available again, the on-demand upstreams are
  // released.
  no_reclaimable_capacity_ = false;
  Run(30, 60);
  EXPECT_EQ(Count(false), 0);
  EXPECT_EQ(Count(true), 8);
}

TEST_F(FleetPlannerTest,
       LossOfADomainLeavesTheWholeBaselineWhenResponsesAreLate) {
  Run(0, 10);
  Reclaim("a");
  Run(10, 20, FleetPlanner::kFullBaselineLateShare);
  EXPECT_GE(Count(false), 5);
  Reclaim("b");
  EXPECT_GE(upstreams_.size(), 5U);
}

TEST_F(FleetPlannerTest, EachDomainStaysWithinItsBoundsWhileScaledUp) {
  Run(0, 30, 0.5);
  for (const char* domain : {"a", "b"}) {
    int count = 0;
    for (const ForwardUpstreamInfo& upstream : upstreams_) {
      if (upstream.domain == domain) ++count;
    }
    EXPECT_LE(count, 6);
    EXPECT_GE(count, 1);
  }
}

/// Number of on-demand upstreams requested in one planning step.
int OnDemandRequested(const std::vector<ScaleRequest>& requests) {
  int count = 0;
  for (const ScaleRequest& request : requests) {
    if (!request.reclaimable) count += request.count;
  }
  return count;
}

TEST_F(FleetPlannerTest,
       NoOnDemandUpstreamsAreRequestedWhileReclaimableOnesBoot) {
  Run(0, 10);
  {
    SCOPED_TRACE("both domains are lost, reclaimable requests are accepted");
    ApplyRequest({"llm", "a", 0, true});
    ApplyRequest({"llm", "b", 0, true});
    for (const ScaleRequest& request :
         planner_.Plan(Service(), upstreams_, 0, At(10))) {
      const bool accepted = request.reclaimable;
      planner_.OnScaleRequestCompleted(request,
                                       accepted ? ScaleRequestOutcome::kAccepted
                                                : ScaleRequestOutcome::kUnknown,
                                       At(10));
    }
  }
  {
    SCOPED_TRACE("on-demand upstreams would not be ready sooner than these");
    EXPECT_EQ(
        OnDemandRequested(planner_.Plan(Service(), upstreams_, 0, At(12))), 0);
  }
  {
    SCOPED_TRACE("on-demand upstreams are requested if these are overdue");
    EXPECT_GE(
        OnDemandRequested(planner_.Plan(Service(), upstreams_, 0, At(16))), 3);
  }
}

TEST_F(FleetPlannerTest, RequiredShareFollowsLateResponsesAndFallsSlowly) {
  Run(0, 10);
  no_reclaimable_capacity_ = true;
  Reclaim("a");
  Reclaim("b");
  {
    SCOPED_TRACE("low load: a share of the baseline is enough");
    Run(10, 16, 0);
    EXPECT_EQ(Count(false), LowLoadCount());
  }
  {
    SCOPED_TRACE("late responses: the whole baseline is requested");
    Run(16, 22, FleetPlanner::kFullBaselineLateShare);
    EXPECT_EQ(Count(false), 5);
  }
  {
    SCOPED_TRACE("a short time of low load releases none");
    Run(22, 24, 0);
    EXPECT_EQ(Count(false), 5);
  }
  {
    SCOPED_TRACE("a long time of low load releases some");
    Run(24, 40, 0);
    EXPECT_EQ(Count(false), LowLoadCount());
  }
}

TEST_F(FleetPlannerTest, FleetIsUnchangedWithoutAReclaimableMarket) {
  ForwardingService service = Service();
  service.scaling->reclaimable_price_ratio = 1;
  for (double at = 0; at < 10; at += 0.5) {
    EXPECT_TRUE(planner_.Plan(service, upstreams_, 0, At(at)).empty());
  }
}

}  // namespace
}  // namespace pollenledge
