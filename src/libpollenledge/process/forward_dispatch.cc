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

RequestId ToQueueId(ForwardId id) { return {NodeId(), id}; }

/// Sets the query's affinity and token count from the prompt prefix that other
/// requests may share: all parts but the last one, or the only part.
void SetSharedPrompt(const ForwardSpec& spec, UpstreamQuery* query) {
  const std::size_t part_count = spec.prompt_parts.size();
  if (part_count == 0) return;
  const std::size_t last_shared = part_count < 2 ? 0 : part_count - 2;
  query->affinity = spec.prompt_parts[last_shared].id;
  for (std::size_t i = 0; i <= last_shared; ++i) {
    query->shared_tokens += spec.prompt_parts[i].tokens;
  }
}

}  // namespace

// Dispatch.

void ForwardNode::Dispatch(Request* request) {
  ForwardUpstream* upstream = ChooseUpstream(*request);
  if (upstream == nullptr) {
    Enqueue(request);
  } else {
    Send(request, upstream);
  }
}

ForwardUpstream* ForwardNode::ChooseUpstream(const Request& request) {
  UpstreamQuery query;
  query.service = request.service;
  query.own_domain = options_.self.domain;
  query.exclude = request.tried;
  if (request.route->prefix_affinity) SetSharedPrompt(request.spec, &query);
  KeepApart(request, &query);
  return upstreams_.Choose(query, now());
}

void ForwardNode::Send(Request* request, ForwardUpstream* upstream,
                       std::optional<ForwardEnd> previous_end) {
  if (request->attempts == 0) retry_budget_.OnFirstAttempt(request->service);
  ++request->attempts;
  request->upstream = upstream->info.id.name;
  request->tried.push_back(request->upstream);
  request->sent_at = now();
  request->last_event_at = now();
  request->first_event_seen = false;
  request->unread_tokens = request->spec.prompt_tokens;
  upstreams_.OnSent(upstream, request->unread_tokens, now());
  LogRequest(
      LogLevel::kInfo, "sent", *request,
      {{"upstream", request->upstream},
       {"attempt", std::to_string(request->attempts)},
       {"repeat_after",
        previous_end.has_value() ? ToString(*previous_end) : "none"},
       {"limit_units", std::to_string(std::llround(request->limit_units))},
       {"load", std::to_string(upstream->EstimatedLoad(now()))},
       {"report_age_ms", upstream->report.has_value()
                             ? MillisecondsText(now() - upstream->reported_at)
                             : "none"}});
  Emit(forward_action::SendAttempt{
      .id = request->id,
      .upstream = upstream->info.id,
      .address = upstream->info.address,
      .customer = request->customer == nullptr ? "" : request->customer->name,
      .priority = request->priority,
      .deadline = request->deadline,
      .send_before = LatestSend(*request),
      .kind = request->route->kind,
      .reuse_connection = request->route->MayRepeat() && !IsSuspect(*request),
      .last_event_id = request->last_event_id,
      .repeat_after = previous_end});
  ScheduleCheck(request);
}

TimePoint ForwardNode::LatestSend(const Request& request) const {
  const bool key_can_expire = request.customer != nullptr &&
                              options_.key_freshness > Duration::zero() &&
                              tables_proven_at_.has_value();
  if (!key_can_expire) return request.deadline;
  return std::min(request.deadline, KeysHoldUntil());
}

void ForwardNode::Enqueue(Request* request) {
  const auto [it, is_new] = queues_.try_emplace(request->service);
  if (is_new) it->second.Configure(RankFloorTables());
  const Duration wait = std::min<Duration>(
      FromSeconds(kMaxQueueTimeShare * ToSeconds(request->route->target)),
      request->deadline - now());
  QueuedRequest queued;
  queued.id = ToQueueId(request->id);
  queued.customer = request->customer == nullptr ? "" : request->customer->name;
  queued.rank = RankOfPriority(request->priority);
  queued.cost = static_cast<double>(request->spec.prompt_tokens + 1);
  queued.enqueued_at = now();
  queued.latest_start = request->arrived_at + wait;
  if (upstreams_.UsableCount(request->service) == 0 ||
      queued.latest_start <= now()) {
    GiveUp(request, ForwardEnd::kNotSent, "no-upstream");
    return;
  }
  // Reject immediately if the request would wait too long.
  if (it->second.EstimateWait(queued.customer, queued.rank, queued.cost, 0) >
      wait) {
    GiveUp(request, ForwardEnd::kNotSent, "queue-too-long");
    return;
  }
  request->queued = true;
  LogRequest(LogLevel::kInfo, "queued", *request,
             {{"ahead", std::to_string(it->second.size())}});
  it->second.Push(queued);
}

