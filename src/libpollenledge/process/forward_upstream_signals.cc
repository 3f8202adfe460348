#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"
#include "pollenledge/request/fingerprint.h"

// What upstreams state about themselves, in `ForwardNode`: that they leave or
// want a pause, and rate limits with the permits that all nodes need together.

namespace pollenledge {
namespace {

/// Maximum number of limits in one message.
constexpr std::size_t kMaxRateLimitReports = 16;
/// Maximum number of leaving upstreams in one message.
constexpr std::size_t kMaxLeavingUpstreams = 32;
/// Interval at which a node reviews who coordinates the limited upstreams.
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);
/// After a longer time without a review this machine was suspended.
constexpr Duration kMaxReviewGap = std::chrono::milliseconds(2500);
/// Retry-After while the upstreams accept no requests at all.
constexpr Duration kLimitedRetryAfter = std::chrono::seconds(5);

/// Orders nodes as coordinators of one upstream, the same at all nodes.
std::uint64_t CoordinatorWeight(const UpstreamId& upstream,
                                const MemberRecord& member) {
  return ComputeFingerprint({upstream.name, member.id.name}).high;
}

}  // namespace

// Statements.

void ForwardNode::On(const forward_event::ResponseHeadReceived& received) {
  Request* request = FindRequest(received.id);
  if (request == nullptr || request->current_upstream.empty()) return;
  OnUpstreamContact(request->service);
  const UpstreamSignals& signals = received.signals;
  const UpstreamId upstream{request->current_upstream,
                            request->current_incarnation};
  LearnLoad(request, signals);
  // A number that can't be read still says that the upstream fails.
  if (signals.max_rejections_per_s.has_value() ||
      signals.max_rejections_is_unreadable)
    ApplyBrittleness(*request, signals);
  if (signals.leaving) ApplyLeaving(upstream, request->spec.trace_id);
  if (signals.retry_after.has_value())
    ApplyPause(upstream, *signals.retry_after, *request);
  if (signals.limit_is_unreadable) return;
  const RateLimitChange change = rate_limits_.OnResponse(
      upstream, signals.max_requests_per_s, request->sent_at, now());
  OnRateLimitChange(upstream, change, request->spec.trace_id);
  if (change != RateLimitChange::kNone) BroadcastUpstreamStatements();
}

void ForwardNode::ApplyLeaving(const UpstreamId& upstream,
                               const std::string& source) {
  if (!upstreams_.OnLeaving(upstream)) return;
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "upstream_leaving",
      {{"upstream", upstream.name},
       {"incarnation", std::to_string(upstream.incarnation)},
       {"source", source}}});
  BroadcastUpstreamStatements();
}

void ForwardNode::ApplyBrittleness(const Request& request,
                                   const UpstreamSignals& signals) {
  if (!upstreams_.OnBrittle(request.service, now())) return;
  LogRequest(LogLevel::kInfo, "upstreams_brittle", request,
             {{"upstream", request.current_upstream},
              {"max_rejections_per_s",
               signals.max_rejections_per_s.has_value()
                   ? std::to_string(*signals.max_rejections_per_s)
                   : "unreadable"},
              {"nodes", std::to_string(upstreams_.node_count())}});
}

void ForwardNode::ApplyPause(const UpstreamId& upstream, Duration pause,
                             const Request& request) {
  upstreams_.OnPauseRequested(upstream, now() + pause, now());
  LogRequest(LogLevel::kInfo, "upstream_pauses", request,
             {{"upstream", upstream.name},
              {"incarnation", std::to_string(upstream.incarnation)},
              {"pause_ms", FormatMilliseconds(pause)}});
}

void ForwardNode::MergeRateLimits(const std::vector<RateLimitReport>& reports,
                                  const std::string& sender) {
  for (const RateLimitReport& report : reports) {
    if (!upstreams_.IsListed(report.upstream)) continue;
    OnRateLimitChange(report.upstream, rate_limits_.Merge(report, now()),
                      sender);
  }
}

