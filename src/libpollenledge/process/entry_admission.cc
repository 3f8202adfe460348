// The part of EntryNode that handles a request from its arrival to its
// dispatch: admission, queueing, routing and claims.

#include <algorithm>
#include <utility>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {
namespace {

// Assumed maximum length of a response, in tokens, if the request sets none or
// while the mean length in its pool is unknown.
constexpr std::int64_t kDefaultResponseTokens = 256;
// Assumed cost of one call of a plain service, in tokens.
constexpr double kServiceCallCostTokens = 64;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
constexpr Duration kDrainRetryAfter = std::chrono::seconds(1);
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(2);
// Share of the first-token target during which a request below the urgent rank
// waits for the cheapest instances before it uses more expensive ones.
constexpr double kCheapestOnlyTargetShare = 0.25;
// A request is admitted if its expected queue time is within this share of the
// first-token target. The rest allows for errors of the estimate.
constexpr double kAdmissionTargetShare = 0.75;
// Assumed minimum prefill rate of an engine, in prompt tokens per second. Used
// to estimate how long before its target a request must leave the queue.
constexpr double kMinPrefillTokensPerSecond = 4000;
// Assumed time to send a request to its upstream. Part of the same estimate.
constexpr Duration kDispatchLatency = std::chrono::milliseconds(20);
// Number of requests that cannot be dispatched at which one pass over the queue
// stops, even if later requests may be dispatched before them.
constexpr std::size_t kMaxBypassedRequests = 8;

NotRun Reject(int status, std::string type, std::string detail,
              Duration retry_after = Duration(0)) {
  return NotRun{status, std::move(type), std::move(detail), retry_after};
}

}  // namespace

void EntryNode::On(const event::RequestArrived& arrival) {
  const Route* route = nullptr;
  std::optional<NotRun> rejection = ValidateAndRoute(arrival.spec, &route);
  RequestState request;
  request.id = arrival.id;
  request.spec = arrival.spec;
  request.tables = tables_;
  request.route = route;
  request.arrived_at = now();
  if (!rejection.has_value()) {
    request.predicted_cost = PredictCost(arrival.spec, *route);
    rejection = CheckLoadAndLimit(request);
  }
  if (route != nullptr) {
    ++stats_.ForRank(route->rank).arrived;
    slot_reserves_[route->pool].OnArrival(route->rank, now());
  }
  if (rejection.has_value()) {
    if (route != nullptr) ++stats_.ForRank(route->rank).not_run;
    RecordTimeLineEvent(EventKind::kRejected, &request,
                        rejection->problem_type);
    Emit(action::ReportOutcome{arrival.id, *rejection});
    return;
  }
  if (!route->idempotent) {
    request.claim_key = ClaimKey(request.spec.customer, route->name,
                                 request.spec.idempotency_key);
  }
  const std::string pool = route->pool;
  RecordTimeLineEvent(EventKind::kAdmitted, &request, "route " + route->name);
  RequestState& kept =
      requests_.emplace(arrival.id, std::move(request)).first->second;
  Enqueue(&kept, false);
  DispatchQueued(pool);
}

std::optional<NotRun> EntryNode::ValidateAndRoute(const RequestSpec& spec,
                                                  const Route** route) {
  if (tables_ == nullptr) {
    return Reject(503, "not-configured", "this entry has no tables yet",
                  kNotReadyRetryAfter);
  }
  if (draining() && now() >= *drain_started_at_ + kDrainGracePeriod) {
    return Reject(503, "draining",
                  "this entry is draining; send the request to another entry",
                  kDrainRetryAfter);
  }
  *route = spec.kind == WorkKind::kModel
               ? tables_->FindModelRoute(spec.customer, spec.model, spec.rank)
               : tables_->FindRoute(spec.route);
  if (*route == nullptr || (*route)->kind != spec.kind) {
    *route = nullptr;
    const std::string target = spec.kind == WorkKind::kModel
                                   ? "model \"" + spec.model + "\""
                                   : "route \"" + spec.route + "\"";
    return Reject(404, "unknown-route",
                  "no route for " + target + " and this customer");
  }
  if (!(*route)->Admits(spec.customer)) {
    return Reject(403, "not-allowed",
                  "route \"" + (*route)->name +
                      "\" does not admit customer \"" + spec.customer + "\"");
  }
  if (auto rejection = CheckSuspects(spec)) return rejection;
  if (!(*route)->idempotent) return CheckClaimPreconditions(spec, **route);
  return std::nullopt;
}

