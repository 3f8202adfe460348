// The part of EntryNode from the first token of an attempt to its end.

#include <algorithm>
#include <utility>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {
namespace {

// Weight of the newest request in the moving averages of a pool.
constexpr double kExperienceGain = 0.1;
// Losses of other upstreams of a failure domain within this time make a wave.
constexpr Duration kWaveWindow = std::chrono::seconds(5);
constexpr int kWaveLosses = 3;
constexpr double kWaveShare = 0.3;
constexpr Duration kRetryAfterFailure = std::chrono::seconds(2);
// An upstream that refused a request gets no other for this time.
constexpr Duration kRefusalPause = std::chrono::milliseconds(200);
// Answers above this size are not kept for resends.
constexpr std::size_t kMaxKeptAnswer = 65'536;

void Learn(double* mean, double value) {
  *mean = *mean <= 0 ? value : *mean + kExperienceGain * (value - *mean);
}

}  // namespace

void EntryNode::On(const event::FirstToken& token) {
  RequestState* request = FindRequest(token.id);
  if (request == nullptr || request->attempt != token.attempt ||
      request->phase != RequestPhase::kRunning) {
    ++stats_.outdated_events;
    return;
  }
  request->attempt_has_token = true;
  request->attempt_first_token_at = now();
  UpstreamEntry* entry = upstreams_.Find(*request->upstream);
  if (entry != nullptr) {
    entry->load.OnFirstToken(request->prediction.first_token,
                             now() - request->dispatched_at);
  }
  if (request->first_token_at.has_value()) return;
  request->first_token_at = now();
  RankStats& rank = stats_.of(request->route->rank);
  const Duration taken = now() - request->arrived_at;
  rank.first_token.Add(taken);
  const RankPolicy& policy = request->tables->policy(request->route->rank);
  if (taken <= policy.first_token_target) ++rank.within_target;
  Note(EventKind::kFirstToken, request,
       "after " + std::to_string(taken.count() / 1000) + " ms");
}

void EntryNode::On(const event::AttemptEnded& ended) {
  RequestState* request = FindRequest(ended.id);
  if (request == nullptr || request->attempt != ended.attempt ||
      request->phase != RequestPhase::kRunning) {
    ++stats_.outdated_events;
    return;
  }
  Note(EventKind::kAttemptEnded, request, ToString(ended.end));
  SettleUsage(*request, ended);
  reserves_[request->route->pool].OnEnd(request->route->rank);
  request->delivered_tokens =
      std::max(request->delivered_tokens, ended.delivered_tokens);
  SettleUpstream(*request, ended);
  const std::string pool = request->route->pool;
  switch (ended.end) {
    case AttemptEnd::kCompleted:
      OnCompletedAttempt(request, ended);
      break;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kRefused:
      Retry(request, ended.end);
      break;
    case AttemptEnd::kBroken:
      OnBrokenAttempt(request, ended);
      break;
    case AttemptEnd::kInterrupted:
      if (request->caller_left) {
        Forget(request);
      } else {
        Move(request);
      }
      break;
    case AttemptEnd::kCallerLeft:
      if (request->route->idempotent) {
        Forget(request);
      } else {
        Finish(request, UnknownOutcome{"the caller left", Duration(0)});
      }
      break;
  }
  Pump(pool);
}

void EntryNode::SettleUpstream(const RequestState& request,
                               const event::AttemptEnded& ended) {
  UpstreamEntry* entry = upstreams_.Find(*request.upstream);
  if (entry == nullptr) return;
  entry->load.OnEnd();
  if (request.runs_as_suspect)
    entry->suspects = std::max(0, entry->suspects - 1);
  if (ended.between_tokens.count() > 0) {
    entry->load.OnBetweenTokens(ended.between_tokens);
  }
  if (ended.end == AttemptEnd::kNotSent) {
    upstreams_.OnConnectionFailed(*request.upstream, now());
  }
  if (ended.end == AttemptEnd::kRefused) {
    entry->avoid_until = now() + kRefusalPause;
  }
  if (ended.end == AttemptEnd::kCompleted) {
    upstreams_.OnConnectionWorked(*request.upstream);
    LearnPrefixes(request, *request.upstream, ended.cached_tokens);
  }
}

void EntryNode::LearnPrefixes(const RequestState& request,
                              UpstreamHandle upstream,
                              std::int64_t cached_tokens) {
  const std::vector<std::uint64_t>& prefixes = request.spec.prefix_hashes;
  for (const std::uint64_t prefix : prefixes) prefixes_.Add(prefix, upstream);
  const std::int64_t missed = request.expected_cached_tokens - cached_tokens;
  if (missed > 0) {
    stats_.missed_prefix_tokens += static_cast<std::uint64_t>(missed);
  }
}

