#include "pollenledge/process/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);
constexpr double kRateGain = 0.3;
constexpr double kHoldGain = 0.1;
// Without an arrival for this long, a rank needs nothing.
constexpr Duration kForgetAfter = std::chrono::seconds(10);

}  // namespace

void SlotReserve::OnArrival(Rank rank, TimePoint now) {
  Arrivals& arrivals = arrivals_[static_cast<std::size_t>(rank)];
  if (arrivals.since == TimePoint()) arrivals.since = now;
  ++arrivals.counted;
  const Duration elapsed = now - arrivals.since;
  if (elapsed < kRateWindow) return;
  const double rate = arrivals.counted / ToSeconds(elapsed);
  arrivals.per_second =
      arrivals.per_second <= 0
          ? rate
          : arrivals.per_second + kRateGain * (rate - arrivals.per_second);
  arrivals.counted = 0;
  arrivals.since = now;
}

void SlotReserve::OnStart(Rank rank) {
  ++running_[static_cast<std::size_t>(rank)];
}

void SlotReserve::OnEnd(Rank rank) {
  int& running = running_[static_cast<std::size_t>(rank)];
  running = std::max(0, running - 1);
}

void SlotReserve::OnHold(Duration held) {
  const double seconds = ToSeconds(held);
  mean_hold_s_ = mean_hold_s_ <= 0
                     ? seconds
                     : mean_hold_s_ + kHoldGain * (seconds - mean_hold_s_);
}

bool SlotReserve::MayStart(Rank rank, double slots,
                           const std::array<RankPolicy, kRankCount>& ranks,
                           TimePoint now) const {
  const auto own = static_cast<std::size_t>(rank);
  double floors = 0;
  int running = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    running += running_[i];
    if (i >= own) floors += ranks[i].floor_share;
  }
  double reserved = 0;
  for (std::size_t i = 0; i < own; ++i) {
    reserved += std::max(0.0, Need(i, ranks[i], now) - running_[i]);
  }
  reserved = std::min(reserved, slots * (1 - floors));
  return running + reserved < slots || running_[own] < slots * floors;
}

double SlotReserve::Need(std::size_t rank, const RankPolicy& policy,
                         TimePoint now) const {
  if (ToSeconds(policy.first_token_target) >= mean_hold_s_) return 0;
  const Arrivals& arrivals = arrivals_[rank];
  if (now - arrivals.since > kForgetAfter) return 0;
  const double load = arrivals.per_second * mean_hold_s_;
  return load <= 0 ? 0 : load + std::sqrt(load);
}

}  // namespace pollenledge
