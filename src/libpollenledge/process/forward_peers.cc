#include <algorithm>
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
/// Maximum age of a peer's freshness confirmation that saves a read of the
/// tables, as a share of the read period. The age is checked every half period,
/// so at most 1.2 periods pass without a read or a newer confirmation.
constexpr double kMaxConfirmationAgeShare = 0.7;
/// Maximum rate at which all nodes together query one collector. In a larger
/// fleet each node queries less often, up to `kMaxQueryInterval`.
constexpr double kMaxQueriesPerSecond = 400;
constexpr Duration kMaxQueryInterval = std::chrono::seconds(1);
/// Minimum interval between a node's reports of what it used of low limits, and
/// between a collector's broadcasts that limits have become low.
constexpr Duration kMinLowLevelInterval = std::chrono::milliseconds(100);
/// Maximum rate of messages that a collector sends when limits become low one
/// after another.
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
  const std::optional<Duration> correction =
      calendar_.OnPeer(sender.id.name, heartbeat.calendar, now());
  if (correction.has_value()) LogCalendar(*correction);
  lateness_tally_.Take(ProcessName(sender.id), sender.lateness, now());
  if (now() - limits_updated_at_ >= kMinLimitsUpdateInterval) UpdateLimits();
  TakeReports(heartbeat.suspects);
  upstreams_.TakeReports(heartbeat.loads, now());
  if (heartbeat.asks_for_levels) {
    Answer(heartbeat);
    return;
  }
  if (is_new) Welcome(sender);
  if (heartbeat.leads) limits_.TakeLevels(sender.id, heartbeat.levels, now());
  TakeAnswer(heartbeat);
}

void ForwardNode::LogCalendar(Duration correction) {
  Emit(forward_action::LogDecision{
      LogLevel::kWarn,
      "calendar_corrected",
      {{"by_ms", MillisecondsText(correction)},
       {"calendar_us",
        std::to_string(calendar_.At(now()).time_since_epoch().count())}}});
}

// Collectors.

std::vector<const MemberRecord*> ForwardNode::ChooseCollectors() {
  return collectors_.Choose(
      membership_.Ranked(CollectorChoice::kCandidates, now()),
      membership_.self().id.name, now());
}

void ForwardNode::AskCollectors() {
  asked_at_ = now();
  Heartbeat query;
  query.records = {membership_.Announce()};
  query.asked_at = now();
  query.calendar = now_.wall;
  query.upstreams_revision = upstream_list_.revision();
  query.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  query.loads = LoadsToTell();
  const std::string& self = membership_.self().id.name;
  const std::vector<const MemberRecord*> collectors = ChooseCollectors();
  NoteCollecting(std::any_of(
      collectors.begin(), collectors.end(),
      [&](const MemberRecord* record) { return record->id.name == self; }));
  // A collector computes the levels itself.
  query.asks_for_levels = !is_collector_;
  for (const MemberRecord* collector : collectors) {
    if (collector->id.name == self) continue;
    if (!is_collector_) collectors_.OnAsked(collector->id.name, now());
    // Only the first collector writes the counts to the store. If it does not
    // acknowledge them, they are sent again, to the collector that is first
    // then.
    query.usage = collector == collectors.front() ? UsageToTell()
                                                  : std::vector<UsageReport>();
    Emit(forward_action::SendHeartbeat{{collector->peer_address, query}});
  }
}

void ForwardNode::NoteCollecting(bool is_collector) {
  if (is_collector == is_collector_) return;
  is_collector_ = is_collector;
  Emit(forward_action::LogDecision{
      LogLevel::kInfo,
      is_collector ? "collecting_began" : "collecting_ended",
      {{"known_nodes", std::to_string(membership_.ShareholderCount(now()))}}});
}

void ForwardNode::Answer(const Heartbeat& query) {
  const MemberRecord& sender = query.records.front();
  Heartbeat response = AnswerFor(sender.id.name);
  response.asked_at = query.asked_at;
  response.proof_age = TablesAge(now());
  response.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  response.loads = upstreams_.BusiestReports(kMaxLoadReports, now());
  if (is_collector_) {
    response.usage_taken = TakeUsage(sender.id, query.usage);
  }
  response.upstream_changes =
      upstream_list_.ChangesSince(query.upstreams_revision, now());
  Emit(forward_action::SendHeartbeat{
      {sender.peer_address, std::move(response)}});
}

