#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Exchange of state between `ForwardNode` and its peers by heartbeats: limits,
// suspects, load, usage, and confirmations that the tables are current.

namespace pollenledge {
namespace {

/// Maximum number of upstream load reports in one message.
constexpr std::size_t kMaxLoadReports = 32;
/// Minimum interval at which received heartbeats update the limits.
constexpr Duration kMinLimitsUpdateInterval = std::chrono::milliseconds(50);
/// Maximum rate, in queries per second, at which all nodes together query one
/// collector. In a larger fleet each node queries less often, at intervals of
/// up to `kMaxQueryInterval`; beyond that the rate is exceeded.
constexpr double kMaxQueriesPerSecond = 400;
constexpr Duration kMaxQueryInterval = std::chrono::seconds(1);
/// Minimum interval between a node's reports of its use of low limits, and
/// between a collector's broadcasts that limits have become low.
constexpr Duration kMinLowLevelInterval = std::chrono::milliseconds(100);
/// Maximum rate, in messages per second, of a collector's broadcasts when
/// limits become low one after another.
constexpr double kMaxMessagesPerSecond = 2000;
/// Number of the latest ended windows whose usage counts are reported to a
/// collector.
constexpr UsageWindow kReportedWindowCount = 2;
/// Number of windows for which a node remembers whether a collector accepted
/// its counts. It exceeds the number of past windows that the node checks for
/// counts it must write itself.
constexpr UsageWindow kRememberedWindowCount = 8;

}  // namespace

void ForwardNode::On(const forward_event::HeartbeatReceived& received) {
  const Heartbeat& heartbeat = received.heartbeat;
  const MemberRecord& sender = heartbeat.records.front();
  const bool is_new = membership_.OnHeartbeat(heartbeat.records, now());
  const std::optional<Duration> correction = wall_clock_.OnPeerEstimate(
      sender.id.name, heartbeat.wall_clock_time, now());
  if (correction.has_value()) LogWallClockCorrection(*correction);
  RecordPeerTablesVersion(sender.tables_version);
  fleet_stream_counts_.Merge(ProcessName(sender.id), sender.late_stream_counts,
                             now());
  if (now() - limits_updated_at_ >= kMinLimitsUpdateInterval) UpdateLimits();
  ApplySuspectReports(heartbeat.suspect_reports);
  upstreams_.MergePeerReports(heartbeat.load_reports, now());
  MergePromptCaches(heartbeat);
  ApplySpeedReports(heartbeat);
  MergeRateLimits(heartbeat.rate_limit_reports, ProcessName(sender.id));
  LearnStreams(heartbeat);
  ApplyRolloutShares(heartbeat);
  MergeAdmission(heartbeat);
  for (const UpstreamId& upstream : heartbeat.leaving_upstreams) {
    ApplyLeaving(upstream, ProcessName(sender.id));
  }
  RespondToPermitRequest(heartbeat);
  ApplyPermits(heartbeat);
  if (heartbeat.tables_request.has_value()) RespondToTablesRequest(heartbeat);
  if (heartbeat.tables_reply.has_value()) {
    OnTablesReply(heartbeat);
    return;
  }
  if (heartbeat.requests_levels) {
    RespondToQuery(heartbeat);
    return;
  }
  if (is_new) SendBootstrapState(sender);
  ApplyLevels(heartbeat);
  ApplyQueryResponse(heartbeat);
}

void ForwardNode::ApplyLevels(const Heartbeat& heartbeat) {
  // Collectors that followed each other would not track the nodes' use.
  if (!heartbeat.levels_authoritative || is_collector_) return;
  const NodeId previous = limits_.collector();
  limits_.ApplyCollectorLevels(heartbeat.records.front().id, heartbeat.levels,
                               now());
  if (limits_.collector() == previous) return;
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "collector_followed",
      {{"collector", ProcessName(limits_.collector())},
       {"previous", previous.name.empty() ? "none" : ProcessName(previous)}}});
}

void ForwardNode::LogOverdrawnLimits() {
  // Followers have the same levels as their collector.
  if (FollowsCollectors(now())) return;
  for (const std::string& customer : limits_.ConsumeOverdrawn()) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "limit_overdrawn",
        {{"customer", customer},
         {"common_level",
          std::to_string(std::llround(limits_.GlobalLevel(customer)))},
         {"known_nodes", std::to_string(membership_.KnownNodeCount(now()))},
         {"collecting", is_collector_ ? "yes" : "no"}}});
  }
}

