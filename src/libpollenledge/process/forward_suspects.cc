#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Detection, isolation and rejection of crash-causing requests in
// `ForwardNode`.

namespace pollenledge {
namespace {

/// Losses of connections to one upstream within this time after the first one
/// are attributed to the same crash, except for requests sent after it.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);
/// Retry-After of a request while another one with the same suspect is being
/// tried. By then the latter is usually sound or has crashed its upstream.
constexpr Duration kTrialRetryAfter = std::chrono::seconds(1);

/// In a large fleet, new crashes are reported to this many peers at a time, and
/// again only after the interval. Each node passes on what it receives, so that
/// without a bound a few crashes fill the links of small machines.
constexpr std::size_t kLargeFleetSuspectTargets = 3;
constexpr Duration kLargeFleetSuspectInterval = std::chrono::milliseconds(125);
/// Interval at which expired suspects are removed.
constexpr Duration kExpiryInterval = std::chrono::seconds(10);
/// Interval at which suspects are exchanged through the store while there may
/// be unknown nodes. With the time of a write, crashes are known everywhere
/// within the 3 s that a report may take.
constexpr Duration kSyncInterval = std::chrono::seconds(1);
/// Nodes that do not know each other retry a suspect in different slots, each
/// of which is long enough for a crash to become known everywhere.
constexpr Duration kRetrialSlot = std::chrono::seconds(3);
constexpr std::uint64_t kRetrialSlots = 32;
/// Maximum number of prompt segments in one log line.
constexpr std::size_t kMaxLoggedSegments = 8;

/// Formats a segment id as the platform writes it, so that a log line can be
/// compared with a request's headers.
std::string FormatSegment(std::uint64_t id) {
  std::array<char, 24> hex{};
  std::snprintf(hex.data(), hex.size(), "%llx",
                static_cast<unsigned long long>(id));
  return hex.data();
}

/// Formats the ids of the shared prompt segments, separated by commas.
std::string FormatSegments(const ForwardSpec& spec) {
  std::vector<std::uint64_t> ids = SharedSegmentIds(spec);
  if (ids.size() > kMaxLoggedSegments) ids.resize(kMaxLoggedSegments);
  std::string text;
  for (const std::uint64_t id : ids) {
    text += (text.empty() ? "" : ",") + FormatSegment(id);
  }
  return text;
}

}  // namespace

std::optional<NotRun> ForwardNode::CheckSuspect(Request* request) {
  if (!suspects_loaded_) {
    return NotRun{503, "starting",
                  "crash-causing requests have not been loaded yet",
                  kDefaultRetryAfter};
  }
  if (suspects_.size() == 0) return std::nullopt;
  const std::optional<Fingerprint> rejected =
      suspects_.RejectedSuspect(request->suspect_fingerprints, now());
  const bool is_trial = IsSuspect(*request);
  const bool is_being_tried = is_trial && HasActiveTrial(*request);
  if (rejected.has_value()) {
    if (is_being_tried || !MayRetrySuspect(*rejected)) {
      return RejectAsCrashing(*request, *rejected);
    }
    request->is_retrial = true;
    LogRequest(LogLevel::kInfo, "suspect_tried_again", *request,
               {{"suspect", ToHex(*rejected)}});
    return std::nullopt;
  }
  if (is_being_tried) {
    return NotRun{503, "tried-alone",
                  "connections to upstreams were lost while they ran requests "
                  "like this one; another one is being tried",
                  kTrialRetryAfter};
  }
  return std::nullopt;
}

NotRun ForwardNode::RejectAsCrashing(const Request& request,
                                     const Fingerprint& suspect) {
  const Duration remaining =
      suspects_.RemainingRejection(suspect, now()).value_or(kTrialRetryAfter);
  LogRequest(
      LogLevel::kInfo, "suspect_found", request,
      {{"suspect", ToHex(suspect)},
       {"segment", SegmentOf(request, suspect)},
       {"prompt_segments", FormatSegments(request.spec)},
       {"crashes", std::to_string(suspects_.CrashCount(suspect))},
       {"seen_here", suspects_.ObservedCrashLocally(suspect) ? "yes" : "no"}});
  suspects_.OnRequestRejected(request.suspect_fingerprints, now());
  return NotRun{503, "ends-upstreams",
                "connections to upstreams were lost while they ran this "
                "request or a part of its prompt; it is rejected for a while",
                remaining};
}

std::string ForwardNode::SegmentOf(const Request& request,
                                   const Fingerprint& suspect) {
  const std::vector<std::uint64_t> segments = SharedSegmentIds(request.spec);
  const std::size_t first = request.own_fingerprints.size();
  for (std::size_t i = 0; i < segments.size(); ++i) {
    if (request.suspect_fingerprints[first + i] == suspect) {
      return FormatSegment(segments[i]);
    }
  }
  return "none";
}

bool ForwardNode::IsSuspect(const Request& request) const {
  return suspects_.SuspicionOf(request.suspect_fingerprints, now()) !=
         Suspicion::kNone;
}

bool ForwardNode::MayCrash(const Request& request) const {
  // Many callers may send the same request, so that its begun responses are in
  // crashes of any cause.
  return !request.current_upstream.empty() &&
         request.phase == RunPhase::kStarting;
}

bool ForwardNode::HasActiveTrial(const Request& request) const {
  std::vector<Fingerprint> suspected;
  for (const Fingerprint& fingerprint : request.suspect_fingerprints) {
    if (suspects_.SuspicionOf(fingerprint, now()) == Suspicion::kNone) continue;
    if (suspects_.IsVouchedFor(fingerprint, now())) continue;
    suspected.push_back(fingerprint);
  }
  return std::any_of(
      requests_.begin(), requests_.end(), [&](const auto& entry) {
        const Request& other = entry.second;
        return other.id != request.id &&
               (other.IsWaiting() || MayCrash(other)) &&
               std::find_first_of(suspected.begin(), suspected.end(),
                                  other.suspect_fingerprints.begin(),
                                  other.suspect_fingerprints.end()) !=
                   suspected.end();
      });
}

bool ForwardNode::MayRetrySuspect(const Fingerprint& suspect) {
  const auto weight = [&suspect](const MemberRecord& member) {
    const std::string& name = member.id.name;
    return XXH64(name.data(), name.size(), suspect.low);
  };
  const std::uint64_t own_weight = weight(membership_.self());
  Duration delay{0};
  if (!membership_.HasLiveSeed(now())) {
    delay = kRetrialSlot * static_cast<int>(own_weight % kRetrialSlots);
  }
  if (!suspects_.IsRetrialDue(suspect, now() - delay)) return false;
  // Rendezvous hashing: the nodes agree on one of them.
  const std::vector<Member> others = membership_.Others(now());
  return std::all_of(others.begin(), others.end(), [&](const Member& member) {
    return member.status != MemberStatus::kAlive ||
           weight(member.record) < own_weight;
  });
}

void ForwardNode::IsolateSuspects(const Request& request,
                                  UpstreamCriteria* query) const {
  if (suspects_.size() == 0) return;
  const Suspicion suspicion =
      suspects_.SuspicionOf(request.suspect_fingerprints, now());
  query->least_loaded = suspicion >= Suspicion::kIsolated;
  // A suspect avoids upstreams that run any other suspect. A request that is
  // not suspected avoids only upstreams that run an isolated suspect.
  const Suspicion avoided_suspicion = suspicion == Suspicion::kNone
                                          ? Suspicion::kIsolated
                                          : Suspicion::kSeparated;
  for (const auto& [id, other] : requests_) {
    if (!MayCrash(other) || id == request.id) continue;
    if (suspects_.SuspicionOf(other.suspect_fingerprints, now()) >=
        avoided_suspicion) {
      query->avoid.push_back(other.current_upstream);
    }
  }
}

void ForwardNode::RecordSoundResponse(Request* request, RunPhase reached,
                                      TimePoint began_at) {
  if (request->phase >= reached) return;
  request->phase = reached;
  for (const Fingerprint& cleared : suspects_.OnSoundResponse(
           request->suspect_fingerprints, began_at, reached)) {
    LogRequest(LogLevel::kWarn, "suspect_cleared", *request,
               {{"suspect", ToHex(cleared)},
                {"upstream", request->current_upstream},
                {"began_before_ms", FormatMilliseconds(now() - began_at)}});
  }
}

void ForwardNode::OnConnectionLost(const Request& request) {
  const ForwardUpstream* upstream = upstreams_.Find(request.current_upstream);
  // A loss that was announced is not attributed to any request.
  if (upstream == nullptr || upstream->info.leaving) return;
  ConnectionLoss& loss = connection_losses_[request.current_upstream];
  const bool same_loss = loss.upstream == upstream->info.id &&
                         request.sent_at <= loss.observed_at &&
                         now() - loss.observed_at < kSameCrashWindow;
  if (!same_loss) RecordConnectionLoss(*upstream, &loss);
  if (!MayCrash(request)) return;
  const std::vector<Fingerprint>& suspects = request.suspect_fingerprints;
  for (const BlamedSuspect& suspect : loss.suspects) {
    if (std::find(suspects.begin(), suspects.end(), suspect.fingerprint) ==
        suspects.end())
      continue;
    LogSuspected(request, suspect);
    if (!suspects_.AttributeCrash(suspect, loss.crash_id, request.sent_at,
                                  upstream->info.domain, now())) {
      continue;
    }
    OnSuspectRejected(suspect.fingerprint);
  }
  PersistSuspects();
}

void ForwardNode::LogSuspected(const Request& request,
                               const BlamedSuspect& suspect) {
  LogRequest(LogLevel::kWarn, "suspected", request,
             {{"upstream", request.current_upstream},
              {"suspect", ToHex(suspect.fingerprint)},
              {"segment", SegmentOf(request, suspect.fingerprint)},
              {"prompt_segments", FormatSegments(request.spec)},
              {"earlier_crashes",
               std::to_string(suspects_.CrashCount(suspect.fingerprint))},
              {"others_to_blame", suspect.shared ? "yes" : "no"},
              {"first_event_seen", request.first_event_received ? "yes" : "no"},
              {"since_send_ms", FormatMilliseconds(now() - request.sent_at)}});
}

void ForwardNode::RecordConnectionLoss(const ForwardUpstream& upstream,
                                       ConnectionLoss* loss) {
  if (loss->upstream != upstream.info.id) loss->observed_losses = 0;
  loss->upstream = upstream.info.id;
  loss->crash_id = CrashIdOf(upstream.info.id, loss->observed_losses++,
                             options_.self.id.name);
  loss->observed_at = now();
  std::vector<SuspectRun> running;
  for (const auto& [id, other] : requests_) {
    if (other.current_upstream == upstream.info.id.name && MayCrash(other)) {
      running.push_back({other.suspect_fingerprints, other.sent_at});
    }
  }
  loss->suspects = suspects_.MostSuspected(running, now());
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "upstream_lost",
      {{"upstream", upstream.info.id.name},
       {"incarnation", std::to_string(upstream.info.id.incarnation)},
       {"requests", std::to_string(running.size())},
       {"to_blame", std::to_string(loss->suspects.size())}}});
}

