#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// The tables of `ForwardNode`: which version is active, how long ago it was
// confirmed current, and what may be decided by it.

namespace pollenledge {
namespace {

/// A node that still lacks a version which a peer has named for longer than
/// `kTablesWatchTime` reads the store after each interval.
constexpr Duration kNewerTablesReadInterval = std::chrono::milliseconds(500);
/// How long, and how many, replaced tables are kept for relayed requests. Nodes
/// usually activate a version within this time of each other.
constexpr Duration kReplacedTablesTime = std::chrono::seconds(1);
constexpr std::size_t kMaxReplacedTables = 16;

/// Describes in the log who may send requests.
std::string DescribeAccess(const ForwardingTables& tables) {
  return tables.requires_api_key() ? std::to_string(tables.customers().size())
                                   : "any";
}

std::vector<CustomerLimit> CustomerLimits(const ForwardingTables& tables) {
  std::vector<CustomerLimit> limits;
  limits.reserve(tables.customers().size());
  for (const ForwardingCustomer& customer : tables.customers()) {
    limits.push_back({customer.name, customer.limit_per_s, customer.burst});
  }
  return limits;
}

}  // namespace

void ForwardNode::On(const forward_event::TablesRead& read) {
  const std::uint64_t version = read.tables->tables().version;
  const bool is_newer = version > TablesVersion();
  ActivateTables(read.tables, "read");
  if (read.may_be_outdated) {
    // A key in them may have been revoked since the copy was made.
    if (is_newer) LogUnconfirmedTables(version);
  } else if (IsStoreBehind(version, read.read_started)) {
    OnStoreBehind(version);
  } else {
    behind_version_ = 0;
    RecordTablesConfirmation(read.read_started, "store");
  }
  tables_read_failed_ = false;
  OnTablesReadEnded(read.read_started);
}

void ForwardNode::On(const forward_event::TablesReadFailed& failed) {
  tables_read_failed_ = true;
  OnTablesReadEnded(failed.read_started);
}

void ForwardNode::OnTablesReadEnded(TimePoint read_started) {
  const bool is_confirmed = IsTablesAgeWithinBound(now());
  // What a read from before a pause of this process returned says nothing.
  const bool is_recent = now() - read_started < options_.tables_bound;
  if (!is_confirmed && !is_recent) {
    if (!held_requests_.empty()) Emit(forward_action::ReadTables{});
    return;
  }
  can_confirm_tables_ = is_confirmed;
  ReleaseHeldRequests(held_requests_.TakeAll());
}

bool ForwardNode::IsStoreBehind(std::uint64_t version,
                                TimePoint read_started) const {
  const bool peers_are_ahead = version < peer_tables_version_ &&
                               read_started > peer_tables_version_heard_at_;
  const bool node_is_ahead =
      version < TablesVersion() && read_started > tables_activated_at_;
  return node_is_ahead || peers_are_ahead;
}

void ForwardNode::OnStoreBehind(std::uint64_t version) {
  // Keys in tables that peers have replaced may have been revoked since.
  if (version == TablesVersion()) tables_confirmed_at_.reset();
  if (version == behind_version_) return;
  behind_version_ = version;
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "store_is_behind",
      {{"stored_version", std::to_string(version)},
       {"version", std::to_string(TablesVersion())},
       {"peer_version", std::to_string(peer_tables_version_)}}});
}

void ForwardNode::LogUnconfirmedTables(std::uint64_t version) {
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "tables_unconfirmed",
      {{"version", std::to_string(version)},
       {"reason", "the store was restored from an older copy just now"}}});
}

void ForwardNode::RecordPeerTablesVersion(std::uint64_t version) {
  if (version <= peer_tables_version_) return;
  peer_tables_version_ = version;
  peer_tables_version_heard_at_ = now();
  UpdateBehindSince();
}

void ForwardNode::UpdateBehindSince() {
  if (TablesVersion() >= peer_tables_version_) {
    behind_since_.reset();
  } else if (!behind_since_.has_value()) {
    behind_since_ = now();
  }
}

