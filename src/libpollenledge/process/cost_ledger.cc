#include "pollenledge/process/cost_ledger.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

constexpr double kMicrosecondsPerHour = 3.6e9;

std::int64_t CostOf(const BilledInstances& instances) {
  return std::llround(static_cast<double>(instances.instance_time.count()) /
                      kMicrosecondsPerHour *
                      static_cast<double>(instances.price_micros_per_hour));
}

// Splits `total` in proportion to `weights` by the largest-remainder method, so
// that the shares add up exactly to `total`.
std::vector<std::int64_t> Split(std::int64_t total,
                                const std::vector<double>& weights) {
  double sum = 0;
  for (const double weight : weights) sum += weight;
  std::vector<std::int64_t> shares(weights.size(), 0);
  if (sum <= 0) return shares;
  std::vector<std::pair<double, std::size_t>> remainders;
  std::int64_t assigned = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const double exact = static_cast<double>(total) * weights[i] / sum;
    shares[i] = static_cast<std::int64_t>(std::floor(exact));
    assigned += shares[i];
    remainders.push_back({exact - std::floor(exact), i});
  }
  std::stable_sort(
      remainders.begin(), remainders.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; assigned < total; i = (i + 1) % remainders.size()) {
    ++shares[remainders[i].second];
    ++assigned;
  }
  return shares;
}

// Appends the lines for the cost of `instances`.
void AllocateGroup(const BilledInstances& instances,
                   const std::map<SlotUsageKey, SlotUsage>& usage,
                   std::vector<CostLine>* lines) {
  std::vector<CostLine> group;
  std::vector<double> weights;
  double used = 0;
  for (const auto& [key, use] : usage) {
    if (key.domain != instances.domain ||
        key.machine_class != instances.machine_class) {
      continue;
    }
    group.push_back({ToString(key.purpose), key, 0});
    weights.push_back(static_cast<double>(use.slot_time.count()));
    used += weights.back();
  }
  const double available =
      static_cast<double>(instances.instance_time.count()) * instances.slots;
  const double unused = std::max(0.0, available - used);
  const double spare = std::min(unused, available * instances.spare_share);
  SlotUsageKey unused_key;
  unused_key.domain = instances.domain;
  unused_key.machine_class = instances.machine_class;
  group.push_back({"spare", unused_key, 0});
  weights.push_back(spare);
  group.push_back({"idle", unused_key, 0});
  weights.push_back(unused - spare);
  const std::vector<std::int64_t> shares = Split(CostOf(instances), weights);
  for (std::size_t i = 0; i < group.size(); ++i) {
    group[i].micros = shares[i];
    if (shares[i] != 0) lines->push_back(group[i]);
  }
}

}  // namespace

const char* ToString(CostPurpose purpose) {
  switch (purpose) {
    case CostPurpose::kAnswers:
      return "answers";
    case CostPurpose::kRecomputation:
      return "recomputation";
    case CostPurpose::kRetries:
      return "retries";
  }
  return "?";
}

std::string BilledClassName(const std::string& pool,
                            const std::string& machine_class,
                            bool reclaimable) {
  return pool + "/" + machine_class +
         (reclaimable ? " reclaimable" : " on_demand");
}

void CostLedger::Add(const SlotUsageKey& key, const SlotUsage& usage) {
  SlotUsage& total = usage_[key];
  total.slot_time += usage.slot_time;
  total.tokens += usage.tokens;
  total.requests += usage.requests;
}

std::vector<CostLine> AllocateCost(
    const std::vector<BilledInstances>& bill,
    const std::map<SlotUsageKey, SlotUsage>& usage) {
  std::vector<CostLine> lines;
  for (const BilledInstances& instances : bill) {
    AllocateGroup(instances, usage, &lines);
  }
  return lines;
}

void SetSpareShares(std::vector<BilledInstances>* bill) {
  std::map<std::string, double> slot_time;
  double total = 0;
  for (const BilledInstances& line : *bill) {
    const double time =
        static_cast<double>(line.instance_time.count()) * line.slots;
    slot_time[line.domain] += time;
    total += time;
  }
  if (total <= 0) return;
  double largest = 0;
  for (const auto& [domain, time] : slot_time) {
    largest = std::max(largest, time);
  }
  for (BilledInstances& line : *bill) line.spare_share = largest / total;
}

std::int64_t TotalCost(const std::vector<BilledInstances>& bill) {
  std::int64_t total = 0;
  for (const BilledInstances& instances : bill) total += CostOf(instances);
  return total;
}

}  // namespace pollenledge
