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

/// What a line of the cost report is for.
enum class CostPurpose : std::uint8_t {
  kAnswers,        ///< Work whose answer reached its caller.
  kRecomputation,  ///< Tokens computed a second time after a move.
  kRetries,        ///< Attempts whose work was lost.
};

/// The name of `purpose` in reports.
const char* ToString(CostPurpose purpose);

/// The class as it stands in reports and on the bill: pool, machine class and
/// market, so that two pools with instances of one class stay apart.
std::string BilledClass(const std::string& pool,
                        const std::string& machine_class, bool reclaimable);

/// Whose use of which instances a line is about.
struct UsageKey {
  std::string customer;
  std::string route;
  Rank rank = Rank::kStandard;
  std::string domain;
  std::string machine_class;  ///< As `BilledClass` names it.
  CostPurpose purpose = CostPurpose::kAnswers;

  friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

/// Use of instances, in the unit that shares the bill: time on a slot.
struct Usage {
  Duration slot_time{0};
  std::int64_t tokens = 0;
  std::int64_t requests = 0;

  friend bool operator==(const Usage&, const Usage&) = default;
};

/// Adds up what requests used on one entry. Memory grows with customers,
/// routes, domains and classes. Not thread-safe.
class CostLedger {
 public:
  void Add(const UsageKey& key, const Usage& usage);
  const std::map<UsageKey, Usage>& usage() const { return usage_; }

 private:
  std::map<UsageKey, Usage> usage_;
};

/// One kind of instance on the bill, over the time of the report.
struct BilledInstances {
  std::string domain;
  std::string machine_class;
  std::int64_t price_micros_per_hour = 0;
  Duration instance_time{0};  ///< Summed over the instances.
  int slots = 1;              ///< Of each instance.
  double spare_share = 0;     ///< Part kept free for the loss of a domain.

  friend bool operator==(const BilledInstances&,
                         const BilledInstances&) = default;
};

/// One line of the cost report. `what` is a customer's use, `idle` or `spare`.
struct CostLine {
  std::string what;
  UsageKey key;
  std::int64_t micros = 0;  ///< Millionths of the currency.

  friend bool operator==(const CostLine&, const CostLine&) = default;
};

/// Shares the bill among those who used the instances. Time that nobody used
/// becomes lines of its own: `spare` up to the part kept for the loss of a
/// domain, `idle` beyond it. The lines add up to the bill exactly.
std::vector<CostLine> ExplainCost(const std::vector<BilledInstances>& bill,
                                  const std::map<UsageKey, Usage>& usage);

/// Sets the spare part of each line to what the loss of the largest failure
/// domain takes: that domain's part of all slot time. Call it for the lines of
/// one pool.
void SetSpareRoom(std::vector<BilledInstances>* bill);

/// The whole bill in millionths of the currency.
std::int64_t TotalOf(const std::vector<BilledInstances>& bill);

}  // namespace pollenledge
