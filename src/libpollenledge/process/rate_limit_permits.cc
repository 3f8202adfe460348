#include "pollenledge/process/rate_limit_permits.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace pollenledge {
namespace {

/// Size of a token bucket: one request, and what accumulates in this time.
constexpr Duration kBurstTime = std::chrono::milliseconds(250);

double BucketSize(double rate) { return 1 + rate * ToSeconds(kBurstTime); }

}  // namespace

RateLimitPermits::Upstream& RateLimitPermits::StateOf(
    const UpstreamId& upstream) {
  Upstream& state = upstreams_[upstream.name];
  if (state.incarnation != upstream.incarnation) state = Upstream();
  state.incarnation = upstream.incarnation;
  return state;
}

const RateLimitPermits::Upstream* RateLimitPermits::FindState(
    const UpstreamId& upstream) const {
  const auto found = upstreams_.find(upstream.name);
  const bool is_known = found != upstreams_.end() &&
                        found->second.incarnation == upstream.incarnation;
  return is_known ? &found->second : nullptr;
}

bool RateLimitPermits::HasPermit(const UpstreamId& upstream,
                                 TimePoint now) const {
  const Upstream* state = FindState(upstream);
  return state != nullptr &&
         std::any_of(state->permits_expire_at.begin(),
                     state->permits_expire_at.end(),
                     [now](TimePoint expires_at) { return expires_at > now; });
}

void RateLimitPermits::Consume(const UpstreamId& upstream, TimePoint now) {
  std::vector<TimePoint>& permits = StateOf(upstream).permits_expire_at;
  std::erase_if(permits,
                [now](TimePoint expires_at) { return expires_at <= now; });
  if (!permits.empty()) permits.erase(permits.begin());
}

bool RateLimitPermits::BeginRequest(const std::string& service, TimePoint now) {
  TimePoint& requested_at = requested_at_[service];
  if (now - requested_at < kRequestInterval) return false;
  requested_at = now;
  return true;
}

void RateLimitPermits::OnGranted(const PermitCount& granted,
                                 TimePoint requested_at, TimePoint now) {
  const TimePoint expires_at = requested_at + kPermitTtl;
  // A permit of the future was not requested by this process.
  if (expires_at <= now || requested_at > now) return;
  std::vector<TimePoint>& permits = StateOf(granted.upstream).permits_expire_at;
  for (int i = 0; i < std::min(granted.count, kMaxRequestedPermits); ++i) {
    permits.push_back(expires_at);
  }
}

void RateLimitPermits::SetCoordinator(const UpstreamId& upstream,
                                      const PermitCoordinator& coordinator,
                                      TimePoint now) {
  Upstream& state = StateOf(upstream);
  if (state.coordinator.name == coordinator.name) {
    state.coordinator = coordinator;
    return;
  }
  state.coordinator = coordinator;
  state.coordinator_since = now;
  state.tokens = 0;
  state.refilled_at = now;
  state.granted_at = now;
}

const PermitCoordinator& RateLimitPermits::CoordinatorOf(
    const UpstreamId& upstream) const {
  static const PermitCoordinator kNone;
  const Upstream* state = FindState(upstream);
  return state == nullptr ? kNone : state->coordinator;
}

void RateLimitPermits::RestartTakeover(TimePoint now) {
  for (auto& [name, state] : upstreams_) {
    state.coordinator_since = now;
    state.tokens = 0;
    state.refilled_at = now;
  }
}

int RateLimitPermits::Grant(const UpstreamId& upstream, double requests_per_s,
                            int count, TimePoint now) {
  Upstream& state = StateOf(upstream);
  const double rate = std::max(requests_per_s, kMinRate);
  state.tokens =
      std::min(BucketSize(rate),
               state.tokens + rate * ToSeconds(now - state.refilled_at));
  state.refilled_at = now;
  const bool may_grant = !state.coordinator.name.empty() &&
                         now - state.coordinator_since >= kTakeoverDelay;
  if (!may_grant) return 0;
  const int granted = std::clamp(static_cast<int>(std::floor(state.tokens)), 0,
                                 std::clamp(count, 0, kMaxRequestedPermits));
  if (granted == 0) return 0;
  state.tokens -= granted;
  state.granted_at = now;
  granted_total_ += granted;
  return granted;
}

bool RateLimitPermits::IsProbeDue(const UpstreamId& upstream,
                                  TimePoint now) const {
  const Upstream* state = FindState(upstream);
  return state != nullptr && now - state->granted_at >= kProbeInterval;
}

void RateLimitPermits::Retain(const std::vector<UpstreamId>& limited) {
  const std::set<UpstreamId> kept(limited.begin(), limited.end());
  if (kept.empty()) requested_at_.clear();
  std::erase_if(upstreams_, [&kept](const auto& entry) {
    return kept.count({entry.first, entry.second.incarnation}) == 0;
  });
}

}  // namespace pollenledge
