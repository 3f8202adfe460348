#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Dispatch, queueing, retries and completion of requests in `ForwardNode`.

namespace pollenledge {
namespace {

/// Maximum time a request may spend in the queue, as a share of its latency
/// target.
constexpr double kMaxQueueTimeShare = 0.8;
/// Rank floors: shares of the service that standard and background requests
/// keep while more urgent requests exceed the capacity.
constexpr double kStandardRankFloor = 0.15;
constexpr double kBackgroundRankFloor = 0.15;

/// A request whose response has begun searches for an upstream that goes on
/// with it at this interval. Each search may draw on the retry budget.
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);

/// A first event later than this share of its latency target counts as late, so
/// that upstreams are provisioned before targets are missed.
constexpr double kLateTargetShare = 0.7;

Rank RankOfPriority(int priority) {
  if (priority <= 0) return Rank::kUrgent;
  return priority == 1 ? Rank::kStandard : Rank::kBackground;
}

Tables RankFloorTables() {
  Tables tables;
  tables.ranks[static_cast<std::size_t>(Rank::kStandard)].floor_share =
      kStandardRankFloor;
  tables.ranks[static_cast<std::size_t>(Rank::kBackground)].floor_share =
      kBackgroundRankFloor;
  return tables;
}

/// True if a request that is sent to the upstream now shares it with others.
bool IsLoaded(const ForwardUpstream& upstream, TimePoint now) {
  constexpr double kLoadedShare = 0.5;  // Of its slots.
  return upstream.EstimatedLoad(now) >= kLoadedShare * upstream.info.slots;
}

/// True if the upstream ended the attempt without a whole response to it.
bool IsBrokenOff(ForwardOutcome end) {
  return end == ForwardOutcome::kConnectionLost ||
         end == ForwardOutcome::kInvalidResponse ||
         end == ForwardOutcome::kFailed;
}

RequestId ToQueueId(ForwardId id) { return {NodeId(), id}; }

/// Sets the query's affinity and token count from the prompt prefix that other
/// requests may share: all segments but the last one, or the only segment.
void SetSharedPrompt(const ForwardSpec& spec, UpstreamCriteria* query) {
  const std::size_t segment_count = spec.prompt_segments.size();
  if (segment_count == 0) return;
  const std::size_t last_shared = segment_count < 2 ? 0 : segment_count - 2;
  query->affinity = spec.prompt_segments[last_shared].id;
  for (std::size_t i = 0; i <= last_shared; ++i) {
    query->shared_prompt_tokens += spec.prompt_segments[i].tokens;
  }
}

}  // namespace

// Dispatch.

void ForwardNode::Dispatch(Request* request) {
  if (paths_.IsLost(request->service) && Relay(request)) return;
  ForwardUpstream* upstream = ChooseUpstream(*request);
  if (upstream == nullptr) {
    Enqueue(request);
  } else {
    Send(request, upstream);
  }
}

ForwardUpstream* ForwardNode::ChooseUpstream(const Request& request) {
  UpstreamCriteria query;
  query.service = request.service;
  query.own_domain = options_.self.domain;
  query.exclude = request.tried_upstreams;
  RestrictVersions(request, &query);
  if (request.route->prefix_affinity) SetSharedPrompt(request.spec, &query);
  UsePromptCaches(request, &query);
  IsolateSuspects(request, &query);
  ApplyRateLimits(request, &query);
  AvoidStalled(request, &query);
  const std::optional<PredictedRequest> predicted = PredictedBy(request, query);
  if (predicted.has_value()) query.predicted = &*predicted;
  return ChooseVersion(request, std::move(query));
}

