#include "pollenledge/process/limit_buckets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace pollenledge {
namespace {

/// A node counts as unresponsive if its last report is older than this many
/// report periods, but at least `kMinUnresponsiveTimeout`. Losing one datagram
/// therefore has no effect.
constexpr double kUnresponsivePeriods = 3.6;
constexpr Duration kMinUnresponsiveTimeout = std::chrono::milliseconds(900);
constexpr Duration kMinReportPeriod = std::chrono::milliseconds(250);
/// A node does not borrow if the collector state is older than this many report
/// periods.
constexpr double kMaxBorrowStatePeriods = 1.4;
/// Age of the collector state, in report periods, after which the state of
/// another collector is accepted.
constexpr double kCollectorSwitchPeriods = 1.2;
/// Fractions of the burst at which a falling level is published at once. The
/// units that nodes admit after the last step, before they receive the new
/// level, exceed the limit.
constexpr std::array<double, 3> kLevelSteps = {0.6, 0.3, 0};
/// Fraction of a limit that is divided equally among the nodes. The rest is
/// divided in proportion to recent use.
constexpr double kEqualFraction = 0.5;
/// Fraction of the global level that one request may borrow, so that several
/// nodes that borrow at once exceed it only slightly.
constexpr double kMaxBorrowFraction = 0.5;
/// Fraction of the burst that is available when the nodes start.
constexpr double kInitialBurstFraction = 0.5;
/// Decay time of the recent use that determines the local shares.
constexpr Duration kRateDecayTime = std::chrono::milliseconds(2500);
/// Bounds of the wait that is returned for a rejected request.
constexpr Duration kMinWait = std::chrono::milliseconds(10);
constexpr Duration kMaxWait = std::chrono::seconds(5);
/// A node publishes the global levels after it has reached a majority of the
/// others for this long. A customer's burst fills in about this time.
constexpr Duration kCollectorWarmup = std::chrono::seconds(2);

double RateGain(double elapsed_s) {
  return 1 - std::exp(-elapsed_s / ToSeconds(kRateDecayTime));
}

/// Returns the seconds since `*last` and sets it to `now`. Returns 0 the first
/// time.
double ConsumeElapsed(std::optional<TimePoint>* last, TimePoint now) {
  const TimePoint previous = last->value_or(now);
  *last = now;
  return ToSeconds(now - previous);
}

/// Returns the number of steps in `kLevelSteps` that `level` has fallen below.
int LevelStep(double level, double burst) {
  return static_cast<int>(
      std::count_if(kLevelSteps.begin(), kLevelSteps.end(),
                    [&](double fraction) { return level < fraction * burst; }));
}

}  // namespace

LimitBuckets::LimitBuckets(LimitBucketOptions options)
    : options_(options),
      report_period_(kMinReportPeriod),
      unresponsive_timeout_(kMinUnresponsiveTimeout) {}

void LimitBuckets::SetReportPeriod(Duration period) {
  report_period_ = std::max(period, kMinReportPeriod);
  unresponsive_timeout_ =
      std::max<Duration>(kMinUnresponsiveTimeout,
                         FromSeconds(kUnresponsivePeriods * ToSeconds(period)));
}

void LimitBuckets::Configure(const std::vector<CustomerLimit>& limits,
                             TimePoint now) {
  Refill(now);
  std::map<std::string, Bucket> updated;
  for (const CustomerLimit& limit : limits) {
    if (limit.units_per_s <= 0) continue;
    Bucket& bucket = updated[limit.customer];
    const auto known = buckets_.find(limit.customer);
    if (known != buckets_.end()) {
      bucket = std::move(known->second);
    } else {
      // Nothing can be borrowed until the use of the other nodes is known.
      bucket.global_level = 0;
      bucket.local_share = 1.0 / options_.min_nodes;
      bucket.local_level =
          kInitialBurstFraction * limit.burst * bucket.local_share;
    }
    bucket.limit = limit;
    bucket.global_level = std::min(bucket.global_level, limit.burst);
    bucket.local_level =
        std::min(bucket.local_level, limit.burst * bucket.local_share);
  }
  buckets_ = std::move(updated);
}

void LimitBuckets::SetMinNodes(int nodes) {
  options_.min_nodes = nodes;
  const double share = 1.0 / nodes;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.used > 0) continue;
    bucket.local_share = std::min(bucket.local_share, share);
    bucket.local_level = std::min(
        bucket.local_level, kInitialBurstFraction * bucket.limit.burst * share);
  }
}

