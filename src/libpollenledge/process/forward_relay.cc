#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Requests that pass through another node, in `ForwardNode`, because this one
// has no path to the upstreams. A request passes through one node at most.

namespace pollenledge {
namespace {

/// Maximum number of nodes that one request is relayed to.
constexpr std::size_t kMaxRelays = 2;
/// Number of upstreams of a service that are probed at a time.
constexpr std::size_t kProbesAtATime = 4;
constexpr int kStatusUnavailable = 503;
/// A node's response to a relayed request for which its tables are too old.
constexpr int kStatusMisdirected = 421;

}  // namespace

// The path to the upstreams.

void ForwardNode::OnConnectFailed(const std::string& service,
                                  const std::string& upstream) {
  const int usable = upstreams_.UsableCount(service);
  if (!paths_.OnConnectFailed(service, upstream,
                              static_cast<std::size_t>(usable)))
    return;
  const bool is_lost = paths_.IsLost(service);
  Emit(forward_action::WriteLogLine{
      is_lost ? LogLevel::kWarn : LogLevel::kInfo,
      is_lost ? "upstreams_unreachable" : "upstream_path_suspected",
      {{"service", service},
       {"last_upstream", upstream},
       {"usable_upstreams", std::to_string(usable)}}});
  if (!is_lost) ProbePaths();
}

void ForwardNode::OnUpstreamContact(const std::string& service) {
  if (!paths_.OnContact(service)) return;
  // The failures before were those of this node's path.
  upstreams_.ClearBackoffs(service, now());
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo, "upstreams_reachable", {{"service", service}}});
  DispatchQueued(service);
}

void ForwardNode::ProbePaths() {
  probed_at_ = now();
  for (const std::string& service : paths_.DoubtfulServices()) {
    std::vector<ForwardUpstreamInfo> usable = upstreams_.Usable(service);
    std::shuffle(usable.begin(), usable.end(), random_);
    // Those that have not failed tell more.
    std::stable_partition(usable.begin(), usable.end(),
                          [&](const ForwardUpstreamInfo& upstream) {
                            return !paths_.HasFailed(service, upstream.id.name);
                          });
    if (usable.size() > kProbesAtATime) usable.resize(kProbesAtATime);
    for (const ForwardUpstreamInfo& upstream : usable) {
      Emit(forward_action::ProbeUpstream{upstream.id, upstream.address});
    }
  }
}

void ForwardNode::On(const forward_event::UpstreamProbed& probed) {
  const ForwardUpstream* upstream = upstreams_.Find(probed.upstream.name);
  if (upstream == nullptr) return;
  const std::string service = upstream->info.service;
  if (probed.reached) {
    OnUpstreamContact(service);
  } else if (paths_.StateOf(service) != PathState::kReachable) {
    OnConnectFailed(service, probed.upstream.name);
  }
}

// Relaying.

std::optional<NotRun> ForwardNode::CheckTablesVersion(const Request& request) {
  const std::uint64_t needed = request.spec.min_tables_version;
  if (needed <= request.tables_index->tables().version) return std::nullopt;
  RecordPeerTablesVersion(needed);
  return NotRun{kStatusMisdirected,
                "outdated-tables",
                "this node's tables are older than those of the sending node",
                {}};
}

std::vector<const MemberRecord*> ForwardNode::RelayCandidates(
    const Request& request) const {
  std::vector<const MemberRecord*> candidates;
  for (const MemberRecord* member : membership_.LiveOthers(now())) {
    const bool lacks_path =
        std::find(member->unreachable_services.begin(),
                  member->unreachable_services.end(),
                  request.service) != member->unreachable_services.end();
    const bool tried =
        std::find(request.tried_relays.begin(), request.tried_relays.end(),
                  member->id.name) != request.tried_relays.end();
    const bool may_be_outdated =
        !member->checks_tables_version && !HasTablesOf(*member, request);
    if (!lacks_path && !tried && !member->draining && !may_be_outdated)
      candidates.push_back(member);
  }
  return candidates;
}

bool ForwardNode::HasTablesOf(const MemberRecord& member,
                              const Request& request) {
  return member.tables_version >= request.tables_index->tables().version;
}

const MemberRecord* ForwardNode::ChooseRelay(const Request& request) {
  std::vector<const MemberRecord*> candidates = RelayCandidates(request);
  const auto is_near = [this](const MemberRecord* member) {
    return member->domain == options_.self.domain;
  };
  // Traffic within the failure domain is cheaper.
  const auto far =
      std::partition(candidates.begin(), candidates.end(), is_near);
  if (far != candidates.begin()) candidates.erase(far, candidates.end());
  const auto outdated = std::partition(candidates.begin(), candidates.end(),
                                       [&request](const MemberRecord* member) {
                                         return HasTablesOf(*member, request);
                                       });
  if (outdated != candidates.begin())
    candidates.erase(outdated, candidates.end());
  if (candidates.empty()) return nullptr;
  return candidates[random_() % candidates.size()];
}

bool ForwardNode::MayRelay(const Request& request) const {
  if (request.spec.is_relayed || request.tried_relays.size() >= kMaxRelays)
    return false;
  if (request.may_have_run && !request.route->IsRetrySafe()) return false;
  if (RunsLeft(request) <= 0) return false;
  if (request.customer != nullptr && !AreKeysFresh(now())) return false;
  return now() < request.deadline;
}

