#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Detection, isolation and rejection of crash-causing requests in
// `ForwardNode`.

namespace pollenledge {
namespace {

/// Attempts at one upstream whose connections are lost within this time after
/// the first one are attributed to the same crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);
/// Retry-After while the same request already runs isolated. By then it has
/// usually completed or crashed its upstream.
constexpr Duration kIsolatedRetryAfter = std::chrono::seconds(1);
/// Interval at which expired suspects are removed.
constexpr Duration kExpiryInterval = std::chrono::seconds(10);

}  // namespace

std::optional<NotRun> ForwardNode::CheckSuspect(const Request& request) const {
  if (!suspects_known_) {
    return NotRun{503, "starting",
                  "crash-causing requests have not been loaded yet",
                  kDefaultRetryAfter};
  }
  if (const auto remaining = suspects_.RefusedFor(request.fingerprint, now())) {
    return NotRun{503, "ends-upstreams",
                  "connections to upstreams were lost while they ran this "
                  "request; it is rejected for a while",
                  *remaining};
  }
  const bool runs_isolated =
      suspects_.Of(request.fingerprint, now()) == Suspicion::kAlone;
  if (runs_isolated && IsTried(request)) {
    return NotRun{503, "tried-alone",
                  "connections to upstreams were lost while they ran this "
                  "request; it is already running isolated",
                  kIsolatedRetryAfter};
  }
  return std::nullopt;
}

bool ForwardNode::IsSuspect(const Request& request) const {
  return suspects_.Of(request.fingerprint, now()) != Suspicion::kNone;
}

bool ForwardNode::IsTried(const Request& request) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const auto& entry) {
                       const Request& other = entry.second;
                       return other.id != request.id &&
                              other.fingerprint == request.fingerprint &&
                              (other.queued || !other.upstream.empty());
                     });
}

void ForwardNode::KeepApart(const Request& request,
                            UpstreamQuery* query) const {
  if (suspects_.size() == 0) return;
  const Suspicion suspicion = suspects_.Of(request.fingerprint, now());
  query->least_loaded = suspicion == Suspicion::kAlone;
  // A suspect avoids upstreams that run any other suspect. A request that is
  // not suspected avoids only upstreams that run an isolated suspect.
  const Suspicion avoided_suspicion =
      suspicion == Suspicion::kNone ? Suspicion::kAlone : Suspicion::kApart;
  for (const auto& [id, other] : requests_) {
    if (other.upstream.empty() || id == request.id) continue;
    if (suspects_.Of(other.fingerprint, now()) >= avoided_suspicion) {
      query->avoid.push_back(other.upstream);
    }
  }
}

void ForwardNode::OnUpstreamLost(const Request& request) {
  const ForwardUpstream* upstream = upstreams_.Find(request.upstream);
  // A loss that was announced is not attributed to any request.
  if (upstream == nullptr || upstream->info.leaving) return;
  UpstreamLoss& loss = losses_[request.upstream];
  const bool same_loss = loss.upstream == upstream->info.id &&
                         request.sent_at <= loss.at &&
                         now() - loss.at < kSameCrashWindow;
  if (!same_loss) NoteLoss(*upstream, &loss);
  const std::vector<Fingerprint>& suspects = loss.blamed;
  if (std::find(suspects.begin(), suspects.end(), request.fingerprint) ==
      suspects.end()) {
    return;
  }
  const bool newly_rejected =
      suspects_.Blame(request.fingerprint, loss.crash, suspects.size() > 1,
                      upstream->info.domain, now());
  LogRequest(
      LogLevel::kWarn, "suspected", request,
      {{"upstream", request.upstream},
       {"crashes", std::to_string(suspects_.Crashes(request.fingerprint))},
       {"others_to_blame", std::to_string(suspects.size() - 1)},
       {"first_event_seen", request.first_event_seen ? "yes" : "no"},
       {"since_send_ms", MillisecondsText(now() - request.sent_at)},
       {"suspicion", ToString(suspects_.Of(request.fingerprint, now()))}});
  if (newly_rejected) OnRefused(request.fingerprint);
}

void ForwardNode::NoteLoss(const ForwardUpstream& upstream,
                           UpstreamLoss* loss) {
  if (loss->upstream != upstream.info.id) loss->ends = 0;
  loss->upstream = upstream.info.id;
  loss->crash =
      CrashIdOf(upstream.info.id, loss->ends++, options_.self.id.name);
  loss->at = now();
  std::vector<Fingerprint> running;
  for (const auto& [id, other] : requests_) {
    if (other.upstream == upstream.info.id.name) {
      running.push_back(other.fingerprint);
    }
  }
  loss->blamed = suspects_.MostSuspected(running, now());
  Emit(forward_action::LogDecision{
      LogLevel::kWarn,
      "upstream_lost",
      {{"upstream", upstream.info.id.name},
       {"incarnation", std::to_string(upstream.info.id.incarnation)},
       {"requests", std::to_string(running.size())},
       {"to_blame", std::to_string(loss->blamed.size())}}});
}

void ForwardNode::OnRefused(const Fingerprint& fingerprint) {
  Emit(forward_action::LogDecision{
      LogLevel::kWarn,
      "request_refused_from_now",
      {{"fingerprint", ToHex(fingerprint)},
       {"crashes", std::to_string(suspects_.Crashes(fingerprint))},
       {"seen_here", suspects_.SawCrash(fingerprint) ? "yes" : "no"}}});
  if (suspects_.SawCrash(fingerprint)) {
    Emit(forward_action::KeepSuspects{suspects_.Refused(now())});
  }
  std::vector<ForwardId> queued_ids;
  for (const auto& [id, request] : requests_) {
    if (request.queued && request.fingerprint == fingerprint) {
      queued_ids.push_back(id);
    }
  }
  for (const ForwardId id : queued_ids) {
    GiveUp(FindRequest(id), ForwardEnd::kNotSent, "ends-upstreams");
  }
}

void ForwardNode::TakeReports(const std::vector<SuspectReport>& reports) {
  for (const SuspectReport& report : reports) {
    const std::optional<Fingerprint> newly_rejected =
        suspects_.OnReport(report, now());
    if (newly_rejected.has_value()) OnRefused(*newly_rejected);
  }
}

void ForwardNode::TellSuspects() {
  if (!suspects_.HasNews()) return;
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self()};
  heartbeat.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  for (const std::string& address : membership_.PeersToTell(now())) {
    Emit(forward_action::SendHeartbeat{{address, heartbeat}});
  }
}

void ForwardNode::ForgetSuspects() {
  if (now() - suspects_forgotten_at_ < kExpiryInterval) return;
  suspects_forgotten_at_ = now();
  suspects_.Forget(now());
  std::erase_if(losses_, [this](const auto& entry) {
    return upstreams_.Find(entry.first) == nullptr;
  });
}

void ForwardNode::On(const forward_event::SuspectsRead& read) {
  suspects_known_ = true;
  TakeReports(read.reports);
}

}  // namespace pollenledge
