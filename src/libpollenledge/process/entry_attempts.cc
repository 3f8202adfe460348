// The part of EntryNode that handles running attempts: first token, results,
// retries, failover, crash attribution and the final outcome.

#include <algorithm>
#include <utility>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {
namespace {

// Weight of the latest request in a pool's exponential moving averages.
constexpr double kAverageWeight = 0.1;
// A failure domain counts as failing as a whole if, within this window, at
// least this number and this share of its upstreams lost a connection. Such
// losses are not attributed to the requests that ran on the upstreams.
constexpr Duration kDomainFailureWindow = std::chrono::milliseconds(500);
constexpr int kDomainFailureMinLosses = 3;
constexpr double kDomainFailureMinShare = 0.3;
// Retry-After of a request that failed because no retry was left.
constexpr Duration kFailureRetryAfter = std::chrono::seconds(2);
// Backoff of an upstream after it rejected a request.
constexpr Duration kRejectionBackoff = std::chrono::milliseconds(200);
// Of a prompt's prefixes, the first ones are suspects, and then one per this
// number of blocks.
constexpr std::size_t kDensePrefixes = 8;
// First half of the fingerprint of a prefix, whose second half is its hash.
constexpr std::uint64_t kPrefixFingerprint = 0x7072656669780001;
// Larger responses are not stored for retries with the same idempotency key.
constexpr std::size_t kMaxStoredBodyBytes = 65'536;

// Returns the outcome of a request that ends as `outcome`. A rejection after an
// attempt that may have run does not tell that nothing ran.
Outcome WithoutFalsePromise(const RequestState& request,
                            const Outcome& outcome) {
  const auto* rejection = std::get_if<NotRun>(&outcome);
  if (rejection == nullptr || !request.may_have_run) return outcome;
  return UnknownOutcome{rejection->detail + "; an earlier attempt may have run",
                        rejection->retry_after};
}

void UpdateAverage(double* mean, double value) {
  *mean = *mean <= 0 ? value : *mean + kAverageWeight * (value - *mean);
}

}  // namespace

void EntryNode::On(const event::FirstTokenReceived& token) {
  RequestState* request = FindRequest(token.id);
  if (request == nullptr || request->attempt != token.attempt ||
      request->phase != RequestPhase::kRunning) {
    ++stats_.stale_attempt_events;
    return;
  }
  request->attempt_has_token = true;
  request->attempt_first_token_at = now();
  UpstreamEntry* entry = upstreams_.Find(*request->upstream);
  if (entry != nullptr) {
    entry->load.OnFirstToken(request->latency_prediction.time_to_first_token,
                             now() - request->dispatched_at);
  }
  if (request->first_token_at.has_value()) return;
  request->first_token_at = now();
  RankStats& rank = stats_.ForRank(request->route->rank);
  const Duration first_token_time = now() - request->arrived_at;
  rank.time_to_first_token.Add(first_token_time);
  const RankPolicy& policy = request->tables->policy(request->route->rank);
  if (first_token_time <= policy.first_token_target)
    ++rank.first_token_within_target;
  RecordTimeLineEvent(
      EventKind::kFirstToken, request,
      "after " + std::to_string(first_token_time.count() / 1000) + " ms");
}

