#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/limit_shares.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How limits are held over a window.
struct WindowLimitOptions {
  /// A customer may use its rate times this, and its burst, in any window.
  Duration window = std::chrono::seconds(8);
  /// Nodes that are assumed until more were heard of, so that a node that
  /// starts alone takes no more than its part.
  int least_nodes = 8;

  friend bool operator==(const WindowLimitOptions&,
                         const WindowLimitOptions&) = default;
};

/// Enforces each customer's limit over all nodes in every sliding window.
///
/// Heartbeats carry what each node used in the last window. What is left of
/// the limit is dealt out anew whenever all live nodes were heard: one half in
/// equal parts, one half in proportion to use, so that the parts add up to
/// what is left. Between two dealings a node uses no more than its part. A
/// node that is silent is taken to use its last report or an equal part,
/// whichever is more, so the limit holds while a partition lasts. A node that
/// has just started may be the successor of one that used its part already,
/// so for one window it starts from nothing and fills at its part of the rate.
///
/// Not thread-safe. Memory grows with the customers.
class WindowLimits {
 public:
  explicit WindowLimits(WindowLimitOptions options) : options_(options) {}

  /// Sets the limits in force. A customer that is not named has none.
  void Configure(const std::vector<CustomerLimit>& limits);

  /// Deals out what is left, by what the other nodes say. Call it each
  /// heartbeat period.
  void Deal(const std::vector<Member>& others, TimePoint now);

  /// Takes `units` for the customer. Returns nothing if they were left, else
  /// about how long until they will be.
  std::optional<Duration> Take(const std::string& customer, double units,
                               TimePoint now);
  /// Gives back what was taken for a request that did not run.
  void Return(const std::string& customer, double units);

  /// What this node used, as units a second over the window, for its
  /// heartbeats; the largest first.
  std::vector<CustomerDemand> Usage(TimePoint now);

 private:
  struct Slice {
    TimePoint at;
    double units = 0;
  };
  struct Customer {
    CustomerLimit limit;
    std::deque<Slice> used;
    double used_sum = 0;
    double allowance = 0;  ///< Of this node until the next dealing.
    double refill_per_s = 0;
  };

  void Expire(Customer* customer, TimePoint now);
  void DealOne(Customer* customer, const std::vector<Member>& others,
               bool all_heard, int nodes, TimePoint now);

  WindowLimitOptions options_;
  std::map<std::string, Customer> customers_;
  std::optional<TimePoint> started_at_;
  TimePoint dealt_at_;
};

}  // namespace pollenledge
