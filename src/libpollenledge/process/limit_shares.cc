#include "pollenledge/process/limit_shares.h"

#include <algorithm>
#include <numeric>

namespace pollenledge {
namespace {

// Weight of the latest value in the moving average of the demand.
constexpr double kDemandGain = 0.5;

double DemandOf(const MemberRecord& record, const std::string& customer) {
  for (const CustomerDemand& demand : record.demands) {
    if (demand.customer == customer) return demand.tokens_per_s;
  }
  return 0;
}

}  // namespace

double ShareOfLimit(double limit, const std::vector<double>& demands,
                    int reserved_shares) {
  const double shares = static_cast<double>(demands.size()) + reserved_shares;
  double available = limit * static_cast<double>(demands.size()) / shares;
  std::vector<double> sorted = demands;
  std::sort(sorted.begin(), sorted.end());
  double granted_to_first = 0;
  std::size_t remaining = sorted.size();
  for (const double demand : sorted) {
    const double equal_share = available / static_cast<double>(remaining);
    const double granted = std::min(demand, equal_share);
    if (demand == demands.front()) granted_to_first = granted;
    available -= granted;
    --remaining;
  }
  return granted_to_first + available / static_cast<double>(demands.size());
}

std::vector<CustomerLimit> LimitsOf(const Tables& tables) {
  std::vector<CustomerLimit> limits;
  limits.reserve(tables.customers.size());
  for (const Customer& customer : tables.customers) {
    const auto rate = static_cast<double>(customer.tokens_per_s);
    limits.push_back(
        {customer.name, rate, rate * ToSeconds(kTablesBurstDuration)});
  }
  return limits;
}

void LimitShares::UpdateShares(const std::vector<CustomerLimit>& limits,
                               const std::vector<Member>& others,
                               int min_shares, TimePoint now) {
  const double elapsed =
      updated_at_ == TimePoint() ? 0 : ToSeconds(now - updated_at_);
  updated_at_ = now;
  std::map<std::string, Bucket> updated;
  for (const CustomerLimit& limit : limits) {
    if (limit.units_per_s <= 0) continue;
    Bucket& bucket = updated[limit.customer];
    if (const auto known = buckets_.find(limit.customer);
        known != buckets_.end()) {
      bucket = known->second;
    }
    bucket.burst_s = limit.burst / limit.units_per_s;
    if (elapsed > 0) {
      bucket.demand +=
          kDemandGain * (bucket.requested / elapsed - bucket.demand);
      bucket.requested = 0;
    }
    std::vector<double> demands = {bucket.demand};
    int reserved = 0;
    for (const Member& member : others) {
      if (member.status == MemberStatus::kLeft) continue;
      if (member.status == MemberStatus::kAlive) {
        demands.push_back(DemandOf(member.record, limit.customer));
      } else {
        ++reserved;
      }
    }
    const int reachable = static_cast<int>(demands.size());
    reserved = std::max(reserved, min_shares - reachable);
    SetRate(&bucket, ShareOfLimit(limit.units_per_s, demands, reserved), now);
  }
  buckets_ = std::move(updated);
}

std::optional<Duration> LimitShares::Acquire(const std::string& customer,
                                             double tokens, TimePoint now) {
  const auto found = buckets_.find(customer);
  if (found == buckets_.end()) return std::nullopt;
  Bucket& bucket = found->second;
  bucket.requested += tokens;
  const double burst = bucket.rate * bucket.burst_s;
  bucket.balance = std::min(
      burst, bucket.balance + bucket.rate * ToSeconds(now - bucket.filled_at));
  bucket.filled_at = now;
  // A request larger than the burst is admitted when the bucket is full. The
  // balance then becomes negative.
  const double needed = std::min(tokens, burst);
  if (bucket.balance < needed && bucket.rate > 0) {
    return FromSeconds((needed - bucket.balance) / bucket.rate);
  }
  bucket.balance -= tokens;
  return std::nullopt;
}

void LimitShares::AdjustCharge(const std::string& customer, double tokens) {
  const auto found = buckets_.find(customer);
  if (found != buckets_.end()) found->second.balance -= tokens;
}

std::vector<CustomerDemand> LimitShares::Demands() const {
  std::vector<CustomerDemand> demands;
  for (const auto& [name, bucket] : buckets_) {
    if (bucket.demand > 0) demands.push_back({name, bucket.demand});
  }
  std::sort(demands.begin(), demands.end(),
            [](const CustomerDemand& a, const CustomerDemand& b) {
              return a.tokens_per_s > b.tokens_per_s;
            });
  if (demands.size() > MemberRecord::kMaxDemands) {
    demands.resize(MemberRecord::kMaxDemands);
  }
  return demands;
}

double LimitShares::ShareOf(const std::string& customer) const {
  const auto found = buckets_.find(customer);
  return found == buckets_.end() ? 0 : found->second.rate;
}

void LimitShares::SetRate(Bucket* bucket, double target_rate, TimePoint now) {
  const bool is_new = bucket->filled_at == TimePoint();
  if (is_new) {
    bucket->filled_at = now;
    bucket->rate = target_rate;
    bucket->balance = target_rate * bucket->burst_s;
    bucket->target_rate = target_rate;
    bucket->target_since = now;
    return;
  }
  if (target_rate <= bucket->rate) {
    bucket->rate = target_rate;
    bucket->target_rate = target_rate;
    bucket->target_since = now;
    return;
  }
  // An increase applies after `kShareGrowthDelay`. The new rate is the smallest
  // target rate of that time, not the latest one.
  if (bucket->target_rate <= bucket->rate) {
    bucket->target_rate = target_rate;
    bucket->target_since = now;
    return;
  }
  bucket->target_rate = std::min(bucket->target_rate, target_rate);
  if (now - bucket->target_since < kShareGrowthDelay) return;
  bucket->rate = bucket->target_rate;
}

}  // namespace pollenledge
