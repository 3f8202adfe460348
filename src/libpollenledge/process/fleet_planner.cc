#include "pollenledge/process/fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenledge {

void FleetPlanner::CountReady(
    const ForwardingService& service,
    const std::vector<ForwardUpstreamInfo>& upstreams) {
  for (auto& [placement, state] : places_) {
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
  // A step up takes effect this long after the boot time.
  constexpr Duration kEffectDelay = std::chrono::seconds(1);
  const bool late = late_share > kLateShare;
  if (late && now - scaled_at_ >= bounds.boot + kEffectDelay) {
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
  std::vector<UpstreamOrder> requests;
  if (!service.scaling.has_value() || ReferenceTotal() == 0) return requests;
  const ScalingBounds& bounds = *service.scaling;
  SetScale(bounds, late_share, now);
  CountReady(service, upstreams);
  const bool reclaimable_offered = bounds.reclaimable_price < 1;
  if (reclaimable_offered) {
    AddOrders(service, PlanReclaimable(bounds, now), true, now, &requests);
  }
  const double required_share =
      reclaimable_offered ? LeastPart(late_share, now) : 1.0;
  AddOrders(service, PlanOnDemand(bounds, required_share, now), false, now,
            &requests);
  return requests;
}

DomainCounts FleetPlanner::PlanReclaimable(const ScalingBounds& bounds,
                                           TimePoint now) {
  DomainCounts wanted;
  // Add as many as would be lost with the largest failure domain.
  int missing = LargestDomain();
  for (const auto& [domain, price] : bounds.domain_prices) {
    const int capacity = bounds.max - ReadyIn(domain, false);
    wanted[domain] = std::clamp(Reference(domain), 0, std::max(0, capacity));
    // What is unavailable in this domain is requested in the others.
    if (now < places_[{domain, true}].blocked_until) {
      missing += std::max(0, wanted[domain] - ReadyIn(domain, true));
    }
  }
  // Distribute them one at a time, so that no domain gets most of them.
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
  const double required =
      kCalmPart + (1 - kCalmPart) * std::min(1.0, late_share / kLateShare);
  const double decayed = part_ - kPartFallPerSecond * ToSeconds(now - part_at_);
  part_ = std::max(required, decayed);
  part_at_ = now;
  return part_;
}

int FleetPlanner::PlaceState::Expected(Duration boot, TimePoint now) const {
  // The platform lists upstreams some time after they have booted.
  constexpr Duration kListDelay = std::chrono::seconds(1);
  const bool may_boot =
      ordered.has_value() && now - ordered_at <= boot + kListDelay;
  return may_boot ? std::max(ready, *ordered) : ready;
}

FleetPlanner::OnDemandBounds FleetPlanner::BoundOnDemand(
    const ScalingBounds& bounds, double required_share, TimePoint now) const {
  int ready = 0;
  int expected = 0;
  int largest = 0;
  bool in_backoff = false;
  for (const auto& [placement, state] : places_) {
    const bool reclaimable = placement.second;
    if (!reclaimable) continue;
    ready += state.ready;
    expected += state.Expected(bounds.boot, now);
    largest = std::max(largest, state.ready);
    in_backoff = in_backoff || now < state.blocked_until;
  }
  // While reclaimable capacity is unavailable, reclaimed upstreams cannot be
  // replaced. The domain with the most reclaimable upstreams is then counted as
  // already lost, since it may be the next to be reclaimed.
  const int at_risk = in_backoff ? largest : 0;
  // On-demand upstreams are too expensive to be requested for a scaled-up
  // baseline.
  const double unscaled_baseline = ReferenceTotal() / scale_;
  const int needed =
      static_cast<int>(std::ceil(required_share * unscaled_baseline)) + at_risk;
  return {needed - expected, needed - ready};
}

DomainCounts FleetPlanner::OnDemand() const {
  DomainCounts present;
  for (const auto& [placement, state] : places_) {
    if (!placement.second)
      present[placement.first] = state.ordered.value_or(state.ready);
  }
  return present;
}

DomainCounts FleetPlanner::PlanOnDemand(const ScalingBounds& bounds,
                                        double required_share, TimePoint now) {
  const OnDemandBounds range = BoundOnDemand(bounds, required_share, now);
  DomainCounts wanted = OnDemand();
  int current = 0;
  for (const auto& [domain, count] : wanted) current += count;
  if (current <= range.most) {
    dispensable_since_.reset();
    AddCheapest(bounds, range.least - current, &wanted);
    return wanted;
  }
  if (!dispensable_since_.has_value()) dispensable_since_ = now;
  if (now - *dispensable_since_ < kLetGoDelay) return wanted;
  RemoveDearest(bounds, current - std::max(0, range.most), &wanted);
  return wanted;
}

void FleetPlanner::AddCheapest(const ScalingBounds& bounds, int missing,
                               DomainCounts* wanted) const {
  for (const std::string& domain : DomainsByPrice(bounds)) {
    int& count = (*wanted)[domain];
    const int capacity = bounds.max - count - ReadyIn(domain, true);
    const int added = std::clamp(missing, 0, std::max(0, capacity));
    count += added;
    missing -= added;
  }
}

void FleetPlanner::RemoveDearest(const ScalingBounds& bounds, int surplus,
                                 DomainCounts* wanted) const {
  std::vector<std::string> domains = DomainsByPrice(bounds);
  std::reverse(domains.begin(), domains.end());
  for (const std::string& domain : domains) {
    int& count = (*wanted)[domain];
    // On-demand upstreams needed to reach the minimum of the failure domain.
    const int min_count = std::max(0, bounds.min - ReadyIn(domain, true));
    const int removed = std::clamp(count - min_count, 0, surplus);
    count -= removed;
    surplus -= removed;
  }
}

void FleetPlanner::AddOrders(const ForwardingService& service,
                             const DomainCounts& wanted, bool reclaimable,
                             TimePoint now,
                             std::vector<UpstreamOrder>* requests) {
  for (const auto& [domain, count] : wanted) {
    PlaceState& state = places_[{domain, reclaimable}];
    if (state.in_flight || now < state.blocked_until) continue;
    const int last_count = state.ordered.value_or(state.ready);
    const bool timed_out =
        state.ordered.has_value() && state.ready < count &&
        now - state.ordered_at > service.scaling->boot + kOverdue;
    if (last_count == count && !timed_out) continue;
    state.in_flight = true;
    requests->push_back({service.name, domain, count, reclaimable});
  }
}

void FleetPlanner::RaiseReference(const DomainCounts& running) {
  for (const auto& [domain, count] : running) {
    reference_[domain] = std::max(reference_[domain], count);
  }
}

void FleetPlanner::UnblockReclaimable() {
  // If capacity is available again in one domain, it mostly is in others, too.
  for (auto& [placement, state] : places_) {
    if (placement.second) state.blocked_until = TimePoint();
  }
}

void FleetPlanner::OnOrderEnded(const UpstreamOrder& request,
                                OrderOutcome outcome, TimePoint now) {
  PlaceState& state = places_[{request.domain, request.reclaimable}];
  state.in_flight = false;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      state.ordered = request.count;
      state.ordered_at = now;
      if (request.reclaimable) UnblockReclaimable();
      return;
    case OrderOutcome::kNoneThere:
      state.blocked_until = now + kBlockedTime;
      return;
    case OrderOutcome::kUnknown:
      // Back off before the retry, so that a slow cloud API is not overloaded.
      constexpr Duration kUnknownOutcomeBackoff =
          std::chrono::milliseconds(700);
      state.blocked_until = now + kUnknownOutcomeBackoff;
      return;
  }
}

}  // namespace pollenledge