void ForwardNode::LogWallClockCorrection(Duration correction) {
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "calendar_corrected",
      {{"by_ms", FormatMilliseconds(correction)},
       {"calendar_us",
        std::to_string(wall_clock_.At(now()).time_since_epoch().count())}}});
}

// Collectors.

std::vector<const MemberRecord*> ForwardNode::ChooseCollectors() {
  return collectors_.Choose(
      membership_.PreferredMembers(CollectorSelector::kMaxCandidates, now()),
      membership_.self().id.name, now());
}

void ForwardNode::QueryCollectors() {
  collectors_queried_at_ = now();
  Heartbeat query;
  query.records = {membership_.AdvanceHeartbeat()};
  query.queried_at = now();
  query.wall_clock_time = now_.wall;
  query.upstreams_revision = upstream_list_.revision();
  query.suspect_reports =
      suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  query.load_reports = NewLoadReports();
  AddUpstreamStatements(&query);
  query.admission_demands = AdmissionDemands();
  AddSpeedQuery(&query);
  const std::string& self = membership_.self().id.name;
  const std::vector<const MemberRecord*> collectors = ChooseCollectors();
  const auto last_collector =
      collectors.begin() +
      static_cast<std::ptrdiff_t>(
          std::min(collectors.size(), CollectorSelector::kMaxCollectors));
  SetCollectorRole(std::any_of(
      collectors.begin(), last_collector,
      [&](const MemberRecord* record) { return record->id.name == self; }));
  // A collector computes the levels itself.
  query.requests_levels = !is_collector_;
  if (is_collector_) query.rollout_shares = StatedRolloutShares();
  if (is_collector_) query.admission_levels = admission_.Levels(now());
  for (const MemberRecord* collector : collectors) {
    if (collector->id.name == self) continue;
    if (!is_collector_) collectors_.OnQuerySent(collector->id.name, now());
    // Only the first collector writes the counts to the store. If it does not
    // acknowledge them, they are sent again to the collector that is first at
    // that time.
    query.usage_reports = collector == collectors.front()
                              ? UnacknowledgedUsage()
                              : std::vector<UsageReport>();
    query.stream_records =
        collector == collectors.front()
            ? stream_outbox_.RecordsForQuery(collector->id.name, now())
            : std::vector<StreamRecord>();
    AddPromptCaches(collector->id.name, true, &query);
    Emit(forward_action::SendHeartbeat{{collector->peer_address, query}});
  }
}

void ForwardNode::SetCollectorRole(bool is_collector) {
  if (is_collector == is_collector_) return;
  is_collector_ = is_collector;
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      is_collector ? "collecting_began" : "collecting_ended",
      {{"known_nodes", std::to_string(membership_.KnownNodeCount(now()))}}});
}

void ForwardNode::RespondToQuery(const Heartbeat& query) {
  const MemberRecord& sender = query.records.front();
  Heartbeat response = MakeStateHeartbeat(sender.id.name);
  response.queried_at = query.queried_at;
  response.tables_confirmation_age = TablesAge(now());
  response.suspect_reports =
      suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  response.load_reports = upstreams_.BusiestReports(kMaxLoadReports, now());
  AddUpstreamStatements(&response);
  response.rollout_shares = StatedRolloutShares();
  AddSpeedResponse(sender.id.name, &response);
  if (is_collector_) {
    response.accepted_usage_windows =
        AcceptUsage(sender.id, query.usage_reports);
  }
  AddPromptCaches(sender.id.name, !is_collector_, &response);
  response.upstream_changes =
      upstream_list_.ChangesSince(query.upstreams_revision, now());
  Emit(forward_action::SendHeartbeat{
      {sender.peer_address, std::move(response)}});
}

Heartbeat ForwardNode::MakeStateHeartbeat(const std::string& node) {
  membership_.AdvanceHeartbeat();
  Heartbeat state;
  state.records = membership_.SelectRecords();
  state.records.front().tables_version = TablesVersion();
  state.levels_authoritative = limits_.CanPublishLevels(now());
  state.levels = limits_.LevelsFor(node, now());
  state.wall_clock_time = now_.wall;
  state.admission_levels = admission_.Levels(now());
  return state;
}

