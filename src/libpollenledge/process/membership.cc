#include "pollenledge/process/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

// On average, one of this many heartbeat rounds includes a seed even when peers
// are known, so that the two sides of a healed network partition find each
// other again.
constexpr std::uint64_t kSeedRoundInterval = 8;

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  return std::pair(a.id.incarnation, a.heartbeat) >
         std::pair(b.id.incarnation, b.heartbeat);
}

}  // namespace

const char* ToString(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kUnreachable:
      return "unreachable";
    case MemberStatus::kLeft:
      return "left";
  }
  return "?";
}

MemberRecord MemberRecord::WithoutCounters() const {
  MemberRecord record = *this;
  record.customer_usage.clear();
  record.late_stream_counts.clear();
  return record;
}

Membership::Membership(MemberRecord self, std::vector<std::string> seeds,
                       std::uint64_t seed, HeartbeatOptions options)
    : options_(options),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed) {
  seeds_.erase(std::remove(seeds_.begin(), seeds_.end(), self_.peer_address),
               seeds_.end());
}

bool Membership::IsJoining(TimePoint now) const {
  return !started_at_.has_value() || now - *started_at_ < kJoinTime;
}

bool Membership::UsesLargeFleetPeriod(TimePoint now) const {
  return collectors_active_ && options_.large_fleet_period > Duration::zero() &&
         IsLargeFleet() && !IsJoining(now);
}

TimePoint Membership::NextDue(TimePoint now) const {
  if (last_sent_at_ == TimePoint()) return now;
  return last_sent_at_ + (UsesLargeFleetPeriod(now)
                              ? options_.large_fleet_period
                              : options_.period);
}

const MemberRecord& Membership::AdvanceHeartbeat() {
  ++self_.heartbeat;
  return self_;
}

std::vector<HeartbeatMessage> Membership::OnTick(TimePoint now) {
  std::vector<HeartbeatMessage> messages;
  if (!IsDue(now)) return messages;
  if (!started_at_.has_value()) started_at_ = now;
  last_sent_at_ = now;
  AdvanceHeartbeat();
  for (auto it = others_.begin(); it != others_.end();) {
    const bool expired =
        now - it->second.heartbeat_advanced_at > kForgetTimeout;
    it = expired ? others_.erase(it) : std::next(it);
  }
  const std::vector<std::string> targets = GossipTargets(now);
  messages.reserve(targets.size());
  for (const std::string& target : targets) {
    messages.push_back({target, {.records = SelectRecords()}});
  }
  return messages;
}

bool Membership::OnHeartbeat(const std::vector<MemberRecord>& records,
                             TimePoint now) {
  const NodeId& sender = records.front().id;
  const auto known_sender = others_.find(sender.name);
  const bool is_new =
      sender.name != self_.id.name &&
      (known_sender == others_.end() ||
       known_sender->second.record.id.incarnation < sender.incarnation);
  for (const MemberRecord& record : records) {
    if (record.id.name == self_.id.name) continue;
    const auto found = others_.find(record.id.name);
    if (found == others_.end()) {
      others_[record.id.name] = {record, now};
      continue;
    }
    if (!IsNewer(record, found->second.record)) continue;
    found->second = {record, now};
  }
  return is_new;
}

void Membership::UpdateSelf(const MemberRecord& self) {
  MemberRecord updated = self;
  updated.id = self_.id;
  updated.heartbeat = self_.heartbeat;
  self_ = std::move(updated);
}

std::vector<Member> Membership::Others(TimePoint now) const {
  std::vector<Member> members;
  members.reserve(others_.size());
  for (const auto& [name, known] : others_) {
    members.push_back({known.record, StatusOf(known, now),
                       now - known.heartbeat_advanced_at});
  }
  return members;
}