void ForwardNode::Send(Request* request, ForwardUpstream* upstream,
                       std::optional<ForwardOutcome> previous_end) {
  if (request->attempts == 0) retry_budget_.OnFirstAttempt(request->service);
  ++request->attempts;
  request->current_upstream = upstream->info.id.name;
  request->current_incarnation = upstream->info.id.incarnation;
  request->current_version = upstream->info.software_version;
  request->tried_upstreams.push_back(request->current_upstream);
  request->sent_at = now();
  request->last_event_at = now();
  request->first_event_received = false;
  request->phase = RunPhase::kStarting;
  request->pending_prompt_tokens = request->spec.prompt_tokens;
  request->sent_under_load = IsLoaded(*upstream, now());
  request->event_batches = 0;
  CountSent(*request, *upstream);
  upstreams_.OnSent(upstream, request->pending_prompt_tokens, now());
  RecordPromptSent(*request);
  ExpectProgress(request, *upstream);
  const std::optional<double> limit = rate_limits_.LimitOf(upstream->info.id);
  if (limit.has_value()) permits_.Consume(upstream->info.id, now());
  LogDecision(
      LogLevel::kInfo, "sent", *request,
      {{"upstream", request->current_upstream},
       {"software_version", request->current_version},
       {"attempt", std::to_string(request->attempts)},
       {"repeat_after",
        previous_end.has_value() ? ToString(*previous_end) : "none"},
       {"limit_units", std::to_string(std::llround(request->acquired_units))},
       {"load", std::to_string(upstream->EstimatedLoad(now()))},
       {"upstream_limit", limit.has_value() ? std::to_string(*limit) : "none"},
       {"report_age_ms", upstream->load_report.has_value()
                             ? FormatMilliseconds(now() - upstream->reported_at)
                             : "none"}});
  Emit(forward_action::SendAttempt{
      .id = request->id,
      .upstream = upstream->info.id,
      .address = upstream->info.address,
      .customer = request->customer == nullptr ? "" : request->customer->name,
      .priority = request->priority,
      .deadline = request->deadline,
      .send_before = LatestSendTime(*request),
      .kind = request->route->kind,
      .connection_reuse = ReusableConnections(*request),
      .last_event_id = request->last_event_id,
      .previous_end = previous_end,
      // The list may be older than a restart of the upstream as another
      // version.
      .verify_incarnation = request->binding.has_value()});
  ScheduleCheck(request);
}

ConnectionReuse ForwardNode::ReusableConnections(const Request& request) const {
  if (IsSuspect(request)) return ConnectionReuse::kRecentlyUsed;
  if (request.route->IsRetrySafe()) return ConnectionReuse::kAny;
  return predictive_services() > 0
             ? connection_reuse_.ForSingleRun(request.service, now())
             : ConnectionReuse::kRecentlyUsed;
}

bool ForwardNode::MaySend(ForwardId id) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return false;
  const Request& request = found->second;
  return upstreams_.MayUse(
      {request.current_upstream, request.current_incarnation}, request.service);
}

TimePoint ForwardNode::LatestSendTime(const Request& request) const {
  const bool key_can_expire = request.customer != nullptr &&
                              options_.key_freshness > Duration::zero() &&
                              tables_confirmed_at_.has_value();
  if (!key_can_expire) return request.deadline;
  return std::min(request.deadline, KeysValidUntil());
}