void ForwardNode::OnSuspectRejected(const Fingerprint& fingerprint) {
  has_new_rejections_ = true;
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "suspect_rejected",
      {{"suspect", ToHex(fingerprint)},
       {"crashes", std::to_string(suspects_.CrashCount(fingerprint))},
       {"seen_here",
        suspects_.ObservedCrashLocally(fingerprint) ? "yes" : "no"}}});
}

void ForwardNode::PersistSuspects() {
  const std::vector<CrashReport> reports = suspects_.CrashesToPersist(
      membership_.HasLiveSeed(now()) ? PersistFrom::kSecondCrash
                                     : PersistFrom::kFirstCrash,
      now());
  if (!reports.empty()) Emit(forward_action::PersistSuspects{reports});
}

void ForwardNode::SyncSuspects() {
  // Until then the first read is under way.
  if (!suspects_loaded_) return;
  if (membership_.HasLiveSeed(now()) || FollowsCollectors(now())) return;
  if (now() - suspects_synced_at_ < kSyncInterval) return;
  suspects_synced_at_ = now();
  PersistSuspects();
  Emit(forward_action::ReadSuspects{});
}

void ForwardNode::EndRejectedRequests() {
  if (!has_new_rejections_) return;
  has_new_rejections_ = false;
  std::vector<ForwardId> ids;
  for (const auto& [id, request] : requests_) {
    const bool may_end = request.IsWaiting() ||
                         (MayCrash(request) && !request.first_event_received);
    if (may_end && !request.is_retrial &&
        suspects_.RejectedSuspect(request.suspect_fingerprints, now())) {
      ids.push_back(id);
    }
  }
  for (const ForwardId id : ids) {
    Request* request = FindRequest(id);
    if (request->IsWaiting()) {
      GiveUp(request, ForwardOutcome::kNotSent, "ends-upstreams");
      continue;
    }
    Emit(forward_action::CancelAttempt{id});
    FinalizeAttempt(request, ForwardOutcome::kCancelled);
    WaitOrGiveUp(request, ForwardOutcome::kCancelled, "ends-upstreams");
  }
}

