#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// Requests that began to run, by customer.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Number of a usage window: windows of equal length from the start of 1970.
using UsageWindow = std::int64_t;

/// Counts the requests that began to run, by window of calendar time and
/// customer. Not thread-safe. Keeps the windows that were not taken yet.
class UsageLedger {
 public:
  explicit UsageLedger(Duration window) : window_(window) {}

  /// The window that `time` lies in.
  UsageWindow WindowOf(WallTime time) const;
  /// When `window` ends.
  WallTime EndOf(UsageWindow window) const;
  /// When this node's counts of `window` are complete: requests are counted
  /// when their first answer bytes come.
  WallTime SettledAt(UsageWindow window) const;

  void Count(const std::string& customer, WallTime began);
  /// The counts of `window` so far; empty if there are none.
  UsageCounts CountsOf(UsageWindow window) const;
  /// Forgets the windows before `window`.
  void ForgetBefore(UsageWindow window);

  static constexpr Duration kSettleTime = std::chrono::milliseconds(500);

 private:
  Duration window_;
  std::map<UsageWindow, UsageCounts> counts_;
};

}  // namespace pollenledge
