#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/limit_shares.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Configures how limits are divided among the nodes.
struct LimitBucketOptions {
  /// Minimum number of nodes to assume, so that a node that has not yet
  /// discovered its peers uses no more than its share.
  int min_nodes = 8;

  friend bool operator==(const LimitBucketOptions&,
                         const LimitBucketOptions&) = default;
};

/// Enforces each customer's limit over all nodes of the fleet.
///
/// A limit is one fleet-wide token bucket. Heartbeats carry how many units each
/// node used since its start, from which every node tracks the bucket's level,
/// the global level. In addition each node has a local bucket, filled at its
/// share of the rate. The shares of all nodes add up to one: half of the rate
/// is divided equally, half in proportion to recent use. A request is admitted
/// if the local bucket has enough units and, while a majority of the nodes is
/// reachable, the global level is not negative. With a reachable majority a
/// request is also admitted if the global level is at least twice its units or
/// the global bucket is full. Units borrowed this way are a debt of the local
/// bucket until the global level shows that other nodes used less.
///
/// In a large fleet no node can receive the state of all others in time. There
/// a few nodes, the collectors, receive it directly, track the global level as
/// above and send it to each node. A node uses the collector state while it is
/// fresh and does not borrow otherwise.
///
/// A node whose use was not reported lately is unresponsive. It is assumed to
/// use an equal share of the rate, or its previous rate if that is higher; all
/// unresponsive nodes together use the limit at most. A node that knows the use
/// of less than a majority of the others does not borrow and uses an equal
/// share, so the limit also holds during a network partition.
/// A node starts with only a fraction of its share of the burst, because the
/// previous process may have used the rest.
///
/// Not thread-safe. Memory grows with the number of customers and nodes.
class LimitBuckets {
 public:
  explicit LimitBuckets(LimitBucketOptions options);

  /// Sets the active limits. A customer that is not in `limits` is not limited.
  void Configure(const std::vector<CustomerLimit>& limits, TimePoint now);

  /// Sets the minimum number of nodes to divide the limits among, even if fewer
  /// are known. Reduces the local levels of limits that this node has not used
  /// yet to the initial level of the new share.
  void SetMinNodes(int nodes);

  /// Sets the interval at which other nodes report their use. A node without a
  /// report for several intervals counts as unresponsive.
  void SetReportPeriod(Duration period);

  /// Returns true while the cached collector state is recent enough to follow.
  /// Call `UpdateAsFollower` each heartbeat period if so, else
  /// `UpdateFromMembers`.
  bool HasCollectorState(TimePoint now) const;
  /// Merges the use that the other nodes reported.
  void UpdateFromMembers(const std::vector<Member>& others, TimePoint now);
  /// Sets the local shares to equal shares of `nodes` nodes, or of the minimum
  /// number of nodes if that is higher. A collector tracks the nodes' use.
  void UpdateAsFollower(int nodes, TimePoint now);

  /// Acquires `units` for the customer. Returns nullopt on success, else the
  /// approximate time until enough units are available.
  std::optional<Duration> Acquire(const std::string& customer, double units,
                                  TimePoint now);
  /// Refunds units acquired for a request that did not run.
  void Refund(const std::string& customer, double units);

  /// Applies the global levels that a collector sent. Levels from another
  /// collector are ignored while the current collector's state is fresh.
  void ApplyCollectorLevels(const NodeId& collector,
                            const std::vector<LimitLevel>& levels,
                            TimePoint now);
  /// Returns true if this node has reached a majority of the others for long
  /// enough to know the global levels itself, so that it can publish them.
  bool CanPublishLevels(TimePoint now) const;
  /// Returns the global levels to send to `node`. Empty if `CanPublishLevels`
  /// is false or `node` is unknown.
  std::vector<LimitLevel> LevelsFor(const std::string& node,
                                    TimePoint now) const;

  /// As `LevelsFor`, but only the limits whose level is low.
  std::vector<LimitLevel> LowLevelsFor(const std::string& node,
                                       TimePoint now) const;

  /// Returns the units this node used since its start, for its heartbeats.
  std::vector<CustomerUsage> Uses() const;
  /// As `Uses`, but only the limits whose level is low.
  std::vector<CustomerUsage> LowLevelUses() const;

