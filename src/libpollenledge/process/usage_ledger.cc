#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

UsageWindow UsageLedger::WindowAt(WallTime time) const {
  return time.time_since_epoch().count() / window_.count();
}

WallTime UsageLedger::WindowEnd(UsageWindow window) const {
  return WallTime(Duration((window + 1) * window_.count()));
}

WallTime UsageLedger::FinalizedAt(UsageWindow window) const {
  return WindowEnd(window) + kFinalizeDelay;
}

void UsageLedger::Count(const std::string& customer, WallTime started) {
  ++counts_[WindowAt(started)][customer];
}

UsageCounts UsageLedger::CountsFor(UsageWindow window) const {
  const auto found = counts_.find(window);
  return found == counts_.end() ? UsageCounts() : found->second;
}

void UsageLedger::EraseBefore(UsageWindow window) {
  counts_.erase(counts_.begin(), counts_.lower_bound(window));
}

}  // namespace pollenledge
