#include "pollenledge/process/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

// Minimum length of the window over which an arrival rate is measured.
constexpr Duration kMinRateWindow = std::chrono::seconds(1);
// Weights of the latest value in the moving averages.
constexpr double kRateGain = 0.3;
constexpr double kHoldTimeGain = 0.1;
// Time without an arrival after which no slots are reserved for a rank.
constexpr Duration kArrivalTimeout = std::chrono::seconds(10);

}  // namespace

void SlotReserve::OnArrival(Rank rank, TimePoint now) {
  Arrivals& arrivals = arrivals_[static_cast<std::size_t>(rank)];
  if (arrivals.since == TimePoint()) arrivals.since = now;
  ++arrivals.counted;
  const Duration elapsed = now - arrivals.since;
  if (elapsed < kMinRateWindow) return;
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

void SlotReserve::OnHold(Duration hold_time) {
  const double seconds = ToSeconds(hold_time);
  mean_hold_s_ = mean_hold_s_ <= 0
                     ? seconds
                     : mean_hold_s_ + kHoldTimeGain * (seconds - mean_hold_s_);
}

bool SlotReserve::MayStart(Rank rank, double slots,
                           const std::array<RankPolicy, kRankCount>& ranks,
                           TimePoint now) const {
  const auto own_rank = static_cast<std::size_t>(rank);
  double floors = 0;
  int running = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    running += running_[i];
    if (i >= own_rank) floors += ranks[i].floor_share;
  }
  double reserved = 0;
  for (std::size_t i = 0; i < own_rank; ++i) {
    reserved += std::max(0.0, Need(i, ranks[i], now) - running_[i]);
  }
  reserved = std::min(reserved, slots * (1 - floors));
  return running + reserved < slots || running_[own_rank] < slots * floors;
}

double SlotReserve::Need(std::size_t rank, const RankPolicy& policy,
                         TimePoint now) const {
  if (ToSeconds(policy.first_token_target) >= mean_hold_s_) return 0;
  const Arrivals& arrivals = arrivals_[rank];
  if (now - arrivals.since > kArrivalTimeout) return 0;
  const double load = arrivals.per_second * mean_hold_s_;
  return load <= 0 ? 0 : load + std::sqrt(load);
}

}  // namespace pollenledge