  /// Returns the global level as tracked by this node, in units. Negative if
  /// too much was used.
  double GlobalLevel(const std::string& customer) const;
  /// Returns true if the global level is so low that each use must be reported
  /// soon.
  bool IsLow(const std::string& customer) const;
  /// Returns the customers whose global level has fallen below zero since the
  /// last call, each at most once until the level has risen again.
  std::vector<std::string> ConsumeOverdrawn();
  /// Returns the node whose levels this one applied last; its name is empty if
  /// there was none.
  const NodeId& collector() const { return collector_; }
  /// Returns true if since the last call some global level fell below a
  /// fraction of its burst at which a collector must publish it.
  bool ConsumeLevelDrop();

 private:
  struct Bucket {
    CustomerLimit limit;
    double used = 0;         ///< Units this node used since its start.
    double local_level = 0;  ///< Level of the local bucket; negative: a debt.
    double local_share = 0;  ///< Local share of the rate and the burst, 0 to 1.
    double global_level = 0;  ///< Level of the fleet-wide bucket, in units.
    double local_rate = 0;    ///< Recent use by this node, in units per second.
    double used_at_update = 0;  ///< `used` when `local_rate` was updated.
    /// Factor of the estimated use of unresponsive nodes, so that all of it
    /// together does not exceed the limit.
    double estimate_scale = 1;
    /// Recent use by node name, in units per second.
    std::map<std::string, double> peer_rates;
    /// Number of the fractions of the burst at which the level is published
    /// that it was below at the last `ConsumeLevelDrop`.
    int published_step = 0;
    bool overdrawn_reported = false;  ///< By `ConsumeOverdrawn`.
  };
  struct Peer {
    std::uint64_t incarnation = 0;       ///< 0: no record was merged yet.
    TimePoint reported_at;               ///< When it last reported its use.
    std::map<std::string, double> uses;  ///< By customer, as last reported.
    /// This node knew the process that this incarnation replaced, so that none
    /// of its use is old.
    bool counts_from_zero = false;
    /// Units it is assumed to have used while unresponsive, by customer.
    std::map<std::string, double> estimated_uses;
  };

  void Refill(TimePoint now);
  /// Discards all that is known of the use of other nodes.
  void ResetPeerState(TimePoint now);
  /// Records when the member last reported its use.
  void RecordReport(const Member& member, TimePoint now);
  /// Returns true if the member's use has been unknown for too long.
  bool IsUnresponsive(const Member& member, TimePoint now) const;
  /// Returns the rate at which an unresponsive node is assumed to use the
  /// limit.
  double EstimatedRate(const Bucket& bucket, const std::string& node) const;
  /// Scales the estimated use of these nodes, by name, to the limits.
  void UpdateEstimateScales(const std::vector<std::string>& unresponsive);
  void MergeMember(const Member& member, double elapsed_s, TimePoint now);
  void UpdateMajorityReachable(int unresponsive, TimePoint now);
  static void UpdateLocalRate(Bucket* bucket, double elapsed_s);
  /// Reduces the local debt by what other nodes left unused.
  void ReconcileDebt(Bucket* bucket) const;
  void ApplyCollectorLevel(const LimitLevel& level);
  /// Returns true if the collector state is at most `periods` report periods
  /// old.
  bool CollectorStateIsWithin(double periods, TimePoint now) const;
  /// Returns true if this node knows the global level well enough to borrow.
  bool MayBorrow(TimePoint now) const;
  void UpdateLocalShare(Bucket* bucket, int nodes) const;
  /// Returns the approximate time until a rejected request of `units` would be
  /// admitted if no other is.
  static Duration TimeUntilAdmitted(const Bucket& bucket, double units,
                                    bool overdrawn);

  LimitBucketOptions options_;
  Duration report_period_;
  Duration
      unresponsive_timeout_;  ///< Age at which a node's report is outdated.
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
  std::optional<TimePoint> refilled_at_;
  std::optional<TimePoint> updated_at_;
  bool majority_reachable_ = false;
  std::optional<TimePoint> majority_since_;
  NodeId collector_;  ///< Sender of the cached collector state.
  std::optional<TimePoint> levels_received_at_;
  int node_count_ = 1;
};

}  // namespace pollenledge
