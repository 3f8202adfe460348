// The part of EntryNode between a request's arrival and its dispatch.

#include <algorithm>
#include <utility>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {
namespace {

constexpr std::int64_t kDefaultAnswerTokens = 256;
constexpr double kServiceCallCost = 64;  // A plain service's call, in tokens.
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
constexpr Duration kDrainRetryAfter = std::chrono::seconds(1);
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(2);
// Part of the first-token target for which less urgent work waits for the
// cheapest instances before it takes dearer ones.
constexpr double kPatienceShare = 0.25;
// Part of the first-token target that a request may be expected to wait when
// it is admitted; the rest is for what the estimate misses.
constexpr double kAdmissionShare = 0.75;
// Prompt tokens a second that an engine is assumed to read at the least, for
// the time a request still needs when it leaves the queue.
constexpr double kSlowestPrefill = 4000;
constexpr Duration kDispatchTime = std::chrono::milliseconds(20);
// Requests that others may pass in one go through the queue.
constexpr std::size_t kMaxPassed = 8;

NotRun Refuse(int status, std::string type, std::string detail,
              Duration retry_after = Duration(0)) {
  return NotRun{status, std::move(type), std::move(detail), retry_after};
}

}  // namespace

void EntryNode::On(const event::RequestArrived& arrived) {
  const Route* route = nullptr;
  std::optional<NotRun> refusal = CheckArrival(arrived.spec, &route);
  RequestState request;
  request.id = arrived.id;
  request.spec = arrived.spec;
  request.tables = tables_;
  request.route = route;
  request.arrived_at = now();
  if (!refusal.has_value()) {
    request.predicted_cost = PredictCost(arrived.spec, *route);
    refusal = CheckLoad(request);
  }
  if (route != nullptr) {
    ++stats_.of(route->rank).arrived;
    reserves_[route->pool].OnArrival(route->rank, now());
  }
  if (refusal.has_value()) {
    if (route != nullptr) ++stats_.of(route->rank).not_run;
    Note(EventKind::kRejected, &request, refusal->type);
    Emit(action::Answer{arrived.id, *refusal});
    return;
  }
  if (!route->idempotent) {
    request.claim_key = ClaimKey(request.spec.customer, route->name,
                                 request.spec.idempotency_key);
  }
  const std::string pool = route->pool;
  Note(EventKind::kAdmitted, &request, "route " + route->name);
  RequestState& kept =
      requests_.emplace(arrived.id, std::move(request)).first->second;
  Enqueue(&kept, false);
  Pump(pool);
}

std::optional<NotRun> EntryNode::CheckArrival(const RequestSpec& spec,
                                              const Route** route) {
  if (tables_ == nullptr) {
    return Refuse(503, "not-configured", "this entry has no tables yet",
                  kNotReadyRetryAfter);
  }
  if (draining() && now() >= *drain_started_ + kDrainGrace) {
    return Refuse(503, "draining", "this entry stops; send to another",
                  kDrainRetryAfter);
  }
  *route = spec.kind == WorkKind::kModel
               ? tables_->MatchModel(spec.customer, spec.model, spec.rank)
               : tables_->FindRoute(spec.route);
  if (*route == nullptr || (*route)->kind != spec.kind) {
    *route = nullptr;
    const std::string asked = spec.kind == WorkKind::kModel
                                  ? "model \"" + spec.model + "\""
                                  : "route \"" + spec.route + "\"";
    return Refuse(404, "unknown-route",
                  "no route for " + asked + " and this customer");
  }
  if (!(*route)->Admits(spec.customer)) {
    return Refuse(403, "not-allowed",
                  "route \"" + (*route)->name +
                      "\" does not admit customer \"" + spec.customer + "\"");
  }
  const auto quarantined = suspects_.RefusedFor(spec.fingerprint, now());
  if (quarantined.has_value()) {
    return Refuse(422, "quarantined",
                  "upstreams that ran this request were lost; it is not run "
                  "again for a while",
                  *quarantined);
  }
  if (!(*route)->idempotent) return CheckClaimable(spec, **route);
  return std::nullopt;
}