void EntryNode::On(const event::AttemptFinished& finished) {
  RequestState* request = FindRequest(finished.id);
  if (request == nullptr || request->attempt != finished.attempt ||
      request->phase != RequestPhase::kRunning) {
    ++stats_.stale_attempt_events;
    return;
  }
  RecordTimeLineEvent(EventKind::kAttemptEnded, request,
                      ToString(finished.result));
  RecordUsage(*request, finished);
  slot_reserves_[request->route->pool].OnEnd(request->route->rank);
  request->delivered_tokens =
      std::max(request->delivered_tokens, finished.delivered_tokens);
  request->may_have_run = request->may_have_run || MayHaveRun(finished.result);
  UpdateUpstreamAfterAttempt(*request, finished);
  const std::string pool = request->route->pool;
  switch (finished.result) {
    case AttemptOutcome::kCompleted:
      OnCompletedAttempt(request, finished);
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kRejected:
      Retry(request, finished.result);
      break;
    case AttemptOutcome::kConnectionLost:
      OnConnectionLost(request, finished);
      break;
    case AttemptOutcome::kCloseDelimited:
      OnCloseDelimited(request);
      break;
    case AttemptOutcome::kInterrupted:
      if (request->caller_disconnected) {
        RemoveRequest(request);
      } else {
        FailOver(request);
      }
      break;
    case AttemptOutcome::kCallerDisconnected:
      if (request->route->idempotent) {
        RemoveRequest(request);
      } else {
        Finish(request, UnknownOutcome{"the caller disconnected", Duration(0)});
      }
      break;
  }
  DispatchQueued(pool);
}

void EntryNode::UpdateUpstreamAfterAttempt(
    const RequestState& request, const event::AttemptFinished& finished) {
  UpstreamEntry* entry = upstreams_.Find(*request.upstream);
  if (entry == nullptr) return;
  entry->load.OnRequestFinished();
  if (request.dispatched_as_suspect)
    entry->suspect_requests = std::max(0, entry->suspect_requests - 1);
  if (finished.mean_inter_token_latency.count() > 0) {
    entry->load.OnInterTokenLatency(finished.mean_inter_token_latency);
  }
  if (finished.result == AttemptOutcome::kNotSent) {
    upstreams_.OnConnectionFailed(*request.upstream, now());
  }
  if (finished.result == AttemptOutcome::kRejected) {
    entry->backoff_until = now() + kRejectionBackoff;
  }
  if (finished.result == AttemptOutcome::kCompleted) {
    upstreams_.OnConnectionSucceeded(*request.upstream);
    RecordCachedPrefixes(request, *request.upstream, finished.cached_tokens);
  }
}

void EntryNode::RecordCachedPrefixes(const RequestState& request,
                                     UpstreamHandle upstream,
                                     std::int64_t cached_tokens) {
  const std::vector<std::uint64_t>& prefixes = request.spec.prefix_hashes;
  for (const std::uint64_t prefix : prefixes)
    prefix_index_.Add(prefix, upstream);
  const std::int64_t missed = request.expected_cached_tokens - cached_tokens;
  if (missed > 0) {
    stats_.missed_prefix_tokens += static_cast<std::uint64_t>(missed);
  }
}

void EntryNode::RecordUsage(const RequestState& request,
                            const event::AttemptFinished& finished) {
  if (finished.result == AttemptOutcome::kNotSent ||
      finished.result == AttemptOutcome::kRejected) {
    return;
  }
  const UpstreamEntry* entry = upstreams_.Find(*request.upstream);
  if (entry == nullptr) return;
  SlotUsageKey key;
  key.customer = request.spec.customer;
  key.route = request.route->name;
  key.rank = request.route->rank;
  key.domain = entry->info.domain;
  key.machine_class = BilledClassName(
      entry->info.pool, entry->info.machine_class, entry->info.reclaimable);
  const std::int64_t generated = std::max(
      std::int64_t{0}, finished.delivered_tokens - request.delivered_tokens);
  const std::int64_t computed = request.spec.prompt_tokens + generated;
  const Duration slot_time = now() - request.dispatched_at;
  const std::int64_t recomputed =
      std::min(finished.recomputed_tokens, computed);
  stats_.recomputed_tokens += static_cast<std::uint64_t>(recomputed);
  // The slot time is split between first computation and recomputation in
  // proportion to their tokens.
  const Duration recomputed_time =
      computed > 0 ? slot_time * recomputed / computed : Duration(0);
  const bool is_response_lost =
      finished.result == AttemptOutcome::kConnectionLost ||
      finished.result == AttemptOutcome::kCloseDelimited;
  const bool work_lost = is_response_lost && generated == 0;
  key.purpose = work_lost ? CostPurpose::kRetries : CostPurpose::kAnswers;
  cost_ledger_.Add(key,
                   {slot_time - recomputed_time, computed - recomputed,
                    finished.result == AttemptOutcome::kCompleted ? 1 : 0});
  if (recomputed > 0) {
    key.purpose = CostPurpose::kRecomputation;
    cost_ledger_.Add(key, {recomputed_time, recomputed, 0});
  }
  RankStats& rank = stats_.ForRank(request.route->rank);
  if (finished.mean_inter_token_latency.count() > 0) {
    rank.inter_token_latency.Add(finished.mean_inter_token_latency);
  }
  rank.delivered_tokens += static_cast<std::uint64_t>(generated);
  stats_.tokens_by_customer[request.spec.customer] +=
      static_cast<std::uint64_t>(generated);
}

