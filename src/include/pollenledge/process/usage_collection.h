#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

/// The counts of one node for one usage window.
struct UsageReport {
  UsageWindow window = 0;
  UsageCounts counts;

  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// Usage counts by the process that counted them: node name and incarnation.
using UsageByProcess = std::map<std::string, UsageCounts>;

/// The counts that a collector received from other nodes. The collector writes
/// them to the store together with its own.
///
/// The same report may arrive twice, possibly at two collectors. Counts are
/// therefore kept by the process that counted them, and only the node that
/// reports the window adds them up. Memory grows with the number of nodes,
/// customers and retained windows. Not thread-safe.
class UsageCollection {
 public:
  /// Merges a report of `process`. A report with lower counts than the stored
  /// one is older and has no effect.
  void Merge(const std::string& process, const UsageReport& report);

  /// The counts received for `window`; empty if there are none.
  UsageByProcess CountsByProcess(UsageWindow window) const;
  /// Number of processes whose counts for `window` were received.
  std::size_t ProcessCount(UsageWindow window) const;
  /// Erases the windows before `window`.
  void EraseBefore(UsageWindow window);

 private:
  std::map<UsageWindow, UsageByProcess> windows_;
};

/// Merges the counts of `part` into `all`, counting each process once.
void MergeUsage(const UsageByProcess& part, UsageByProcess* all);

/// The sum over all processes.
UsageCounts SumUsage(const UsageByProcess& all);

}  // namespace pollenledge
