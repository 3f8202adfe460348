#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

UsageWindow UsageLedger::WindowOf(WallTime time) const {
  return time.time_since_epoch().count() / window_.count();
}

WallTime UsageLedger::EndOf(UsageWindow window) const {
  return WallTime(Duration((window + 1) * window_.count()));
}

WallTime UsageLedger::SettledAt(UsageWindow window) const {
  return EndOf(window) + kSettleTime;
}

void UsageLedger::Count(const std::string& customer, WallTime started) {
  ++counts_[WindowOf(started)][customer];
}

UsageCounts UsageLedger::CountsOf(UsageWindow window) const {
  const auto found = counts_.find(window);
  return found == counts_.end() ? UsageCounts() : found->second;
}

void UsageLedger::ForgetBefore(UsageWindow window) {
  counts_.erase(counts_.begin(), counts_.lower_bound(window));
}

}  // namespace pollenledge