void LimitBuckets::Refill(TimePoint now) {
  const double elapsed_s = ConsumeElapsed(&refilled_at_, now);
  // While this node follows a collector, the collector refills the global
  // level.
  const bool following = HasCollectorState(now);
  for (auto& [name, bucket] : buckets_) {
    const double units = bucket.limit.units_per_s * elapsed_s;
    const double global_units = following ? 0 : units;
    bucket.global_level =
        std::min(bucket.limit.burst, bucket.global_level + global_units);
    bucket.local_level =
        std::min(bucket.limit.burst * bucket.local_share,
                 bucket.local_level + units * bucket.local_share);
  }
}

void LimitBuckets::ResetPeerState(TimePoint now) {
  refilled_at_ = now;
  updated_at_ = now;
  peers_.clear();
  levels_received_at_.reset();
  majority_since_.reset();
  majority_reachable_ = false;
  for (auto& [name, bucket] : buckets_) {
    bucket.global_level = 0;
    bucket.peer_rates.clear();
  }
}

void LimitBuckets::UpdateFromMembers(const std::vector<Member>& others,
                                     TimePoint now) {
  // A machine that was suspended knows no more about the other nodes than one
  // that has just started.
  const bool was_suspended =
      updated_at_.has_value() && now - *updated_at_ > unresponsive_timeout_;
  if (was_suspended) ResetPeerState(now);
  Refill(now);
  const double elapsed_s = ConsumeElapsed(&updated_at_, now);
  node_count_ = 1 + static_cast<int>(std::count_if(
                        others.begin(), others.end(), [](const Member& member) {
                          return member.status != MemberStatus::kLeft;
                        }));
  for (const Member& member : others) RecordReport(member, now);
  std::vector<std::string> unresponsive;
  for (const Member& member : others) {
    if (IsUnresponsive(member, now))
      unresponsive.push_back(member.record.id.name);
  }
  if (!unresponsive.empty()) UpdateEstimateScales(unresponsive);
  for (const Member& member : others) {
    MergeMember(member, elapsed_s, now);
  }
  UpdateMajorityReachable(static_cast<int>(unresponsive.size()), now);
  for (auto& [name, bucket] : buckets_) {
    UpdateLocalRate(&bucket, elapsed_s);
    UpdateLocalShare(&bucket, std::max(node_count_, options_.min_nodes));
    ReconcileDebt(&bucket);
  }
}

void LimitBuckets::UpdateAsFollower(int nodes, TimePoint now) {
  Refill(now);
  const double elapsed_s = ConsumeElapsed(&updated_at_, now);
  node_count_ = nodes;
  // A collector counts the use of the peers until this node tracks them again.
  peers_.clear();
  const double equal_share = 1.0 / std::max(node_count_, options_.min_nodes);
  for (auto& [name, bucket] : buckets_) {
    UpdateLocalRate(&bucket, elapsed_s);
    bucket.peer_rates.clear();
    bucket.local_share = equal_share;
  }
}

void LimitBuckets::UpdateLocalRate(Bucket* bucket, double elapsed_s) {
  if (elapsed_s > 0) {
    const double rate = (bucket->used - bucket->used_at_update) / elapsed_s;
    bucket->local_rate += RateGain(elapsed_s) * (rate - bucket->local_rate);
  }
  bucket->used_at_update = bucket->used;
}

void LimitBuckets::ReconcileDebt(Bucket* bucket) const {
  // Units that other nodes left unused reduce this node's debt.
  if (!majority_reachable_) return;
  bucket->local_level =
      std::max(bucket->local_level, bucket->global_level * bucket->local_share);
}

void LimitBuckets::UpdateMajorityReachable(int unresponsive, TimePoint now) {
  const bool reachable = unresponsive * 2 < node_count_;
  if (!reachable) majority_since_.reset();
  if (reachable && !majority_since_.has_value()) majority_since_ = now;
  majority_reachable_ = reachable || HasCollectorState(now);
}

bool LimitBuckets::HasCollectorState(TimePoint now) const {
  return levels_received_at_.has_value() &&
         now - *levels_received_at_ <= unresponsive_timeout_;
}

void LimitBuckets::ApplyCollectorLevels(const NodeId& collector,
                                        const std::vector<LimitLevel>& levels,
                                        TimePoint now) {
  const bool has_other_collector =
      collector != collector_ &&
      CollectorStateIsWithin(kCollectorSwitchPeriods, now);
  if (has_other_collector) return;
  Refill(now);
  collector_ = collector;
  levels_received_at_ = now;
  majority_reachable_ = true;
  for (const LimitLevel& level : levels) ApplyCollectorLevel(level);
}

void LimitBuckets::ApplyCollectorLevel(const LimitLevel& level) {
  const auto found = buckets_.find(level.customer);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  // The collector may have counted the use of an earlier process of this node,
  // which can exceed `used`. The difference must not be added to the level.
  const double uncounted = std::max(0.0, bucket.used - level.counted_usage);
  bucket.global_level =
      std::min(bucket.limit.burst, level.remaining_units - uncounted);
  ReconcileDebt(&bucket);
}

