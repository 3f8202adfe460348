#include "pollenledge/process/fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenledge {

void FleetPlanner::CountReady(
    const ForwardingService& service,
    const std::vector<ForwardUpstreamInfo>& upstreams) {
  for (auto& [place, state] : places_) {
    state.ready = 0;
  }
  for (const auto& [domain, price] : service.scaling->domain_prices) {
    places_[{domain, true}];
    places_[{domain, false}];
  }
  for (const ForwardUpstreamInfo& upstream : upstreams) {
    if (upstream.service != service.name) continue;
    PlaceState& state = places_[{upstream.domain, upstream.reclaimable}];
    if (!upstream.leaving) ++state.ready;
  }
}

void FleetPlanner::SetScale(const ScalingBounds& bounds, double late_share,
                            TimePoint now) {
  // A step up shows its effect after the boot time.
  constexpr Duration kSettle = std::chrono::seconds(1);
  const bool late = late_share > kLateShare;
  if (late && now - scaled_at_ >= bounds.boot + kSettle) {
    scale_ = std::min(kGreatestScale, scale_ * kScaleStep);
    scaled_at_ = now;
  } else if (!late && scale_ > 1 && now - scaled_at_ >= kScaleDownAfter) {
    scale_ = std::max(1.0, scale_ / kScaleStep);
    scaled_at_ = now;
  }
}

int FleetPlanner::Reference(const std::string& domain) const {
  const auto found = reference_.find(domain);
  if (found == reference_.end()) return 0;
  return static_cast<int>(std::ceil(found->second * scale_));
}

int FleetPlanner::ReferenceTotal() const {
  return std::accumulate(reference_.begin(), reference_.end(), 0,
                         [this](int sum, const auto& entry) {
                           return sum + Reference(entry.first);
                         });
}

int FleetPlanner::ReadyIn(const std::string& domain, bool reclaimable) const {
  const auto found = places_.find({domain, reclaimable});
  return found == places_.end() ? 0 : found->second.ready;
}

std::vector<std::string> FleetPlanner::DomainsByPrice(
    const ScalingBounds& bounds) const {
  std::vector<std::string> domains;
  for (const auto& [domain, price] : bounds.domain_prices) {
    domains.push_back(domain);
  }
  std::sort(domains.begin(), domains.end(),
            [&bounds](const std::string& a, const std::string& b) {
              return bounds.domain_prices.at(a) < bounds.domain_prices.at(b);
            });
  return domains;
}

std::vector<UpstreamOrder> FleetPlanner::Plan(
    const ForwardingService& service,
    const std::vector<ForwardUpstreamInfo>& upstreams, double late_share,
    TimePoint now) {
  std::vector<UpstreamOrder> orders;
  if (!service.scaling.has_value() || ReferenceTotal() == 0) return orders;
  const ScalingBounds& bounds = *service.scaling;
  SetScale(bounds, late_share, now);
  CountReady(service, upstreams);
  const bool reclaimable_offered = bounds.reclaimable_price < 1;
  if (reclaimable_offered) {
    AddOrders(service, PlanReclaimable(bounds, now), true, now, &orders);
  }
  const double part = reclaimable_offered ? LeastPart(late_share, now) : 1.0;
  AddOrders(service, PlanOnDemand(bounds, part, now), false, now, &orders);
  return orders;
}

DomainCounts FleetPlanner::PlanReclaimable(const ScalingBounds& bounds,
                                           TimePoint now) {
  DomainCounts wanted;
  // As many more as the loss of the largest failure domain takes away.
  int missing = LargestDomain();
  for (const auto& [domain, price] : bounds.domain_prices) {
    const int room = bounds.max - ReadyIn(domain, false);
    wanted[domain] = std::clamp(Reference(domain), 0, std::max(0, room));
    // What is not to be had here is ordered elsewhere.
    if (now < places_[{domain, true}].blocked_until) {
      missing += std::max(0, wanted[domain] - ReadyIn(domain, true));
    }
  }
  // Spread one by one, so that no domain holds most of them.
  for (bool placed = true; placed && missing > 0;) {
    placed = false;
    for (const std::string& domain : DomainsByPrice(bounds)) {
      if (missing == 0 || now < places_[{domain, true}].blocked_until) continue;
      if (wanted[domain] + ReadyIn(domain, false) >= bounds.max) continue;
      ++wanted[domain];
      --missing;
      placed = true;
    }
  }
  return wanted;
}

int FleetPlanner::LargestDomain() const {
  int largest = 0;
  for (const auto& [domain, count] : reference_) {
    largest = std::max(largest, Reference(domain));
  }
  return largest;
}

double FleetPlanner::LeastPart(double late_share, TimePoint now) {
  const double asked =
      kCalmPart + (1 - kCalmPart) * std::min(1.0, late_share / kLateShare);
  const double fallen = part_ - kPartFallPerSecond * ToSeconds(now - part_at_);
  part_ = std::max(asked, fallen);
  part_at_ = now;
  return part_;
}

