#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenledge/result.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// What the instances on a line of the cost report were used for.
enum class CostPurpose : std::uint8_t {
  kAnswers,        ///< Work whose response reached the caller.
  kRecomputation,  ///< Tokens computed again after a stream failover.
  kRetries,        ///< Attempts whose work was lost.
};

/// The name of `purpose` as printed in reports.
const char* ToString(CostPurpose purpose);

/// The name of a machine class in reports and on the bill: pool, machine class
/// and market. The pool keeps instances of the same class in two pools
/// separate.
std::string BilledClassName(const std::string& pool,
                            const std::string& machine_class, bool reclaimable);

/// Identifies who used which instances, and for what purpose.
struct SlotUsageKey {
  std::string customer;
  std::string route;
  Rank rank = Rank::kStandard;
  std::string domain;
  std::string machine_class;  ///< A name returned by `BilledClassName`.
  CostPurpose purpose = CostPurpose::kAnswers;

  friend auto operator<=>(const SlotUsageKey&, const SlotUsageKey&) = default;
};

/// Usage of instances. The bill is split in proportion to `slot_time`.
struct SlotUsage {
  Duration slot_time{0};
  std::int64_t tokens = 0;
  std::int64_t requests = 0;

  friend bool operator==(const SlotUsage&, const SlotUsage&) = default;
};

/// Accumulates the usage of the requests at one entry. Memory grows with the
/// number of customers, routes, domains and machine classes. Not thread-safe.
class CostLedger {
 public:
  void Add(const SlotUsageKey& key, const SlotUsage& usage);
  const std::map<SlotUsageKey, SlotUsage>& usage() const { return usage_; }

 private:
  std::map<SlotUsageKey, SlotUsage> usage_;
};

/// All billed instances of one domain and machine class over the report period.
struct BilledInstances {
  std::string domain;
  std::string machine_class;
  std::int64_t price_micros_per_hour = 0;
  Duration instance_time{0};  ///< Summed over the instances.
  int slots = 1;              ///< Of each instance.
  /// Share of the slot time reserved for the loss of a failure domain.
  double spare_share = 0;

  friend bool operator==(const BilledInstances&,
                         const BilledInstances&) = default;
};

/// One line of the cost report. `category` is the name of a `CostPurpose`,
/// `idle` or `spare`.
struct CostLine {
  std::string category;
  SlotUsageKey key;
  std::int64_t micros = 0;  ///< Cost in millionths of the currency unit.

  friend bool operator==(const CostLine&, const CostLine&) = default;
};

/// Splits the bill among those who used the instances. Unused time gets lines
/// of its own: `spare` up to the share reserved for the loss of a domain,
/// `idle` beyond it. The lines add up exactly to the bill.
std::vector<CostLine> AllocateCost(
    const std::vector<BilledInstances>& bill,
    const std::map<SlotUsageKey, SlotUsage>& usage);

/// Sets `spare_share` of each line to the capacity lost with the largest
/// failure domain: that domain's share of all slot time. Call it with the lines
/// of one pool.
void SetSpareShares(std::vector<BilledInstances>* bill);

/// The total of the bill in millionths of the currency unit.
std::int64_t TotalCost(const std::vector<BilledInstances>& bill);

}  // namespace pollenledge
