#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/admission_level.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Computes the admission level of one service from the demand that the nodes
/// report and the capacity of the upstreams.
///
/// The demand is measured in slots: arrivals per second times the mean time for
/// which one uses a slot (Little's law). The budget is what the upstreams have,
/// corrected by a PI controller whose input is the predicted time to the first
/// event over the routes' targets, as in PIE (RFC 8033), which controls a drop
/// probability by predicted queueing delay. The proportional part acts on the
/// requests that are waiting beyond their targets and on free slots. The level
/// is the budget over the demand; its changes are limited in rate.
///
/// Not thread-safe. Memory grows with the nodes, classes and customers.
class AdmissionController {
 public:
  /// Interval between two calls of `Compute`.
  static constexpr Duration kPeriod = std::chrono::milliseconds(250);
  /// A node's report counts for this long.
  static constexpr Duration kDemandTtl = std::chrono::seconds(2);

  /// Replaces what `node` reported before.
  void OnDemand(const std::string& node, const AdmissionDemand& demand,
                TimePoint now);
  /// Returns the level for the next period. The upstreams have `slots`
  /// together. `known_nodes` includes those that have reported nothing; they
  /// are assumed to have as much demand as the others.
  AdmissionLevel Compute(double slots, int known_nodes, const Instant& now);

 private:
  struct NodeDemand {
    AdmissionDemand demand;
    TimePoint received_at;
  };
  struct CustomerHistory {
    double recent = 0;  ///< Load in slots now.
    double usual = 0;   ///< Slow moving average of its part of all load.
  };
  using Classes = std::map<AdmissionClass, ClassDemand>;

  /// Sums up the fresh reports and drops the others.
  Classes SumClasses(TimePoint now);
  void UpdateCustomers(TimePoint now);
  std::vector<HotCustomer> HotCustomers() const;
  /// Returns the slots that may be used in the next period.
  double Budget(const Classes& classes, double slots, double scale,
                double pressure, TimePoint now);

  std::map<std::string, NodeDemand> demands_;  ///< By node.
  std::map<std::string, CustomerHistory> customers_;
  double gain_ = 1;  ///< Integral part: budget over the number of slots.
  double level_ = 1;
  std::optional<TimePoint> computed_at_;
  std::optional<TimePoint> customers_since_;
};

/// Divides `level` of the offered load among classes: each priority keeps a
/// floor, the rest goes to the more urgent ones first. Returns the admitted
/// part of each class, in the order of `loads`, which are sorted by urgency.
std::vector<double> DivideByUrgency(
    const std::vector<std::pair<AdmissionClass, double>>& loads, double level);

}  // namespace pollenledge