std::optional<NotRun> EntryNode::CheckClaimable(const RequestSpec& spec,
                                                const Route& route) {
  if (spec.idempotency_key.empty()) {
    return Refuse(400, "key-missing",
                  "route \"" + route.name +
                      "\" is not idempotent: send an Idempotency-Key");
  }
  if (route.key_format == KeyFormat::kUuidV7) {
    const std::optional<WallTime> made = UuidV7Time(spec.idempotency_key);
    if (!made.has_value()) {
      return Refuse(
          400, "key-format",
          "route \"" + route.name + "\" takes UUID version 7 keys only");
    }
    if (*made < now_.wall - route.key_retention) {
      return Refuse(422, "key-expired",
                    "the Idempotency-Key is older than keys are remembered; "
                    "whether it ran before is no longer known");
    }
  }
  if (outcomes_.full()) {
    return Refuse(503, "claim-unavailable",
                  "too many outcomes wait for the key-value service",
                  kClaimRetryAfter);
  }
  return std::nullopt;
}

std::optional<NotRun> EntryNode::CheckLoad(const RequestState& request) {
  if (requests_.size() >= options_.max_requests) {
    return Refuse(503, "overloaded", "this entry is full", kOverloadRetryAfter);
  }
  const Route& route = *request.route;
  const std::string& customer = request.spec.customer;
  const FairQueue& queue = queues_[route.pool];
  const Duration wait = queue.EstimateWait(
      customer, route.rank, request.predicted_cost, CapacityRate(route.pool));
  const Duration target = tables_->policy(route.rank).first_token_target;
  if (ToSeconds(wait) > kAdmissionShare * ToSeconds(target)) {
    return Refuse(503, "overloaded",
                  "rank " + std::string(ToString(route.rank)) +
                      " cannot be served within its target now",
                  std::max(kOverloadRetryAfter, wait));
  }
  const std::optional<Duration> over_limit =
      limit_shares_.Take(customer, request.predicted_cost, now());
  if (over_limit.has_value()) {
    return Refuse(429, "limit",
                  "customer \"" + customer + "\" is over its limit",
                  *over_limit);
  }
  return std::nullopt;
}

double EntryNode::PredictCost(const RequestSpec& spec, const Route& route) {
  if (route.kind == WorkKind::kService) return kServiceCallCost;
  const double mean = experience_[route.pool].mean_answer;
  const std::int64_t cap =
      spec.max_tokens > 0 ? spec.max_tokens : kDefaultAnswerTokens;
  const double answer =
      mean > 0 ? std::min(mean, static_cast<double>(cap))
               : static_cast<double>(std::min(cap, kDefaultAnswerTokens));
  return static_cast<double>(spec.prompt_tokens) + answer;
}

double EntryNode::OwnSlots(const std::string& pool) const {
  double slots = 0;
  for (const UpstreamTable::PriceClass& price_class :
       upstreams_.ClassesOf(pool)) {
    slots += static_cast<double>(price_class.slots);
  }
  return slots / Entries().count;
}

double EntryNode::CapacityRate(const std::string& pool) {
  const PoolExperience& experience = experience_[pool];
  if (experience.mean_hold_s <= 0) return 0;
  return OwnSlots(pool) * experience.mean_cost / experience.mean_hold_s;
}

bool EntryNode::MayStart(const RequestState& request,
                         const RoutingChoice& choice) {
  if (request.attempt > 0 || request.claim_revision.has_value()) return true;
  const std::string& pool = request.route->pool;
  if (reserves_[pool].MayStart(request.route->rank, OwnSlots(pool),
                               request.tables->ranks, now())) {
    return true;
  }
  // Slots that other entries leave idle are lent beyond this one's part.
  const UpstreamEntry* entry = upstreams_.Find(choice.upstream);
  return entry->load.EstimatedRequests(Entries().count) * 2 < entry->info.slots;
}

void EntryNode::Enqueue(RequestState* request, bool in_front) {
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
  // A request that was dispatched once is accepted work that goes on; it waits
  // longer than one that has not begun.
  const Duration needed =
      kDispatchTime +
      FromSeconds(static_cast<double>(request->spec.prompt_tokens) /
                  kSlowestPrefill);
  queued.latest_start =
      request->attempt == 0
          ? request->arrived_at + std::max(target / 2, target - needed)
          : now() + kResumePatience;
  FairQueue& queue = queues_[request->route->pool];
  if (in_front) {
    queue.Return(queued);
  } else {
    queue.Push(queued);
  }
}

void EntryNode::PumpAll() {
  for (auto& [pool, queue] : queues_) Pump(pool);
}