void ForwardNode::ReadNewerTables() {
  if (!behind_since_.has_value()) return;
  const Duration known_for = now() - *behind_since_;
  if (known_for < kTablesWatchTime ||
      now() - newer_tables_read_at_ < kNewerTablesReadInterval)
    return;
  newer_tables_read_at_ = now();
  Emit(forward_action::WriteLogLine{
      LogLevel::kWarn,
      "tables_behind",
      {{"version", std::to_string(TablesVersion())},
       {"peer_version", std::to_string(peer_tables_version_)},
       {"known_for_ms", FormatMilliseconds(known_for)},
       {"tables_age_ms", FormatTablesAge()}}});
  Emit(forward_action::ReadTables{});
}

void ForwardNode::RecordTablesConfirmation(TimePoint confirmed_at,
                                           const std::string& source) {
  // Responses may arrive out of order; an older confirmation does not replace a
  // newer one.
  if (!tables_confirmed_at_.has_value() ||
      confirmed_at > *tables_confirmed_at_) {
    tables_confirmed_at_ = confirmed_at;
    tables_confirmed_by_ = source;
  }
}

void ForwardNode::On(const forward_event::TablesWatchUpdate& update) {
  ActivateTables(update.tables, "watch");
}

std::uint64_t ForwardNode::TablesVersion() const {
  return tables_index_ == nullptr ? 0 : tables_index_->tables().version;
}

void ForwardNode::ActivateTables(
    const std::shared_ptr<const ForwardingIndex>& tables, const char* source) {
  // Versions only increase: ignore late responses and stale reads.
  if (tables_index_ != nullptr &&
      tables->tables().version <= tables_index_->tables().version) {
    return;
  }
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "tables_in_force",
      {{"version", std::to_string(tables->tables().version)},
       {"source", source},
       {"customers", DescribeAccess(tables->tables())},
       {"idle_timeout_ms",
        FormatMilliseconds(tables->tables().limits.idle_timeout)}}});
  stream_versions_.OnRouteMoved(MovedServices(tables->tables()), now());
  if (tables_index_ != nullptr)
    replaced_tables_.push_back({std::move(tables_index_), now()});
  if (replaced_tables_.size() > kMaxReplacedTables)
    replaced_tables_.pop_front();
  tables_index_ = tables;
  tables_activated_at_ = now();
  behind_since_.reset();
  UpdateBehindSince();
  UpdateVersionRecords();
  limits_.Configure(CustomerLimits(tables_index_->tables()), now());
  UpdateLimits();
}

std::shared_ptr<const ForwardingIndex> ForwardNode::TablesFor(
    const ForwardSpec& spec) const {
  if (!spec.is_relayed) return tables_index_;
  for (const ReplacedTables& replaced : replaced_tables_) {
    const bool is_recent = now() - replaced.replaced_at < kReplacedTablesTime;
    if (is_recent &&
        replaced.index->tables().version == spec.min_tables_version)
      return replaced.index;
  }
  return tables_index_;
}

void ForwardNode::ApplyTablesConfirmation(const Heartbeat& response) {
  const MemberRecord& sender = response.records.front();
  const bool is_later = sender.tables_version > TablesVersion();
  if (response.tables_confirmation_age.has_value() &&
      tables_index_ != nullptr && is_later)
    Emit(forward_action::ReadTables{});
  ApplyTablesConfirmation(response, response.queried_at);
}

void ForwardNode::ApplyTablesConfirmation(const Heartbeat& response,
                                          TimePoint asked_at) {
  const MemberRecord& sender = response.records.front();
  // A confirmation of another version does not apply to the active tables.
  if (!response.tables_confirmation_age.has_value() ||
      tables_index_ == nullptr || sender.tables_version != TablesVersion())
    return;
  // The peer responded after this node asked. Counting the age of the
  // confirmation from then gives a lower bound of when the store was read,
  // however long the two datagrams were in transit.
  RecordTablesConfirmation(asked_at - *response.tables_confirmation_age,
                           sender.id.name);
}

