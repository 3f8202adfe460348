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
/// Fractions of the burst at which a falling level is published at once. What
/// the nodes admit after the last step, before they receive the new level,
/// exceeds the limit.
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
/// Maximum wait that is returned for a rejected request.
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
      silent_after_(kMinUnresponsiveTimeout) {}

void LimitBuckets::SetReportPeriod(Duration period) {
  report_period_ = std::max(period, kMinReportPeriod);
  silent_after_ =
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
      bucket.common_level = 0;
      bucket.own_part = 1.0 / options_.least_nodes;
      bucket.own_level = kInitialBurstFraction * limit.burst * bucket.own_part;
    }
    bucket.limit = limit;
    bucket.common_level = std::min(bucket.common_level, limit.burst);
    bucket.own_level =
        std::min(bucket.own_level, limit.burst * bucket.own_part);
  }
  buckets_ = std::move(updated);
}

void LimitBuckets::SetLeastNodes(int nodes) {
  options_.least_nodes = nodes;
  const double share = 1.0 / nodes;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.used > 0) continue;
    bucket.own_part = std::min(bucket.own_part, share);
    bucket.own_level = std::min(
        bucket.own_level, kInitialBurstFraction * bucket.limit.burst * share);
  }
}

void LimitBuckets::Refill(TimePoint now) {
  const double elapsed_s = ConsumeElapsed(&refilled_at_, now);
  // While this node follows a collector, the collector refills the global
  // level.
  const bool following = IsLed(now);
  for (auto& [name, bucket] : buckets_) {
    const double units = bucket.limit.units_per_s * elapsed_s;
    const double global_units = following ? 0 : units;
    bucket.common_level =
        std::min(bucket.limit.burst, bucket.common_level + global_units);
    bucket.own_level = std::min(bucket.limit.burst * bucket.own_part,
                                bucket.own_level + units * bucket.own_part);
  }
}

void LimitBuckets::ForgetOthers(TimePoint now) {
  refilled_at_ = now;
  updated_at_ = now;
  peers_.clear();
  levels_at_.reset();
  heard_most_since_.reset();
  hears_most_ = false;
  for (auto& [name, bucket] : buckets_) {
    bucket.common_level = 0;
    bucket.peer_rates.clear();
  }
}

void LimitBuckets::Update(const std::vector<Member>& others, TimePoint now) {
  // A machine that was suspended knows no more about the other nodes than one
  // that has just started.
  const bool was_suspended =
      updated_at_.has_value() && now - *updated_at_ > silent_after_;
  if (was_suspended) ForgetOthers(now);
  Refill(now);
  const double elapsed_s = ConsumeElapsed(&updated_at_, now);
  const bool following = IsLed(now);
  nodes_ = 1;
  int unresponsive = 0;
  for (const Member& member : others) {
    if (member.status != MemberStatus::kLeft) {
      ++nodes_;
      if (member.silence > silent_after_) ++unresponsive;
    }
    TakeIn(member, elapsed_s, following);
  }
  NoteHearing(unresponsive, now);
  for (auto& [name, bucket] : buckets_) {
    NoteOwnRate(&bucket, elapsed_s);
    SetPart(&bucket, std::max(nodes_, options_.least_nodes));
    SettleDebt(&bucket);
  }
}

void LimitBuckets::Follow(int nodes, TimePoint now) {
  Refill(now);
  const double elapsed_s = ConsumeElapsed(&updated_at_, now);
  nodes_ = nodes;
  // Until this node tracks its peers again, a collector counts their use.
  peers_.clear();
  const double equal_share = 1.0 / std::max(nodes_, options_.least_nodes);
  for (auto& [name, bucket] : buckets_) {
    NoteOwnRate(&bucket, elapsed_s);
    bucket.peer_rates.clear();
    bucket.own_part = equal_share;
  }
}

void LimitBuckets::NoteOwnRate(Bucket* bucket, double elapsed_s) {
  if (elapsed_s > 0) {
    const double rate = (bucket->used - bucket->used_at_update) / elapsed_s;
    bucket->own_rate += RateGain(elapsed_s) * (rate - bucket->own_rate);
  }
  bucket->used_at_update = bucket->used;
}