void ForwardNode::SendBootstrapState(const MemberRecord& sender) {
  // In a small fleet the new node receives a heartbeat from this one within one
  // interval.
  if (!membership_.IsLargeFleet()) return;
  Heartbeat bootstrap = MakeStateHeartbeat(sender.id.name);
  bootstrap.suspect_reports =
      suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
  AddUpstreamStatements(&bootstrap);
  bootstrap.rollout_shares = StatedRolloutShares();
  for (const MemberRecord* record :
       membership_.PreferredMembers(CollectorSelector::kMaxCandidates, now())) {
    bootstrap.records.push_back(record->WithoutCounters());
  }
  Emit(forward_action::SendHeartbeat{
      {sender.peer_address, std::move(bootstrap)}});
}

void ForwardNode::BroadcastLowLevels(const std::vector<Member>& others) {
  const Duration period = LowLevelBroadcastInterval();
  if (!is_collector_ || now() - levels_broadcast_at_ < period) return;
  if (!limits_.CanPublishLevels(now()) || !limits_.ConsumeLevelDrop()) return;
  levels_broadcast_at_ = now();
  for (const Member& member : others) {
    if (member.status != MemberStatus::kAlive) continue;
    Heartbeat update;
    update.records = {membership_.self().WithoutCounters()};
    update.levels_authoritative = true;
    update.levels = limits_.LowLevelsFor(member.record.id.name, now());
    Emit(forward_action::SendHeartbeat{
        {member.record.peer_address, std::move(update)}});
  }
}

Duration ForwardNode::LowLevelBroadcastInterval() const {
  const int nodes = membership_.KnownNodeCount(now());
  return std::max<Duration>(kMinLowLevelInterval,
                            FromSeconds(nodes / kMaxMessagesPerSecond));
}

void ForwardNode::ReportLowLevelUse(const std::string& customer) {
  const bool is_due = now() - low_use_reported_at_ >= kMinLowLevelInterval;
  if (!FollowsCollectors(now()) || !is_due || !limits_.IsLow(customer)) return;
  low_use_reported_at_ = now();
  // The report is not a query and gets no response, so many of them cost the
  // collectors little.
  Heartbeat report;
  report.records = {membership_.AdvanceHeartbeat()};
  report.records.front().customer_usage = limits_.LowLevelUses();
  report.records.front().late_stream_counts = stream_counts_;
  for (const MemberRecord* collector : ChooseCollectors()) {
    Emit(forward_action::SendHeartbeat{{collector->peer_address, report}});
  }
}

void ForwardNode::ApplyQueryResponse(const Heartbeat& response) {
  const MemberRecord& sender = response.records.front();
  const bool is_response = response.queried_at != TimePoint();
  if (is_response) {
    collectors_.OnResponse(sender.id.name, response.levels_authoritative,
                           now());
    stream_outbox_.OnResponse(sender.id.name, response.queried_at);
  }
  for (const UsageWindow window : response.accepted_usage_windows) {
    acknowledged_usage_windows_.insert(window);
  }
  ApplyTablesConfirmation(response);
  if (response.upstream_changes.has_value() &&
      upstream_list_.Apply(*response.upstream_changes, response.queried_at)) {
    ApplyUpstreamList();
  } else {
    CheckOrigins();  // The list may have been confirmed.
  }
  ReleaseConfirmedRequests();
}

bool ForwardNode::NeedsUpstreamsRead(Duration period, TimePoint now) const {
  const std::optional<TimePoint> confirmed_at = upstream_list_.confirmed_at();
  return !FollowsCollectors(now) || !confirmed_at.has_value() ||
         now - *confirmed_at > period;
}

bool ForwardNode::FollowsCollectors(TimePoint now) const {
  return membership_.IsLargeFleet() && !is_collector_ &&
         limits_.HasCollectorState(now);
}

bool ForwardNode::IsDutyCandidate(TimePoint now) const {
  return !membership_.IsLargeFleet() ||
         (is_collector_ && limits_.CanPublishLevels(now));
}

// Usage.

std::vector<UsageReport> ForwardNode::UnacknowledgedUsage() {
  std::vector<UsageReport> reports;
  const UsageWindow current = usage_.WindowAt(now_.wall);
  acknowledged_usage_windows_.erase(acknowledged_usage_windows_.begin(),
                                    acknowledged_usage_windows_.lower_bound(
                                        current - kRememberedWindowCount));
  for (UsageWindow window = current - kReportedWindowCount; window < current;
       ++window) {
    const bool is_complete = now_.wall >= usage_.FinalizedAt(window);
    if (is_complete && !IsUsageAcknowledged(window)) {
      reports.push_back({window, usage_.CountsFor(window)});
    }
  }
  return reports;
}

