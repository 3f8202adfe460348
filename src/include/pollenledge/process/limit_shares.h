#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Limit of one customer over the whole fleet, in units (tokens or requests).
struct CustomerLimit {
  std::string customer;
  double units_per_s = 0;  ///< 0: no limit.
  double burst = 0;        ///< Capacity of the token bucket, in units.

  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

/// Enforces this entry's share of each customer's limit, so that all entries
/// together keep the limit.
///
/// Each entry that may still be running has an equal share of each limit. Among
/// reachable entries, unused shares go to those with more demand. The share of
/// an unreachable entry stays reserved for it, so the limit also holds during a
/// network partition. A share shrinks immediately and grows only after
/// `kShareGrowthDelay`, which gives the peers time to shrink theirs.
///
/// Not thread-safe.
class LimitShares {
 public:
  /// Time for which this entry must be entitled to a larger share before it
  /// uses it.
  static constexpr Duration kShareGrowthDelay = std::chrono::seconds(2);

  /// Recomputes the shares; call once per heartbeat period. Each limit is split
  /// into at least `min_shares` shares, so that an entry that starts during a
  /// network partition and has no contact to peers does not use all of it.
  /// A customer that is not in `limits` is not limited.
  void UpdateShares(const std::vector<CustomerLimit>& limits,
                    const std::vector<Member>& others, int min_shares,
                    TimePoint now);

  /// Acquires `tokens` of the customer's share. Returns nullopt on success,
  /// else the time until enough tokens are available.
  std::optional<Duration> Acquire(const std::string& customer, double tokens,
                                  TimePoint now);
  /// Charges `tokens` more after `Acquire`, when the actual use is known.
  /// Negative values are refunded.
  void AdjustCharge(const std::string& customer, double tokens);

  /// Returns the largest demands on this entry, for its heartbeats.
  std::vector<CustomerDemand> Demands() const;
  /// Returns this entry's share of the customer's limit, in tokens per second.
  double ShareOf(const std::string& customer) const;

 private:
  struct Bucket {
    double rate = 0;         ///< Current share, in tokens per second.
    double burst_s = 0;      ///< Capacity, in seconds of `rate`.
    double target_rate = 0;  ///< Rate to which `rate` grows.
    TimePoint target_since;
    double balance = 0;    ///< Remaining tokens of the share; may be negative.
    TimePoint filled_at;   ///< When `balance` was last refilled.
    double requested = 0;  ///< Tokens requested since `UpdateShares`.
    double demand = 0;     ///< Smoothed tokens requested per second.
  };

  void SetRate(Bucket* bucket, double target_rate, TimePoint now);

  std::map<std::string, Bucket> buckets_;
  TimePoint updated_at_;
};

/// Returns the limits in `tables`, with a burst of `kTablesBurstDuration`.
std::vector<CustomerLimit> LimitsOf(const Tables& tables);
/// Time in which the rate of a limit in the tables fills its token bucket. The
/// burst is the rate times this.
inline constexpr Duration kTablesBurstDuration = std::chrono::seconds(2);

/// Returns the share of `limit` for the first of `demands`, the demands of the
/// reachable entries, while `reserved_shares` equal shares are reserved for
/// unreachable ones. The rest is divided max-min fairly: each entry gets its
/// demand up to an equal share, and the remainder is divided equally.
double ShareOfLimit(double limit, const std::vector<double>& demands,
                    int reserved_shares);

}  // namespace pollenledge