bool LimitBuckets::CollectorStateIsWithin(double periods, TimePoint now) const {
  return levels_received_at_.has_value() &&
         ToSeconds(now - *levels_received_at_) <=
             periods * ToSeconds(report_period_);
}

bool LimitBuckets::MayBorrow(TimePoint now) const {
  return majority_reachable_ &&
         (!HasCollectorState(now) ||
          CollectorStateIsWithin(kMaxBorrowStatePeriods, now));
}

bool LimitBuckets::CanPublishLevels(TimePoint now) const {
  // State from another collector is not forwarded: two collectors that follow
  // each other would never apply the use of the other nodes.
  return !HasCollectorState(now) && majority_since_.has_value() &&
         now - *majority_since_ >= kCollectorWarmup;
}

std::vector<LimitLevel> LimitBuckets::LevelsFor(const std::string& node,
                                                TimePoint now) const {
  std::vector<LimitLevel> levels;
  const auto peer = peers_.find(node);
  if (!CanPublishLevels(now) || peer == peers_.end()) return levels;
  levels.reserve(buckets_.size());
  for (const auto& [customer, bucket] : buckets_) {
    const auto use = peer->second.uses.find(customer);
    const double counted = use == peer->second.uses.end() ? 0 : use->second;
    levels.push_back({customer, bucket.global_level, counted});
  }
  return levels;
}

void LimitBuckets::MergeMember(const Member& member, double elapsed_s,
                               TimePoint now) {
  const MemberRecord& record = member.record;
  Peer& peer = peers_[record.id.name];
  if (peer.incarnation != record.id.incarnation) {
    peer.uses.clear();
    peer.counts_from_zero = peer.incarnation != 0;
  }
  peer.incarnation = record.id.incarnation;
  const bool unresponsive = IsUnresponsive(member, now);
  std::map<std::string, double> deltas;
  for (const CustomerUsage& use : record.customer_usage) {
    // After a suspension of this node, its last report is outdated.
    if (unresponsive && peer.uses.count(use.customer) == 0) continue;
    const auto [known, is_first] = peer.uses.try_emplace(use.customer, 0);
    // The use in a node's first report may have occurred long ago.
    if (!is_first || peer.counts_from_zero) {
      deltas[use.customer] = std::max(0.0, use.used_units - known->second);
    }
    known->second = use.used_units;
  }
  const bool following = HasCollectorState(now);
  const bool reports_use = !record.customer_usage.empty();
  for (auto& [name, bucket] : buckets_) {
    double units = deltas.count(name) > 0 ? deltas.at(name) : 0;
    double& rate = bucket.peer_rates[record.id.name];
    double& estimated = peer.estimated_uses[name];
    double refund = 0;
    if (unresponsive) {
      units = bucket.estimate_scale * EstimatedRate(bucket, record.id.name) *
              elapsed_s;
      estimated += units;
    } else if (reports_use) {
      // The node's actual use is known now and replaces the estimate.
      refund = estimated;
      estimated = 0;
    }
    if (!following) {
      bucket.global_level =
          std::min(bucket.limit.burst, bucket.global_level + refund - units);
    }
    if (elapsed_s > 0 && !unresponsive) {
      rate += RateGain(elapsed_s) * (units / elapsed_s - rate);
    }
  }
}

void LimitBuckets::RecordReport(const Member& member, TimePoint now) {
  // In a large fleet, heartbeats that other nodes pass on carry no usage.
  const bool reports_use =
      buckets_.empty() || !member.record.customer_usage.empty();
  if (!reports_use) return;
  TimePoint& reported_at = peers_[member.record.id.name].reported_at;
  reported_at = std::max<TimePoint>(reported_at, now - member.since_heartbeat);
}

bool LimitBuckets::IsUnresponsive(const Member& member, TimePoint now) const {
  if (member.status == MemberStatus::kLeft) return false;
  const auto peer = peers_.find(member.record.id.name);
  return peer == peers_.end() ||
         now - peer->second.reported_at > unresponsive_timeout_;
}

double LimitBuckets::EstimatedRate(const Bucket& bucket,
                                   const std::string& node) const {
  const double equal_rate =
      bucket.limit.units_per_s / std::max(node_count_, options_.min_nodes);
  const auto rate = bucket.peer_rates.find(node);
  return rate == bucket.peer_rates.end() ? equal_rate
                                         : std::max(equal_rate, rate->second);
}