std::optional<NotRun> EntryNode::CheckSuspects(const RequestSpec& spec) {
  if (crash_suspects_.size() == 0) return std::nullopt;
  const std::vector<Fingerprint> suspects = SuspectsOf(spec);
  const auto remaining = crash_suspects_.RemainingRejection(suspects, now());
  if (!remaining.has_value()) return std::nullopt;
  crash_suspects_.OnRequestRejected(suspects, now());
  return Reject(422, "quarantined",
                "the connections to the upstreams that ran this request or a "
                "prefix of its prompt were lost; it is rejected until the "
                "quarantine ends",
                *remaining);
}

std::optional<NotRun> EntryNode::CheckClaimPreconditions(
    const RequestSpec& spec, const Route& route) {
  if (spec.idempotency_key.empty()) {
    return Reject(400, "key-missing",
                  "route \"" + route.name +
                      "\" is not idempotent: send an Idempotency-Key");
  }
  if (route.key_format == KeyFormat::kUuidV7) {
    const std::optional<WallTime> key_time =
        ParseUuidV7Time(spec.idempotency_key);
    if (!key_time.has_value()) {
      return Reject(
          400, "key-format",
          "route \"" + route.name + "\" accepts only UUID version 7 keys");
    }
    if (*key_time < now_.wall - route.key_retention) {
      return Reject(422, "key-expired",
                    "the Idempotency-Key is older than the key retention time; "
                    "whether the request ran before is unknown");
    }
  }
  if (pending_outcomes_.full()) {
    return Reject(
        503, "claim-unavailable",
        "too many outcomes are waiting to be written to the key-value "
        "service",
        kClaimRetryAfter);
  }
  return std::nullopt;
}

std::optional<NotRun> EntryNode::CheckLoadAndLimit(
    const RequestState& request) {
  if (requests_.size() >= options_.max_active_requests) {
    return Reject(503, "overloaded",
                  "this entry has reached its maximum number of requests",
                  kOverloadRetryAfter);
  }
  const Route& route = *request.route;
  const std::string& customer = request.spec.customer;
  const FairQueue& queue = queues_[route.pool];
  const Duration wait =
      queue.EstimateWait(customer, route.rank, request.predicted_cost,
                         LocalServiceRate(route.pool));
  const Duration target = tables_->policy(route.rank).first_token_target;
  if (ToSeconds(wait) > kAdmissionTargetShare * ToSeconds(target)) {
    return Reject(503, "overloaded",
                  "rank " + std::string(ToString(route.rank)) +
                      " cannot currently be served within its latency target",
                  std::max(kOverloadRetryAfter, wait));
  }
  const std::optional<Duration> over_limit =
      limit_shares_.Acquire(customer, request.predicted_cost, now());
  if (over_limit.has_value()) {
    return Reject(429, "limit",
                  "customer \"" + customer + "\" has exceeded its limit",
                  *over_limit);
  }
  return std::nullopt;
}

double EntryNode::PredictCost(const RequestSpec& spec, const Route& route) {
  if (route.kind == WorkKind::kService) return kServiceCallCostTokens;
  const double mean_tokens = pool_averages_[route.pool].mean_response_tokens;
  const std::int64_t max_tokens =
      spec.max_tokens > 0 ? spec.max_tokens : kDefaultResponseTokens;
  const double response_tokens =
      mean_tokens > 0
          ? std::min(mean_tokens, static_cast<double>(max_tokens))
          : static_cast<double>(std::min(max_tokens, kDefaultResponseTokens));
  return static_cast<double>(spec.prompt_tokens) + response_tokens;
}

double EntryNode::LocalSlotShare(const std::string& pool) const {
  double slots = 0;
  for (const UpstreamTable::PriceClass& price_class :
       upstreams_.PriceClassesOf(pool)) {
    slots += static_cast<double>(price_class.slots);
  }
  return slots / LiveEntries().count;
}