void ForwardNode::OnRateLimitChange(const UpstreamId& upstream,
                                    RateLimitChange change,
                                    const std::string& source) {
  if (change == RateLimitChange::kNone) return;
  const std::optional<double> limit = rate_limits_.LimitOf(upstream);
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "upstream_limit",
      {{"upstream", upstream.name},
       {"incarnation", std::to_string(upstream.incarnation)},
       {"change", ToString(change)},
       {"requests_per_s", limit.has_value() ? std::to_string(*limit) : "none"},
       {"source", source}}});
  if (change == RateLimitChange::kBegan) ReviewCoordinators();
}

std::vector<RateLimitReport> ForwardNode::NextRateLimitReports() {
  return rate_limits_.NextReports(kMaxRateLimitReports, now());
}

void ForwardNode::AddUpstreamStatements(Heartbeat* heartbeat) {
  heartbeat->rate_limit_reports = NextRateLimitReports();
  heartbeat->leaving_upstreams = upstreams_.StatedLeaving(kMaxLeavingUpstreams);
}

void ForwardNode::BroadcastUpstreamStatements() {
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self().WithoutCounters()};
  AddUpstreamStatements(&heartbeat);
  for (const std::string& address : membership_.BroadcastTargets(now())) {
    Emit(forward_action::SendHeartbeat{{address, heartbeat}});
  }
}

std::vector<UpstreamId> ForwardNode::LimitedUpstreams(
    const std::string& service) const {
  std::vector<UpstreamId> limited = rate_limits_.Limited();
  std::erase_if(limited, [&](const UpstreamId& upstream) {
    return !upstreams_.MayUse(upstream, service);
  });
  return limited;
}

// Permits.

void ForwardNode::ApplyRateLimits(const Request& request,
                                  UpstreamCriteria* query) {
  // A request can use one permit; others would expire.
  bool has_probe = false;
  for (const UpstreamId& upstream : LimitedUpstreams(request.service)) {
    const bool is_first = request.attempts == 0 && !IsSuspect(request);
    // Now and then the coordinator uses the upstream although others have room:
    // only a response tells when the limit ends.
    if (is_first && !has_probe && permits_.IsProbeDue(upstream, now()))
      has_probe = GrantToSelf({{upstream, 1}});
    if (!permits_.HasPermit(upstream, now())) {
      query->exclude.push_back(upstream.name);
    } else if (is_first) {
      query->prefer.push_back(upstream.name);
    }
  }
}

bool ForwardNode::RequestPermits(const std::string& service,
                                 std::size_t count) {
  const std::vector<UpstreamId> limited = LimitedUpstreams(service);
  if (limited.empty() || !permits_.BeginRequest(service, now())) return false;
  const int wanted = static_cast<int>(
      std::min<std::size_t>(count, RateLimitPermits::kMaxRequestedPermits));
  // By the coordinator's peer address.
  std::map<std::string, std::vector<PermitCount>> by_coordinator;
  for (const UpstreamId& upstream : limited) {
    const PermitCoordinator& coordinator = permits_.CoordinatorOf(upstream);
    if (coordinator.name.empty() || permits_.HasPermit(upstream, now()))
      continue;
    by_coordinator[coordinator.peer_address].push_back({upstream, wanted});
  }
  if (by_coordinator.empty()) return false;
  // Permits that several coordinators grant for one request would be wasted.
  const auto chosen =
      std::next(by_coordinator.begin(),
                static_cast<std::ptrdiff_t>(random_() % by_coordinator.size()));
  std::shuffle(chosen->second.begin(), chosen->second.end(), random_);
  if (chosen->first == membership_.self().peer_address)
    return GrantToSelf(chosen->second);
  Heartbeat request;
  request.records = {membership_.self().WithoutCounters()};
  request.requested_permits = chosen->second;
  request.permits_requested_at = now();
  AddUpstreamStatements(&request);
  Emit(forward_action::SendHeartbeat{{chosen->first, std::move(request)}});
  return false;
}

std::vector<PermitCount> ForwardNode::GrantPermits(
    const std::vector<PermitCount>& requested) {
  std::vector<PermitCount> all_granted;
  if (membership_.IsJoining(now())) return all_granted;
  // Nodes that this one can't reach may have a coordinator of their own.
  const double share = static_cast<double>(membership_.AliveCount(now())) /
                       membership_.KnownNodeCount(now());
  int remaining = 0;
  for (const PermitCount& request : requested) {
    remaining = std::max(remaining, request.count);
  }
  for (const PermitCount& request : requested) {
    const std::optional<double> limit = rate_limits_.LimitOf(request.upstream);
    const bool may_grant =
        limit.has_value() && permits_.CoordinatorOf(request.upstream).name ==
                                 membership_.self().id.name;
    if (!may_grant) continue;
    const int granted =
        permits_.Grant(request.upstream, *limit * share, remaining, now());
    remaining -= granted;
    if (granted > 0) all_granted.push_back({request.upstream, granted});
  }
  return all_granted;
}

