#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "pollenledge/process/forward_node.h"

// Which process sent the events of a stream, in `ForwardNode`: a stream goes on
// elsewhere only once it is known which version sent what its caller has.

namespace pollenledge {
namespace {

/// Longest time for which a begun stream waits for a list of upstreams that
/// shows which process sent its events. Callers abandon a stream after a gap of
/// two seconds or more.
constexpr Duration kMaxOriginWait = std::chrono::milliseconds(1500);
/// Interval at which the list is asked for meanwhile.
constexpr Duration kOriginCheckInterval = std::chrono::milliseconds(100);

/// Returns the version that a stream is bound to if its events may be those of
/// either version. No upstream runs it.
std::string EitherVersion(const std::string& first, const std::string& second) {
  return first + " or " + second;
}

}  // namespace

void ForwardNode::TrackOrigin(const Request& request,
                              const forward_event::FirstEventReceived& first) {
  if (first.process_verified || request.current_version.empty()) return;
  const UpstreamId upstream{request.current_upstream,
                            request.current_incarnation};
  const TimePoint connected_at = first.connected_at.value_or(now());
  const std::optional<TimePoint>& confirmed_at = upstream_list_.confirmed_at();
  const bool is_confirmed = upstreams_.IsListed(upstream) &&
                            confirmed_at.has_value() &&
                            *confirmed_at > connected_at;
  if (is_confirmed) return;
  stream_origins_.Add({*request.stream, *request.binding, upstream,
                       request.current_version, connected_at});
}

bool ForwardNode::IsOriginConfirmed(const Request& request) const {
  return !request.stream.has_value() ||
         stream_origins_.IsConfirmed(*request.stream);
}

// Requests that wait.

void ForwardNode::ContinueAfter(Request* request, ForwardOutcome end) {
  if (IsOriginConfirmed(*request) || !request->response_started) {
    RetryOrGiveUp(request, end);
    return;
  }
  LogRequest(LogLevel::kInfo, "waits_for_origin", *request,
             {{"after", ToString(end)}});
  request->origin_wait = OriginWait{end, now() + kMaxOriginWait, now()};
  origin_waits_.insert(request->id);
  CheckOriginWait(request);
}

void ForwardNode::CheckOriginWait(Request* request) {
  OriginWait& wait = *request->origin_wait;
  const bool is_confirmed = IsOriginConfirmed(*request);
  if (!is_confirmed && now() < wait.until) {
    Emit(forward_action::ReadUpstreams{});
    wait.next_check_at =
        std::min<TimePoint>(now() + kOriginCheckInterval, wait.until);
    ScheduleCheck(request);
    return;
  }
  const ForwardOutcome end = wait.end;
  request->origin_wait.reset();
  origin_waits_.erase(request->id);
  if (!is_confirmed) OnOriginUnknown(request);
  RetryOrGiveUp(request, end);
}

void ForwardNode::OnOriginUnknown(Request* request) {
  const bool is_mixed = stream_versions_.IsMixed(request->service, now());
  LogRequest(LogLevel::kWarn, "origin_unknown", *request,
             {{"mixed", is_mixed ? "yes" : "no"}});
  if (!is_mixed || !request->binding.has_value()) return;
  request->binding = Unbind(*request->stream, *request->binding, "unknown");
  stream_origins_.Forget(*request->stream);
  TellStreams();
}

void ForwardNode::AwaitOriginOfResumed(Request* request) {
  lookups_.insert(request->id);
  request->next_lookup_at = now() + kOriginCheckInterval;
  Emit(forward_action::ReadUpstreams{});
  ScheduleCheck(request);
}

void ForwardNode::ContinueConfirmed() {
  for (const ForwardId id : std::set<ForwardId>(origin_waits_)) {
    Request* request = FindRequest(id);
    if (request != nullptr && IsOriginConfirmed(*request))
      CheckOriginWait(request);
  }
  for (const ForwardId id : std::set<ForwardId>(lookups_)) {
    Request* request = FindRequest(id);
    // Others wait for a binding that this node doesn't know.
    if (request == nullptr || !request->binding.has_value() ||
        !IsOriginConfirmed(*request))
      continue;
    OnBindingKnown(request, "list");
  }
}

// Changes of the list.

void ForwardNode::MarkReplacedAttempts(
    const std::vector<ForwardUpstreamInfo>& list) {
  std::map<std::string, std::string> replaced;  // The new version, by name.
  for (const ForwardUpstreamInfo& info : list) {
    const auto known = upstreams_.all().find(info.id.name);
    if (known == upstreams_.all().end()) continue;
    const ForwardUpstreamInfo& previous = known->second.info;
    if (previous.id != info.id &&
        previous.software_version != info.software_version)
      replaced[info.id.name] = info.software_version;
  }
  if (replaced.empty()) return;
  for (auto& [id, request] : requests_) {
    const auto found = replaced.find(request.current_upstream);
    if (!request.stream.has_value() || request.first_event_received ||
        found == replaced.end())
      continue;
    request.current_version =
        EitherVersion(request.current_version, found->second);
  }
}

void ForwardNode::CheckOrigins() {
  std::map<Fingerprint, StreamBinding> unbound;
  for (const ReplacedPart& replaced : stream_origins_.OnListed(
           upstream_list_.upstreams(), upstream_list_.confirmed_at())) {
    const Fingerprint& stream = replaced.part.stream;
    unbound[stream] =
        Unbind(stream, replaced.part.binding, replaced.listed.software_version);
  }
  if (!unbound.empty()) {
    for (auto& [id, request] : requests_) {
      if (!request.stream.has_value()) continue;
      const auto found = unbound.find(*request.stream);
      if (found != unbound.end()) request.binding = found->second;
    }
    TellStreams();
  }
  ContinueConfirmed();
}

StreamBinding ForwardNode::Unbind(const Fingerprint& stream,
                                  StreamBinding binding,
                                  const std::string& other_version) {
  binding.software_version =
      EitherVersion(binding.software_version, other_version);
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "stream_unbound",
      {{"stream", ToHex(stream)},
       {"software_version", binding.software_version}}});
  stream_versions_.Bind({stream, binding}, now());
  return binding;
}

}  // namespace pollenledge
