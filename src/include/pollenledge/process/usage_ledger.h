#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// Number of requests that started to run, by customer.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Index of a usage window. Windows have equal length and are counted from the
/// Unix epoch.
using UsageWindow = std::int64_t;

/// Counts the requests that started to run, by usage window (wall-clock time)
/// and customer. Windows are kept until `EraseBefore`. Not thread-safe.
class UsageLedger {
 public:
  explicit UsageLedger(Duration window) : window_(window) {}

  /// The window that contains `time`.
  UsageWindow WindowAt(WallTime time) const;
  /// The end of `window`.
  WallTime WindowEnd(UsageWindow window) const;
  /// The time at which this node's counts for `window` are final. It is later
  /// than the end of the window because a request is counted when the first
  /// bytes of its response arrive.
  WallTime FinalizedAt(UsageWindow window) const;

  /// Counts a request of `customer` in the window that contains `started`.
  void Count(const std::string& customer, WallTime started);
  /// The counts for `window` so far; empty if there are none.
  UsageCounts CountsFor(UsageWindow window) const;
  /// Erases the windows before `window`.
  void EraseBefore(UsageWindow window);

  /// Time from the end of a window until its counts are final.
  static constexpr Duration kFinalizeDelay = std::chrono::milliseconds(500);

 private:
  Duration window_;
  std::map<UsageWindow, UsageCounts> counts_;
};

}  // namespace pollenledge