void ForwardNode::Enqueue(Request* request) {
  const QueueKey key{request->service, RequiredVersion(*request)};
  const auto [it, is_new] = queues_.try_emplace(key);
  if (is_new) it->second.Configure(RankFloorTables());
  const Duration wait =
      std::min<Duration>(FromSeconds(kMaxQueueTimeShare *
                                     ToSeconds(request->route->latency_target)),
                         request->deadline - now());
  QueuedRequest queued;
  queued.id = ToQueueId(request->id);
  queued.customer = request->customer == nullptr ? "" : request->customer->name;
  queued.rank = RankOfPriority(request->priority);
  queued.cost = static_cast<double>(request->spec.prompt_tokens + 1);
  queued.enqueued_at = now();
  queued.latest_start = request->arrived_at + wait;
  if (key.software_version.has_value() &&
      (upstreams_.UsableCount(key.service, key.software_version) == 0 ||
       !rollouts_.MayUse(key.service, *key.software_version, now()))) {
    RejectUnboundStream(request, "version-gone", Duration(0));
    return;
  }
  if (upstreams_.UsableCount(request->service) == 0 ||
      queued.latest_start <= now()) {
    GiveUp(request, ForwardOutcome::kNotSent, "no-upstream");
    return;
  }
  const std::optional<TimePoint> return_at =
      upstreams_.EarliestReturn(request->service, now());
  if (return_at.has_value() && *return_at > queued.latest_start) {
    GiveUp(request, ForwardOutcome::kNotSent, "upstreams-pause",
           *return_at - now());
    return;
  }
  const std::optional<Duration> limited_wait =
      WaitForLimitedUpstreams(request->service, it->second.size());
  if (limited_wait.has_value() && *limited_wait > wait) {
    GiveUp(request, ForwardOutcome::kNotSent, "upstreams-limited",
           *limited_wait);
    return;
  }
  // Reject immediately if the request would wait too long.
  if (it->second.EstimateWait(queued.customer, queued.rank, queued.cost, 0) >
      wait) {
    GiveUp(request, ForwardOutcome::kNotSent, "queue-too-long");
    return;
  }
  if (IsPredictedLate(*request)) {
    GiveUp(request, ForwardOutcome::kNotSent, "predicted-late");
    return;
  }
  request->queue = key;
  LogRequest(LogLevel::kInfo, "queued", *request,
             {{"ahead", std::to_string(it->second.size())},
              {"software_version", key.software_version.value_or("any")}});
  it->second.Push(queued);
  const std::string service = request->service;
  if (RequestPermits(service, it->second.size())) DispatchQueued(service);
}

void ForwardNode::DispatchQueued(const std::string& service) {
  std::vector<FairQueue*> queues;
  for (auto entry = queues_.lower_bound({service, std::nullopt});
       entry != queues_.end() && entry->first.service == service; ++entry) {
    queues.push_back(&entry->second);
  }
  // The queue of the requests that any version can serve is the first entry.
  for (auto queue = queues.rbegin(); queue != queues.rend(); ++queue) {
    DispatchQueue(service, *queue);
  }
}

void ForwardNode::DispatchQueue(const std::string& service, FairQueue* queue) {
  for (const QueuedRequest& expired : queue->RemoveExpired(now())) {
    Request* request = FindRequest(expired.id.sequence);
    if (request == nullptr) continue;
    request->queue.reset();
    GiveUp(request, ForwardOutcome::kNotSent, "no-room",
           WaitForLimitedUpstreams(service, queue->size() + 1)
               .value_or(kDefaultRetryAfter));
  }
  while (const std::optional<QueuedRequest> next = queue->Peek(now())) {
    Request* request = FindRequest(next->id.sequence);
    if (request == nullptr) {
      queue->Remove(next->id);
      continue;
    }
    ForwardUpstream* upstream = ChooseUpstream(*request);
    if (upstream == nullptr) {
      if (!RequestPermits(service, queue->size())) return;
      continue;
    }
    queue->Pop(now());
    request->queue.reset();
    if (request->customer != nullptr && !AreKeysFresh(now())) {
      GiveUp(request, ForwardOutcome::kNotSent, "stale-configuration");
      continue;
    }
    Send(request, upstream);
  }
}

void ForwardNode::DispatchAllQueued() {
  std::set<std::string> services;
  for (const auto& [key, queue] : queues_) services.insert(key.service);
  for (const std::string& service : services) DispatchQueued(service);
}

// Attempts.

void ForwardNode::On(const forward_event::FirstEventReceived& first) {
  Request* request = FindRequest(first.id);
  if (request == nullptr || request->first_event_received) return;
  request->first_event_received = true;
  request->first_event_at = now();
  request->response_started = true;
  request->may_have_run = true;
  request->last_event_at = now();
  LearnFirstEvent(request);
  if (request->relay.empty()) BindStream(request, first);
  request->on_new_connection = !first.connected_at.has_value();
  ObserveStart(*request);
  RecordPromptRead(*request);
  RecordAdmittedFirstEvent(*request);
  RecordPromptProcessed(request);
  CountUsage(request, now_.wall);
  const bool late =
      ToSeconds(now() - request->arrived_at) >
      kLateTargetShare * ToSeconds(request->route->latency_target);
  if (request->relay.empty()) CountStream(request->service, late);
  if (ForwardUpstream* upstream = upstreams_.Find(request->current_upstream)) {
    upstreams_.OnResponseStarted(
        upstream, now() - request->sent_at <= request->route->latency_target,
        now());
  }
}

