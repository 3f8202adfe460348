#include "pollenledge/process/limit_buckets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace pollenledge {
namespace {

/// A node whose last word is older than so many periods of reports counts as
/// silent, so that one lost datagram changes nothing; at least `kLeastSilent`.
constexpr double kSilentPeriods = 3.6;
constexpr Duration kLeastSilent = std::chrono::milliseconds(900);
constexpr Duration kLeastReportPeriod = std::chrono::milliseconds(250);
/// A collector's word that is older than so many periods of reports lets a node
/// borrow nothing; after `kSwitchPeriods` another collector's is taken.
constexpr double kWordPeriods = 1.4;
constexpr double kSwitchPeriods = 1.2;
/// Parts of the burst at which a falling level is told at once: what is lent
/// out blindly beyond the last one is over the limit.
constexpr std::array<double, 3> kLevelSteps = {0.6, 0.3, 0};
/// Part of a limit that goes to the nodes in equal parts; the rest by use.
constexpr double kEqualPart = 0.5;
/// Part of the common level that one request may borrow, so that several nodes
/// that borrow at once stay near it.
constexpr double kBorrowPart = 0.5;
/// Part of the burst that a system that has just started begins with.
constexpr double kStartPart = 0.5;
/// Time in which the rates that parts are set by forget old use.
constexpr Duration kRateMemory = std::chrono::milliseconds(2500);
constexpr Duration kLongestWait = std::chrono::seconds(5);
/// A node answers for the limits after it has heard most others this long: the
/// burst of a customer fills in about this time.
constexpr Duration kCollectorSettles = std::chrono::seconds(2);

double RateGain(double elapsed_s) {
  return 1 - std::exp(-elapsed_s / ToSeconds(kRateMemory));
}

/// Seconds since `*since`, which becomes `now`; 0 the first time.
double TakeElapsed(std::optional<TimePoint>* since, TimePoint now) {
  const TimePoint before = since->value_or(now);
  *since = now;
  return ToSeconds(now - before);
}

/// How many steps `level` is down.
int StepOf(double level, double burst) {
  return static_cast<int>(
      std::count_if(kLevelSteps.begin(), kLevelSteps.end(),
                    [&](double part) { return level < part * burst; }));
}

}  // namespace

LimitBuckets::LimitBuckets(LimitBucketOptions options)
    : options_(options),
      report_period_(kLeastReportPeriod),
      silent_after_(kLeastSilent) {}

void LimitBuckets::SetReportPeriod(Duration period) {
  report_period_ = std::max(period, kLeastReportPeriod);
  silent_after_ = std::max<Duration>(
      kLeastSilent, FromSeconds(kSilentPeriods * ToSeconds(period)));
}

void LimitBuckets::Configure(const std::vector<CustomerLimit>& limits,
                             TimePoint now) {
  Refill(now);
  std::map<std::string, Bucket> kept;
  for (const CustomerLimit& limit : limits) {
    if (limit.units_per_s <= 0) continue;
    Bucket& bucket = kept[limit.customer];
    const auto known = buckets_.find(limit.customer);
    if (known != buckets_.end()) {
      bucket = std::move(known->second);
    } else {
      // Nothing can be borrowed before the others' use is known.
      bucket.common_level = 0;
      bucket.own_part = 1.0 / options_.least_nodes;
      bucket.own_level = kStartPart * limit.burst * bucket.own_part;
    }
    bucket.limit = limit;
    bucket.common_level = std::min(bucket.common_level, limit.burst);
    bucket.own_level =
        std::min(bucket.own_level, limit.burst * bucket.own_part);
  }
  buckets_ = std::move(kept);
}

void LimitBuckets::SetLeastNodes(int nodes) {
  options_.least_nodes = nodes;
  const double part = 1.0 / nodes;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.used > 0) continue;
    bucket.own_part = std::min(bucket.own_part, part);
    bucket.own_level =
        std::min(bucket.own_level, kStartPart * bucket.limit.burst * part);
  }
}