double EntryNode::LocalServiceRate(const std::string& pool) {
  const PoolAverages& averages = pool_averages_[pool];
  if (averages.mean_slot_time_s <= 0) return 0;
  return LocalSlotShare(pool) * averages.mean_cost_tokens /
         averages.mean_slot_time_s;
}

bool EntryNode::MayStart(const RequestState& request,
                         const RoutingChoice& choice) {
  if (request.attempt > 0 || request.claim_revision.has_value()) return true;
  const std::string& pool = request.route->pool;
  if (slot_reserves_[pool].MayStart(request.route->rank, LocalSlotShare(pool),
                                    request.tables->ranks, now())) {
    return true;
  }
  // Slots that other entries leave idle may be used beyond the local share: an
  // upstream below half load counts as idle.
  const UpstreamEntry* entry = upstreams_.Find(choice.upstream);
  return entry->load.EstimatedRequests(LiveEntries().count) * 2 <
         entry->info.slots;
}

void EntryNode::Enqueue(RequestState* request, bool at_front) {
  request->phase = RequestPhase::kQueued;
  request->upstream.reset();
  QueuedRequest queued;
  queued.id = request->id;
  queued.customer = request->spec.customer;
  queued.rank = request->route->rank;
  queued.cost = request->predicted_cost;
  queued.enqueued_at = now();
  const Duration target =
      request->tables->policy(request->route->rank).first_token_target;
  const Duration first_token_estimate =
      kDispatchLatency +
      FromSeconds(static_cast<double>(request->spec.prompt_tokens) /
                  kMinPrefillTokensPerSecond);
  // A request that was dispatched before is accepted work in progress, so it
  // may wait longer than one that has not started.
  queued.latest_start =
      request->attempt == 0
          ? request->arrived_at +
                std::max(target / 2, target - first_token_estimate)
          : now() + kResumeTimeout;
  FairQueue& queue = queues_[request->route->pool];
  if (at_front) {
    queue.Requeue(queued);
  } else {
    queue.Push(queued);
  }
}

void EntryNode::DispatchAllQueued() {
  for (auto& [pool, queue] : queues_) DispatchQueued(pool);
}

void EntryNode::DispatchQueued(const std::string& pool) {
  FairQueue& queue = queues_[pool];
  // A suspect may have to wait for an upstream without other suspects, and a
  // request below the urgent rank for one of the cheapest upstreams. Later
  // requests may be dispatched before them.
  std::vector<QueuedRequest> waiting;
  while (true) {
    const std::optional<QueuedRequest> next = queue.Pop(now());
    if (!next.has_value()) break;
    RequestState* request = FindRequest(next->id);
    if (request == nullptr) continue;
    if (request->attempt == 0) {
      const auto rejection = CheckSuspects(request->spec);
      if (rejection.has_value()) {
        Finish(request, *rejection);
        continue;
      }
    }
    const bool needs_claim =
        !request->route->idempotent && !request->claim_revision.has_value();
    const RoutingRequest routing = MakeRoutingRequest(*request);
    const std::optional<RoutingChoice> choice = ChooseUpstream(routing);
    if (!choice.has_value() || !MayStart(*request, *choice)) {
      waiting.push_back(*next);
      const bool allow_bypass = routing.isolate || routing.cheapest_only;
      if (allow_bypass && waiting.size() < kMaxBypassedRequests) continue;
      break;
    }
    if (needs_claim) {
      StartClaim(request);
    } else {
      Dispatch(request, *choice);
    }
  }
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
    queue.Requeue(*it);
  }
}

std::optional<RoutingChoice> EntryNode::ChooseUpstream(RoutingRequest routing) {
  auto choice =
      router_.Choose(routing, upstreams_, prefix_index_, LiveEntries(), now());
  if (!choice.has_value() && routing.isolate) {
    // All upstreams that are assigned to this entry may be lost.
    routing.isolate_on_any_upstream = true;
    choice = router_.Choose(routing, upstreams_, prefix_index_, LiveEntries(),
                            now());
  }
  if (choice.has_value() || routing.excluded_upstreams.empty()) return choice;
  // An upstream where an earlier attempt failed is preferable to none.
  routing.excluded_upstreams.clear();
  return router_.Choose(routing, upstreams_, prefix_index_, LiveEntries(),
                        now());
}

