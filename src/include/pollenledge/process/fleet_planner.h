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

/// Upstreams by failure domain.
using DomainCounts = std::map<std::string, int>;

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kNoneThere,  ///< No such upstream is to be had there now.
  kUnknown,    ///< May have been accepted; the same order may be sent again.
};

/// Decides how many upstreams of a service to order, where and in which
/// market.
///
/// The fleet that stood when the system first ran is the reference for the
/// size that the service needs. It is replaced by reclaimable upstreams, in
/// the same failure domains, and as many more as the largest of these has, so
/// that the loss of one leaves enough; on-demand ones leave as those are ready,
/// and come back when reclaimable ones are not to be had and too few are left.
/// How few are too few follows from the share of late answers. Those that are
/// booting count against ordering more, but not for letting others go. While
/// answers stay late the reference is scaled up step by step, and down again
/// when they have long been in time. Deterministic. Not thread-safe.
class FleetPlanner {
 public:
  /// Part of the reference that must be ready while answers are in time: about
  /// what the load of a calm hour is of the load that a fleet is built for.
  static constexpr double kCalmPart = 0.65;
  /// Share of late answers at which the whole reference must be ready; between
  /// none and this the part grows in proportion.
  static constexpr double kLateShare = 0.2;
  /// How fast that part may fall again: a fleet that shrinks between two waves
  /// of load has to boot again for the second.
  static constexpr double kPartFallPerSecond = 0.05;
  /// One step of scaling the reference up or down, its greatest scale, and how
  /// long answers must have been in time before a step down.
  static constexpr double kScaleStep = 1.25;
  static constexpr double kGreatestScale = 3;
  static constexpr Duration kScaleDownAfter = std::chrono::seconds(15);
  /// Upstreams are let go only after they were dispensable for this long.
  static constexpr Duration kLetGoDelay = std::chrono::milliseconds(1000);
  /// After a refusal the same order waits this long.
  static constexpr Duration kBlockedTime = std::chrono::seconds(4);
  /// An order whose upstreams have not come is sent again this long after
  /// their boot time.
  static constexpr Duration kOverdue = std::chrono::seconds(4);

  explicit FleetPlanner(DomainCounts reference)
      : reference_(std::move(reference)) {}

  const DomainCounts& reference() const { return reference_; }

  /// The orders to send now. `upstreams` are those of all services;
  /// `late_share` is the part of recent answers that were late.
  std::vector<UpstreamOrder> Plan(
      const ForwardingService& service,
      const std::vector<ForwardUpstreamInfo>& upstreams, double late_share,
      TimePoint now);

  void OnOrderEnded(const UpstreamOrder& order, OrderOutcome outcome,
                    TimePoint now);

  /// Raises the reference to what stands now, while a system starts and its
  /// upstreams register one after the other.
  void RaiseReference(const DomainCounts& standing);

 private:
  /// One domain and market.
  using Place = std::pair<std::string, bool>;  ///< Domain, reclaimable.
  struct PlaceState {
    int ready = 0;
    std::optional<int> ordered;  ///< Last accepted order.
    TimePoint ordered_at;
    bool in_flight = false;
    TimePoint blocked_until;

    /// Ready, or ordered so lately that they may still be booting.
    int Expected(Duration boot, TimePoint now) const;
  };
  /// Within these bounds the number of on-demand upstreams stays as it is.
  struct OnDemandBounds {
    int least = 0;
    int most = 0;
  };

  void SetScale(const ScalingBounds& bounds, double late_share, TimePoint now);
  int Reference(const std::string& domain) const;
  void CountReady(const ForwardingService& service,
                  const std::vector<ForwardUpstreamInfo>& upstreams);
  DomainCounts PlanReclaimable(const ScalingBounds& bounds, TimePoint now);
  DomainCounts PlanOnDemand(const ScalingBounds& bounds, double part,
                            TimePoint now);
  OnDemandBounds BoundOnDemand(const ScalingBounds& bounds, double part,
                               TimePoint now) const;
  /// On-demand upstreams by domain, those that are booting included.
  DomainCounts OnDemand() const;
  void AddCheapest(const ScalingBounds& bounds, int missing,
                   DomainCounts* wanted) const;
  void RemoveDearest(const ScalingBounds& bounds, int surplus,
                     DomainCounts* wanted) const;
  /// Part of the reference that must be ready now.
  double LeastPart(double late_share, TimePoint now);
  int ReferenceTotal() const;
  int LargestDomain() const;
  void UnblockReclaimable();
  int ReadyIn(const std::string& domain, bool reclaimable) const;
  std::vector<std::string> DomainsByPrice(const ScalingBounds& bounds) const;
  void AddOrders(const ForwardingService& service, const DomainCounts& wanted,
                 bool reclaimable, TimePoint now,
                 std::vector<UpstreamOrder>* orders);

  DomainCounts reference_;
  double scale_ = 1;
  TimePoint scaled_at_;
  double part_ = 0;
  TimePoint part_at_;
  std::map<Place, PlaceState> places_;
  std::optional<TimePoint> dispensable_since_;
};

}  // namespace pollenledge