int FleetPlanner::PlaceState::Expected(Duration boot, TimePoint now) const {
  // The platform's list shows them some time after they have booted.
  constexpr Duration kListDelay = std::chrono::seconds(1);
  const bool may_boot =
      ordered.has_value() && now - ordered_at <= boot + kListDelay;
  return may_boot ? std::max(ready, *ordered) : ready;
}

FleetPlanner::OnDemandBounds FleetPlanner::BoundOnDemand(
    const ScalingBounds& bounds, double part, TimePoint now) const {
  int ready = 0;
  int expected = 0;
  int largest = 0;
  bool blocked = false;
  for (const auto& [place, state] : places_) {
    const bool reclaimable = place.second;
    if (!reclaimable) continue;
    ready += state.ready;
    expected += state.Expected(bounds.boot, now);
    largest = std::max(largest, state.ready);
    blocked = blocked || now < state.blocked_until;
  }
  // What cannot be replaced must not be all that there is: while reclaimable
  // upstreams are not to be had, the next domain to be reclaimed is counted
  // as gone.
  const int at_risk = blocked ? largest : 0;
  // On-demand upstreams cost too much to be ordered for a scaled reference.
  const double reference = ReferenceTotal() / scale_;
  const int needed = static_cast<int>(std::ceil(part * reference)) + at_risk;
  return {needed - expected, needed - ready};
}

DomainCounts FleetPlanner::OnDemand() const {
  DomainCounts present;
  for (const auto& [place, state] : places_) {
    if (!place.second)
      present[place.first] = state.ordered.value_or(state.ready);
  }
  return present;
}

DomainCounts FleetPlanner::PlanOnDemand(const ScalingBounds& bounds,
                                        double part, TimePoint now) {
  const OnDemandBounds range = BoundOnDemand(bounds, part, now);
  DomainCounts wanted = OnDemand();
  int have = 0;
  for (const auto& [domain, count] : wanted) have += count;
  if (have <= range.most) {
    dispensable_since_.reset();
    AddCheapest(bounds, range.least - have, &wanted);
    return wanted;
  }
  if (!dispensable_since_.has_value()) dispensable_since_ = now;
  if (now - *dispensable_since_ < kLetGoDelay) return wanted;
  RemoveDearest(bounds, have - std::max(0, range.most), &wanted);
  return wanted;
}

void FleetPlanner::AddCheapest(const ScalingBounds& bounds, int missing,
                               DomainCounts* wanted) const {
  for (const std::string& domain : DomainsByPrice(bounds)) {
    int& count = (*wanted)[domain];
    const int room = bounds.max - count - ReadyIn(domain, true);
    const int more = std::clamp(missing, 0, std::max(0, room));
    count += more;
    missing -= more;
  }
}

void FleetPlanner::RemoveDearest(const ScalingBounds& bounds, int surplus,
                                 DomainCounts* wanted) const {
  std::vector<std::string> domains = DomainsByPrice(bounds);
  std::reverse(domains.begin(), domains.end());
  for (const std::string& domain : domains) {
    int& count = (*wanted)[domain];
    // The fewest that a failure domain must have.
    const int least = std::max(0, bounds.min - ReadyIn(domain, true));
    const int less = std::clamp(count - least, 0, surplus);
    count -= less;
    surplus -= less;
  }
}

void FleetPlanner::AddOrders(const ForwardingService& service,
                             const DomainCounts& wanted, bool reclaimable,
                             TimePoint now,
                             std::vector<UpstreamOrder>* orders) {
  for (const auto& [domain, count] : wanted) {
    PlaceState& state = places_[{domain, reclaimable}];
    if (state.in_flight || now < state.blocked_until) continue;
    const int standing = state.ordered.value_or(state.ready);
    const bool overdue =
        state.ordered.has_value() && state.ready < count &&
        now - state.ordered_at > service.scaling->boot + kOverdue;
    if (standing == count && !overdue) continue;
    state.in_flight = true;
    orders->push_back({service.name, domain, count, reclaimable});
  }
}

void FleetPlanner::RaiseReference(const DomainCounts& standing) {
  for (const auto& [domain, count] : standing) {
    reference_[domain] = std::max(reference_[domain], count);
  }
}

void FleetPlanner::UnblockReclaimable() {
  // Where one is to be had again, others mostly are, too.
  for (auto& [place, state] : places_) {
    if (place.second) state.blocked_until = TimePoint();
  }
}

void FleetPlanner::OnOrderEnded(const UpstreamOrder& order,
                                OrderOutcome outcome, TimePoint now) {
  PlaceState& state = places_[{order.domain, order.reclaimable}];
  state.in_flight = false;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      state.ordered = order.count;
      state.ordered_at = now;
      if (order.reclaimable) UnblockReclaimable();
      return;
    case OrderOutcome::kNoneThere:
      state.blocked_until = now + kBlockedTime;
      return;
    case OrderOutcome::kUnknown:
      // Sent again after a pause, so that a slow cloud is not pressed.
      constexpr Duration kPause = std::chrono::milliseconds(700);
      state.blocked_until = now + kPause;
      return;
  }
}

}  // namespace pollenledge