std::string ForwardNode::FirstAttemptOf(const Request& request) {
  if (!request.last_event_id.has_value()) return "";
  return request.spec.first_attempt.empty() ? request.spec.trace_id
                                            : request.spec.first_attempt;
}

int ForwardNode::RunsForRelay(const Request& request) {
  const int left = RunsLeft(request);
  // A long response may outlive the other node, and is resumed elsewhere then.
  const bool is_long = request.route->kind == RouteKind::kStreaming;
  return is_long && left > 1 ? left - 1 : left;
}

bool ForwardNode::Relay(Request* request) {
  if (!MayRelay(*request)) return false;
  const MemberRecord* peer = ChooseRelay(*request);
  if (peer == nullptr) return false;
  // The other node acquires the units and counts the usage.
  if (request->acquired_units > 0) {
    limits_.Refund(request->customer->name, request->acquired_units);
    request->acquired_units = 0;
  }
  request->usage_counted = true;
  request->relay = peer->id.name;
  request->relay_max_runs = RunsForRelay(*request);
  request->tried_relays.push_back(peer->id.name);
  request->sent_at = now();
  request->last_event_at = now();
  request->first_event_received = false;
  LogDecision(LogLevel::kInfo, "relayed", *request,
              {{"peer", peer->id.name},
               {"attempts", std::to_string(request->attempts)},
               {"peer_tables_version", std::to_string(peer->tables_version)},
               {"path_lost", paths_.IsLost(request->service) ? "yes" : "no"}});
  Emit(forward_action::RelayRequest{
      .id = request->id,
      .address = peer->peer_address,
      .deadline = request->deadline,
      .send_before = LatestSendTime(*request),
      .kind = request->route->kind,
      .connection_reuse = request->route->IsRetrySafe()
                              ? ConnectionReuse::kAny
                              : ConnectionReuse::kRecentlyUsed,
      .last_event_id = request->last_event_id,
      .first_attempt = FirstAttemptOf(*request),
      .min_tables_version = request->tables_index->tables().version,
      .max_runs = request->relay_max_runs});
  ScheduleCheck(request);
  return true;
}

bool ForwardNode::RelayAfter(Request* request, ForwardOutcome end) {
  if (paths_.StateOf(request->service) == PathState::kReachable) return false;
  // What an upstream has said about the request counts.
  const bool has_response =
      end == ForwardOutcome::kRejected || end == ForwardOutcome::kFailed;
  if (has_response) return false;
  if (suspects_.RejectedSuspect(request->suspect_fingerprints, now()))
    return false;
  return RelayAgain(request, end);
}

bool ForwardNode::RelayAgain(Request* request, ForwardOutcome end) {
  if (!MayRelay(*request) || RelayCandidates(*request).empty()) return false;
  // An attempt that reached no other process added no load.
  if (end != ForwardOutcome::kNotSent &&
      !retry_budget_.TryAcquire(request->service)) {
    LogRequest(LogLevel::kInfo, "retry_denied", *request,
               {{"reason", "budget"}, {"after", ToString(end)}});
    return false;
  }
  return Relay(request);
}

void ForwardNode::OnRelayEnded(Request* request,
                               const forward_event::AttemptEnded& ended) {
  const std::string peer = std::exchange(request->relay, "");
  request->last_end = ended.end;
  request->last_evidence = ended.evidence;
  LogAttemptEnd("relay_ended", {"peer", peer}, *request, ended);
  const bool not_run = ended.end == ForwardOutcome::kNotSent ||
                       ended.end == ForwardOutcome::kRejected;
  if (!not_run) {
    request->may_have_run = true;
    // The other node may have used all the runs that it was allowed.
    request->possible_runs += request->relay_max_runs;
  }
  switch (ended.end) {
    case ForwardOutcome::kCompleted:
    case ForwardOutcome::kFailed:
      if (request->response_started && ended.end == ForwardOutcome::kFailed) {
        Fail(request, 502, ToString(ended.end));
      } else {
        Finish(request);
      }
      return;
    case ForwardOutcome::kRejected:
      if (ended.status == kStatusMisdirected) {
        // No upstream has received it.
        if (!RelayAgain(request, ForwardOutcome::kNotSent))
          WaitOrGiveUp(request, ended.end, "peers-outdated");
        return;
      }
      // Another node may have room or a path. What the last one says goes to
      // the caller.
      if (ended.status == kStatusUnavailable && RelayAgain(request, ended.end))
        return;
      if (request->may_have_run || request->response_started) {
        WaitOrGiveUp(request, ended.end, ToString(ended.end));
      } else {
        Finish(request);
      }
      return;
    case ForwardOutcome::kNotSent:
    case ForwardOutcome::kConnectionLost:
    case ForwardOutcome::kInvalidResponse:
    case ForwardOutcome::kCancelled:
      if (RelayAgain(request, ended.end)) return;
      WaitOrGiveUp(request, ended.end, ToString(ended.end));
      return;
  }
}

}  // namespace pollenledge
