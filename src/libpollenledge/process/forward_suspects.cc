#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// How `ForwardNode` finds the requests that end upstreams, and what it does
// with them.

namespace pollenledge {
namespace {

/// Attempts that break within this time after the first one at an upstream
/// broke by the same end of it.
constexpr Duration kLossSpan = std::chrono::seconds(1);
/// When to come back while the same request is being tried: by then it was
/// answered or ended its upstream.
constexpr Duration kAloneRetryAfter = std::chrono::seconds(1);
/// What ran out is forgotten this often.
constexpr Duration kForgetPeriod = std::chrono::seconds(10);

}  // namespace

std::optional<NotRun> ForwardNode::CheckSuspect(const Request& request) const {
  if (!suspects_known_) {
    return NotRun{503, "starting",
                  "requests that end upstreams are not known yet",
                  kDefaultRetryAfter};
  }
  if (const auto left = suspects_.RefusedFor(request.fingerprint, now())) {
    return NotRun{503, "ends-upstreams",
                  "upstreams that ran this request ended; it is not run for a "
                  "while",
                  *left};
  }
  const bool alone =
      suspects_.Of(request.fingerprint, now()) == Suspicion::kAlone;
  if (alone && IsTried(request)) {
    return NotRun{503, "tried-alone",
                  "upstreams that ran this request ended; it is being tried",
                  kAloneRetryAfter};
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
  // Suspects run apart from each other, and others apart from those that run
  // alone.
  const Suspicion kept_apart =
      suspicion == Suspicion::kNone ? Suspicion::kAlone : Suspicion::kApart;
  for (const auto& [id, other] : requests_) {
    if (other.upstream.empty() || id == request.id) continue;
    if (suspects_.Of(other.fingerprint, now()) >= kept_apart) {
      query->avoid.push_back(other.upstream);
    }
  }
}

void ForwardNode::OnUpstreamLost(const Request& request) {
  const ForwardUpstream* upstream = upstreams_.Find(request.upstream);
  // An end that was announced is nobody's fault.
  if (upstream == nullptr || upstream->info.leaving) return;
  UpstreamLoss& loss = losses_[request.upstream];
  const bool same_end = loss.upstream == upstream->info.id &&
                        request.sent_at <= loss.at &&
                        now() - loss.at < kLossSpan;
  if (!same_end) NoteLoss(*upstream, &loss);
  const std::vector<Fingerprint>& blamed = loss.blamed;
  if (std::find(blamed.begin(), blamed.end(), request.fingerprint) ==
      blamed.end()) {
    return;
  }
  const bool refused =
      suspects_.Blame(request.fingerprint, loss.crash, blamed.size() > 1,
                      upstream->info.domain, now());
  LogRequest(
      LogLevel::kWarn, "suspected", request,
      {{"upstream", request.upstream},
       {"crashes", std::to_string(suspects_.Crashes(request.fingerprint))},
       {"others_to_blame", std::to_string(blamed.size() - 1)},
       {"first_event_seen", request.first_event_seen ? "yes" : "no"},
       {"since_send_ms", MillisecondsText(now() - request.sent_at)},
       {"suspicion", ToString(suspects_.Of(request.fingerprint, now()))}});
  if (refused) OnRefused(request.fingerprint);
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
  std::vector<ForwardId> waiting;
  for (const auto& [id, request] : requests_) {
    if (request.queued && request.fingerprint == fingerprint) {
      waiting.push_back(id);
    }
  }
  for (const ForwardId id : waiting) {
    GiveUp(FindRequest(id), ForwardEnd::kNotSent, "ends-upstreams");
  }
}

void ForwardNode::TakeReports(const std::vector<SuspectReport>& reports) {
  for (const SuspectReport& report : reports) {
    const std::optional<Fingerprint> refused =
        suspects_.OnReport(report, now());
    if (refused.has_value()) OnRefused(*refused);
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
  if (now() - suspects_forgotten_at_ < kForgetPeriod) return;
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