void LimitBuckets::SettleDebt(Bucket* bucket) const {
  // Units that other nodes left unused reduce this node's debt.
  if (!hears_most_) return;
  bucket->own_level =
      std::max(bucket->own_level, bucket->common_level * bucket->own_part);
}

void LimitBuckets::NoteHearing(int unresponsive, TimePoint now) {
  const bool reachable = unresponsive * 2 < nodes_;
  if (!reachable) heard_most_since_.reset();
  if (reachable && !heard_most_since_.has_value()) heard_most_since_ = now;
  hears_most_ = reachable || IsLed(now);
}

bool LimitBuckets::IsLed(TimePoint now) const {
  return levels_at_.has_value() && now - *levels_at_ <= silent_after_;
}

void LimitBuckets::TakeLevels(const NodeId& collector,
                              const std::vector<LimitLevel>& levels,
                              TimePoint now) {
  const bool has_other_collector =
      collector != collector_ && WordIsWithin(kCollectorSwitchPeriods, now);
  if (has_other_collector) return;
  Refill(now);
  collector_ = collector;
  levels_at_ = now;
  hears_most_ = true;
  for (const LimitLevel& level : levels) TakeLevel(level);
}

void LimitBuckets::TakeLevel(const LimitLevel& level) {
  const auto found = buckets_.find(level.customer);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  // The collector may have counted the use of an earlier process of this node,
  // which can exceed `used`. The difference must not be added to the level.
  const double uncounted = std::max(0.0, bucket.used - level.counted_use);
  bucket.common_level = std::min(bucket.limit.burst, level.units - uncounted);
  SettleDebt(&bucket);
}

bool LimitBuckets::WordIsWithin(double periods, TimePoint now) const {
  return levels_at_.has_value() &&
         ToSeconds(now - *levels_at_) <= periods * ToSeconds(report_period_);
}

bool LimitBuckets::MayBorrow(TimePoint now) const {
  return hears_most_ &&
         (!IsLed(now) || WordIsWithin(kMaxBorrowStatePeriods, now));
}

bool LimitBuckets::Leads(TimePoint now) const {
  // State from another collector is not forwarded: two collectors that follow
  // each other would never apply the use of the other nodes.
  return !IsLed(now) && heard_most_since_.has_value() &&
         now - *heard_most_since_ >= kCollectorWarmup;
}

std::vector<LimitLevel> LimitBuckets::LevelsFor(const std::string& node,
                                                TimePoint now) const {
  std::vector<LimitLevel> levels;
  const auto peer = peers_.find(node);
  if (!Leads(now) || peer == peers_.end()) return levels;
  levels.reserve(buckets_.size());
  for (const auto& [customer, bucket] : buckets_) {
    const auto use = peer->second.uses.find(customer);
    const double counted = use == peer->second.uses.end() ? 0 : use->second;
    levels.push_back({customer, bucket.common_level, counted});
  }
  return levels;
}

void LimitBuckets::TakeIn(const Member& member, double elapsed_s,
                          bool following) {
  const MemberRecord& record = member.record;
  const auto [it, is_new] = peers_.try_emplace(record.id.name);
  Peer& peer = it->second;
  // A restarted node counts its use from zero.
  if (peer.incarnation != record.id.incarnation) peer.uses.clear();
  peer.incarnation = record.id.incarnation;
  std::map<std::string, double> deltas;
  for (const CustomerUse& use : record.uses) {
    double& known = peer.uses[use.customer];
    // The use that a node's first report contains may be long ago.
    if (!is_new) deltas[use.customer] = std::max(0.0, use.units - known);
    known = use.units;
  }
  const bool unresponsive =
      member.status != MemberStatus::kLeft && member.silence > silent_after_;
  for (auto& [name, bucket] : buckets_) {
    double units = deltas.count(name) > 0 ? deltas.at(name) : 0;
    double& rate = bucket.peer_rates[record.id.name];
    double& estimated = peer.supposed[name];
    if (unresponsive) {
      const double equal_rate =
          bucket.limit.units_per_s / std::max(nodes_, options_.least_nodes);
      units = std::max(equal_rate, rate) * elapsed_s;
      estimated += units;
    } else {
      // The node's actual use is known now and replaces the estimate.
      if (!following) {
        bucket.common_level =
            std::min(bucket.limit.burst, bucket.common_level + estimated);
      }
      estimated = 0;
    }
    if (!following) bucket.common_level -= units;
    if (elapsed_s > 0 && !unresponsive) {
      rate += RateGain(elapsed_s) * (units / elapsed_s - rate);
    }
  }
}