void EntryNode::OnCompletedAttempt(RequestState* request,
                                   const event::AttemptFinished& finished) {
  crash_suspects_.OnSoundResponse(
      SuspectsOf(request->spec),
      request->attempt_has_token ? request->attempt_first_token_at : now(),
      RunPhase::kCompleted);
  BroadcastSuspects();
  const double actual_cost =
      request->is_service() ? request->predicted_cost
                            : static_cast<double>(request->spec.prompt_tokens +
                                                  request->delivered_tokens);
  PoolAverages& averages = pool_averages_[request->route->pool];
  UpdateAverage(&averages.mean_slot_time_s,
                ToSeconds(now() - request->dispatched_at));
  UpdateAverage(&averages.mean_cost_tokens, actual_cost);
  slot_reserves_[request->route->pool].RecordHoldTime(now() -
                                                      request->dispatched_at);
  if (!request->is_service()) {
    UpdateAverage(&averages.mean_response_tokens,
                  static_cast<double>(request->delivered_tokens));
  }
  queues_[request->route->pool].AdjustCharge(
      request->spec.customer, request->route->rank, request->predicted_cost,
      actual_cost);
  limit_shares_.AdjustCharge(request->spec.customer,
                             actual_cost - request->predicted_cost);
  const Completed outcome{finished.http_status};
  RecordOutcome(*request, outcome, finished.response);
  request->claim_revision.reset();
  Finish(request, outcome);
}

bool EntryNode::AttributeConnectionLoss(const RequestState& request) {
  UpstreamEntry* entry = upstreams_.Find(*request.upstream);
  if (entry == nullptr || entry->state != UpstreamState::kLive) return false;
  // Every other request on the upstream reports the same loss; it is handled
  // only once.
  if (entry->connection_lost_at != TimePoint() &&
      request.dispatched_at <= entry->connection_lost_at) {
    return false;
  }
  upstreams_.OnConnectionFailed(*request.upstream, now());
  const std::string& domain = entry->info.domain;
  RecordTimeLineEvent(EventKind::kUpstreamLost, &request, entry->info.id.name);
  const int lost_count = upstreams_.CountDisconnectedInDomain(
      domain, now() - kDomainFailureWindow);
  const int listed_count = upstreams_.CountInDomain(domain);
  if (lost_count >= kDomainFailureMinLosses &&
      lost_count >= kDomainFailureMinShare * listed_count) {
    crash_suspects_.OnDomainOutage(domain);
    return false;
  }
  std::vector<SuspectRun> running;
  for (const auto& [id, other] : requests_) {
    const bool is_writing =
        other.attempt_has_token &&
        now() - other.attempt_first_token_at >= kSoundWritingTime;
    if (other.phase == RequestPhase::kRunning &&
        other.upstream == request.upstream && !is_writing) {
      running.push_back({SuspectsOf(other.spec), other.dispatched_at});
    }
  }
  const CrashId crash = CrashIdOf(entry->info.id, 0, options_.self.id.name);
  const std::size_t quarantined =
      crash_suspects_.OnUpstreamLost(running, crash, domain, now()).size();
  stats_.quarantines += quarantined;
  if (quarantined > 0)
    RecordTimeLineEvent(EventKind::kQuarantined, &request, "");
  BroadcastSuspects();
  return true;
}