bool ForwardNode::NeedsTablesRead(Duration max_age, TimePoint now) const {
  if (is_collector_) return true;
  const std::optional<Duration> age = TablesAge(now);
  return !age.has_value() || *age >= max_age;
}

std::optional<Duration> ForwardNode::TablesAge(TimePoint now) const {
  if (!tables_confirmed_at_.has_value()) return std::nullopt;
  return now - *tables_confirmed_at_;
}

void ForwardNode::LogDecision(LogLevel level, const char* event,
                              const Request& request,
                              std::vector<LogField> fields) {
  const ForwardingIndex* tables = request.tables_index.get();
  fields.push_back(
      {"tables_version",
       tables == nullptr ? "none" : std::to_string(tables->tables().version)});
  fields.push_back({"tables_age_ms", FormatTablesAge()});
  fields.push_back({"tables_confirmed_by", tables_confirmed_by_});
  fields.push_back(
      {"peer_tables_version", std::to_string(peer_tables_version_)});
  LogRequest(level, event, request, std::move(fields));
}

std::string ForwardNode::FormatTablesAge() const {
  const std::optional<Duration> age = TablesAge(now());
  return age.has_value() ? FormatMilliseconds(*age) : "never";
}

NotRun ForwardNode::Deny(NotRun denial) const {
  if (AreTablesCurrent(now())) return denial;
  return {503, "unconfirmed-tables",
          "the tables may have changed since they were confirmed current",
          kDefaultRetryAfter};
}

bool ForwardNode::AreTablesCurrent(TimePoint now) const {
  return TablesVersion() >= peer_tables_version_ && IsTablesAgeWithinBound(now);
}

bool ForwardNode::IsTablesAgeWithinBound(TimePoint now) const {
  if (options_.tables_bound == Duration::zero()) return true;
  const std::optional<Duration> age = TablesAge(now);
  return age.has_value() && *age < options_.tables_bound;
}

bool ForwardNode::AreTablesOutdated(TimePoint now) const {
  if (IsTablesAgeWithinBound(now)) return false;
  const std::vector<const MemberRecord*> peers = membership_.LiveOthers(now);
  return std::any_of(peers.begin(), peers.end(),
                     [this](const MemberRecord* peer) {
                       return peer->tables_version > TablesVersion();
                     });
}

// Requests that wait until the tables are confirmed.

bool ForwardNode::MustConfirmTables() const {
  return can_confirm_tables_ && tables_confirmed_at_.has_value() &&
         !IsTablesAgeWithinBound(now());
}

void ForwardNode::HoldRequest(const forward_event::RequestArrived& arrived) {
  if (held_requests_.empty()) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "requests_held",
        {{"request", arrived.spec.trace_id},
         {"tables_version", std::to_string(TablesVersion())},
         {"peer_version", std::to_string(peer_tables_version_)},
         {"tables_age_ms", FormatTablesAge()}}});
  }
  const ForwardSpec& spec = arrived.spec;
  const ForwardingRoute* route = tables_index_->FindRoute(spec.host, spec.path);
  Duration time_left = spec.time_left.value_or(Duration::max());
  if (route != nullptr) time_left = std::min(time_left, route->timeout);
  held_requests_.Add(arrived, time_left, now());
  Emit(forward_action::ReadTables{});
}

void ForwardNode::ReleaseHeldRequests(std::vector<HeldRequest> held) {
  if (held.empty()) return;
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "requests_released",
      {{"requests", std::to_string(held.size())},
       {"waited_ms", FormatMilliseconds(now() - held.front().arrived_at)},
       {"tables_version", std::to_string(TablesVersion())},
       {"tables_age_ms", FormatTablesAge()}}});
  for (const HeldRequest& request : held)
    BeginRequest(request.arrived, request.arrived_at);
}

void ForwardNode::ReleaseConfirmedRequests() {
  if (!held_requests_.empty() && IsTablesAgeWithinBound(now()))
    ReleaseHeldRequests(held_requests_.TakeAll());
}

}  // namespace pollenledge