void LimitBuckets::Refill(TimePoint now) {
  const double elapsed_s = TakeElapsed(&refilled_at_, now);
  // What comes in while a collector is followed is the collector's to tell.
  const bool led = IsLed(now);
  for (auto& [name, bucket] : buckets_) {
    const double units = bucket.limit.units_per_s * elapsed_s;
    const double common_units = led ? 0 : units;
    bucket.common_level =
        std::min(bucket.limit.burst, bucket.common_level + common_units);
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
  // A machine that was suspended knows no more of the others than one that has
  // just started.
  const bool was_away =
      updated_at_.has_value() && now - *updated_at_ > silent_after_;
  if (was_away) ForgetOthers(now);
  Refill(now);
  const double elapsed_s = TakeElapsed(&updated_at_, now);
  const bool led = IsLed(now);
  nodes_ = 1;
  int silent = 0;
  for (const Member& member : others) {
    if (member.status != MemberStatus::kLeft) {
      ++nodes_;
      if (member.silence > silent_after_) ++silent;
    }
    TakeIn(member, elapsed_s, led);
  }
  NoteHearing(silent, now);
  for (auto& [name, bucket] : buckets_) {
    NoteOwnRate(&bucket, elapsed_s);
    SetPart(&bucket, std::max(nodes_, options_.least_nodes));
    SettleDebt(&bucket);
  }
}

void LimitBuckets::Follow(int nodes, TimePoint now) {
  Refill(now);
  const double elapsed_s = TakeElapsed(&updated_at_, now);
  nodes_ = nodes;
  // Whatever they use until they are followed again is counted elsewhere.
  peers_.clear();
  const double equal = 1.0 / std::max(nodes_, options_.least_nodes);
  for (auto& [name, bucket] : buckets_) {
    NoteOwnRate(&bucket, elapsed_s);
    bucket.peer_rates.clear();
    bucket.own_part = equal;
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
  // What others left unused settles what this node owes.
  if (!hears_most_) return;
  bucket->own_level =
      std::max(bucket->own_level, bucket->common_level * bucket->own_part);
}

void LimitBuckets::NoteHearing(int silent, TimePoint now) {
  const bool hears_itself = silent * 2 < nodes_;
  if (!hears_itself) heard_most_since_.reset();
  if (hears_itself && !heard_most_since_.has_value()) heard_most_since_ = now;
  hears_most_ = hears_itself || IsLed(now);
}

bool LimitBuckets::IsLed(TimePoint now) const {
  return levels_at_.has_value() && now - *levels_at_ <= silent_after_;
}

void LimitBuckets::TakeLevels(const NodeId& collector,
                              const std::vector<LimitLevel>& levels,
                              TimePoint now) {
  const bool other_is_heard =
      collector != collector_ && WordIsWithin(kSwitchPeriods, now);
  if (other_is_heard) return;
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
  // What the collector counted of an earlier process here is nothing to add.
  const double uncounted = std::max(0.0, bucket.used - level.counted_use);
  bucket.common_level = std::min(bucket.limit.burst, level.units - uncounted);
  SettleDebt(&bucket);
}

bool LimitBuckets::WordIsWithin(double periods, TimePoint now) const {
  return levels_at_.has_value() &&
         ToSeconds(now - *levels_at_) <= periods * ToSeconds(report_period_);
}

bool LimitBuckets::MayBorrow(TimePoint now) const {
  return hears_most_ && (!IsLed(now) || WordIsWithin(kWordPeriods, now));
}

bool LimitBuckets::Leads(TimePoint now) const {
  // What another collector said is not passed on: two that take each other's
  // word would never hear of the others' use.
  return !IsLed(now) && heard_most_since_.has_value() &&
         now - *heard_most_since_ >= kCollectorSettles;
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

void LimitBuckets::TakeIn(const Member& member, double elapsed_s, bool led) {
  const MemberRecord& record = member.record;
  const auto [it, is_new] = peers_.try_emplace(record.id.name);
  Peer& peer = it->second;
  // A restarted node counts from nothing.
  if (peer.incarnation != record.id.incarnation) peer.uses.clear();
  peer.incarnation = record.id.incarnation;
  std::map<std::string, double> deltas;
  for (const CustomerUse& use : record.uses) {
    double& known = peer.uses[use.customer];
    // What a node used before it was first heard of is not known to be recent.
    if (!is_new) deltas[use.customer] = std::max(0.0, use.units - known);
    known = use.units;
  }
  const bool silent =
      member.status != MemberStatus::kLeft && member.silence > silent_after_;
  for (auto& [name, bucket] : buckets_) {
    double units = deltas.count(name) > 0 ? deltas.at(name) : 0;
    double& rate = bucket.peer_rates[record.id.name];
    double& supposed = peer.supposed[name];
    if (silent) {
      const double equal =
          bucket.limit.units_per_s / std::max(nodes_, options_.least_nodes);
      units = std::max(equal, rate) * elapsed_s;
      supposed += units;
    } else {
      // What it used is known now.
      if (!led) {
        bucket.common_level =
            std::min(bucket.limit.burst, bucket.common_level + supposed);
      }
      supposed = 0;
    }
    if (!led) bucket.common_level -= units;
    if (elapsed_s > 0 && !silent) {
      rate += RateGain(elapsed_s) * (units / elapsed_s - rate);
    }
  }
}

void LimitBuckets::SetPart(Bucket* bucket, int nodes) const {
  double total = bucket->own_rate;
  for (const auto& [name, rate] : bucket->peer_rates) total += rate;
  const double equal = 1.0 / nodes;
  const double by_use = total <= 0 ? equal : bucket->own_rate / total;
  bucket->own_part =
      hears_most_ ? kEqualPart * equal + (1 - kEqualPart) * by_use : equal;
}

std::optional<Duration> LimitBuckets::Take(const std::string& customer,
                                           double units, TimePoint now) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return std::nullopt;
  Refill(now);
  Bucket& bucket = found->second;
  // A request larger than the whole bucket goes when the bucket is full, and
  // is owed.
  const double own_size = bucket.limit.burst * bucket.own_part;
  // What one node borrowed, the others' own buckets must not spend as well.
  const bool overdrawn = hears_most_ && bucket.common_level < 0;
  const bool own_room =
      !overdrawn && bucket.own_level >= std::min(units, own_size);
  const bool may_borrow =
      MayBorrow(now) && bucket.common_level * kBorrowPart >=
                            std::min(units, bucket.limit.burst * kBorrowPart);
  if (!own_room && !may_borrow) {
    const double missing = std::min(units, own_size) - bucket.own_level;
    const double rate =
        std::max(1.0, bucket.limit.units_per_s * bucket.own_part);
    return std::min<Duration>(FromSeconds(missing / rate), kLongestWait);
  }
  bucket.own_level -= units;
  bucket.common_level -= units;
  bucket.used += units;
  return std::nullopt;
}

void LimitBuckets::Return(const std::string& customer, double units) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return;
  // The count of use only grows, so the others hear of it as used; the burst
  // makes it good.
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
         StepOf(found->second.common_level, found->second.limit.burst) > 0;
}

bool LimitBuckets::TakeLevelNews() {
  bool news = false;
  for (auto& [name, bucket] : buckets_) {
    const int step = StepOf(bucket.common_level, bucket.limit.burst);
    news = news || step > bucket.told_step;
    bucket.told_step = step;
  }
  return news;
}

double LimitBuckets::CommonLevel(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found == buckets_.end() ? 0 : found->second.common_level;
}

}  // namespace pollenledge
