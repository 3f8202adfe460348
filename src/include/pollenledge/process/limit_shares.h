#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// The limit of one customer over all entries, in units (tokens or requests).
struct CustomerLimit {
  std::string customer;
  double units_per_s = 0;  ///< 0: no limit.
  double burst = 0;        ///< Units that may be used at once after a pause.

  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

/// Enforces each customer's limit over all entries, from this entry's share.
///
/// Every entry that may still run has an equal part of each limit. Among the
/// entries that hear each other, parts that are not asked for go to those that
/// ask for more. The part of an entry that cannot be heard stays reserved for
/// it, so that the limit holds while a partition lasts. A share shrinks at
/// once and grows only after `kGrowDelay`, when the peers have had time to
/// shrink theirs.
///
/// Not thread-safe.
class LimitShares {
 public:
  static constexpr Duration kGrowDelay = std::chrono::seconds(2);

  /// Computes the shares anew. Call once a heartbeat period. A limit is split
  /// into at least `minimum_parts`, so that an entry that starts within a
  /// partition and has heard nobody does not take it all.
  /// A customer that `limits` does not name has no limit.
  void Update(const std::vector<CustomerLimit>& limits,
              const std::vector<Member>& others, int minimum_parts,
              TimePoint now);

  /// Takes `tokens` of the customer's share. Returns nothing if they were
  /// there, else how long until they will be.
  std::optional<Duration> Take(const std::string& customer, double tokens,
                               TimePoint now);
  /// Corrects an earlier `Take` by what was used in truth.
  void Correct(const std::string& customer, double tokens);

  /// The largest demands on this entry, for its heartbeats.
  std::vector<CustomerDemand> Demands() const;
  /// Tokens a second that this entry may spend for `customer`.
  double ShareOf(const std::string& customer) const;

 private:
  struct Bucket {
    double rate = 0;         ///< Tokens a second in force.
    double burst_s = 0;      ///< Burst as seconds of the rate.
    double wanted_rate = 0;  ///< What `rate` grows to.
    TimePoint wanted_since;
    double balance = 0;
    TimePoint filled_at;
    double asked = 0;  ///< Tokens asked for since `Update`.
    double demand = 0;
  };

  void SetRate(Bucket* bucket, double wanted, TimePoint now);

  std::map<std::string, Bucket> buckets_;
  TimePoint updated_at_;
};

/// The limits that `tables` set, with the burst that `kTablesBurst` allows.
std::vector<CustomerLimit> LimitsOf(const Tables& tables);
/// Customers of the tables may use this much of their limit at once.
inline constexpr Duration kTablesBurst = std::chrono::seconds(2);

/// The part of `limit` for the first of `demands`, when `reserved_parts` equal
/// parts are kept back for entries that cannot be heard: every entry gets what
/// it asks up to an equal part, and what is left over is shared equally.
double ShareOfLimit(double limit, const std::vector<double>& demands,
                    int reserved_parts);

}  // namespace pollenledge
