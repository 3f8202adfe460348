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
  if (arrivals.window_start == TimePoint()) arrivals.window_start = now;
  ++arrivals.count;
  const Duration elapsed = now - arrivals.window_start;
  if (elapsed < kMinRateWindow) return;
  const double rate = arrivals.count / ToSeconds(elapsed);
  arrivals.per_second =
      arrivals.per_second <= 0
          ? rate
          : arrivals.per_second + kRateGain * (rate - arrivals.per_second);
  arrivals.count = 0;
  arrivals.window_start = now;
}

void SlotReserve::OnStart(Rank rank) {
  ++running_[static_cast<std::size_t>(rank)];
}

void SlotReserve::OnEnd(Rank rank) {
  int& running = running_[static_cast<std::size_t>(rank)];
  running = std::max(0, running - 1);
}

void SlotReserve::RecordHoldTime(Duration hold_time) {
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
    reserved += std::max(0.0, ExpectedSlots(i, ranks[i], now) - running_[i]);
  }
  reserved = std::min(reserved, slots * (1 - floors));
  return running + reserved < slots || running_[own_rank] < slots * floors;
}

double SlotReserve::ExpectedSlots(std::size_t rank, const RankPolicy& policy,
                                  TimePoint now) const {
  if (ToSeconds(policy.first_token_target) >= mean_hold_s_) return 0;
  const Arrivals& arrivals = arrivals_[rank];
  if (now - arrivals.window_start > kArrivalTimeout) return 0;
  const double load = arrivals.per_second * mean_hold_s_;
  return load <= 0 ? 0 : load + std::sqrt(load);
}

}  // namespace pollenledge