void ForwardNode::Pump(const std::string& service) {
  const auto found = queues_.find(service);
  if (found == queues_.end()) return;
  FairQueue& queue = found->second;
  for (const QueuedRequest& expired : queue.RemoveExpired(now())) {
    Request* request = FindRequest(expired.id.sequence);
    if (request == nullptr) continue;
    request->queued = false;
    GiveUp(request, ForwardEnd::kNotSent, "no-room");
  }
  while (const std::optional<QueuedRequest> next = queue.Peek(now())) {
    Request* request = FindRequest(next->id.sequence);
    if (request == nullptr) {
      queue.Remove(next->id);
      continue;
    }
    ForwardUpstream* upstream = ChooseUpstream(*request);
    if (upstream == nullptr) return;
    queue.Pop(now());
    request->queued = false;
    if (request->customer != nullptr && !KeyIsFresh(now())) {
      GiveUp(request, ForwardEnd::kNotSent, "stale-configuration");
      continue;
    }
    Send(request, upstream);
  }
}

void ForwardNode::PumpAll() {
  for (const auto& [service, queue] : queues_) Pump(service);
}

// Attempts.

void ForwardNode::On(const forward_event::FirstEvent& first) {
  Request* request = FindRequest(first.id);
  if (request == nullptr || request->first_event_seen) return;
  request->first_event_seen = true;
  request->answer_begun = true;
  request->may_have_run = true;
  request->last_event_at = now();
  NotePromptRead(request);
  CountUsage(request, now_.wall);
  const bool late = ToSeconds(now() - request->arrived_at) >
                    kLateTargetShare * ToSeconds(request->route->target);
  CountStream(request->service, late);
  if (ForwardUpstream* upstream = upstreams_.Find(request->upstream)) {
    upstreams_.OnAnswerBegun(
        upstream, now() - request->sent_at <= request->route->target, now());
  }
}

void ForwardNode::On(const forward_event::EventsPassed& forwarded) {
  Request* request = FindRequest(forwarded.id);
  if (request == nullptr) return;
  request->last_event_at = now();
  request->last_event_id = forwarded.last_event_id;
}

void ForwardNode::On(const forward_event::AttemptEnded& ended) {
  Request* request = FindRequest(ended.id);
  if (request == nullptr || request->upstream.empty()) return;
  const std::string upstream = request->upstream;
  if (ended.load.has_value()) {
    if (ForwardUpstream* known = upstreams_.Find(upstream)) {
      upstreams_.OnReport(known, *ended.load, now());
    }
  }
  const bool ran =
      ended.end == ForwardEnd::kCompleted || ended.end == ForwardEnd::kFailed;
  if (ran && request->route->kind != RouteKind::kStreaming) {
    CountUsage(request, now_.wall - (now() - request->sent_at));
    if (ForwardUpstream* known = upstreams_.Find(upstream)) {
      upstreams_.OnAnswerBegun(
          known, now() - request->sent_at <= request->route->target, now());
    }
  }
  if (ended.end == ForwardEnd::kBroken) OnUpstreamLost(*request);
  if (ran) suspects_.OnCompleted(request->fingerprint, now());
  TellSuspects();
  SettleAttempt(request, ended.end);
  LogRequest(LogLevel::kInfo, "attempt_ended", *request,
             {{"upstream", upstream},
              {"end", ToString(ended.end)},
              {"status", std::to_string(ended.status)},
              {"took_ms", MillisecondsText(now() - request->sent_at)}});
  const std::string service = request->service;
  if (ended.end == ForwardEnd::kCompleted) {
    Finish(request);
  } else if (!TryAgain(request, ended.end)) {
    // The upstream's own error response is forwarded to the caller.
    if (ended.end == ForwardEnd::kFailed && !request->answer_begun) {
      Finish(request);
    } else {
      GiveUp(request, ended.end, ToString(ended.end));
    }
  }
  Pump(service);
}

void ForwardNode::NotePromptRead(Request* request) {
  ForwardUpstream* upstream = upstreams_.Find(request->upstream);
  if (upstream != nullptr) {
    upstreams_.OnPromptRead(upstream, request->unread_tokens);
  }
  request->unread_tokens = 0;
}