Heartbeat ForwardNode::AnswerFor(const std::string& node) {
  membership_.Announce();
  Heartbeat state;
  state.records = membership_.PickRecords();
  state.records.front().tables_version = TablesVersion();
  state.leads = limits_.Leads(now());
  state.levels = limits_.LevelsFor(node, now());
  state.calendar = now_.wall;
  return state;
}

void ForwardNode::Welcome(const MemberRecord& sender) {
  // In a small fleet the new node receives a heartbeat from this one within one
  // interval.
  if (!membership_.IsSparse()) return;
  Heartbeat bootstrap = AnswerFor(sender.id.name);
  bootstrap.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  for (const MemberRecord* record :
       membership_.Ranked(CollectorChoice::kCandidates, now())) {
    bootstrap.records.push_back(record->WithoutCounts());
  }
  Emit(forward_action::SendHeartbeat{
      {sender.peer_address, std::move(bootstrap)}});
}

void ForwardNode::TellLowLevels(const std::vector<Member>& others) {
  const Duration period = LowLevelPeriod();
  if (!is_collector_ || now() - levels_told_at_ < period) return;
  if (!limits_.Leads(now()) || !limits_.TakeLevelNews()) return;
  levels_told_at_ = now();
  for (const Member& member : others) {
    if (member.status != MemberStatus::kAlive) continue;
    Heartbeat update;
    update.records = {membership_.self().WithoutCounts()};
    update.leads = true;
    update.levels = limits_.LowLevelsFor(member.record.id.name, now());
    Emit(forward_action::SendHeartbeat{
        {member.record.peer_address, std::move(update)}});
  }
}

Duration ForwardNode::LowLevelPeriod() const {
  const int nodes = membership_.ShareholderCount(now());
  return std::max<Duration>(kMinLowLevelInterval,
                            FromSeconds(nodes / kMaxMessagesPerSecond));
}

void ForwardNode::ReportLowLevel(const std::string& customer) {
  const bool is_due = now() - low_use_told_at_ >= kMinLowLevelInterval;
  if (!FollowsCollectors(now()) || !is_due || !limits_.IsLow(customer)) return;
  low_use_told_at_ = now();
  // The report is not a query and gets no response, so many of them cost the
  // collectors little.
  Heartbeat report;
  report.records = {membership_.Announce()};
  report.records.front().uses = limits_.LowUses();
  report.records.front().lateness = lateness_;
  for (const MemberRecord* collector : ChooseCollectors()) {
    Emit(forward_action::SendHeartbeat{{collector->peer_address, report}});
  }
}

void ForwardNode::TakeAnswer(const Heartbeat& response) {
  const MemberRecord& sender = response.records.front();
  const bool is_response = response.asked_at != TimePoint();
  if (is_response) collectors_.OnAnswered(sender.id.name);
  for (const UsageWindow window : response.usage_taken) {
    usage_handed_over_.insert(window);
  }
  TakeProof(response);
  if (response.upstream_changes.has_value() &&
      upstream_list_.Apply(*response.upstream_changes, response.asked_at)) {
    UseUpstreams();
  }
}

void ForwardNode::TakeProof(const Heartbeat& response) {
  if (!response.proof_age.has_value() || index_ == nullptr) return;
  const MemberRecord& sender = response.records.front();
  if (sender.tables_version > index_->tables().version) {
    Emit(forward_action::ReadTables{});
  }
  // A confirmation of another version does not apply to the active tables.
  if (sender.tables_version != index_->tables().version) return;
  // The peer responded after this node sent the query. Counting the age of the
  // confirmation from the time of the query gives a lower bound of when the
  // store was read, however long the two datagrams were in transit.
  NoteProof(response.asked_at - *response.proof_age);
}

bool ForwardNode::NeedsTablesRead(Duration period, TimePoint now) const {
  if (is_collector_) return true;
  const std::optional<Duration> age = TablesAge(now);
  return !age.has_value() ||
         ToSeconds(*age) > kMaxConfirmationAgeShare * ToSeconds(period);
}

bool ForwardNode::NeedsUpstreamsRead(Duration period, TimePoint now) const {
  const std::optional<TimePoint> confirmed_at = upstream_list_.proven_at();
  return !FollowsCollectors(now) || !confirmed_at.has_value() ||
         now - *confirmed_at > period;
}

