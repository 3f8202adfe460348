#include "pollenledge/process/entry_node.h"

#include <algorithm>
#include <utility>

#include "pollenledge/request/failover_planner.h"

namespace pollenledge {
namespace {

// Maximum number of prompt prefixes in the index.
constexpr std::size_t kPrefixIndexCapacity = 65536;
// Assumed inter-token latency of a stream while no prediction exists.
constexpr Duration kDefaultInterTokenLatency = std::chrono::milliseconds(20);

}  // namespace

EntryNode::EntryNode(EntryOptions options)
    : options_(std::move(options)),
      prefix_index_(kPrefixIndexCapacity),
      router_(options_.domain_distances, options_.random_seed),
      membership_(options_.self, options_.seeds, options_.random_seed + 1),
      time_line_(options_.self.id, options_.time_line_capacity) {}

std::vector<EntryAction> EntryNode::Handle(const EntryEvent& event,
                                           const Instant& now) {
  now_ = now;
  std::visit([this](const auto& concrete) { On(concrete); }, event);
  if (draining()) ContinueDrain();
  return std::exchange(actions_, {});
}

ClaimOwnerResponse EntryNode::QueryClaimOwner(const RequestId& id) const {
  if (id.node != options_.self.id)
    return {ClaimOwnerStatus::kIncarnationChanged, std::nullopt};
  if (requests_.count(id) > 0)
    return {ClaimOwnerStatus::kRunning, std::nullopt};
  const ClaimRecord* record = pending_outcomes_.Find(id);
  if (record == nullptr || record->state == ClaimRecord::State::kNotRun) {
    return {ClaimOwnerStatus::kNotRun, std::nullopt};
  }
  return {ClaimOwnerStatus::kFinished, *record};
}

RequestId EntryNode::NextRequestId() {
  return {options_.self.id, next_request_sequence_++};
}

void EntryNode::On(const event::LoadReported& reported) {
  const auto handle = upstreams_.FindById(reported.upstream);
  if (!handle.has_value()) return;
  UpstreamEntry* entry = upstreams_.Find(*handle);
  entry->load.OnReport(reported.report, now());
  upstreams_.OnConnectionSucceeded(*handle);
  DispatchQueued(entry->info.pool);
}

void EntryNode::On(const event::PrefixCacheChanged& changed) {
  const auto handle = upstreams_.FindById(changed.upstream);
  if (!handle.has_value()) return;
  if (changed.cached) {
    prefix_index_.Add(changed.prefix_hash, *handle);
  } else {
    prefix_index_.Remove(changed.prefix_hash, *handle);
  }
}

void EntryNode::On(const event::UpstreamListReceived& received) {
  upstreams_.SetList(received.upstreams, now());
  DispatchAllQueued();
}

void EntryNode::On(const event::UpstreamNoticeReceived& notice) {
  if (!upstreams_.AdvanceState(notice.upstream, notice.state, now())) return;
  const bool is_from_peer = notice.source == "peer";
  RecordTimeLineEvent(EventKind::kUpstreamLeaving, nullptr,
                      notice.upstream.name + " " + ToString(notice.state) +
                          " by " + notice.source);
  // A notice from a peer was already sent to every entry by that peer.
  if (!is_from_peer) {
    for (const std::string& address : PeerAddresses()) {
      Emit(action::SendUpstreamNotice{address, notice.upstream, notice.state,
                                      notice.remaining});
    }
  }
  if (notice.state == UpstreamState::kLeaving) {
    FailOverStreams(notice.upstream, notice.remaining);
  }
}

void EntryNode::On(const event::TablesActivated& activated) {
  // Versions only increase, so tables from a stale read or a restarted peer are
  // ignored.
  if (tables_ != nullptr && activated.tables->version <= tables_->version)
    return;
  tables_ = activated.tables;
  for (const Pool& pool : tables_->pools) queues_[pool.name];
  for (auto& [name, queue] : queues_) queue.Configure(*tables_);
  limit_shares_updated_at_ = now();
  limit_shares_.UpdateShares(LimitsOf(*tables_), membership_.Others(now()),
                             options_.expected_entries, now());
  RecordTimeLineEvent(EventKind::kTablesInForce, nullptr,
                      "version " + std::to_string(tables_->version));
}

void EntryNode::On(const event::HeartbeatReceived& received) {
  membership_.OnHeartbeat(received.heartbeat.records, now());
  for (const SuspectReport& report : received.heartbeat.suspect_reports) {
    crash_suspects_.OnReport(report, now());
  }
}

void EntryNode::On(const event::DrainRequested& drain) {
  if (!draining()) {
    drain_started_at_ = now();
    RecordTimeLineEvent(EventKind::kDraining, nullptr, "");
  }
  if (drain.remaining.has_value()) drain_deadline_ = now() + *drain.remaining;
}

void EntryNode::On(const event::TimerTicked&) {
  MemberRecord self = membership_.self();
  self.tables_version = tables_ == nullptr ? 0 : tables_->version;
  self.active_requests = static_cast<std::uint32_t>(requests_.size());
  self.draining = draining();
  self.left = drain_completed_;
  self.demands = limit_shares_.Demands();
  membership_.UpdateSelf(self);
  std::vector<HeartbeatMessage> messages = membership_.OnTick(now());
  std::vector<SuspectReport> suspects;
  if (!messages.empty()) {
    suspects =
        crash_suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  }
  for (HeartbeatMessage& message : messages) {
    message.heartbeat.suspect_reports = suspects;
    Emit(action::SendHeartbeat{std::move(message)});
  }
  if (tables_ != nullptr &&
      now() - limit_shares_updated_at_ >= Membership::kDefaultPeriod) {
    limit_shares_updated_at_ = now();
    limit_shares_.UpdateShares(LimitsOf(*tables_), membership_.Others(now()),
                               options_.expected_entries, now());
  }
  for (action::WriteOutcome& write : pending_outcomes_.StartDueRetries(now())) {
    Emit(std::move(write));
  }
  ExpireQueued();
  DispatchAllQueued();
}

void EntryNode::FailOverStreams(const UpstreamId& upstream,
                                std::optional<Duration> remaining) {
  const auto handle = upstreams_.FindById(upstream);
  if (!handle.has_value()) return;
  std::vector<FailoverStream> streams;
  for (const auto& [id, request] : requests_) {
    if (request.phase != RequestPhase::kRunning || request.upstream != handle ||
        !request.route->idempotent) {
      continue;
    }
    FailoverStream stream;
    stream.id = id;
    stream.computed_tokens =
        request.spec.prompt_tokens + request.delivered_tokens;
    stream.inter_token_time =
        request.latency_prediction.inter_token_latency.count() > 0
            ? request.latency_prediction.inter_token_latency
            : kDefaultInterTokenLatency;
    // The estimate assumes the maximum requested length, not the usual one,
    // because a stream that stays on the upstream must be certain to finish in
    // time.
    const Duration generation_time =
        request.attempt_has_token ? now() - request.attempt_first_token_at
                                  : Duration(0);
    stream.remaining_tokens = std::max(
        std::int64_t{1}, request.spec.max_tokens - request.delivered_tokens -
                             generation_time / stream.inter_token_time);
    stream.rank = request.route->rank;
    streams.push_back(stream);
  }
  const std::string address = upstreams_.Find(*handle)->info.address;
  for (const StreamFailover& failover :
       PlanFailovers(std::move(streams), remaining, FailoverCosts{})) {
    if (failover.kind == FailoverKind::kFinishInPlace) continue;
    RequestState* request = FindRequest(failover.id);
    request->kv_source =
        failover.kind == FailoverKind::kTransferCache ? address : "";
    InterruptAttempt(request);
  }
}

void EntryNode::InterruptAttempt(RequestState* request) {
  if (request->interrupt_requested) return;
  request->interrupt_requested = true;
  Emit(action::Interrupt{request->id, request->attempt});
}

void EntryNode::HandOverAll() {
  std::optional<MemberRecord> peer;
  // A peer in another failure domain is preferred, then one with fewer
  // requests.
  const auto is_preferred = [&](const MemberRecord& a, const MemberRecord& b) {
    const bool a_is_remote = a.domain != options_.self.domain;
    const bool b_is_remote = b.domain != options_.self.domain;
    if (a_is_remote != b_is_remote) return a_is_remote;
    return a.active_requests < b.active_requests;
  };
  for (const Member& member : membership_.Others(now())) {
    if (member.status != MemberStatus::kAlive || member.record.draining) {
      continue;
    }
    if (!peer.has_value() || is_preferred(member.record, *peer)) {
      peer = member.record;
    }
  }
  if (!peer.has_value()) return;
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    // A non-idempotent request runs under this entry's claim, so it must finish
    // here.
    if (request.route->idempotent && !request.is_service()) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const RequestId& id : ids) {
    RequestState* request = FindRequest(id);
    HandedOverRequest handed_over{
        id, request->spec, request->delivered_tokens, request->attempt, "", 0};
    if (request->upstream.has_value()) {
      const UpstreamEntry* entry = upstreams_.Find(*request->upstream);
      if (entry != nullptr) {
        handed_over.upstream_name = entry->info.id.name;
        handed_over.upstream_incarnation = entry->info.id.incarnation;
      }
    }
    RecordTimeLineEvent(EventKind::kHandedOver, request, "to " + peer->id.name);
    ++stats_.handed_over_requests;
    Emit(action::HandOver{peer->peer_address, peer->id, handed_over});
    if (request->phase == RequestPhase::kRunning) {
      slot_reserves_[request->route->pool].OnEnd(request->route->rank);
    }
    RemoveRequest(request);
  }
}

