#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Streams that are resumed, in `ForwardNode`: each goes on only at upstreams
// that run the version of the software that began it.

namespace pollenledge {
namespace {

/// Longest time for which a request waits until the binding of the stream that
/// it resumes is found. Another node that began the stream tells it within
/// `ForwardNode::kStreamTellInterval`.
constexpr Duration kMaxLookupTime = std::chrono::milliseconds(700);
/// Time after which the store is searched again.
constexpr Duration kLookupInterval = std::chrono::milliseconds(200);
/// Maximum number of records in one message.
constexpr std::size_t kMaxStreamsPerMessage = 64;

NotRun UnknownStream(const char* reason, Duration retry_after) {
  return {503, reason, "the stream cannot be resumed; it can begin anew",
          retry_after};
}

std::set<std::string> ServicesOf(const ForwardingRoute& route) {
  std::set<std::string> services;
  for (const WeightedService& weighted : route.services) {
    services.insert(weighted.service);
  }
  return services;
}

bool IsResumable(const ForwardingRoute& route) {
  return route.kind == RouteKind::kStreaming && route.resumable;
}

}  // namespace

// Finding the binding.

bool ForwardNode::ResumesStream(const Request& request) {
  return IsResumable(*request.route) && request.spec.last_event_id.has_value();
}

void ForwardNode::IdentifyStream(Request* request) {
  if (!IsResumable(*request->route)) return;
  const bool resumes = ResumesStream(*request);
  const std::string& first_attempt =
      resumes ? request->spec.first_attempt : request->spec.trace_id;
  if (first_attempt.empty()) return;
  request->stream = StreamVersions::KeyOf(first_attempt);
  if (resumes) request->binding = stream_versions_.Find(*request->stream);
}

std::optional<NotRun> ForwardNode::BindResumedStream(Request* request) {
  if (!ResumesStream(*request)) return std::nullopt;
  if (request->binding.has_value()) {
    if (IsOriginConfirmed(*request)) return CheckBinding(request);
    LogRequest(LogLevel::kInfo, "waits_for_origin", *request,
               {{"after", "resumed"}});
    AwaitOriginOfResumed(request);
    return std::nullopt;
  }
  const bool has_one_version =
      !stream_versions_.IsMixed(request->service, now());
  if (!request->stream.has_value() && !has_one_version)
    return UnknownStream("stream-unknown", Duration(0));
  lookups_.insert(request->id);
  LookUpStream(request);
  return std::nullopt;
}

void ForwardNode::BindToOnlyVersion(Request* request) {
  const std::optional<std::string> only =
      stream_versions_.OnlyVersion(request->service, now());
  if (only.has_value()) request->binding = {request->service, *only};
}

bool ForwardNode::HeardFromMostSince(TimePoint since) const {
  const std::vector<Member> others = membership_.Others(now());
  // Nodes of a large fleet hear of each other less often than requests may
  // wait.
  if (membership_.IsLargeFleet())
    return 2 * membership_.AliveCount(now()) >
           membership_.KnownNodeCount(now());
  const auto heard =
      std::count_if(others.begin(), others.end(), [&](const Member& member) {
        return member.status == MemberStatus::kAlive &&
               member.since_heartbeat < now() - since;
      });
  return 2 * (heard + 1) > membership_.KnownNodeCount(now());
}

std::optional<NotRun> ForwardNode::CheckBinding(Request* request) const {
  if (ServicesOf(*request->route).count(request->binding->service) == 0)
    return UnknownStream("stream-moved", Duration(0));
  request->service = request->binding->service;
  return std::nullopt;
}

void ForwardNode::LookUpStream(Request* request) {
  request->next_lookup_at = std::min<TimePoint>(
      now() + kLookupInterval, request->arrived_at + kMaxLookupTime);
  // What this node knows of versions may be older than the stream. A version is
  // recorded before its first stream, so records that are read now show it.
  const bool has_one_version =
      !stream_versions_.IsMixed(request->service, now());
  Emit(forward_action::LookUpStream{request->id,
                                    request->stream.value_or(Fingerprint()),
                                    has_one_version ? request->service : ""});
}

void ForwardNode::ContinueLookup(Request* request) {
  if (!IsOriginConfirmed(*request) &&
      now() < request->arrived_at + kMaxLookupTime) {
    AwaitOriginOfResumed(request);
    return;
  }
  if (!IsOriginConfirmed(*request)) {
    if (stream_versions_.IsMixed(request->service, now())) {
      RejectUnboundStream(request, "stream-unconfirmed", kDefaultRetryAfter);
    } else {
      OnBindingKnown(request, "versions");
    }
    return;
  }
  if (request->stream.has_value())
    request->binding = stream_versions_.Find(*request->stream);
  if (request->binding.has_value()) {
    OnBindingKnown(request, "peer");
    return;
  }
  if (now() >= request->arrived_at + kMaxLookupTime) {
    EndLookup(request);
    return;
  }
  LookUpStream(request);
  ScheduleCheck(request);
}

void ForwardNode::EndLookup(Request* request) {
  // While the store is away nobody learns of new versions but from a node that
  // has seen them, and the nodes tell each other which versions begin streams.
  const bool may_rely_on_peers =
      !request->store_answered && HeardFromMostSince(request->arrived_at);
  if (may_rely_on_peers) BindToOnlyVersion(request);
  if (request->binding.has_value()) {
    OnBindingKnown(request, "peers");
    return;
  }
  RejectUnboundStream(request, "stream-unknown", kDefaultRetryAfter);
}

void ForwardNode::On(const forward_event::StreamLookedUp& lookup) {
  if (lookup.versions.has_value()) {
    LogMixedServices(stream_versions_.OnRecordsRead(*lookup.versions, now()));
    UpdateVersionRecords();
  }
  Request* request = FindRequest(lookup.id);
  if (request == nullptr || !request->next_lookup_at.has_value()) return;
  request->store_answered = request->store_answered || lookup.store_responded;
  if (lookup.binding.has_value() && request->stream.has_value()) {
    stream_versions_.Learn({*request->stream, *lookup.binding}, now());
    request->binding = lookup.binding;
    OnBindingKnown(request, "store");
    return;
  }
  if (!lookup.versions.has_value()) return;  // `ContinueLookup` goes on.
  BindToOnlyVersion(request);
  if (request->binding.has_value()) OnBindingKnown(request, "versions");
}

void ForwardNode::OnBindingKnown(Request* request, const char* source) {
  request->next_lookup_at.reset();
  lookups_.erase(request->id);
  LogRequest(LogLevel::kInfo, "stream_bound", *request,
             {{"first_attempt", request->spec.first_attempt},
              {"bound_service", request->binding->service},
              {"software_version", request->binding->software_version},
              {"source", source},
              {"took_ms", FormatMilliseconds(now() - request->arrived_at)}});
  if (std::optional<NotRun> not_run = CheckBinding(request)) {
    Reject(request, std::move(*not_run));
    return;
  }
  if (request->customer != nullptr && !AreKeysFresh(now())) {
    RejectUnboundStream(request, "stale-configuration", kDefaultRetryAfter);
    return;
  }
  ScheduleCheck(request);
  Dispatch(request);
}

void ForwardNode::RejectUnboundStream(Request* request, const char* reason,
                                      Duration retry_after) {
  Reject(request, UnknownStream(reason, retry_after));
}

// Choosing an upstream.

std::optional<std::string> ForwardNode::RequiredVersion(
    const Request& request) const {
  if (!request.binding.has_value()) return std::nullopt;
  const std::string& version = request.binding->software_version;
  const std::optional<std::string> only =
      stream_versions_.OnlyVersion(request.service, now());
  if (only == version) return std::nullopt;
  return version;
}

void ForwardNode::RestrictVersions(const Request& request,
                                   UpstreamCriteria* query) const {
  if (!request.stream.has_value()) return;
  query->software_version = RequiredVersion(request);
  if (request.binding.has_value()) return;
  if (stream_versions_.StatesVersions(request.service))
    query->exclude_versions.push_back("");
  std::vector<std::string> unrecorded;
  int unrecorded_upstreams = 0;
  for (const StreamBinding& version :
       stream_versions_.Unrecorded({request.service})) {
    unrecorded.push_back(version.software_version);
    unrecorded_upstreams +=
        upstreams_.UsableCount(request.service, version.software_version);
  }
  if (unrecorded.empty() ||
      unrecorded_upstreams == upstreams_.UsableCount(request.service))
    return;
  query->exclude_versions.insert(query->exclude_versions.end(),
                                 unrecorded.begin(), unrecorded.end());
}

void ForwardNode::BindStream(Request* request,
                             const forward_event::FirstEventReceived& first) {
  if (!request->stream.has_value()) return;
  if (!request->binding.has_value())
    request->binding = {request->service, request->current_version};
  stream_versions_.Bind({*request->stream, *request->binding}, now());
  TrackOrigin(*request, first);
}

// Versions.

std::set<std::string> ForwardNode::ResumableServices() const {
  std::set<std::string> services;
  if (tables_index_ == nullptr) return services;
  for (const ForwardingRoute& route : tables_index_->tables().routes) {
    if (IsResumable(route)) services.merge(ServicesOf(route));
  }
  return services;
}

std::set<std::string> ForwardNode::MovedServices(
    const ForwardingTables& tables) const {
  std::set<std::string> moved;
  if (tables_index_ == nullptr) return moved;
  for (const ForwardingRoute& route : tables.routes) {
    const ForwardingRoute* previous =
        tables_index_->FindRoute(route.host, route.path_prefix);
    if (!IsResumable(route) || previous == nullptr) continue;
    std::set<std::string> services = ServicesOf(route);
    if (services == ServicesOf(*previous)) continue;
    services.merge(ServicesOf(*previous));
    moved.merge(services);
  }
  return moved;
}

void ForwardNode::On(const forward_event::VersionRecordsRead& read) {
  if (read.streams_lost) stream_versions_.OnRecordsLost();
  LogMixedServices(stream_versions_.OnRecordsRead(read.versions, now()));
  UpdateVersionRecords();
  DispatchAllQueued();
}

void ForwardNode::UpdateVersionRecords() {
  forward_action::UpdateVersionRecords update;
  update.added = stream_versions_.Unrecorded(ResumableServices());
  if (IsDutyCandidate(now())) update.removed = stream_versions_.Expired(now());
  if (update.added.empty() && update.removed.empty()) return;
  Emit(std::move(update));
}

void ForwardNode::LogMixedServices(const std::set<std::string>& services) {
  for (const std::string& service : services) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "software_versions_mixed",
        {{"service", service},
         {"known_streams", std::to_string(stream_versions_.binding_count())},
         {"upstreams_revision", std::to_string(upstream_list_.revision())}}});
  }
  if (!services.empty()) TellStreams();
}