void EntryNode::Pump(const std::string& pool) {
  FairQueue& queue = queues_[pool];
  // Suspects may have to wait for an upstream of their own; the others pass
  // them.
  std::vector<QueuedRequest> waiting;
  while (true) {
    const std::optional<QueuedRequest> next = queue.Pop(now());
    if (!next.has_value()) break;
    RequestState* request = FindRequest(next->id);
    if (request == nullptr) continue;
    const bool needs_claim =
        !request->route->idempotent && !request->claim_revision.has_value();
    const RoutingRequest routing = MakeRoutingRequest(*request);
    const std::optional<RoutingChoice> choice = ChooseUpstream(routing);
    if (!choice.has_value() || !MayStart(*request, *choice)) {
      waiting.push_back(*next);
      const bool others_may_go = routing.isolate || routing.cheapest_only;
      if (others_may_go && waiting.size() < kMaxPassed) continue;
      break;
    }
    if (needs_claim) {
      StartClaim(request);
    } else {
      Dispatch(request, *choice);
    }
  }
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
    queue.Return(*it);
  }
}

std::optional<RoutingChoice> EntryNode::ChooseUpstream(RoutingRequest routing) {
  auto choice =
      router_.Choose(routing, upstreams_, prefixes_, Entries(), now());
  if (!choice.has_value() && routing.isolate) {
    // The upstreams that are dealt out to this entry may all be lost.
    routing.isolate_anywhere = true;
    choice = router_.Choose(routing, upstreams_, prefixes_, Entries(), now());
  }
  if (choice.has_value() || routing.exclude.empty()) return choice;
  // Better an upstream that failed before than none.
  routing.exclude.clear();
  return router_.Choose(routing, upstreams_, prefixes_, Entries(), now());
}

RoutingRequest EntryNode::MakeRoutingRequest(
    const RequestState& request) const {
  RoutingRequest routing;
  routing.pool = request.route->pool;
  routing.prompt_tokens = request.spec.prompt_tokens + request.delivered_tokens;
  routing.prefix_hashes = &request.spec.prefix_hashes;
  routing.policy = request.tables->policy(request.route->rank);
  routing.waited = now() - request.arrived_at;
  routing.isolate = IsSuspect(request);
  const double patience =
      kPatienceShare * ToSeconds(routing.policy.first_token_target);
  routing.cheapest_only = request.route->rank != Rank::kUrgent &&
                          request.attempt == 0 &&
                          ToSeconds(routing.waited) < patience;
  routing.prefer = request.prefer;
  routing.exclude = request.exclude;
  return routing;
}

void EntryNode::Dispatch(RequestState* request, const RoutingChoice& choice) {
  UpstreamEntry* entry = upstreams_.Find(choice.upstream);
  request->phase = RequestPhase::kRunning;
  request->upstream = choice.upstream;
  request->prediction = choice.prediction;
  request->expected_cached_tokens = choice.cached_tokens;
  request->dispatched_at = now();
  request->attempt_has_token = false;
  request->interrupting = false;
  request->prefer.reset();
  request->runs_as_suspect = IsSuspect(*request);
  if (request->runs_as_suspect) ++entry->suspects;
  ++request->attempt;
  ++stats_.attempts;
  if (request->attempt == 1) retry_budget_.OnFirstAttempt(request->route->pool);
  entry->load.OnDispatch(now());
  reserves_[request->route->pool].OnStart(request->route->rank);
  Note(EventKind::kDispatched, request,
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
  request->claim.emplace(request->id, request->spec.body_sha256,
                         now() + kClaimTimeout);
  TakeClaimStep(request, request->claim->Start(), std::nullopt);
}

void EntryNode::TakeClaimStep(RequestState* request, const ClaimStep& step,
                              std::optional<std::int64_t> held_revision) {
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
          [&](const AskHolder& ask) { AskHolderOfClaim(request, ask.holder); },
          [&](const ClaimGranted& granted) {
            request->claim_revision = granted.mod_revision;
            Note(EventKind::kClaimed, request, "");
            Enqueue(request, true);
            Pump(request->route->pool);
          },
          [&](const ReplayAnswer& replay) {
            Note(EventKind::kAnswered, request, "recorded answer");
            Emit(action::Replay{request->id, replay.record});
            Forget(request);
          },
          [&](const ClaimDenied& denied) {
            request->claim_revision = held_revision;
            request->phase = RequestPhase::kEnding;
            Finish(request, denied.outcome);
          },
      },
      step);
}