void ForwardNode::On(const forward_event::EventsForwarded& forwarded) {
  Request* request = FindRequest(forwarded.id);
  if (request == nullptr) return;
  request->last_event_at = now();
  LearnEvents(request, forwarded.last_event_id);
  request->last_event_id = forwarded.last_event_id;
  ObserveEvents(request);
  ExpectNextEvent(request);
  if (request->first_event_received &&
      now() - request->first_event_at >= kSoundWritingTime) {
    RecordSoundResponse(request, RunPhase::kWriting, request->first_event_at);
    SendSuspectReports();
  }
}

void ForwardNode::On(const forward_event::AttemptEnded& ended) {
  Request* request = FindRequest(ended.id);
  if (request == nullptr) return;
  request->broken_off = request->broken_off || IsBrokenOff(ended.end);
  request->last_end = ended.end;
  request->last_evidence = ended.evidence;
  if (!request->relay.empty()) {
    OnRelayEnded(request, ended);
    return;
  }
  if (request->current_upstream.empty()) return;
  request->on_new_connection = !ended.connection_idle.has_value();
  const std::string upstream = request->current_upstream;
  if (ended.end == ForwardOutcome::kNotSent && MaySend(ended.id))
    OnConnectFailed(request->service, upstream);
  // The load that a response's head stated is as old as the head.
  if (ended.load.has_value() && !request->load_is_applied) {
    if (ForwardUpstream* known = upstreams_.Find(upstream)) {
      upstreams_.OnLoadReport(known, *ended.load, now());
    }
  }
  const bool ran = ended.end == ForwardOutcome::kCompleted ||
                   ended.end == ForwardOutcome::kFailed;
  if (ran && request->route->kind != RouteKind::kStreaming) {
    CountUsage(request, now_.wall - (now() - request->sent_at));
    if (ForwardUpstream* known = upstreams_.Find(upstream)) {
      upstreams_.OnResponseStarted(
          known, now() - request->sent_at <= request->route->latency_target,
          now());
    }
  }
  if (ended.end == ForwardOutcome::kConnectionLost) {
    OnConnectionLost(*request);
    if (ended.connection_idle.has_value() && !request->first_event_received) {
      connection_reuse_.OnConnectionLost(request->service,
                                         *ended.connection_idle,
                                         now() - request->sent_at, now());
    }
  }
  if (ran) {
    RecordSoundResponse(
        request, RunPhase::kCompleted,
        request->first_event_received ? request->first_event_at : now());
  }
  SendSuspectReports();
  FinalizeAttempt(request, ended.end);
  LogAttemptEnd("attempt_ended", {"upstream", upstream}, *request, ended);
  const std::string service = request->service;
  if (ended.end == ForwardOutcome::kCompleted) {
    LearnResponse(*request);
    Finish(request);
  } else {
    ContinueAfter(request, ended.end);
  }
  EndRejectedRequests();
  DispatchQueued(service);
}

void ForwardNode::RetryOrGiveUp(Request* request, ForwardOutcome end) {
  if (Retry(request, end) || RelayAfter(request, end)) return;
  // The upstream's own error response is forwarded to the caller.
  if (end == ForwardOutcome::kFailed && !request->response_started) {
    Finish(request);
  } else {
    WaitOrGiveUp(request, end, ToString(end));
  }
}