std::vector<std::string> Membership::KnownNames() const {
  std::vector<std::string> names = {self_.id.name};
  for (const auto& [name, known] : others_) {
    if (!known.record.left) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool Membership::HasLiveSeed(TimePoint now) const {
  if (seeds_.empty()) return true;
  return std::any_of(others_.begin(), others_.end(), [&](const auto& entry) {
    const KnownMember& known = entry.second;
    return StatusOf(known, now) == MemberStatus::kAlive &&
           std::find(seeds_.begin(), seeds_.end(), known.record.peer_address) !=
               seeds_.end();
  });
}

std::vector<const MemberRecord*> Membership::LiveOthers(TimePoint now) const {
  std::vector<const MemberRecord*> live;
  for (const auto& [name, known] : others_) {
    if (StatusOf(known, now) == MemberStatus::kAlive)
      live.push_back(&known.record);
  }
  return live;
}

int Membership::AliveCount(TimePoint now) const {
  int count = 1;
  for (const auto& [name, known] : others_) {
    if (StatusOf(known, now) == MemberStatus::kAlive) ++count;
  }
  return count;
}

std::vector<const MemberRecord*> Membership::PreferredMembers(
    std::size_t count, TimePoint now) const {
  // Nodes with the same processor share are ordered by a hash of their name, so
  // that the first ones come from any failure domain.
  using Key = std::pair<int, std::uint64_t>;
  std::vector<std::pair<Key, const MemberRecord*>> ranked;
  const auto add = [&ranked](const MemberRecord& record) {
    const std::string& name = record.id.name;
    const Key key(-record.cpu_percent, XXH64(name.data(), name.size(), 0));
    ranked.emplace_back(key, &record);
  };
  if (!self_.draining) add(self_);
  for (const auto& [name, known] : others_) {
    const bool is_alive = StatusOf(known, now) == MemberStatus::kAlive;
    if (is_alive && !known.record.draining) add(known.record);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
                    ranked.end());
  std::vector<const MemberRecord*> records;
  for (std::size_t i = 0; i < chosen; ++i) records.push_back(ranked[i].second);
  return records;
}

int Membership::Ordinal(TimePoint now) const {
  int ordinal = 0;
  for (const auto& [name, known] : others_) {
    if (name > self_.id.name) break;
    if (StatusOf(known, now) == MemberStatus::kAlive) ++ordinal;
  }
  return ordinal;
}

int Membership::KnownNodeCount(TimePoint now) const {
  int count = 1;
  for (const auto& [name, known] : others_) {
    if (StatusOf(known, now) != MemberStatus::kLeft) ++count;
  }
  return count;
}

Duration Membership::ScaledTimeout(Duration timeout) const {
  if (options_.large_fleet_period == Duration::zero()) return timeout;
  const auto members = static_cast<Duration::rep>(others_.size());
  return std::max(
      timeout, timeout / kSuspectTimeout * members * kSuspectTimeoutPerMember);
}

MemberStatus Membership::StatusOf(const KnownMember& known,
                                  TimePoint now) const {
  if (known.record.left) return MemberStatus::kLeft;
  const Duration heartbeat_age = now - known.heartbeat_advanced_at;
  if (heartbeat_age > ScaledTimeout(kUnreachableTimeout))
    return MemberStatus::kUnreachable;
  if (heartbeat_age > ScaledTimeout(kSuspectTimeout))
    return MemberStatus::kSuspect;
  return MemberStatus::kAlive;
}

std::vector<std::string> Membership::ShuffledPeers(TimePoint now) {
  std::vector<std::string> peers;
  for (const auto& [name, known] : others_) {
    if (StatusOf(known, now) != MemberStatus::kLeft) {
      peers.push_back(known.record.peer_address);
    }
  }
  std::shuffle(peers.begin(), peers.end(), random_);
  return peers;
}

std::vector<std::string> Membership::BroadcastTargets(TimePoint now) {
  std::vector<std::string> peers = ShuffledPeers(now);
  peers.resize(std::min(peers.size(), options_.fanout));
  return peers;
}

std::vector<std::string> Membership::GossipTargets(TimePoint now) {
  const std::vector<std::string> peers = ShuffledPeers(now);
  const std::size_t fanout =
      UsesLargeFleetPeriod(now) ? options_.large_fleet_fanout : options_.fanout;
  const bool use_seed = peers.empty() || random_() % kSeedRoundInterval == 0;
  std::vector<std::string> targets;
  if (use_seed && !seeds_.empty()) {
    targets.push_back(seeds_[random_() % seeds_.size()]);
  }
  for (const std::string& peer : peers) {
    if (targets.size() >= fanout) break;
    if (std::find(targets.begin(), targets.end(), peer) == targets.end()) {
      targets.push_back(peer);
    }
  }
  return targets;
}

std::vector<MemberRecord> Membership::SelectRecords() {
  std::vector<MemberRecord> records = {self_};
  // Number of records per message, including the node's own, while every peer
  // receives every message. The records of others then serve only to make a new
  // node known.
  constexpr std::size_t kFullMeshRecords = 2;
  const std::size_t per_message = others_.size() <= options_.fanout
                                      ? kFullMeshRecords
                                      : options_.records_per_message;
  const std::size_t record_count = std::min(per_message, others_.size() + 1);
  auto next = others_.upper_bound(cursor_);
  while (records.size() < record_count) {
    if (next == others_.end()) next = others_.begin();
    records.push_back(next->second.record);
    cursor_ = next->first;
    ++next;
  }
  if (options_.large_fleet_period > Duration::zero() && IsLargeFleet()) {
    for (MemberRecord& record : records) record = record.WithoutCounters();
  }
  return records;
}

}  // namespace pollenledge
