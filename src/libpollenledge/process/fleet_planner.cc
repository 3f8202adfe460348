#include "pollenledge/process/fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenledge {

void FleetPlanner::CountReady(
    const ForwardingService& service,
    const std::vector<ForwardUpstreamInfo>& upstreams) {
  for (auto& [placement, state] : placements_) {
    state.ready = 0;
  }
  for (const auto& [domain, price] : service.scaling->domain_prices_per_s) {
    placements_[{domain, true}];
    placements_[{domain, false}];
  }
  for (const ForwardUpstreamInfo& upstream : upstreams) {
    if (upstream.service != service.name) continue;
    PlacementState& state =
        placements_[{upstream.domain, upstream.reclaimable}];
    if (!upstream.leaving) ++state.ready;
  }
}

void FleetPlanner::UpdateScale(const ScalingBounds& bounds, double late_share,
                               TimePoint now) {
  // Time after the boot time of new upstreams at which an increase of the scale
  // takes effect.
  constexpr Duration kEffectDelay = std::chrono::seconds(1);
  const bool late = late_share > kFullBaselineLateShare;
  if (late && now - scale_changed_at_ >= bounds.boot_time + kEffectDelay) {
    scale_ = std::min(kMaxScale, scale_ * kScaleStepFactor);
    scale_changed_at_ = now;
  } else if (!late && scale_ > 1 &&
             now - scale_changed_at_ >= kScaleDownDelay) {
    scale_ = std::max(1.0, scale_ / kScaleStepFactor);
    scale_changed_at_ = now;
  }
}

int FleetPlanner::ScaledBaseline(const std::string& domain) const {
  const auto found = baseline_.find(domain);
  if (found == baseline_.end()) return 0;
  return static_cast<int>(std::ceil(found->second * scale_));
}

int FleetPlanner::ScaledBaselineTotal() const {
  return std::accumulate(baseline_.begin(), baseline_.end(), 0,
                         [this](int sum, const auto& entry) {
                           return sum + ScaledBaseline(entry.first);
                         });
}

int FleetPlanner::ReadyCount(const std::string& domain,
                             bool reclaimable) const {
  const auto found = placements_.find({domain, reclaimable});
  return found == placements_.end() ? 0 : found->second.ready;
}

std::vector<std::string> FleetPlanner::DomainsByPrice(
    const ScalingBounds& bounds) const {
  std::vector<std::string> domains;
  for (const auto& [domain, price] : bounds.domain_prices_per_s) {
    domains.push_back(domain);
  }
  std::sort(domains.begin(), domains.end(),
            [&bounds](const std::string& a, const std::string& b) {
              return bounds.domain_prices_per_s.at(a) <
                     bounds.domain_prices_per_s.at(b);
            });
  return domains;
}

std::vector<ScaleRequest> FleetPlanner::Plan(
    const ForwardingService& service,
    const std::vector<ForwardUpstreamInfo>& upstreams, double late_share,
    TimePoint now) {
  std::vector<ScaleRequest> requests;
  if (!service.scaling.has_value() || ScaledBaselineTotal() == 0)
    return requests;
  const ScalingBounds& bounds = *service.scaling;
  UpdateScale(bounds, late_share, now);
  CountReady(service, upstreams);
  const bool reclaimable_offered = bounds.reclaimable_price_ratio < 1;
  if (reclaimable_offered) {
    AddScaleRequests(service, PlanReclaimable(bounds, now), true, now,
                     &requests);
  }
  const double required_share =
      reclaimable_offered ? RequiredReadyShare(late_share, now) : 1.0;
  AddScaleRequests(service, PlanOnDemand(bounds, required_share, now), false,
                   now, &requests);
  return requests;
}

DomainCounts FleetPlanner::PlanReclaimable(const ScalingBounds& bounds,
                                           TimePoint now) {
  DomainCounts wanted;
  // Number of upstreams to add: as many as would be lost with the largest
  // failure domain.
  int missing = LargestDomainBaseline();
  for (const auto& [domain, price] : bounds.domain_prices_per_s) {
    const int capacity = bounds.max_upstreams - ReadyCount(domain, false);
    wanted[domain] =
        std::clamp(ScaledBaseline(domain), 0, std::max(0, capacity));
    // Upstreams that are unavailable in this domain are requested in the
    // others.
    if (now < placements_[{domain, true}].backoff_until) {
      missing += std::max(0, wanted[domain] - ReadyCount(domain, true));
    }
  }
  // The missing upstreams are distributed one at a time, so that no domain gets
  // most of them.
  for (bool placed = true; placed && missing > 0;) {
    placed = false;
    for (const std::string& domain : DomainsByPrice(bounds)) {
      if (missing == 0 || now < placements_[{domain, true}].backoff_until)
        continue;
      if (wanted[domain] + ReadyCount(domain, false) >= bounds.max_upstreams)
        continue;
      ++wanted[domain];
      --missing;
      placed = true;
    }
  }
  return wanted;
}

int FleetPlanner::LargestDomainBaseline() const {
  int largest = 0;
  for (const auto& [domain, count] : baseline_) {
    largest = std::max(largest, ScaledBaseline(domain));
  }
  return largest;
}

double FleetPlanner::RequiredReadyShare(double late_share, TimePoint now) {
  const double required =
      kLowLoadBaselineShare +
      (1 - kLowLoadBaselineShare) *
          std::min(1.0, late_share / kFullBaselineLateShare);
  const double decayed =
      required_share_ -
      kMaxShareDecreasePerSecond * ToSeconds(now - required_share_updated_at_);
  required_share_ = std::max(required, decayed);
  required_share_updated_at_ = now;
  return required_share_;
}