void ForwardNode::LogAttemptEnd(const char* event, LogField target,
                                const Request& request,
                                const forward_event::AttemptEnded& ended) {
  LogRequest(
      LogLevel::kInfo, event, request,
      {std::move(target),
       {"end", ToString(ended.end)},
       {"status", std::to_string(ended.status)},
       {"names_request", ended.evidence.names_request ? "yes" : "no"},
       {"framing", ToString(ended.evidence.framing)},
       {"earlier_requests", std::to_string(ended.evidence.earlier_requests)},
       {"took_ms", FormatMilliseconds(now() - request.sent_at)}});
}

void ForwardNode::RecordPromptProcessed(Request* request) {
  ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream != nullptr) {
    upstreams_.OnPromptProcessed(upstream, request->pending_prompt_tokens);
  }
  request->pending_prompt_tokens = 0;
}

void ForwardNode::FinalizeAttempt(Request* request, ForwardOutcome end) {
  RecordPromptProcessed(request);
  ObserveEnd(*request, end);
  if (end == ForwardOutcome::kNotSent || end == ForwardOutcome::kRejected)
    RecordPromptNotRun(*request);
  ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream != nullptr) {
    upstreams_.OnAttemptEnded(upstream, end, now());
  }
  request->current_upstream.clear();
  ForgetAttemptProgress(request);
  if (end != ForwardOutcome::kNotSent && end != ForwardOutcome::kRejected) {
    request->may_have_run = true;
    ++request->possible_runs;
  }
}

bool ForwardNode::MayRetry(const Request& request) const {
  const ForwardingRoute& route = *request.route;
  if (request.may_have_run && !route.IsRetrySafe()) return false;
  if (RunsLeft(request) <= 0) return false;
  if (suspects_.RejectedSuspect(request.suspect_fingerprints, now()))
    return false;
  // Of several requests with the same suspect, one at a time is tried.
  if (IsSuspect(request) && HasActiveTrial(request)) return false;
  // Attempts that did not run do not count as runs, so their total number is
  // bounded separately, unless only the deadline ends the response.
  if (request.attempts > MaxRuns(request) && !HasSoundResponse(request))
    return false;
  return now() < request.deadline;
}

int ForwardNode::MaxRuns(const Request& request) {
  const int max_attempts = request.route->max_attempts;
  return std::min(max_attempts, request.spec.max_runs.value_or(max_attempts));
}

int ForwardNode::RunsLeft(const Request& request) {
  return MaxRuns(request) - request.possible_runs;
}

bool ForwardNode::Retry(Request* request, ForwardOutcome end) {
  if (!MayRetry(*request) || paths_.IsLost(request->service)) return false;
  if (request->customer != nullptr && !AreKeysFresh(now())) return false;
  ForwardUpstream* upstream = ChooseUpstream(*request);
  if (upstream == nullptr) return false;
  // An attempt that reached no upstream added no load, so retrying it does not
  // use the retry budget.
  if (end != ForwardOutcome::kNotSent &&
      !retry_budget_.TryAcquire(request->service)) {
    LogRequest(LogLevel::kInfo, "retry_denied", *request,
               {{"reason", "budget"}, {"after", ToString(end)}});
    return false;
  }
  Send(request, upstream, end);
  return true;
}

bool ForwardNode::HasSoundResponse(const Request& request) {
  return request.response_started && !request.broken_off;
}

void ForwardNode::WaitOrGiveUp(Request* request, ForwardOutcome end,
                               const std::string& reason) {
  if (!HasSoundResponse(*request)) {
    GiveUp(request, end, reason);
    return;
  }
  LogRequest(LogLevel::kInfo, "waits_for_upstream", *request,
             {{"after", ToString(end)},
              {"attempts", std::to_string(request->attempts)}});
  WaitForUpstream(request);
}

void ForwardNode::WaitForUpstream(Request* request) {
  // Upstreams that refused it or were silent may have recovered by then.
  request->tried_upstreams.clear();
  request->next_retry_at = now() + kRetryInterval;
  ScheduleCheck(request);
}

void ForwardNode::ContinueWaiting(Request* request) {
  request->next_retry_at.reset();
  if (Retry(request, ForwardOutcome::kCancelled) ||
      RelayAfter(request, ForwardOutcome::kCancelled))
    return;
  WaitForUpstream(request);
}

