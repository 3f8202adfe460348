#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// The passing of time and the silence of upstreams, in `ForwardNode`.

namespace pollenledge {
namespace {

/// Maximum interval between two `Ticked` events.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);
/// A retryable request whose upstream sent nothing for this many times its
/// latency target is sent to another upstream, but not before
/// `kMinInactivityTimeout`.
constexpr double kInactivityTargetFactor = 2.0;
constexpr Duration kMinInactivityTimeout = std::chrono::milliseconds(250);
/// The corresponding factor for a gap between two events, relative to the event
/// gap target of the route.
constexpr double kInactivityGapFactor = 4.0;

}  // namespace

void ForwardNode::On(const forward_event::Ticked&) {
  while (!scheduled_checks_.empty() &&
         scheduled_checks_.begin()->first <= now()) {
    const auto [at, id] = *scheduled_checks_.begin();
    scheduled_checks_.erase(scheduled_checks_.begin());
    Request* request = FindRequest(id);
    // Skip the request if its check was rescheduled.
    if (request != nullptr && request->next_check_at == at) OnCheckDue(request);
  }
  ReleaseHeldRequests(held_requests_.TakeDue(now()));
  UpdateRateLimits();
  UpdateSpeeds();
  DispatchAllQueued();
  ReadNewerTables();
  RequestTables();
  SendSuspectReports();
  UpdateAdmissionLevels();
  SendHeartbeats();
  CountLostAttempts();
  ReportRollouts();
  if (now() - streams_told_at_ >= kStreamTellInterval) TellStreams();
  if (!paths_.DoubtfulServices().empty() &&
      now() - probed_at_ >= PathMonitor::kProbeInterval)
    ProbePaths();
  if (now() - limits_updated_at_ >= kHeartbeatPeriod) UpdateLimits();
  ExpireSuspects();
  SyncSuspects();
  UpdatePromptCaches();
}

void ForwardNode::OnCheckDue(Request* request) {
  if (now() >= request->deadline) {
    EndUnanswered(request, ForwardOutcome::kConnectionLost, "timeout",
                  NotRun{503,
                         "out-of-time",
                         "no upstream had capacity before the deadline",
                         {}});
    return;
  }
  if (request->next_lookup_at.has_value()) {
    ContinueLookup(request);
    return;
  }
  if (request->origin_wait.has_value()) {
    CheckOriginWait(request);
    return;
  }
  if (request->next_retry_at.has_value()) {
    ContinueWaiting(request);
    return;
  }
  const std::optional<TimePoint> inactive_at = InactivityDeadline(*request);
  const bool is_inactive = inactive_at.has_value() && now() >= *inactive_at;
  const bool is_progress_due = request->progress_due_at.has_value() &&
                               now() >= *request->progress_due_at;
  if ((is_inactive || is_progress_due) && has_unread_response_ != nullptr &&
      has_unread_response_(request->id)) {
    OnUnreadResponse(request);
    return;
  }
  const bool is_stalled = is_progress_due && OnMissingProgress(request);
  if (is_stalled || is_inactive) {
    OnUpstreamUnresponsive(request);
    return;
  }
  ScheduleCheck(request);
}

void ForwardNode::EndUnanswered(Request* request, ForwardOutcome attempt_end,
                                const std::string& reason, NotRun not_run) {
  const bool was_sent =
      !request->current_upstream.empty() || !request->relay.empty();
  if (was_sent) {
    Emit(forward_action::CancelAttempt{request->id});
    FinalizeAttempt(request, attempt_end);
  }
  if (!was_sent && !request->may_have_run && !request->response_started) {
    Reject(request, std::move(not_run));
  } else {
    Fail(request, 504, reason);
  }
}

void ForwardNode::OnUnreadResponse(Request* request) {
  request->last_event_at = now();
  if (request->progress_due_at.has_value())
    request->progress_due_at = now() + request->allowed_silence;
  ScheduleCheck(request);
}

void ForwardNode::OnUpstreamUnresponsive(Request* request) {
  ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  LogRequest(
      LogLevel::kWarn, "upstream_silent", *request,
      {{"upstream", request->current_upstream},
       {"silent_ms", FormatMilliseconds(now() - request->last_event_at)}});
  if (upstream != nullptr) upstreams_.OnUnresponsive(upstream, now());
  const bool may_retry = MayRetry(*request) && RunsLeft(*request) > 1;
  ForwardUpstream* other = may_retry ? ChooseUpstream(*request) : nullptr;
  const bool may_go_on = IsOriginConfirmed(*request);
  if (!may_go_on) Emit(forward_action::ReadUpstreams{});
  if (other == nullptr || !may_go_on || !AreKeysFresh(now()) ||
      !retry_budget_.TryAcquire(request->service)) {
    // No retry is possible: keep waiting until the request times out.
    request->last_event_at = now();
    ScheduleCheck(request);
    return;
  }
  Emit(forward_action::CancelAttempt{request->id});
  FinalizeAttempt(request, ForwardOutcome::kConnectionLost);
  Send(request, other, ForwardOutcome::kConnectionLost);
}

std::optional<TimePoint> ForwardNode::InactivityDeadline(
    const Request& request) const {
  if (request.current_upstream.empty() || !request.route->IsRetrySafe()) {
    return std::nullopt;
  }
  const bool between_events = request.first_event_received;
  const double timeout_s =
      between_events
          ? kInactivityGapFactor * ToSeconds(request.route->event_gap_target)
          : kInactivityTargetFactor * ToSeconds(request.route->latency_target);
  return request.last_event_at +
         std::max<Duration>(FromSeconds(timeout_s), kMinInactivityTimeout);
}

void ForwardNode::ScheduleCheck(Request* request) {
  TimePoint at = request->deadline;
  if (const std::optional<TimePoint> inactive_at =
          InactivityDeadline(*request)) {
    at = std::min(at, *inactive_at);
  }
  at = std::min(at, request->next_lookup_at.value_or(at));
  at = std::min(at, request->next_retry_at.value_or(at));
  if (request->origin_wait.has_value())
    at = std::min(at, request->origin_wait->next_check_at);
  at = std::min(at, request->progress_due_at.value_or(at));
  if (request->next_check_at == at) return;
  request->next_check_at = at;
  scheduled_checks_.emplace(at, request->id);
}

TimePoint ForwardNode::NextTickTime(TimePoint now) const {
  TimePoint next = std::min(NextHeartbeatTime(now), now + kMaxTickInterval);
  if (!paths_.DoubtfulServices().empty())
    next = std::min(next, probed_at_ + PathMonitor::kProbeInterval);
  if (membership_.IsLargeFleet() && suspects_.HasUnsentReports())
    next = std::min(next, NextSuspectReportTime());
  if (stream_versions_.HasUntold(now))
    next = std::min(next, streams_told_at_ + kStreamTellInterval);
  if (!scheduled_checks_.empty())
    next = std::min(next, scheduled_checks_.begin()->first);
  next = std::min(next, held_requests_.next_due().value_or(next));
  if (queued_requests() > 0) {
    next = std::min(next, now + std::chrono::milliseconds(20));
  }
  return next;
}

}  // namespace pollenledge