// Telling peers and the store.

void ForwardNode::TellStreams() {
  streams_told_at_ = now();
  std::vector<StreamRecord> records = stream_versions_.TakeUntold(now());
  if (records.empty()) return;
  if (FollowsCollectors(now())) {
    stream_outbox_.Add(records);
    return;
  }
  if (!membership_.IsLargeFleet()) TellPeers(records);
  Emit(forward_action::RecordStreams{std::move(records)});
}

void ForwardNode::TellPeers(const std::vector<StreamRecord>& records) {
  Heartbeat message;
  message.records = {membership_.self().WithoutCounters()};
  for (std::size_t first = 0; first < records.size();
       first += kMaxStreamsPerMessage) {
    const std::size_t end =
        std::min(records.size(), first + kMaxStreamsPerMessage);
    message.stream_records.assign(
        records.begin() + static_cast<std::ptrdiff_t>(first),
        records.begin() + static_cast<std::ptrdiff_t>(end));
    for (const std::string& address : membership_.BroadcastTargets(now())) {
      Emit(forward_action::SendHeartbeat{{address, message}});
    }
  }
}

void ForwardNode::LearnStreams(const Heartbeat& heartbeat) {
  for (const StreamRecord& record : heartbeat.stream_records) {
    stream_versions_.Learn(record, now());
  }
  if (heartbeat.stream_records.empty()) return;
  // Nodes of a large fleet let a collector write.
  if (heartbeat.requests_levels)
    Emit(forward_action::RecordStreams{heartbeat.stream_records});
  for (const ForwardId id : std::set<ForwardId>(lookups_)) {
    Request* request = FindRequest(id);
    if (request == nullptr || !request->stream.has_value() ||
        !IsOriginConfirmed(*request))
      continue;
    request->binding = stream_versions_.Find(*request->stream);
    if (request->binding.has_value()) OnBindingKnown(request, "peer");
  }
}

}  // namespace pollenledge