RoutingRequest EntryNode::MakeRoutingRequest(
    const RequestState& request) const {
  RoutingRequest routing;
  routing.pool = request.route->pool;
  routing.prompt_tokens = request.spec.prompt_tokens + request.delivered_tokens;
  routing.prefix_hashes = &request.spec.prefix_hashes;
  routing.policy = request.tables->policy(request.route->rank);
  routing.time_in_queue = now() - request.arrived_at;
  routing.isolate = IsSuspect(request);
  const double cheapest_only_s =
      kCheapestOnlyTargetShare * ToSeconds(routing.policy.first_token_target);
  routing.cheapest_only = request.route->rank != Rank::kUrgent &&
                          request.attempt == 0 &&
                          ToSeconds(routing.time_in_queue) < cheapest_only_s;
  routing.preferred_upstream = request.preferred_upstream;
  routing.excluded_upstreams = request.excluded_upstreams;
  return routing;
}

void EntryNode::Dispatch(RequestState* request, const RoutingChoice& choice) {
  UpstreamEntry* entry = upstreams_.Find(choice.upstream);
  request->phase = RequestPhase::kRunning;
  request->upstream = choice.upstream;
  request->latency_prediction = choice.prediction;
  request->expected_cached_tokens = choice.cached_tokens;
  request->dispatched_at = now();
  request->attempt_has_token = false;
  request->interrupt_requested = false;
  request->preferred_upstream.reset();
  request->dispatched_as_suspect = IsSuspect(*request);
  if (request->dispatched_as_suspect) ++entry->suspect_requests;
  ++request->attempt;
  ++stats_.attempts;
  if (request->attempt == 1) retry_budget_.OnFirstAttempt(request->route->pool);
  entry->load.OnDispatch(now());
  slot_reserves_[request->route->pool].OnStart(request->route->rank);
  RecordTimeLineEvent(
      EventKind::kDispatched, request,
      "to " + entry->info.id.name + " in " + entry->info.domain);
  action::Dispatch dispatch;
  dispatch.id = request->id;
  dispatch.attempt = request->attempt;
  dispatch.upstream = entry->info.id;
  dispatch.address = entry->info.address;
  dispatch.rank = request->route->rank;
  dispatch.kind = request->route->kind;
  dispatch.idempotent = request->route->idempotent;
  dispatch.resume = {request->delivered_tokens,
                     std::exchange(request->kv_source, "")};
  Emit(dispatch);
}

void EntryNode::StartClaim(RequestState* request) {
  request->phase = RequestPhase::kClaiming;
  request->claim_negotiation.emplace(request->id, request->spec.body_sha256,
                                     now() + kClaimTimeout);
  ApplyClaimStep(request, request->claim_negotiation->Start(), std::nullopt);
}

void EntryNode::ApplyClaimStep(RequestState* request, const ClaimStep& step,
                               std::optional<std::int64_t> owned_revision) {
  std::visit(
      Overloaded{
          [&](const WriteClaim& write) {
            request->claim_reply_pending = true;
            Emit(action::WriteClaimRecord{request->id, request->claim_key,
                                          write,
                                          request->route->key_retention});
          },
          [&](const ReadClaim&) {
            request->claim_reply_pending = true;
            Emit(action::ReadClaimRecord{request->id, request->claim_key});
          },
          [&](const ClaimOwnerQuery& query) {
            ResolveClaimOwner(request, query.owner);
          },
          [&](const ClaimGranted& granted) {
            request->claim_revision = granted.mod_revision;
            RecordTimeLineEvent(EventKind::kClaimed, request, "");
            Enqueue(request, true);
            DispatchQueued(request->route->pool);
          },
          [&](const ReplayResponse& replay) {
            RecordTimeLineEvent(EventKind::kAnswered, request,
                                "recorded response");
            Emit(action::ReplayResponse{request->id, replay.record});
            RemoveRequest(request);
          },
          [&](const ClaimDenied& denied) {
            request->claim_revision = owned_revision;
            request->phase = RequestPhase::kFinalizing;
            Finish(request, denied.outcome);
          },
      },
      step);
}