void ForwardNode::GiveUp(Request* request, ForwardOutcome end,
                         const std::string& reason, Duration retry_after) {
  const bool not_run =
      !request->may_have_run &&
      (end == ForwardOutcome::kNotSent || end == ForwardOutcome::kRejected ||
       request->attempts == 0);
  if (not_run && !request->response_started) {
    const bool is_stream = request->route->kind == RouteKind::kStreaming;
    if (is_stream) CountStream(request->service, true);
    Reject(request, NotRun{503, reason, "no upstream could accept the request",
                           retry_after});
    return;
  }
  Fail(request, 502, reason);
}

void ForwardNode::CountUsage(Request* request, WallTime started_at) {
  if (request->usage_counted || request->customer == nullptr) return;
  request->usage_counted = true;
  usage_.Count(request->customer->name, started_at);
}

// End of a request.

void ForwardNode::Reject(Request* request, NotRun not_run) {
  if (not_run.http_status == 429 || not_run.http_status == 503) {
    not_run.retry_after = JitterRetryAfter(not_run.retry_after, *request);
  }
  LogDecision(
      LogLevel::kInfo, "refused", *request,
      {{"status", std::to_string(not_run.http_status)},
       {"reason", not_run.problem_type},
       {"retry_after_ms", FormatMilliseconds(not_run.retry_after)},
       {"attempts", std::to_string(request->attempts)},
       {"after",
        request->last_end.has_value() ? ToString(*request->last_end) : "none"},
       {"names_request", request->last_evidence.names_request ? "yes" : "no"},
       {"earlier_requests",
        std::to_string(request->last_evidence.earlier_requests)}});
  if (request->acquired_units > 0) {
    limits_.Refund(request->customer->name, request->acquired_units);
  }
  Emit(forward_action::Reject{request->id, std::move(not_run)});
  RemoveRequest(request);
}

void ForwardNode::Fail(Request* request, int status,
                       const std::string& reason) {
  LogRequest(LogLevel::kWarn, "failed", *request,
             {{"status", std::to_string(status)},
              {"reason", reason},
              {"attempts", std::to_string(request->attempts)},
              {"answer_begun", request->response_started ? "yes" : "no"}});
  Emit(forward_action::Fail{request->id, status, reason});
  RemoveRequest(request);
}

void ForwardNode::Finish(Request* request) {
  RecordAdmittedEnd(*request);
  if (request->stream.has_value())
    stream_versions_.OnCompleted(*request->stream);
  LogRequest(LogLevel::kInfo, "answered", *request,
             {{"attempts", std::to_string(request->attempts)},
              {"took_ms", FormatMilliseconds(now() - request->arrived_at)}});
  Emit(forward_action::DeliverResponse{request->id});
  RemoveRequest(request);
}

void ForwardNode::RemoveRequest(Request* request) {
  if (request->queue.has_value())
    queues_.at(*request->queue).Remove(ToQueueId(request->id));
  lookups_.erase(request->id);
  origin_waits_.erase(request->id);
  requests_.erase(request->id);
}

void ForwardNode::On(const forward_event::CallerDisconnected& disconnected) {
  if (held_requests_.Remove(disconnected.id)) return;
  Request* request = FindRequest(disconnected.id);
  if (request == nullptr) return;
  const std::string service = request->service;
  if (!request->relay.empty()) Emit(forward_action::CancelAttempt{request->id});
  if (!request->current_upstream.empty()) {
    Emit(forward_action::CancelAttempt{request->id});
    FinalizeAttempt(request, ForwardOutcome::kCancelled);
  }
  LogRequest(LogLevel::kInfo, "caller_left", *request,
             {{"took_ms", FormatMilliseconds(now() - request->arrived_at)}});
  // It may be resumed at another node, which goes by what this one tells.
  if (!IsOriginConfirmed(*request) && stream_versions_.IsMixed(service, now()))
    Emit(forward_action::ReadUpstreams{});
  RemoveRequest(request);
  DispatchQueued(service);
}

}  // namespace pollenledge
