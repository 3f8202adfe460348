#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// How `ForwardNode` and its peers tell each other what they know.

namespace pollenledge {
namespace {

/// Reports of upstreams' load that one message carries at most.
constexpr std::size_t kMaxLoads = 32;
/// What peers say of limits is taken in this soon.
constexpr Duration kLimitsPeriod = std::chrono::milliseconds(50);
/// Part of the period of reads after which a peer's proof is no longer fresh
/// enough to save a read. A proof is looked at each half period, so at most
/// 1.2 periods pass without a read or a newer proof.
constexpr double kProofPart = 0.7;
/// Questions to a collector are spread so that it answers this many a second.
constexpr double kQuestionsPerSecond = 400;
constexpr Duration kLongestQuestionPeriod = std::chrono::seconds(1);
/// What was used of a limit that is low is told this soon, and a collector
/// tells this soon that one has become low.
constexpr Duration kLowLevelPeriod = std::chrono::milliseconds(100);
/// Messages that a collector sends a second when limits become low one after
/// the other.
constexpr double kMessagesPerSecond = 2000;
/// Ended windows whose counts of usage are handed to a collector.
constexpr UsageWindow kWindowsTold = 2;
/// Windows of which a node knows whether they were handed over: more than it
/// looks back to for what it must write itself.
constexpr UsageWindow kWindowsRemembered = 8;

}  // namespace

void ForwardNode::On(const forward_event::HeartbeatReceived& received) {
  const Heartbeat& said = received.heartbeat;
  const MemberRecord& sender = said.records.front();
  const bool is_new = membership_.OnHeartbeat(said.records, now());
  const std::optional<Duration> correction =
      calendar_.OnPeer(sender.id.name, said.calendar, now());
  if (correction.has_value()) LogCalendar(*correction);
  lateness_tally_.Take(ProcessName(sender.id), sender.lateness, now());
  if (now() - limits_updated_at_ >= kLimitsPeriod) UpdateLimits();
  TakeReports(said.suspects);
  upstreams_.TakeReports(said.loads, now());
  if (said.asks_for_levels) {
    Answer(said);
    return;
  }
  if (is_new) Welcome(sender);
  if (said.leads) limits_.TakeLevels(sender.id, said.levels, now());
  TakeAnswer(said);
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
  Heartbeat question;
  question.records = {membership_.Announce()};
  question.asked_at = now();
  question.calendar = now_.wall;
  question.upstreams_revision = upstream_list_.revision();
  question.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  question.loads = LoadsToTell();
  const std::string& self = membership_.self().id.name;
  const std::vector<const MemberRecord*> chosen = ChooseCollectors();
  NoteCollecting(std::any_of(
      chosen.begin(), chosen.end(),
      [&](const MemberRecord* record) { return record->id.name == self; }));
  // A collector follows the levels itself.
  question.asks_for_levels = !is_collector_;
  for (const MemberRecord* collector : chosen) {
    if (collector->id.name == self) continue;
    if (!is_collector_) collectors_.OnAsked(collector->id.name, now());
    // One collector writes them to the store; the next if it does not say so.
    question.usage = collector == chosen.front() ? UsageToTell()
                                                 : std::vector<UsageReport>();
    Emit(forward_action::SendHeartbeat{{collector->peer_address, question}});
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

void ForwardNode::Answer(const Heartbeat& question) {
  const MemberRecord& sender = question.records.front();
  Heartbeat answer = AnswerFor(sender.id.name);
  answer.asked_at = question.asked_at;
  answer.proof_age = TablesAge(now());
  answer.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  answer.loads = upstreams_.BusiestReports(kMaxLoads, now());
  if (is_collector_) {
    answer.usage_taken = TakeUsage(sender.id, question.usage);
  }
  answer.upstream_changes =
      upstream_list_.ChangesSince(question.upstreams_revision, now());
  Emit(forward_action::SendHeartbeat{{sender.peer_address, std::move(answer)}});
}

Heartbeat ForwardNode::AnswerFor(const std::string& node) {
  membership_.Announce();
  Heartbeat answer;
  answer.records = membership_.PickRecords();
  answer.records.front().tables_version = TablesVersion();
  answer.leads = limits_.Leads(now());
  answer.levels = limits_.LevelsFor(node, now());
  answer.calendar = now_.wall;
  return answer;
}

void ForwardNode::Welcome(const MemberRecord& sender) {
  // In a small fleet it hears from this node within a period.
  if (!membership_.IsSparse()) return;
  Heartbeat welcome = AnswerFor(sender.id.name);
  welcome.suspects = suspects_.ReportsToTell(kMaxSuspectReports, now());
  for (const MemberRecord* record :
       membership_.Ranked(CollectorChoice::kCandidates, now())) {
    welcome.records.push_back(record->WithoutCounts());
  }
  Emit(
      forward_action::SendHeartbeat{{sender.peer_address, std::move(welcome)}});
}

void ForwardNode::TellLowLevels(const std::vector<Member>& others) {
  const Duration period = LowLevelPeriod();
  if (!is_collector_ || now() - levels_told_at_ < period) return;
  if (!limits_.Leads(now()) || !limits_.TakeLevelNews()) return;
  levels_told_at_ = now();
  for (const Member& member : others) {
    if (member.status != MemberStatus::kAlive) continue;
    Heartbeat news;
    news.records = {membership_.self().WithoutCounts()};
    news.leads = true;
    news.levels = limits_.LowLevelsFor(member.record.id.name, now());
    Emit(forward_action::SendHeartbeat{
        {member.record.peer_address, std::move(news)}});
  }
}

Duration ForwardNode::LowLevelPeriod() const {
  const int nodes = membership_.ShareholderCount(now());
  return std::max<Duration>(kLowLevelPeriod,
                            FromSeconds(nodes / kMessagesPerSecond));
}

void ForwardNode::ReportLowLevel(const std::string& customer) {
  const bool is_due = now() - low_use_told_at_ >= kLowLevelPeriod;
  if (!FollowsCollectors(now()) || !is_due || !limits_.IsLow(customer)) return;
  low_use_told_at_ = now();
  // Asks for nothing, so that many such reports cost the collectors little.
  Heartbeat report;
  report.records = {membership_.Announce()};
  report.records.front().uses = limits_.LowUses();
  report.records.front().lateness = lateness_;
  for (const MemberRecord* collector : ChooseCollectors()) {
    Emit(forward_action::SendHeartbeat{{collector->peer_address, report}});
  }
}

void ForwardNode::TakeAnswer(const Heartbeat& answer) {
  const MemberRecord& sender = answer.records.front();
  const bool is_answer = answer.asked_at != TimePoint();
  if (is_answer) collectors_.OnAnswered(sender.id.name);
  for (const UsageWindow window : answer.usage_taken) {
    usage_handed_over_.insert(window);
  }
  TakeProof(answer);
  if (answer.upstream_changes.has_value() &&
      upstream_list_.Apply(*answer.upstream_changes, answer.asked_at)) {
    UseUpstreams();
  }
}

void ForwardNode::TakeProof(const Heartbeat& answer) {
  if (!answer.proof_age.has_value() || index_ == nullptr) return;
  const MemberRecord& sender = answer.records.front();
  if (sender.tables_version > index_->tables().version) {
    Emit(forward_action::ReadTables{});
  }
  // Proves nothing of other tables than those in force here.
  if (sender.tables_version != index_->tables().version) return;
  // The answer was given after it was asked for, so the store was read after
  // this, whatever time the two datagrams took.
  NoteProof(answer.asked_at - *answer.proof_age);
}

bool ForwardNode::NeedsTablesRead(Duration period, TimePoint now) const {
  if (is_collector_) return true;
  const std::optional<Duration> age = TablesAge(now);
  return !age.has_value() || ToSeconds(*age) > kProofPart * ToSeconds(period);
}

bool ForwardNode::NeedsUpstreamsRead(Duration period, TimePoint now) const {
  const std::optional<TimePoint> proven_at = upstream_list_.proven_at();
  return !FollowsCollectors(now) || !proven_at.has_value() ||
         now - *proven_at > period;
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
  const UsageWindow present = usage_.WindowOf(now_.wall);
  usage_handed_over_.erase(
      usage_handed_over_.begin(),
      usage_handed_over_.lower_bound(present - kWindowsRemembered));
  for (UsageWindow window = present - kWindowsTold; window < present;
       ++window) {
    const bool is_settled = now_.wall >= usage_.SettledAt(window);
    if (is_settled && !IsUsageHandedOver(window)) {
      reports.push_back({window, usage_.CountsOf(window)});
    }
  }
  return reports;
}

std::vector<UsageWindow> ForwardNode::TakeUsage(
    const NodeId& sender, const std::vector<UsageReport>& reports) {
  std::vector<UsageWindow> taken;
  for (const UsageReport& report : reports) {
    usage_collection_.Take(ProcessName(sender), report);
    taken.push_back(report.window);
  }
  return taken;
}

bool ForwardNode::IsUsageHandedOver(UsageWindow window) const {
  return usage_handed_over_.count(window) > 0;
}

// Heartbeats.

void ForwardNode::SendHeartbeats() {
  membership_.SetLed(limits_.IsLed(now()) || is_collector_);
  const bool asks =
      membership_.IsSparse() && now() - asked_at_ >= question_period_;
  if (!asks && !membership_.IsDue(now())) return;
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
  if (asks) AskCollectors();
}

std::vector<HeardLoad> ForwardNode::LoadsToTell() {
  std::vector<HeardLoad> loads = upstreams_.ReportsSince(loads_told_at_, now());
  if (loads.size() > kMaxLoads) loads.resize(kMaxLoads);
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
  const int known = membership_.ShareholderCount(now());
  question_period_ = std::clamp(FromSeconds(known / kQuestionsPerSecond),
                                kHeartbeatPeriod, kLongestQuestionPeriod);
  limits_.SetReportPeriod(membership_.IsSparse() ? question_period_
                                                 : kHeartbeatPeriod);
  if (limits_.IsLed(now())) {
    limits_.Follow(known, now());
  } else {
    const std::vector<Member> others = membership_.Others(now());
    limits_.Update(others, now());
    TellLowLevels(others);
  }
  const int nodes = std::max(expected_nodes_, known);
  retry_budget_.SetMaxSaved(options_.retry_slack / nodes);
}

}  // namespace pollenledge