void EntryNode::SettleUsage(const RequestState& request,
                            const event::AttemptEnded& ended) {
  if (ended.end == AttemptEnd::kNotSent || ended.end == AttemptEnd::kRefused) {
    return;
  }
  const UpstreamEntry* entry = upstreams_.Find(*request.upstream);
  if (entry == nullptr) return;
  UsageKey key;
  key.customer = request.spec.customer;
  key.route = request.route->name;
  key.rank = request.route->rank;
  key.domain = entry->info.domain;
  key.machine_class = BilledClass(entry->info.pool, entry->info.machine_class,
                                  entry->info.reclaimable);
  const std::int64_t generated = std::max(
      std::int64_t{0}, ended.delivered_tokens - request.delivered_tokens);
  const std::int64_t computed = request.spec.prompt_tokens + generated;
  const Duration held = now() - request.dispatched_at;
  const std::int64_t again = std::min(ended.recomputed_tokens, computed);
  stats_.recomputed_tokens += static_cast<std::uint64_t>(again);
  // Time on the slot is shared by tokens between first and second computing.
  const Duration again_time =
      computed > 0 ? held * again / computed : Duration(0);
  const bool lost = ended.end == AttemptEnd::kBroken && generated == 0;
  key.purpose = lost ? CostPurpose::kRetries : CostPurpose::kAnswers;
  cost_ledger_.Add(key, {held - again_time, computed - again,
                         ended.end == AttemptEnd::kCompleted ? 1 : 0});
  if (again > 0) {
    key.purpose = CostPurpose::kRecomputation;
    cost_ledger_.Add(key, {again_time, again, 0});
  }
  RankStats& rank = stats_.of(request.route->rank);
  if (ended.between_tokens.count() > 0) {
    rank.between_tokens.Add(ended.between_tokens);
  }
  rank.tokens += static_cast<std::uint64_t>(generated);
  stats_.tokens_by_customer[request.spec.customer] +=
      static_cast<std::uint64_t>(generated);
}

void EntryNode::OnCompletedAttempt(RequestState* request,
                                   const event::AttemptEnded& ended) {
  suspects_.OnCompleted(request->spec.fingerprint, now());
  TellSuspects();
  const double actual = request->is_service()
                            ? request->predicted_cost
                            : static_cast<double>(request->spec.prompt_tokens +
                                                  request->delivered_tokens);
  PoolExperience& experience = experience_[request->route->pool];
  Learn(&experience.mean_hold_s, ToSeconds(now() - request->dispatched_at));
  Learn(&experience.mean_cost, actual);
  reserves_[request->route->pool].OnHold(now() - request->dispatched_at);
  if (!request->is_service()) {
    Learn(&experience.mean_answer,
          static_cast<double>(request->delivered_tokens));
  }
  queues_[request->route->pool].Correct(request->spec.customer,
                                        request->route->rank,
                                        request->predicted_cost, actual);
  limit_shares_.Correct(request->spec.customer,
                        actual - request->predicted_cost);
  const Completed outcome{ended.http_status};
  RecordOutcome(*request, outcome, ended.answer);
  request->claim_revision.reset();
  Finish(request, outcome);
}

bool EntryNode::BlameForLoss(const RequestState& request) {
  UpstreamEntry* lost = upstreams_.Find(*request.upstream);
  if (lost == nullptr || lost->state != UpstreamState::kLive) return false;
  // The other requests on the upstream report the same loss again.
  if (lost->lost_at != TimePoint() && request.dispatched_at <= lost->lost_at) {
    return false;
  }
  upstreams_.OnConnectionFailed(*request.upstream, now());
  const std::string& domain = lost->info.domain;
  Note(EventKind::kUpstreamLost, &request, lost->info.id.name);
  const int losses = upstreams_.LostInDomain(domain, now() - kWaveWindow);
  const int present = upstreams_.PresentInDomain(domain);
  if (losses >= kWaveLosses && losses >= kWaveShare * present) {
    suspects_.OnDomainWave(domain);
    return false;
  }
  std::vector<Fingerprint> running;
  for (const auto& [id, other] : requests_) {
    if (other.phase == RequestPhase::kRunning &&
        other.upstream == request.upstream) {
      running.push_back(other.spec.fingerprint);
    }
  }
  const CrashId crash = CrashIdOf(lost->info.id, 0, options_.self.id.name);
  const std::size_t refused =
      suspects_.OnUpstreamLost(running, crash, domain, now()).size();
  stats_.quarantines += refused;
  if (refused > 0) Note(EventKind::kQuarantined, &request, "");
  TellSuspects();
  return true;
}

bool EntryNode::IsSuspect(const RequestState& request) const {
  return suspects_.Of(request.spec.fingerprint, now()) != Suspicion::kNone;
}

void EntryNode::TellSuspects() {
  if (!suspects_.HasNews()) return;
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self()};
  heartbeat.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  for (const std::string& address : PeerAddresses()) {
    Emit(action::SendHeartbeat{{address, heartbeat}});
  }
}