void ForwardNode::SettleAttempt(Request* request, ForwardEnd end) {
  NotePromptRead(request);
  ForwardUpstream* upstream = upstreams_.Find(request->upstream);
  if (upstream != nullptr) {
    upstreams_.OnEnded(upstream, end, now());
  }
  request->upstream.clear();
  if (end != ForwardEnd::kNotSent && end != ForwardEnd::kRefused) {
    request->may_have_run = true;
    ++request->runs;
  }
}

bool ForwardNode::MayTryAgain(const Request& request) const {
  const ForwardingRoute& route = *request.route;
  if (request.may_have_run && !route.MayRepeat()) return false;
  if (request.runs >= route.max_attempts) return false;
  if (suspects_.RefusedFor(request.fingerprint, now())) return false;
  // Attempts that did not run do not count as runs, so their total number is
  // bounded separately.
  if (request.attempts > route.max_attempts) return false;
  return now() < request.deadline;
}

bool ForwardNode::TryAgain(Request* request, ForwardEnd end) {
  if (!MayTryAgain(*request)) return false;
  if (request->customer != nullptr && !KeyIsFresh(now())) return false;
  ForwardUpstream* upstream = ChooseUpstream(*request);
  if (upstream == nullptr) return false;
  // An attempt that reached no upstream added no load, so retrying it does not
  // use the retry budget.
  if (end != ForwardEnd::kNotSent && !retry_budget_.TryTake(request->service)) {
    LogRequest(LogLevel::kInfo, "retry_denied", *request,
               {{"reason", "budget"}, {"after", ToString(end)}});
    return false;
  }
  Send(request, upstream, end);
  return true;
}

void ForwardNode::GiveUp(Request* request, ForwardEnd end,
                         const std::string& reason) {
  const bool not_run = !request->may_have_run &&
                       (end == ForwardEnd::kNotSent ||
                        end == ForwardEnd::kRefused || request->attempts == 0);
  if (not_run && !request->answer_begun) {
    const bool is_stream = request->route->kind == RouteKind::kStreaming;
    if (is_stream) CountStream(request->service, true);
    Refuse(request, NotRun{503, reason, "no upstream could accept the request",
                           kDefaultRetryAfter});
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

void ForwardNode::Refuse(Request* request, NotRun not_run) {
  if (not_run.http_status == 429 || not_run.http_status == 503) {
    not_run.retry_after = SpreadRetryAfter(not_run.retry_after, *request);
  }
  LogRequest(
      LogLevel::kInfo, "refused", *request,
      {{"status", std::to_string(not_run.http_status)},
       {"reason", not_run.type},
       {"retry_after_ms", MillisecondsText(not_run.retry_after)},
       {"attempts", std::to_string(request->attempts)},
       {"tables_version",
        request->index == nullptr
            ? "none"
            : std::to_string(request->index->tables().version)},
       {"tables_age_ms", tables_proven_at_.has_value()
                             ? MillisecondsText(now() - *tables_proven_at_)
                             : "never"}});
  if (request->limit_units > 0) {
    limits_.Return(request->customer->name, request->limit_units);
  }
  Emit(forward_action::Refuse{request->id, std::move(not_run)});
  Forget(request);
}

void ForwardNode::Fail(Request* request, int status,
                       const std::string& reason) {
  LogRequest(LogLevel::kWarn, "failed", *request,
             {{"status", std::to_string(status)},
              {"reason", reason},
              {"attempts", std::to_string(request->attempts)},
              {"answer_begun", request->answer_begun ? "yes" : "no"}});
  Emit(forward_action::Fail{request->id, status, reason});
  Forget(request);
}

void ForwardNode::Finish(Request* request) {
  LogRequest(LogLevel::kInfo, "answered", *request,
             {{"attempts", std::to_string(request->attempts)},
              {"took_ms", MillisecondsText(now() - request->arrived_at)}});
  Emit(forward_action::Deliver{request->id});
  Forget(request);
}

void ForwardNode::Forget(Request* request) {
  if (request->queued) {
    queues_.at(request->service).Remove(ToQueueId(request->id));
  }
  requests_.erase(request->id);
}

void ForwardNode::On(const forward_event::CallerLeft& disconnected) {
  Request* request = FindRequest(disconnected.id);
  if (request == nullptr) return;
  const std::string service = request->service;
  if (!request->upstream.empty()) {
    Emit(forward_action::CancelAttempt{request->id});
    SettleAttempt(request, ForwardEnd::kMoved);
  }
  LogRequest(LogLevel::kInfo, "caller_left", *request,
             {{"took_ms", MillisecondsText(now() - request->arrived_at)}});
  Forget(request);
  Pump(service);
}

}  // namespace pollenledge
