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
/// and come back when reclaimable ones are not to be had and too few are left,
/// or answers are late. While answers stay late the reference is
/// scaled up step by step, and down again when they have long been in time.
/// Deterministic. Not thread-safe.
class FleetPlanner {
 public:
  /// Part of the reference that must be ready while answers are in time.
  static constexpr double kLeastPart = 0.75;
  /// Share of late answers at which the whole reference must be ready.
  static constexpr double kLateShare = 0.2;
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
  };

  void SetScale(const ScalingBounds& bounds, double late_share, TimePoint now);
  int Reference(const std::string& domain) const;
  void CountReady(const ForwardingService& service,
                  const std::vector<ForwardUpstreamInfo>& upstreams);
  DomainCounts PlanReclaimable(const ScalingBounds& bounds, TimePoint now);
  DomainCounts PlanOnDemand(const ScalingBounds& bounds, double late_share,
                            bool reclaimable_offered, TimePoint now);
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
  std::map<Place, PlaceState> places_;
  std::optional<TimePoint> dispensable_since_;
};

}  // namespace pollenledge