void LimitBuckets::SetPart(Bucket* bucket, int nodes) const {
  double total = bucket->own_rate;
  for (const auto& [name, rate] : bucket->peer_rates) total += rate;
  const double equal_share = 1.0 / nodes;
  const double share_by_use =
      total <= 0 ? equal_share : bucket->own_rate / total;
  bucket->own_part = hears_most_ ? kEqualFraction * equal_share +
                                       (1 - kEqualFraction) * share_by_use
                                 : equal_share;
}

std::optional<Duration> LimitBuckets::Take(const std::string& customer,
                                           double units, TimePoint now) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return std::nullopt;
  Refill(now);
  Bucket& bucket = found->second;
  // A request larger than the local bucket is admitted when the bucket is full,
  // and the excess becomes a debt.
  const double local_capacity = bucket.limit.burst * bucket.own_part;
  // Units that one node borrowed must not be used again by the local buckets of
  // the other nodes.
  const bool overdrawn = hears_most_ && bucket.common_level < 0;
  const bool local_units_suffice =
      !overdrawn && bucket.own_level >= std::min(units, local_capacity);
  const bool may_borrow =
      MayBorrow(now) &&
      bucket.common_level * kMaxBorrowFraction >=
          std::min(units, bucket.limit.burst * kMaxBorrowFraction);
  if (!local_units_suffice && !may_borrow) {
    const double missing = std::min(units, local_capacity) - bucket.own_level;
    const double rate =
        std::max(1.0, bucket.limit.units_per_s * bucket.own_part);
    return std::min<Duration>(FromSeconds(missing / rate), kMaxWait);
  }
  bucket.own_level -= units;
  bucket.common_level -= units;
  bucket.used += units;
  return std::nullopt;
}

void LimitBuckets::Return(const std::string& customer, double units) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return;
  // `used` never decreases, so other nodes still count these units as used. The
  // burst compensates for that.
  found->second.own_level += units;
  found->second.common_level += units;
}

std::vector<LimitLevel> LimitBuckets::LowLevelsFor(const std::string& node,
                                                   TimePoint now) const {
  std::vector<LimitLevel> levels = LevelsFor(node, now);
  std::erase_if(levels, [this](const LimitLevel& level) {
    return !IsLow(level.customer);
  });
  return levels;
}

std::vector<CustomerUse> LimitBuckets::LowUses() const {
  std::vector<CustomerUse> uses = Uses();
  std::erase_if(
      uses, [this](const CustomerUse& use) { return !IsLow(use.customer); });
  return uses;
}

std::vector<CustomerUse> LimitBuckets::Uses() const {
  std::vector<CustomerUse> uses;
  for (const auto& [name, bucket] : buckets_) {
    if (bucket.used > 0) uses.push_back({name, bucket.used});
  }
  return uses;
}

bool LimitBuckets::IsLow(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found != buckets_.end() &&
         LevelStep(found->second.common_level, found->second.limit.burst) > 0;
}

bool LimitBuckets::TakeLevelNews() {
  bool has_drop = false;
  for (auto& [name, bucket] : buckets_) {
    const int step = LevelStep(bucket.common_level, bucket.limit.burst);
    has_drop = has_drop || step > bucket.told_step;
    bucket.told_step = step;
  }
  return has_drop;
}

double LimitBuckets::CommonLevel(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found == buckets_.end() ? 0 : found->second.common_level;
}

}  // namespace pollenledge
