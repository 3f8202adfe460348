#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

/// Number of upstreams by failure domain.
using DomainCounts = std::map<std::string, int>;

/// Outcome of a scale request.
enum class ScaleRequestOutcome : std::uint8_t {
  kAccepted,
  kNoCapacity,  ///< No capacity is available in that domain and market now.
  kUnknown,     ///< May have been accepted; the same request may be retried.
};

/// Decides how many upstreams of a service to request, in which failure domain
/// and in which market (on-demand or reclaimable).
///
/// The fleet that was running when the system first started is the baseline for
/// the size that the service needs. The planner replaces it by reclaimable
/// upstreams in the same failure domains, plus as many more as the largest of
/// these domains has, so that the loss of one domain leaves enough. On-demand
/// upstreams are released as the reclaimable ones become ready, and are
/// requested again when reclaimable capacity is unavailable and too few
/// upstreams are left. The required number depends on the share of late
/// responses. Booting upstreams count when deciding whether to request more,
/// but not when deciding whether to release others. While responses stay late
/// the baseline is scaled up step by step; once they have been in time for a
/// while it is scaled down again. Deterministic. Not thread-safe.
class FleetPlanner {
 public:
  /// Share of the baseline that must be ready while responses are in time:
  /// about the ratio of the load in a low-load hour to the load that a fleet is
  /// sized for.
  static constexpr double kLowLoadBaselineShare = 0.65;
  /// Share of late responses at which the whole baseline must be ready. Between
  /// zero and this value the required share of the baseline grows linearly;
  /// above it the baseline is scaled up.
  static constexpr double kFullBaselineLateShare = 0.2;
  /// Maximum decrease of that required share per second: a fleet that shrinks
  /// between two load peaks has to boot again for the second one.
  static constexpr double kMaxShareDecreasePerSecond = 0.05;
  /// Factor of one step of scaling the baseline up or down.
  static constexpr double kScaleStepFactor = 1.25;
  /// Maximum factor by which the baseline is scaled up.
  static constexpr double kMaxScale = 3;
  /// Minimum time from the last step, up or down, to a step down. Steps up
  /// continue while responses are late, so this is about the time for which
  /// responses must have been in time.
  static constexpr Duration kScaleDownDelay = std::chrono::seconds(15);
  /// On-demand upstreams are released only after there has been a surplus of
  /// them for this long.
  static constexpr Duration kScaleInDelay = std::chrono::milliseconds(1000);
  /// Backoff of a scale request that was rejected because no capacity was
  /// available.
  static constexpr Duration kNoCapacityBackoff = std::chrono::seconds(4);
  /// A scale request whose upstreams have not become ready is sent again this
  /// long after their boot time.
  static constexpr Duration kScaleRequestTimeout = std::chrono::seconds(4);

  explicit FleetPlanner(DomainCounts baseline)
      : baseline_(std::move(baseline)) {}

  const DomainCounts& baseline() const { return baseline_; }

  /// Returns the scale requests to send now. `upstreams` are those of all
  /// services; `late_share` is the fraction of recent responses that were late.
  std::vector<ScaleRequest> Plan(
      const ForwardingService& service,
      const std::vector<ForwardUpstreamInfo>& upstreams, double late_share,
      TimePoint now);

  /// Records the outcome of a request that `Plan` returned.
  void OnScaleRequestCompleted(const ScaleRequest& request,
                               ScaleRequestOutcome outcome, TimePoint now);

  /// Raises the baseline to the running fleet. Used while a system starts and
  /// its upstreams register one after the other.
  void RaiseBaseline(const DomainCounts& running);

 private:
  /// A failure domain and a market: the domain's name, and true for the
  /// reclaimable market.
  using Placement = std::pair<std::string, bool>;
  struct PlacementState {
    int ready = 0;
    std::optional<int> requested;  ///< Count of the last accepted request.
    TimePoint requested_at;
    bool in_flight = false;
    TimePoint backoff_until;

    /// Number of upstreams that are ready or, for as long as the last request's
    /// upstreams may still be booting, at least the requested count.
    int ExpectedCount(Duration boot, TimePoint now) const;
  };
  /// The number of on-demand upstreams is left unchanged within these bounds.
  struct OnDemandBounds {
    int min = 0;
    int max = 0;
  };

  void UpdateScale(const ScalingBounds& bounds, double late_share,
                   TimePoint now);
  int ScaledBaseline(const std::string& domain) const;
  void CountReady(const ForwardingService& service,
                  const std::vector<ForwardUpstreamInfo>& upstreams);
  DomainCounts PlanReclaimable(const ScalingBounds& bounds, TimePoint now);
  DomainCounts PlanOnDemand(const ScalingBounds& bounds, double required_share,
                            TimePoint now);
  OnDemandBounds ComputeOnDemandBounds(const ScalingBounds& bounds,
                                       double required_share,
                                       TimePoint now) const;
  /// On-demand upstreams by domain, including those that are booting.
  DomainCounts OnDemandByDomain() const;
  void AddCheapest(const ScalingBounds& bounds, int missing,
                   DomainCounts* wanted) const;
  void RemoveMostExpensive(const ScalingBounds& bounds, int surplus,
                           DomainCounts* wanted) const;
  /// Share of the baseline that must be ready now.
  double RequiredReadyShare(double late_share, TimePoint now);
  int ScaledBaselineTotal() const;
  int LargestDomainBaseline() const;
  void ClearReclaimableBackoff();
  int ReadyCount(const std::string& domain, bool reclaimable) const;
  std::vector<std::string> DomainsByPrice(const ScalingBounds& bounds) const;
  void AddScaleRequests(const ForwardingService& service,
                        const DomainCounts& wanted, bool reclaimable,
                        TimePoint now, std::vector<ScaleRequest>* requests);

  DomainCounts baseline_;
  double scale_ = 1;  ///< Factor applied to `baseline_`.
  TimePoint scale_changed_at_;
  double required_share_ = 0;  ///< Last result of `RequiredReadyShare`.
  TimePoint required_share_updated_at_;
  std::map<Placement, PlacementState> placements_;
  /// Since when there have been too many on-demand upstreams; empty if there
  /// are not.
  std::optional<TimePoint> surplus_since_;
};

}  // namespace pollenledge
