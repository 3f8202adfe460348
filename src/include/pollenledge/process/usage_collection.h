#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

/// What one node counted in one window of usage.
struct UsageReport {
  UsageWindow window = 0;
  UsageCounts counts;

  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// Counts of usage by the process that made them: a node's name and
/// incarnation.
using UsageByProcess = std::map<std::string, UsageCounts>;

/// The counts that other nodes handed to a collector, to be written to the
/// store together with its own.
///
/// A report may come twice, also to two collectors, so counts are kept by the
/// process that made them and added up only by whoever reports the window. Not
/// thread-safe. Memory grows with nodes, customers and the windows kept.
class UsageCollection {
 public:
  void Take(const std::string& process, const UsageReport& report);

  /// What was handed over of `window`; empty if nothing was.
  UsageByProcess Of(UsageWindow window) const;
  /// Processes whose counts of `window` are here.
  std::size_t CountOf(UsageWindow window) const;
  void ForgetBefore(UsageWindow window);

 private:
  std::map<UsageWindow, UsageByProcess> windows_;
};

/// Takes in the counts of `part`, once for each process.
void MergeUsage(const UsageByProcess& part, UsageByProcess* all);

/// The sum over all processes.
UsageCounts SumOf(const UsageByProcess& all);

}  // namespace pollenledge