void EntryNode::AskHolderOfClaim(RequestState* request,
                                 const RequestId& holder) {
  std::optional<HolderAnswer> known;
  if (holder.node.name == options_.self.id.name) known = QueryHolder(holder);
  std::string address;
  for (const Member& member : membership_.Others(now())) {
    const MemberRecord& record = member.record;
    if (record.id.name != holder.node.name) continue;
    address = record.peer_address;
    // The holder's process was replaced: its incarnation is no more.
    if (record.id.incarnation > holder.node.incarnation) {
      known = HolderAnswer{HolderWord::kNotMine, std::nullopt};
    }
  }
  if (!known.has_value()) {
    Emit(action::AskClaimHolder{request->id, holder, address});
    return;
  }
  TakeClaimStep(request, request->claim->OnHolderAnswer(*known, now()),
                std::nullopt);
}

void EntryNode::On(const event::ClaimReplied& replied) {
  RequestState* request = FindRequest(replied.id);
  std::optional<std::int64_t> held_revision;
  if (const auto* written = std::get_if<ClaimWritten>(&replied.reply)) {
    held_revision = written->mod_revision;
  }
  const auto* exists = std::get_if<ClaimExists>(&replied.reply);
  if (exists != nullptr && exists->current.record.holder == replied.id) {
    held_revision = exists->current.mod_revision;
  }
  const bool negotiating =
      request != nullptr && request->phase == RequestPhase::kClaiming;
  if (negotiating) {
    request->claim_reply_pending = false;
    TakeClaimStep(request, request->claim->OnReply(replied.reply, now()),
                  held_revision);
    return;
  }
  // The request ended while the write was on its way: it will never run, and
  // the record should say so.
  const auto late = late_claims_.find(replied.id);
  if (late == late_claims_.end()) return;
  if (held_revision.has_value()) {
    ClaimRecord record;
    record.state = ClaimRecord::State::kNotRun;
    record.holder = replied.id;
    record.body_sha256 = late->second.body_sha256;
    Emit(outcomes_.Keep(replied.id, late->second.key, record, *held_revision,
                        late->second.retention, now()));
  }
  late_claims_.erase(late);
}

void EntryNode::On(const event::HolderReplied& replied) {
  RequestState* request = FindRequest(replied.id);
  if (request == nullptr || request->phase != RequestPhase::kClaiming) return;
  TakeClaimStep(request, request->claim->OnHolderAnswer(replied.answer, now()),
                std::nullopt);
}

void EntryNode::On(const event::OutcomeWritten& written) {
  outcomes_.OnWritten(written.id, written.ok, now());
}

void EntryNode::On(const event::CallerLeft& left) {
  RequestState* request = FindRequest(left.id);
  if (request == nullptr) return;
  request->caller_left = true;
  switch (request->phase) {
    case RequestPhase::kQueued:
      queues_[request->route->pool].Remove(left.id);
      RecordOutcome(*request, NotRun{}, std::nullopt);
      Forget(request);
      return;
    case RequestPhase::kClaiming:
      Forget(request);
      return;
    case RequestPhase::kEnding:
      return;
    case RequestPhase::kRunning:
      // Non-idempotent work goes on, so that a resend finds its outcome.
      if (request->route->idempotent) InterruptAttempt(request);
      return;
  }
}

void EntryNode::ExpireQueued() {
  for (auto& [pool, queue] : queues_) {
    for (const QueuedRequest& expired : queue.RemoveExpired(now())) {
      RequestState* request = FindRequest(expired.id);
      if (request == nullptr) continue;
      request->phase = RequestPhase::kEnding;
      const Duration wait = queue.EstimateWait(
          expired.customer, expired.rank, expired.cost, CapacityRate(pool));
      const Duration retry_after = std::max(kOverloadRetryAfter, wait);
      if (request->attempt > 0 && request->delivered_tokens > 0) {
        Finish(request, UnknownOutcome{"the stream could not be continued on "
                                       "another upstream in time",
                                       retry_after});
        continue;
      }
      Finish(request, Refuse(503, "overloaded",
                             "no upstream was free within the target of rank " +
                                 std::string(ToString(expired.rank)),
                             retry_after));
    }
  }
}

}  // namespace pollenledge