std::vector<Fingerprint> EntryNode::SuspectsOf(const RequestSpec& spec) {
  std::vector<Fingerprint> fingerprints = {spec.fingerprint};
  for (std::size_t i = 0; i < spec.prefix_hashes.size(); ++i) {
    if (i >= kDensePrefixes && (i + 1) % kDensePrefixes != 0) continue;
    fingerprints.push_back({kPrefixFingerprint, spec.prefix_hashes[i]});
  }
  return fingerprints;
}

bool EntryNode::IsSuspect(const RequestState& request) const {
  if (crash_suspects_.size() == 0) return false;
  return crash_suspects_.SuspicionOf(SuspectsOf(request.spec), now()) !=
         Suspicion::kNone;
}

void EntryNode::BroadcastSuspects() {
  if (!crash_suspects_.HasUnsentReports()) return;
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self()};
  heartbeat.suspect_reports =
      crash_suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  for (const std::string& address : PeerAddresses()) {
    Emit(action::SendHeartbeat{{address, heartbeat}});
  }
}

void EntryNode::OnConnectionLost(RequestState* request,
                                 const event::AttemptFinished&) {
  const UpstreamEntry* entry = upstreams_.Find(*request->upstream);
  const bool was_announced =
      entry == nullptr || entry->state != UpstreamState::kLive;
  AttributeConnectionLoss(*request);
  if (!request->route->idempotent) {
    Finish(request, UnknownOutcome{"the connection to the upstream was lost "
                                   "after the request was sent; the request "
                                   "may or may not have run",
                                   Duration(0)});
    return;
  }
  if (crash_suspects_.RejectedSuspect(SuspectsOf(request->spec), now())) {
    Finish(request,
           UnknownOutcome{"the connection to each upstream that ran this "
                          "request was lost; the request is not run again "
                          "until its quarantine ends",
                          Duration(0)});
    return;
  }
  if (was_announced) {
    // An announced reclaim is not a failure, so the request continues without
    // using the retry budget.
    FailOver(request);
    return;
  }
  Retry(request, AttemptOutcome::kConnectionLost);
}

void EntryNode::OnCloseDelimited(RequestState* request) {
  if (!request->route->idempotent) {
    Finish(request, UnknownOutcome{"the upstream's response stated no length "
                                   "and ended with its connection, so it may "
                                   "be incomplete",
                                   Duration(0)});
    return;
  }
  Retry(request, AttemptOutcome::kCloseDelimited);
}

void EntryNode::FailOver(RequestState* request) {
  RecordTimeLineEvent(EventKind::kMoved, request,
                      "at token " + std::to_string(request->delivered_tokens));
  ++stats_.failovers;
  Enqueue(request, true);
}

void EntryNode::Retry(RequestState* request, AttemptOutcome result) {
  request->excluded_upstreams.push_back(*request->upstream);
  const bool may_retry = request->attempt < kMaxAttempts &&
                         retry_budget_.TryAcquire(request->route->pool);
  if (may_retry) {
    ++stats_.retries;
    Enqueue(request, true);
    return;
  }
  if (MayHaveRun(result)) {
    Finish(request, UnknownOutcome{"no upstream that ran the request gave a "
                                   "complete response, and no retry is left",
                                   kFailureRetryAfter});
    return;
  }
  Finish(request, NotRun{503, "no-upstream",
                         "the last upstream that was tried did not accept the "
                         "request, and no retry is left",
                         kFailureRetryAfter});
}