std::vector<UsageWindow> ForwardNode::AcceptUsage(
    const NodeId& sender, const std::vector<UsageReport>& reports) {
  std::vector<UsageWindow> accepted;
  for (const UsageReport& report : reports) {
    usage_collection_.Merge(ProcessName(sender), report);
    accepted.push_back(report.window);
  }
  return accepted;
}

bool ForwardNode::IsUsageAcknowledged(UsageWindow window) const {
  return acknowledged_usage_windows_.count(window) > 0;
}

// Heartbeats.

void ForwardNode::SendHeartbeats() {
  membership_.SetCollectorsActive(limits_.HasCollectorState(now()) ||
                                  is_collector_);
  const bool queries_collectors =
      membership_.IsLargeFleet() &&
      now() - collectors_queried_at_ >= collector_query_interval_;
  if (!queries_collectors && !membership_.IsDue(now())) return;
  MemberRecord self = membership_.self();
  self.tables_version = TablesVersion();
  self.active_requests = static_cast<std::uint32_t>(requests_.size());
  self.draining = draining();
  self.unreachable_services = paths_.LostServices();
  self.customer_usage = limits_.Uses();
  self.late_stream_counts = stream_counts_;
  membership_.UpdateSelf(self);
  fleet_stream_counts_.Merge(ProcessName(self.id), stream_counts_, now());
  std::vector<HeartbeatMessage> messages = membership_.OnTick(now());
  std::vector<SuspectReport> suspects;
  std::vector<UpstreamLoadReport> loads;
  std::vector<AdmissionDemand> demands;
  Heartbeat statements;
  if (!messages.empty()) {
    AddUpstreamStatements(&statements);
    suspects = suspects_.NextReports(kMaxSuspectReportsPerHeartbeat, now());
    if (!membership_.IsLargeFleet()) {
      loads = NewLoadReports();
      demands = AdmissionDemands();
    }
    AddSpeedBroadcast(&messages);
  }
  for (HeartbeatMessage& message : messages) {
    message.heartbeat.suspect_reports = suspects;
    message.heartbeat.load_reports = loads;
    message.heartbeat.admission_demands = demands;
    message.heartbeat.rate_limit_reports = statements.rate_limit_reports;
    message.heartbeat.leaving_upstreams = statements.leaving_upstreams;
    message.heartbeat.wall_clock_time = now_.wall;
    message.heartbeat.rollout_shares = StatedRolloutShares();
    if (!membership_.IsLargeFleet())
      AddPromptCaches(message.address, true, &message.heartbeat);
    Emit(forward_action::SendHeartbeat{std::move(message)});
  }
  if (queries_collectors) QueryCollectors();
}

std::vector<UpstreamLoadReport> ForwardNode::NewLoadReports() {
  std::vector<UpstreamLoadReport> loads =
      upstreams_.DirectReportsSince(loads_reported_at_, now());
  if (loads.size() > kMaxLoadReports) loads.resize(kMaxLoadReports);
  loads_reported_at_ = now();
  return loads;
}

TimePoint ForwardNode::NextHeartbeatTime(TimePoint now) const {
  TimePoint due = membership_.NextDue(now);
  if (membership_.IsLargeFleet())
    due = std::min(due, collectors_queried_at_ + collector_query_interval_);
  return due;
}

// Limits.

void ForwardNode::UpdateLimits() {
  limits_updated_at_ = now();
  const int node_count = membership_.KnownNodeCount(now());
  collector_query_interval_ =
      std::clamp(FromSeconds(node_count / kMaxQueriesPerSecond),
                 kHeartbeatPeriod, kMaxQueryInterval);
  limits_.SetReportPeriod(membership_.IsLargeFleet() ? collector_query_interval_
                                                     : kHeartbeatPeriod);
  if (limits_.HasCollectorState(now())) {
    limits_.UpdateAsFollower(node_count, now());
  } else {
    const std::vector<Member> others = membership_.Others(now());
    limits_.UpdateFromMembers(others, now());
    BroadcastLowLevels(others);
  }
  LogOverdrawnLimits();
  const int nodes = std::max(min_node_count_, node_count);
  retry_budget_.SetMaxBalance(options_.retry_slack / nodes);
  ShareUpstreams();
}

void ForwardNode::ShareUpstreams() {
  std::vector<std::string> names = membership_.KnownNames();
  const int known = static_cast<int>(names.size());
  // A node that has just started may know few of the others.
  const int least =
      membership_.IsJoining(now()) ? min_node_count_ : fleet_size_;
  upstreams_.SetNodes(std::move(names), std::max(known, least));
}

}  // namespace pollenledge