void EntryNode::OnBrokenAttempt(RequestState* request,
                                const event::AttemptEnded&) {
  const UpstreamEntry* entry = upstreams_.Find(*request->upstream);
  const bool announced =
      entry == nullptr || entry->state != UpstreamState::kLive;
  BlameForLoss(*request);
  if (!request->route->idempotent) {
    Finish(request, UnknownOutcome{"the upstream was lost after the request "
                                   "was sent; it may or may not have run",
                                   Duration(0)});
    return;
  }
  if (suspects_.RefusedFor(request->spec.fingerprint, now()).has_value()) {
    Finish(request,
           UnknownOutcome{"each upstream that ran this request was lost; it "
                          "is not run again for a while",
                          Duration(0)});
    return;
  }
  if (announced) {
    // An announced reclaim is no failure: the request goes on at no charge to
    // the retry budget.
    Move(request);
    return;
  }
  Retry(request, AttemptEnd::kBroken);
}

void EntryNode::Move(RequestState* request) {
  Note(EventKind::kMoved, request,
       "at token " + std::to_string(request->delivered_tokens));
  ++stats_.moves;
  Enqueue(request, true);
}

void EntryNode::Retry(RequestState* request, AttemptEnd end) {
  request->exclude.push_back(*request->upstream);
  const bool allowed = request->attempt < kMaxAttempts &&
                       retry_budget_.TryTake(request->route->pool);
  if (allowed) {
    ++stats_.retries;
    Enqueue(request, true);
    return;
  }
  if (end == AttemptEnd::kBroken) {
    Finish(request, UnknownOutcome{"upstreams were lost while they ran the "
                                   "request, and no retry is left",
                                   kRetryAfterFailure});
    return;
  }
  Finish(request, NotRun{503, "no-upstream",
                         "every upstream that was tried refused the request",
                         kRetryAfterFailure});
}

void EntryNode::Finish(RequestState* request, const Outcome& outcome) {
  RankStats& rank = stats_.of(request->route->rank);
  std::visit(Overloaded{[&](const Completed&) { ++rank.completed; },
                        [&](const NotRun&) { ++rank.not_run; },
                        [&](const UnknownOutcome&) { ++rank.unknown; }},
             outcome);
  RecordOutcome(*request, outcome, std::nullopt);
  if (std::holds_alternative<NotRun>(outcome)) {
    limit_shares_.Correct(request->spec.customer, -request->predicted_cost);
  }
  Note(EventKind::kAnswered, request,
       std::visit(
           Overloaded{
               [](const Completed& completed) {
                 return std::to_string(completed.http_status);
               },
               [](const NotRun& not_run) { return "not run: " + not_run.type; },
               [](const UnknownOutcome&) { return std::string("unknown"); }},
           outcome));
  Emit(action::Answer{request->id, outcome});
  Forget(request);
}

void EntryNode::RecordOutcome(const RequestState& request,
                              const Outcome& outcome,
                              const std::optional<KeptAnswer>& answer) {
  if (!request.claim_revision.has_value()) return;
  ClaimRecord record;
  record.holder = request.id;
  record.body_sha256 = request.spec.body_sha256;
  std::visit(
      Overloaded{
          [&](const Completed& completed) {
            record.state = ClaimRecord::State::kCompleted;
            record.http_status = completed.http_status;
            if (!answer.has_value()) return;
            record.content_type = answer->content_type;
            record.answer_kept = answer->body.size() <= kMaxKeptAnswer;
            if (record.answer_kept) record.answer = answer->body;
          },
          [&](const NotRun&) { record.state = ClaimRecord::State::kNotRun; },
          [&](const UnknownOutcome&) {
            record.state = ClaimRecord::State::kUnknown;
          }},
      outcome);
  Emit(outcomes_.Keep(request.id, request.claim_key, record,
                      *request.claim_revision, request.route->key_retention,
                      now()));
}

void EntryNode::Forget(RequestState* request) {
  if (request->claim_reply_pending) {
    late_claims_[request->id] = {request->claim_key, request->spec.body_sha256,
                                 request->route->key_retention};
  }
  if (request->phase == RequestPhase::kQueued) {
    queues_[request->route->pool].Remove(request->id);
  }
  requests_.erase(request->id);
}

void EntryNode::On(const event::HandOverReceived& received) {
  const HandedOverRequest& handed = received.request;
  const Route* route =
      tables_ == nullptr
          ? nullptr
          : tables_->MatchModel(handed.spec.customer, handed.spec.model,
                                handed.spec.rank);
  if (route == nullptr || requests_.count(handed.id) > 0) {
    if (route == nullptr) {
      Emit(action::Answer{handed.id,
                          UnknownOutcome{"no route to go on with", {}}});
    }
    return;
  }
  RequestState request;
  request.id = handed.id;
  request.spec = handed.spec;
  request.tables = tables_;
  request.route = route;
  request.arrived_at = now();
  request.attempt = handed.attempts;
  request.delivered_tokens = handed.delivered_tokens;
  request.predicted_cost = PredictCost(handed.spec, *route);
  request.prefer =
      upstreams_.FindById({handed.upstream_name, handed.upstream_incarnation});
  Note(EventKind::kTakenOver, &request, "");
  const std::string pool = route->pool;
  RequestState& kept =
      requests_.emplace(handed.id, std::move(request)).first->second;
  Enqueue(&kept, false);
  Pump(pool);
}

}  // namespace pollenledge