void EntryNode::ContinueDrain() {
  if (drain_deadline_.has_value() &&
      now() >= *drain_deadline_ - kHandOverMargin) {
    HandOverAll();
  }
  const bool is_idle = requests_.empty() && pending_outcomes_.size() == 0;
  if (drain_completed_ || !is_idle ||
      now() < *drain_started_at_ + kDrainGracePeriod) {
    return;
  }
  drain_completed_ = true;
  Emit(action::DrainCompleted{});
}

void EntryNode::RecordTimeLineEvent(EventKind kind, const RequestState* request,
                                    const std::string& detail) {
  TimeLineEvent event;
  event.kind = kind;
  event.detail = detail;
  if (request != nullptr) {
    event.request = request->id;
    event.attempt = request->attempt;
    event.customer = request->spec.customer;
  }
  time_line_.Add(std::move(event), now_.wall);
}

std::vector<std::string> EntryNode::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const Member& member : membership_.Others(now())) {
    if (member.status == MemberStatus::kLeft) continue;
    addresses.push_back(member.record.peer_address);
  }
  return addresses;
}

RequestState* EntryNode::FindRequest(const RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

EntryGroup EntryNode::LiveEntries() const {
  return {membership_.AliveCount(now()), membership_.Ordinal(now())};
}

}  // namespace pollenledge