void ForwardNode::ApplySuspectReports(
    const std::vector<SuspectReport>& reports) {
  for (const SuspectReport& report : reports) {
    const std::optional<Fingerprint> newly_rejected =
        suspects_.OnReport(report, now());
    if (newly_rejected.has_value()) OnSuspectRejected(*newly_rejected);
  }
  EndRejectedRequests();
}

void ForwardNode::SendSuspectReports() {
  if (!suspects_.HasUnsentReports()) return;
  const bool is_large = membership_.IsLargeFleet();
  if (is_large && now() < NextSuspectReportTime()) return;
  suspects_sent_at_ = now();
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self().WithoutCounters()};
  heartbeat.suspect_reports =
      suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  std::vector<std::string> targets = membership_.BroadcastTargets(now());
  if (is_large)
    targets.resize(std::min(targets.size(), kLargeFleetSuspectTargets));
  for (const std::string& address : targets) {
    Emit(forward_action::SendHeartbeat{{address, heartbeat}});
  }
}

TimePoint ForwardNode::NextSuspectReportTime() const {
  return suspects_sent_at_ + kLargeFleetSuspectInterval;
}

void ForwardNode::ExpireSuspects() {
  if (now() - suspects_expired_at_ < kExpiryInterval) return;
  suspects_expired_at_ = now();
  suspects_.RemoveExpired(now());
  std::erase_if(connection_losses_, [this](const auto& entry) {
    return upstreams_.Find(entry.first) == nullptr;
  });
}

void ForwardNode::On(const forward_event::SuspectsRead& read) {
  suspects_loaded_ = true;
  ApplySuspectReports(read.reports);
}

void ForwardNode::On(const forward_event::SuspectLifted& lifted) {
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "suspect_lifted",
      {{"suspect", ToHex(lifted.fingerprint)},
       {"crashes", std::to_string(suspects_.CrashCount(lifted.fingerprint))}}});
  // Peers receive it like the evidence of a sound response.
  suspects_.OnSoundResponse({lifted.fingerprint}, now(), RunPhase::kCompleted);
  SendSuspectReports();
}

}  // namespace pollenledge