void EntryNode::Finish(RequestState* request, const Outcome& proposed) {
  const Outcome outcome = WithoutFalsePromise(*request, proposed);
  RankStats& rank = stats_.ForRank(request->route->rank);
  std::visit(Overloaded{[&](const Completed&) { ++rank.completed; },
                        [&](const NotRun&) { ++rank.not_run; },
                        [&](const UnknownOutcome&) { ++rank.unknown_outcome; }},
             outcome);
  RecordOutcome(*request, outcome, std::nullopt);
  if (std::holds_alternative<NotRun>(outcome)) {
    limit_shares_.AdjustCharge(request->spec.customer,
                               -request->predicted_cost);
  }
  RecordTimeLineEvent(
      EventKind::kAnswered, request,
      std::visit(Overloaded{[](const Completed& completed) {
                              return std::to_string(completed.http_status);
                            },
                            [](const NotRun& not_run) {
                              return "not run: " + not_run.problem_type;
                            },
                            [](const UnknownOutcome&) {
                              return std::string("unknown");
                            }},
                 outcome));
  Emit(action::ReportOutcome{request->id, outcome});
  RemoveRequest(request);
}

void EntryNode::RecordOutcome(const RequestState& request,
                              const Outcome& outcome,
                              const std::optional<StoredResponse>& response) {
  if (!request.claim_revision.has_value()) return;
  ClaimRecord record;
  record.owner = request.id;
  record.body_sha256 = request.spec.body_sha256;
  std::visit(Overloaded{[&](const Completed& completed) {
                          record.state = ClaimRecord::State::kCompleted;
                          record.http_status = completed.http_status;
                          if (!response.has_value()) return;
                          record.content_type = response->content_type;
                          record.response_stored =
                              response->body.size() <= kMaxStoredBodyBytes;
                          if (record.response_stored)
                            record.response = response->body;
                        },
                        [&](const NotRun&) {
                          record.state = ClaimRecord::State::kNotRun;
                        },
                        [&](const UnknownOutcome&) {
                          record.state = ClaimRecord::State::kUnknown;
                        }},
             outcome);
  Emit(pending_outcomes_.Add(request.id, request.claim_key, record,
                             *request.claim_revision,
                             request.route->key_retention, now()));
}

void EntryNode::RemoveRequest(RequestState* request) {
  if (request->claim_reply_pending) {
    orphaned_claims_[request->id] = {request->claim_key,
                                     request->spec.body_sha256,
                                     request->route->key_retention};
  }
  if (request->phase == RequestPhase::kQueued) {
    queues_[request->route->pool].Remove(request->id);
  }
  requests_.erase(request->id);
}

void EntryNode::On(const event::HandOverReceived& received) {
  const HandedOverRequest& handed_over = received.request;
  const Route* route = tables_ == nullptr
                           ? nullptr
                           : tables_->FindModelRoute(handed_over.spec.customer,
                                                     handed_over.spec.model,
                                                     handed_over.spec.rank);
  if (route == nullptr || requests_.count(handed_over.id) > 0) {
    if (route == nullptr) {
      Emit(action::ReportOutcome{
          handed_over.id, UnknownOutcome{"this entry has no route for the "
                                         "handed-off request",
                                         {}}});
    }
    return;
  }
  RequestState request;
  request.id = handed_over.id;
  request.spec = handed_over.spec;
  request.tables = tables_;
  request.route = route;
  request.arrived_at = now();
  request.attempt = handed_over.attempts;
  request.delivered_tokens = handed_over.delivered_tokens;
  // How the attempts of another entry ended is not handed over.
  request.may_have_run = handed_over.attempts > 0 || received.may_run_at_peer;
  request.predicted_cost = PredictCost(handed_over.spec, *route);
  request.preferred_upstream = upstreams_.FindById(
      {handed_over.upstream_name, handed_over.upstream_incarnation});
  RecordTimeLineEvent(EventKind::kTakenOver, &request, "");
  const std::string pool = route->pool;
  RequestState& kept =
      requests_.emplace(handed_over.id, std::move(request)).first->second;
  Enqueue(&kept, false);
  DispatchQueued(pool);
}

}  // namespace pollenledge