bool ForwardNode::GrantToSelf(const std::vector<PermitCount>& requested) {
  const std::vector<PermitCount> all_granted = GrantPermits(requested);
  for (const PermitCount& granted : all_granted) {
    permits_.OnGranted(granted, now(), now());
  }
  return !all_granted.empty();
}

void ForwardNode::RespondToPermitRequest(const Heartbeat& request) {
  Heartbeat response;
  response.granted_permits = GrantPermits(request.requested_permits);
  if (response.granted_permits.empty()) return;
  response.records = {membership_.self().WithoutCounters()};
  response.permits_requested_at = request.permits_requested_at;
  Emit(forward_action::SendHeartbeat{
      {request.records.front().peer_address, std::move(response)}});
}

void ForwardNode::ApplyPermits(const Heartbeat& response) {
  if (response.granted_permits.empty()) return;
  for (const PermitCount& granted : response.granted_permits) {
    if (rate_limits_.LimitOf(granted.upstream).has_value())
      permits_.OnGranted(granted, response.permits_requested_at, now());
  }
  DispatchAllQueued();
}

void ForwardNode::UpdateRateLimits() {
  const Duration since_review = now() - coordinators_reviewed_at_;
  if (since_review < kReviewInterval) return;
  if (since_review > kMaxReviewGap) permits_.RestartTakeover(now());
  coordinators_reviewed_at_ = now();
  rate_limits_.RemoveOutdated(
      [this](const UpstreamId& upstream) {
        return upstreams_.IsListed(upstream);
      },
      now());
  permits_.Retain(rate_limits_.Limited());
  ReviewCoordinators();
}

std::vector<const MemberRecord*> ForwardNode::CoordinatorCandidates() {
  if (!membership_.IsLargeFleet()) {
    return membership_.PreferredMembers(CollectorSelector::kMaxCandidates,
                                        now());
  }
  // Heartbeats are sparse, so nodes disagree on which others are alive. All of
  // them receive responses from the first collector several times a second.
  std::vector<const MemberRecord*> collectors = ChooseCollectors();
  if (collectors.size() > 1) collectors.resize(1);
  return collectors;
}

void ForwardNode::ReviewCoordinators() {
  const std::vector<UpstreamId> limited = rate_limits_.Limited();
  if (limited.empty()) return;
  const std::vector<const MemberRecord*> members = CoordinatorCandidates();
  if (members.empty()) return;
  for (const UpstreamId& upstream : limited) {
    const MemberRecord* coordinator = *std::max_element(
        members.begin(), members.end(),
        [&upstream](const MemberRecord* a, const MemberRecord* b) {
          return CoordinatorWeight(upstream, *a) <
                 CoordinatorWeight(upstream, *b);
        });
    permits_.SetCoordinator(
        upstream, {coordinator->id.name, coordinator->peer_address}, now());
  }
}

std::optional<Duration> ForwardNode::WaitForLimitedUpstreams(
    const std::string& service, std::size_t requests_ahead) const {
  const std::vector<UpstreamId> limited = LimitedUpstreams(service);
  const bool all_are_limited =
      !limited.empty() &&
      static_cast<int>(limited.size()) == upstreams_.UsableCount(service);
  if (!all_are_limited) return std::nullopt;
  double total_rate = 0;
  for (const UpstreamId& upstream : limited) {
    total_rate += rate_limits_.LimitOf(upstream).value_or(0);
  }
  const double own_rate = total_rate / membership_.AliveCount(now());
  if (own_rate <= 0) return kLimitedRetryAfter;
  const double wait_s = static_cast<double>(requests_ahead) / own_rate;
  return std::min<Duration>(FromSeconds(std::min(wait_s, 3600.0)),
                            kLimitedRetryAfter);
}

}  // namespace pollenledge