int FleetPlanner::PlacementState::ExpectedCount(Duration boot,
                                                TimePoint now) const {
  // The platform lists upstreams some time after they have booted.
  constexpr Duration kListDelay = std::chrono::seconds(1);
  const bool may_boot =
      requested.has_value() && now - requested_at <= boot + kListDelay;
  return may_boot ? std::max(ready, *requested) : ready;
}

FleetPlanner::OnDemandBounds FleetPlanner::ComputeOnDemandBounds(
    const ScalingBounds& bounds, double required_share, TimePoint now) const {
  int ready = 0;
  int expected = 0;
  int largest = 0;
  bool in_backoff = false;
  for (const auto& [placement, state] : placements_) {
    const bool reclaimable = placement.second;
    if (!reclaimable) continue;
    ready += state.ready;
    expected += state.ExpectedCount(bounds.boot_time, now);
    largest = std::max(largest, state.ready);
    in_backoff = in_backoff || now < state.backoff_until;
  }
  // While reclaimable capacity is unavailable, reclaimed upstreams cannot be
  // replaced. The domain with the most reclaimable upstreams is then counted as
  // already lost, since it may be the next to be reclaimed.
  const int at_risk = in_backoff ? largest : 0;
  // On-demand upstreams are too expensive to be requested for a scaled-up
  // baseline.
  const double unscaled_baseline = ScaledBaselineTotal() / scale_;
  const int needed =
      static_cast<int>(std::ceil(required_share * unscaled_baseline)) + at_risk;
  return {needed - expected, needed - ready};
}

DomainCounts FleetPlanner::OnDemandByDomain() const {
  DomainCounts present;
  for (const auto& [placement, state] : placements_) {
    if (!placement.second)
      present[placement.first] = state.requested.value_or(state.ready);
  }
  return present;
}

DomainCounts FleetPlanner::PlanOnDemand(const ScalingBounds& bounds,
                                        double required_share, TimePoint now) {
  const OnDemandBounds range =
      ComputeOnDemandBounds(bounds, required_share, now);
  DomainCounts wanted = OnDemandByDomain();
  int current = 0;
  for (const auto& [domain, count] : wanted) current += count;
  if (current <= range.max) {
    surplus_since_.reset();
    AddCheapest(bounds, range.min - current, &wanted);
    return wanted;
  }
  if (!surplus_since_.has_value()) surplus_since_ = now;
  if (now - *surplus_since_ < kScaleInDelay) return wanted;
  RemoveMostExpensive(bounds, current - std::max(0, range.max), &wanted);
  return wanted;
}

void FleetPlanner::AddCheapest(const ScalingBounds& bounds, int missing,
                               DomainCounts* wanted) const {
  for (const std::string& domain : DomainsByPrice(bounds)) {
    int& count = (*wanted)[domain];
    const int capacity =
        bounds.max_upstreams - count - ReadyCount(domain, true);
    const int added = std::clamp(missing, 0, std::max(0, capacity));
    count += added;
    missing -= added;
  }
}

void FleetPlanner::RemoveMostExpensive(const ScalingBounds& bounds, int surplus,
                                       DomainCounts* wanted) const {
  std::vector<std::string> domains = DomainsByPrice(bounds);
  std::reverse(domains.begin(), domains.end());
  for (const std::string& domain : domains) {
    int& count = (*wanted)[domain];
    // On-demand upstreams needed to reach the minimum of the failure domain.
    const int min_count =
        std::max(0, bounds.min_upstreams - ReadyCount(domain, true));
    const int removed = std::clamp(count - min_count, 0, surplus);
    count -= removed;
    surplus -= removed;
  }
}

void FleetPlanner::AddScaleRequests(const ForwardingService& service,
                                    const DomainCounts& wanted,
                                    bool reclaimable, TimePoint now,
                                    std::vector<ScaleRequest>* requests) {
  for (const auto& [domain, count] : wanted) {
    PlacementState& state = placements_[{domain, reclaimable}];
    if (state.in_flight || now < state.backoff_until) continue;
    const int last_count = state.requested.value_or(state.ready);
    const bool timed_out =
        state.requested.has_value() && state.ready < count &&
        now - state.requested_at >
            service.scaling->boot_time + kScaleRequestTimeout;
    if (last_count == count && !timed_out) continue;
    state.in_flight = true;
    requests->push_back({service.name, domain, count, reclaimable});
  }
}

void FleetPlanner::RaiseBaseline(const DomainCounts& running) {
  for (const auto& [domain, count] : running) {
    baseline_[domain] = std::max(baseline_[domain], count);
  }
}

void FleetPlanner::ClearReclaimableBackoff() {
  // If capacity is available again in one domain, it usually is in others, too.
  for (auto& [placement, state] : placements_) {
    if (placement.second) state.backoff_until = TimePoint();
  }
}

void FleetPlanner::OnScaleRequestCompleted(const ScaleRequest& request,
                                           ScaleRequestOutcome outcome,
                                           TimePoint now) {
  PlacementState& state = placements_[{request.domain, request.reclaimable}];
  state.in_flight = false;
  switch (outcome) {
    case ScaleRequestOutcome::kAccepted:
      state.requested = request.count;
      state.requested_at = now;
      if (request.reclaimable) ClearReclaimableBackoff();
      return;
    case ScaleRequestOutcome::kNoCapacity:
      state.backoff_until = now + kNoCapacityBackoff;
      return;
    case ScaleRequestOutcome::kUnknown:
      // Back off before the retry, so that a slow cloud API is not overloaded.
      constexpr Duration kUnknownOutcomeBackoff =
          std::chrono::milliseconds(700);
      state.backoff_until = now + kUnknownOutcomeBackoff;
      return;
  }
}

}  // namespace pollenledge
