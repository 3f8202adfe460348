#include "pollenledge/process/usage_collection.h"

#include <numeric>

namespace pollenledge {
namespace {

std::int64_t Total(const UsageCounts& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& entry) { return sum + entry.second; });
}

/// Replaces `kept` by `counts` if the latter are newer. The counts of a process
/// only grow, so a larger total is newer.
void KeepNewer(const UsageCounts& counts, UsageCounts* kept) {
  if (Total(counts) > Total(*kept)) *kept = counts;
}

}  // namespace

void UsageCollection::Merge(const std::string& process,
                            const UsageReport& report) {
  KeepNewer(report.counts, &windows_[report.window][process]);
}

UsageByProcess UsageCollection::CountsByProcess(UsageWindow window) const {
  const auto found = windows_.find(window);
  return found == windows_.end() ? UsageByProcess() : found->second;
}

std::size_t UsageCollection::ProcessCount(UsageWindow window) const {
  const auto found = windows_.find(window);
  return found == windows_.end() ? 0 : found->second.size();
}

void UsageCollection::EraseBefore(UsageWindow window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

void MergeUsage(const UsageByProcess& part, UsageByProcess* all) {
  for (const auto& [process, counts] : part) {
    KeepNewer(counts, &(*all)[process]);
  }
}

UsageCounts SumUsage(const UsageByProcess& all) {
  UsageCounts sum;
  for (const auto& [process, counts] : all) {
    for (const auto& [customer, count] : counts) sum[customer] += count;
  }
  return sum;
}

}  // namespace pollenledge