void EntryNode::ResolveClaimOwner(RequestState* request,
                                  const RequestId& owner) {
  std::optional<ClaimOwnerResponse> status;
  if (owner.node.name == options_.self.id.name) status = QueryClaimOwner(owner);
  std::string address;
  for (const Member& member : membership_.Others(now())) {
    const MemberRecord& record = member.record;
    if (record.id.name != owner.node.name) continue;
    address = record.peer_address;
    // The owner's process was restarted, so its incarnation no longer exists.
    if (record.id.incarnation > owner.node.incarnation) {
      status = ClaimOwnerResponse{ClaimOwnerStatus::kIncarnationChanged,
                                  std::nullopt};
    }
  }
  if (!status.has_value()) {
    Emit(action::QueryClaimOwner{request->id, owner, address});
    return;
  }
  ApplyClaimStep(request,
                 request->claim_negotiation->OnOwnerResponse(*status, now()),
                 std::nullopt);
}

void EntryNode::On(const event::ClaimReplyReceived& received) {
  RequestState* request = FindRequest(received.id);
  std::optional<std::int64_t> owned_revision;
  if (const auto* written = std::get_if<ClaimWritten>(&received.reply)) {
    owned_revision = written->mod_revision;
  }
  const auto* exists = std::get_if<ClaimExists>(&received.reply);
  if (exists != nullptr && exists->current.record.owner == received.id) {
    owned_revision = exists->current.mod_revision;
  }
  const bool is_claiming =
      request != nullptr && request->phase == RequestPhase::kClaiming;
  if (is_claiming) {
    request->claim_reply_pending = false;
    ApplyClaimStep(request,
                   request->claim_negotiation->OnReply(received.reply, now()),
                   owned_revision);
    return;
  }
  // The request ended while the claim write was in flight. It will never run,
  // so the record is updated to "not run".
  const auto orphaned = orphaned_claims_.find(received.id);
  if (orphaned == orphaned_claims_.end()) return;
  if (owned_revision.has_value()) {
    ClaimRecord record;
    record.state = ClaimRecord::State::kNotRun;
    record.owner = received.id;
    record.body_sha256 = orphaned->second.body_sha256;
    Emit(pending_outcomes_.Add(received.id, orphaned->second.key, record,
                               *owned_revision, orphaned->second.retention,
                               now()));
  }
  orphaned_claims_.erase(orphaned);
}

void EntryNode::On(const event::ClaimOwnerReplied& received) {
  RequestState* request = FindRequest(received.id);
  if (request == nullptr || request->phase != RequestPhase::kClaiming) return;
  ApplyClaimStep(
      request,
      request->claim_negotiation->OnOwnerResponse(received.reply, now()),
      std::nullopt);
}

void EntryNode::On(const event::OutcomeWritten& written) {
  pending_outcomes_.OnWritten(written.id, written.ok, now());
}

void EntryNode::On(const event::CallerDisconnected& disconnect) {
  RequestState* request = FindRequest(disconnect.id);
  if (request == nullptr) return;
  request->caller_disconnected = true;
  switch (request->phase) {
    case RequestPhase::kQueued:
      queues_[request->route->pool].Remove(disconnect.id);
      RecordOutcome(*request, NotRun{}, std::nullopt);
      RemoveRequest(request);
      return;
    case RequestPhase::kClaiming:
      RemoveRequest(request);
      return;
    case RequestPhase::kFinalizing:
      return;
    case RequestPhase::kRunning:
      // A non-idempotent request continues, so that a retry with the same key
      // finds its outcome.
      if (request->route->idempotent) InterruptAttempt(request);
      return;
  }
}

void EntryNode::ExpireQueued() {
  for (auto& [pool, queue] : queues_) {
    for (const QueuedRequest& expired : queue.RemoveExpired(now())) {
      RequestState* request = FindRequest(expired.id);
      if (request == nullptr) continue;
      request->phase = RequestPhase::kFinalizing;
      const Duration wait = queue.EstimateWait(
          expired.customer, expired.rank, expired.cost, LocalServiceRate(pool));
      const Duration retry_after = std::max(kOverloadRetryAfter, wait);
      const std::string detail =
          request->attempt > 0
              ? "no other upstream had a free slot in time"
              : "no upstream had a free slot within the latency target of "
                "rank " +
                    std::string(ToString(expired.rank));
      Finish(request, Reject(503, "overloaded", detail, retry_after));
    }
  }
}

}  // namespace pollenledge