void LimitBuckets::UpdateEstimateScales(
    const std::vector<std::string>& unresponsive) {
  for (auto& [name, bucket] : buckets_) {
    double total_rate = 0;
    for (const std::string& node : unresponsive) {
      total_rate += EstimatedRate(bucket, node);
    }
    bucket.estimate_scale =
        std::min(1.0, bucket.limit.units_per_s / total_rate);
  }
}

void LimitBuckets::UpdateLocalShare(Bucket* bucket, int nodes) const {
  double total = bucket->local_rate;
  for (const auto& [name, rate] : bucket->peer_rates) total += rate;
  const double equal_share = 1.0 / nodes;
  const double share_by_use =
      total <= 0 ? equal_share : bucket->local_rate / total;
  bucket->local_share =
      majority_reachable_
          ? kEqualFraction * equal_share + (1 - kEqualFraction) * share_by_use
          : equal_share;
}

std::optional<Duration> LimitBuckets::Acquire(const std::string& customer,
                                              double units, TimePoint now) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return std::nullopt;
  Refill(now);
  Bucket& bucket = found->second;
  // A request larger than the local bucket is admitted when the bucket is full,
  // and the excess becomes a debt.
  const double local_capacity = bucket.limit.burst * bucket.local_share;
  // Units that one node borrowed must not be used again by the local buckets of
  // the other nodes.
  const bool overdrawn = majority_reachable_ && bucket.global_level < 0;
  const bool local_units_suffice =
      !overdrawn && bucket.local_level >= std::min(units, local_capacity);
  const bool may_borrow =
      MayBorrow(now) &&
      bucket.global_level * kMaxBorrowFraction >=
          std::min(units, bucket.limit.burst * kMaxBorrowFraction);
  if (!local_units_suffice && !may_borrow)
    return TimeUntilAdmitted(bucket, units, overdrawn);
  bucket.local_level -= units;
  bucket.global_level -= units;
  bucket.used += units;
  return std::nullopt;
}

Duration LimitBuckets::TimeUntilAdmitted(const Bucket& bucket, double units,
                                         bool overdrawn) {
  const double rate = bucket.limit.units_per_s;
  const double local_rate = std::max(1.0, rate * bucket.local_share);
  const double local_capacity = bucket.limit.burst * bucket.local_share;
  const double missing = std::min(units, local_capacity) - bucket.local_level;
  const double overdraft = overdrawn ? -bucket.global_level : 0;
  const Duration wait = std::max(FromSeconds(missing / local_rate),
                                 FromSeconds(overdraft / rate));
  return std::clamp<Duration>(wait, kMinWait, kMaxWait);
}

void LimitBuckets::Refund(const std::string& customer, double units) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return;
  // `used` never decreases, so other nodes still count these units as used. The
  // burst compensates for that.
  found->second.local_level += units;
  found->second.global_level += units;
}

std::vector<LimitLevel> LimitBuckets::LowLevelsFor(const std::string& node,
                                                   TimePoint now) const {
  std::vector<LimitLevel> levels = LevelsFor(node, now);
  std::erase_if(levels, [this](const LimitLevel& level) {
    return !IsLow(level.customer);
  });
  return levels;
}

std::vector<CustomerUsage> LimitBuckets::LowLevelUses() const {
  std::vector<CustomerUsage> uses = Uses();
  std::erase_if(
      uses, [this](const CustomerUsage& use) { return !IsLow(use.customer); });
  return uses;
}

std::vector<CustomerUsage> LimitBuckets::Uses() const {
  std::vector<CustomerUsage> uses;
  for (const auto& [name, bucket] : buckets_) {
    // A collector must know a total before it can count what is added.
    uses.push_back({name, bucket.used});
  }
  return uses;
}

bool LimitBuckets::IsLow(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found != buckets_.end() &&
         LevelStep(found->second.global_level, found->second.limit.burst) > 0;
}

bool LimitBuckets::ConsumeLevelDrop() {
  bool has_drop = false;
  for (auto& [name, bucket] : buckets_) {
    const int step = LevelStep(bucket.global_level, bucket.limit.burst);
    has_drop = has_drop || step > bucket.published_step;
    bucket.published_step = step;
  }
  return has_drop;
}

std::vector<std::string> LimitBuckets::ConsumeOverdrawn() {
  std::vector<std::string> overdrawn;
  for (auto& [name, bucket] : buckets_) {
    const bool has_risen =
        LevelStep(bucket.global_level, bucket.limit.burst) == 0;
    if (has_risen) bucket.overdrawn_reported = false;
    if (bucket.global_level >= 0 || bucket.overdrawn_reported) continue;
    bucket.overdrawn_reported = true;
    overdrawn.push_back(name);
  }
  return overdrawn;
}

double LimitBuckets::GlobalLevel(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found == buckets_.end() ? 0 : found->second.global_level;
}

}  // namespace pollenledge