bool ForwardNode::FollowsCollectors(TimePoint now) const {
  return membership_.IsSparse() && !is_collector_ && limits_.IsLed(now);
}

bool ForwardNode::IsDutyCandidate(TimePoint now) const {
  return !membership_.IsSparse() || (is_collector_ && limits_.Leads(now));
}

// Usage.

std::vector<UsageReport> ForwardNode::UsageToTell() {
  std::vector<UsageReport> reports;
  const UsageWindow current = usage_.WindowOf(now_.wall);
  usage_handed_over_.erase(
      usage_handed_over_.begin(),
      usage_handed_over_.lower_bound(current - kRememberedWindowCount));
  for (UsageWindow window = current - kReportedWindowCount; window < current;
       ++window) {
    const bool is_complete = now_.wall >= usage_.SettledAt(window);
    if (is_complete && !IsUsageHandedOver(window)) {
      reports.push_back({window, usage_.CountsOf(window)});
    }
  }
  return reports;
}

std::vector<UsageWindow> ForwardNode::TakeUsage(
    const NodeId& sender, const std::vector<UsageReport>& reports) {
  std::vector<UsageWindow> accepted;
  for (const UsageReport& report : reports) {
    usage_collection_.Take(ProcessName(sender), report);
    accepted.push_back(report.window);
  }
  return accepted;
}

bool ForwardNode::IsUsageHandedOver(UsageWindow window) const {
  return usage_handed_over_.count(window) > 0;
}

// Heartbeats.

void ForwardNode::SendHeartbeats() {
  membership_.SetLed(limits_.IsLed(now()) || is_collector_);
  const bool queries_collectors =
      membership_.IsSparse() && now() - asked_at_ >= question_period_;
  if (!queries_collectors && !membership_.IsDue(now())) return;
  MemberRecord self = membership_.self();
  self.tables_version = TablesVersion();
  self.active_requests = static_cast<std::uint32_t>(requests_.size());
  self.leaving = draining();
  self.uses = limits_.Uses();
  self.lateness = lateness_;
  membership_.UpdateSelf(self);
  lateness_tally_.Take(ProcessName(self.id), lateness_, now());
  std::vector<HeartbeatMessage> messages = membership_.OnTick(now());
  std::vector<SuspectReport> suspects;
  std::vector<HeardLoad> loads;
  if (!messages.empty()) {
    suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
    if (!membership_.IsSparse()) loads = LoadsToTell();
  }
  for (HeartbeatMessage& message : messages) {
    message.heartbeat.suspects = suspects;
    message.heartbeat.loads = loads;
    message.heartbeat.calendar = now_.wall;
    Emit(forward_action::SendHeartbeat{std::move(message)});
  }
  if (queries_collectors) AskCollectors();
}

std::vector<HeardLoad> ForwardNode::LoadsToTell() {
  std::vector<HeardLoad> loads = upstreams_.ReportsSince(loads_told_at_, now());
  if (loads.size() > kMaxLoadReports) loads.resize(kMaxLoadReports);
  loads_told_at_ = now();
  return loads;
}

TimePoint ForwardNode::HeartbeatsDue(TimePoint now) const {
  TimePoint due = membership_.NextDue(now);
  if (membership_.IsSparse()) due = std::min(due, asked_at_ + question_period_);
  return due;
}

// Limits.

void ForwardNode::UpdateLimits() {
  limits_updated_at_ = now();
  const int node_count = membership_.ShareholderCount(now());
  question_period_ = std::clamp(FromSeconds(node_count / kMaxQueriesPerSecond),
                                kHeartbeatPeriod, kMaxQueryInterval);
  limits_.SetReportPeriod(membership_.IsSparse() ? question_period_
                                                 : kHeartbeatPeriod);
  if (limits_.IsLed(now())) {
    limits_.Follow(node_count, now());
  } else {
    const std::vector<Member> others = membership_.Others(now());
    limits_.Update(others, now());
    TellLowLevels(others);
  }
  const int nodes = std::max(expected_nodes_, node_count);
  retry_budget_.SetMaxSaved(options_.retry_slack / nodes);
}

}  // namespace pollenledge
