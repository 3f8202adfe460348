#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Roll-outs of software versions in `ForwardNode`: which version gets a
// request, and what is observed of the versions.

namespace pollenledge {
namespace {

/// Interval of a node's reports to the holder of the duties.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// The holder of the duties confirms shares several times in this period.
constexpr Duration kHolderTime = std::chrono::seconds(1);
/// The list of upstreams shows within this time that an upstream left. A
/// connection that was lost for that reason says nothing about its version.
constexpr Duration kLeavingShownTime = std::chrono::seconds(2);
/// Batches of events of a stream after which its pace is observed. The shortest
/// streams have three events.
constexpr int kPacedBatches = 3;
/// Fewest upstreams of the target that get its share: one of them may be slow
/// for reasons of its machine.
constexpr std::size_t kMinTargetUpstreams = 2;
/// Minimum number of nodes that the exposure slack is shared by.
constexpr int kMinSlackNodes = 8;

}  // namespace

// Choosing a version.

ForwardUpstream* ForwardNode::ChooseVersion(const Request& request,
                                            UpstreamCriteria query) {
  if (!rollouts_.enabled()) return upstreams_.Choose(query, now());
  std::optional<std::string> bound;
  if (request.binding.has_value()) bound = request.binding->software_version;
  const int nodes = std::max(
      {kMinSlackNodes, fleet_size_, membership_.KnownNodeCount(now())});
  const VersionChoice choice = rollouts_.Choose(
      request.service, bound, request.attempts > 0, nodes, now());
  if (choice.first.has_value()) {
    UpstreamCriteria first = query;
    first.software_version = choice.first;
    const std::vector<std::string> unused =
        UnusedUpstreams(request.service, choice);
    first.exclude.insert(first.exclude.end(), unused.begin(), unused.end());
    ForwardUpstream* upstream = upstreams_.Choose(first, now());
    if (upstream != nullptr || !choice.may_use_others) return upstream;
  }
  query.exclude_versions.insert(query.exclude_versions.end(),
                                choice.excluded.begin(), choice.excluded.end());
  return upstreams_.Choose(query, now());
}

std::vector<std::string> ForwardNode::UnusedUpstreams(
    const std::string& service, const VersionChoice& choice) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  if (choice.upstream_share >= 1) return {};
  for (const ForwardUpstreamInfo& upstream : upstreams_.Usable(service)) {
    if (upstream.software_version != *choice.first) continue;
    const std::string& name = upstream.id.name;
    ranked.emplace_back(XXH64(name.data(), name.size(),
                              static_cast<std::uint64_t>(choice.order)),
                        name);
  }
  // All nodes agree on the order, so that the upstreams in use have the load
  // that they would have with all requests.
  std::sort(ranked.begin(), ranked.end());
  const auto used = std::max<std::size_t>(
      kMinTargetUpstreams,
      static_cast<std::size_t>(std::ceil(choice.upstream_share *
                                         static_cast<double>(ranked.size()))));
  std::vector<std::string> unused;
  for (std::size_t i = used; i < ranked.size(); ++i) {
    unused.push_back(ranked[i].second);
  }
  return unused;
}

void ForwardNode::CountSent(const Request& request,
                            const ForwardUpstream& upstream) {
  if (!rollouts_.IsObserving(request.service)) return;
  const std::string& version = upstream.info.software_version;
  // The node that relayed the request may have counted it.
  const bool is_new = request.attempts == 1 && !request.spec.is_relayed;
  rollouts_.OnSent(request.service, version, is_new, now());
  Emit(forward_action::Count{
      "rollout_attempts_total",
      "service=\"" + request.service + "\",version=\"" + version + "\""});
}

// Observations.

RolloutEvidence ForwardNode::EvidenceOf(const Request& request) const {
  RolloutEvidence where;
  where.route = request.route->name;
  where.under_load = request.sent_under_load;
  where.at_target =
      rollouts_.IsTarget(request.service, request.current_version);
  return where;
}

void ForwardNode::ObserveStart(const Request& request) {
  if (!rollouts_.enabled() || request.current_upstream.empty()) return;
  rollouts_.OnStart(request.service, EvidenceOf(request),
                    {now() - request.sent_at, request.on_new_connection});
}

void ForwardNode::ObserveEvents(Request* request) {
  if (!rollouts_.enabled() || request->current_upstream.empty()) return;
  if (++request->event_batches != kPacedBatches) return;
  rollouts_.OnPaced(request->service, EvidenceOf(*request),
                    now() - request->first_event_at);
}

void ForwardNode::ObserveEnd(const Request& request, ForwardOutcome end) {
  if (!rollouts_.enabled() || request.current_upstream.empty()) return;
  const RolloutEvidence where = EvidenceOf(request);
  const RolloutShares::Start start = {now() - request.sent_at,
                                      request.on_new_connection};
  switch (end) {
    case ForwardOutcome::kCompleted:
    case ForwardOutcome::kFailed:
    case ForwardOutcome::kInvalidResponse: {
      const bool failed = end != ForwardOutcome::kCompleted;
      rollouts_.OnAnswer(request.service, where, failed);
      if (rollouts_.IsObserving(request.service)) {
        Emit(forward_action::Count{"rollout_answers_total",
                                   "service=\"" + request.service +
                                       "\",version=\"" +
                                       request.current_version +
                                       "\",outcome=\"" + ToString(end) + "\""});
      }
      // A failure may come sooner than an answer.
      if (!request.first_event_received && !failed)
        rollouts_.OnStart(request.service, where, start);
      return;
    }
    case ForwardOutcome::kConnectionLost:
      // Includes attempts that this node gave up because nothing came.
      if (!request.first_event_received &&
          rollouts_.IsSlowStart(request.service, where.route, start)) {
        rollouts_.OnStart(request.service, where, start);
        return;
      }
      if (!rollouts_.IsObserving(request.service)) return;
      lost_attempts_.push_back(
          {request.service,
           where,
           {request.current_upstream, request.current_incarnation},
           now()});
      return;
    case ForwardOutcome::kNotSent:
    case ForwardOutcome::kRejected:
    case ForwardOutcome::kCancelled:
      return;
  }
}

void ForwardNode::CountLostAttempts() {
  while (!lost_attempts_.empty() &&
         now() - lost_attempts_.front().lost_at >= kLeavingShownTime) {
    const LostAttempt& lost = lost_attempts_.front();
    if (upstreams_.MayUse(lost.upstream, lost.service))
      rollouts_.OnAnswer(lost.service, lost.where, true);
    lost_attempts_.pop_front();
  }
}

// Peers.

void ForwardNode::On(const forward_event::RolloutSharesConfirmed& confirmed) {
  rollout_holder_ = options_.self.peer_address;
  rollouts_confirmed_at_ = now();
  MergeRolloutShares(confirmed.shares);
}

void ForwardNode::ApplyRolloutShares(const Heartbeat& heartbeat) {
  if (!rollouts_.enabled() || heartbeat.rollout_shares.empty()) return;
  const MemberRecord& sender = heartbeat.records.front();
  bool is_report = false;
  for (const RolloutShare& share : heartbeat.rollout_shares) {
    if (share.evidence.empty()) continue;
    is_report = true;
    RolloutReport& report =
        rollout_reports_[{ProcessName(sender.id), share.service}];
    if (share.order < report.order) continue;
    report = {share.order, share.evidence};
  }
  if (is_report) return;
  const std::vector<RolloutShare>& shares = heartbeat.rollout_shares;
  const RolloutShare& last = shares.back();
  if (last.service.empty() && last.share >= 1)
    rollout_holder_ = sender.peer_address;
  MergeRolloutShares(shares);
}

std::vector<RolloutShare> ForwardNode::StatedRolloutShares() const {
  std::vector<RolloutShare> shares = rollouts_.Shares(now());
  const bool is_holder = rollouts_confirmed_at_.has_value() &&
                         now() - *rollouts_confirmed_at_ < kHolderTime;
  if (is_holder && !shares.empty() && shares.back().service.empty())
    shares.back().share = 1;
  return shares;
}

void ForwardNode::MergeRolloutShares(const std::vector<RolloutShare>& shares) {
  const std::vector<RolloutShare> changed = rollouts_.Merge(shares, now());
  if (changed.empty()) return;
  for (const RolloutShare& share : changed) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "rollout_share",
        {{"service", share.service},
         {"target", share.target},
         {"step", std::to_string(share.step)},
         {"share", std::to_string(share.share)},
         {"ended", share.ended ? "yes" : "no"},
         {"age_ms", FormatMilliseconds(share.age)}}});
    std::erase_if(rollout_reports_, [&share](const auto& entry) {
      return entry.first.second == share.service &&
             entry.second.order < share.order;
    });
  }
  DispatchAllQueued();
}

void ForwardNode::ReportRollouts() {
  if (!rollouts_.enabled() || now() - rollouts_reported_at_ < kReportInterval)
    return;
  rollouts_reported_at_ = now();
  std::vector<RolloutShare> reports = rollouts_.Reports(now());
  std::erase_if(reports, [](const RolloutShare& report) {
    return report.evidence.empty();
  });
  if (reports.empty()) return;
  if (rollout_holder_ == options_.self.peer_address) {
    for (const RolloutShare& report : reports) {
      rollout_reports_[{ProcessName(membership_.self().id), report.service}] = {
          report.order, report.evidence};
    }
    return;
  }
  if (rollout_holder_.empty()) return;
  Heartbeat message;
  message.records = {membership_.self().WithoutCounters()};
  message.rollout_shares = std::move(reports);
  Emit(forward_action::SendHeartbeat{{rollout_holder_, std::move(message)}});
}

std::map<std::string, std::vector<RolloutEvidence>> ForwardNode::RolloutReports(
    std::int64_t order) const {
  std::map<std::string, std::vector<RolloutEvidence>> reports;
  for (const auto& [key, report] : rollout_reports_) {
    if (report.order == order) reports[key.first] = report.evidence;
  }
  return reports;
}

}  // namespace pollenledge
