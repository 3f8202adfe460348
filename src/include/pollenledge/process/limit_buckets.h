#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/limit_shares.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How limits are shared among the nodes.
struct LimitBucketOptions {
  /// Nodes that are assumed until more were heard of, so that a node that
  /// starts alone takes no more than its part.
  int least_nodes = 8;

  friend bool operator==(const LimitBucketOptions&,
                         const LimitBucketOptions&) = default;
};

/// Enforces each customer's limit over all nodes.
///
/// A limit is one token bucket for the whole system. Heartbeats carry how much
/// each node used since its start, so every node can follow the bucket's
/// level. Beside it each node fills a bucket of its own at its part of the
/// rate; the parts add up to one: half of it equal, half by use. A request is
/// admitted if the node's own bucket has room and the common one is not
/// overdrawn, or, while most nodes are heard, if the common level is well above
/// the request. What a node borrows that way its own
/// bucket owes, until the common level says that others used less.
///
/// In a large fleet no node can hear all others in time. There a few nodes,
/// the collectors, hear all others directly, follow the common level as above
/// and tell each node, which takes their word while it is fresh, and borrows
/// nothing when it is not.
///
/// A node that is silent is taken to use an equal part of the rate, or as much
/// as it did before if that is more. A node that does not hear most of the
/// others borrows nothing and keeps its part, so the limit holds while a
/// partition lasts.
/// A node that has just started begins with a part of the burst only: its
/// predecessor may have used the rest.
///
/// Not thread-safe. Memory grows with customers and nodes.
class LimitBuckets {
 public:
  explicit LimitBuckets(LimitBucketOptions options);

  /// Sets the limits in force. A customer that is not named has none.
  void Configure(const std::vector<CustomerLimit>& limits, TimePoint now);

  /// Shares the limits among so many nodes at the least, whether they were
  /// heard of or not. What this node begins with is cut to its part.
  void SetLeastNodes(int nodes);

  /// How often others say what they used; one that is silent for several times
  /// as long is taken to be out of reach.
  void SetReportPeriod(Duration period);

  /// True while a collector's word is fresh. Then call `Follow` each heartbeat
  /// period, else `Update`.
  bool IsLed(TimePoint now) const;
  /// Takes in what the other nodes say.
  void Update(const std::vector<Member>& others, TimePoint now);
  /// Notes that there are so many nodes, and that a collector hears them.
  void Follow(int nodes, TimePoint now);

  /// Takes `units` for the customer. Returns nothing if there was room, else
  /// about how long until there will be.
  std::optional<Duration> Take(const std::string& customer, double units,
                               TimePoint now);
  /// Gives back what was taken for a request that did not run.
  void Return(const std::string& customer, double units);

  /// Takes in what a collector says is left of the limits. Of two collectors
  /// the one that was heard first is believed until it falls silent.
  void TakeLevels(const NodeId& collector,
                  const std::vector<LimitLevel>& levels, TimePoint now);
  /// True if this node has heard most others for long enough to know what is
  /// left of the limits.
  bool Leads(TimePoint now) const;
  /// What is left of the limits, for `node`. Nothing unless this node leads.
  std::vector<LimitLevel> LevelsFor(const std::string& node,
                                    TimePoint now) const;

  /// The same of limits of which little is left.
  std::vector<LimitLevel> LowLevelsFor(const std::string& node,
                                       TimePoint now) const;

  /// What this node used since its start, for its heartbeats.
  std::vector<CustomerUse> Uses() const;
  /// The same of limits of which little is left.
  std::vector<CustomerUse> LowUses() const;

  /// Units of the whole system's bucket, as this node follows it.
  double CommonLevel(const std::string& customer) const;
  /// True if so little is left that each use must be known soon.
  bool IsLow(const std::string& customer) const;
  /// True if some level went down by a step since this was asked last, so that
  /// those who follow this node's word must hear of it.
  bool TakeLevelNews();

 private:
  struct Bucket {
    CustomerLimit limit;
    double used = 0;       ///< By this node, since its start.
    double own_level = 0;  ///< Of this node's bucket; may be owed.
    double own_part = 0;   ///< Of the rate and the burst.
    double common_level = 0;
    double own_rate = 0;  ///< Units a second that this node used of late.
    double used_at_update = 0;
    std::map<std::string, double> peer_rates;  ///< By node, of late.
    int told_step = 0;  ///< How far the level was down when it was told last.
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    std::map<std::string, double> uses;  ///< By customer, as last heard.
    /// Units that it is taken to have used while it is silent, by customer.
    std::map<std::string, double> supposed;
  };

  void Refill(TimePoint now);
  /// Begins anew with what others use.
  void ForgetOthers(TimePoint now);
  void TakeIn(const Member& member, double elapsed_s, bool led);
  void NoteHearing(int silent, TimePoint now);
  static void NoteOwnRate(Bucket* bucket, double elapsed_s);
  void SettleDebt(Bucket* bucket) const;
  void TakeLevel(const LimitLevel& level);
  /// True if a collector's word is at most so many periods of reports old.
  bool WordIsWithin(double periods, TimePoint now) const;
  /// True if this node knows the common level well enough to lend from it.
  bool MayBorrow(TimePoint now) const;
  void SetPart(Bucket* bucket, int nodes) const;

  LimitBucketOptions options_;
  Duration report_period_;
  Duration silent_after_;  ///< A node's last word that is older is no news.
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
  std::optional<TimePoint> refilled_at_;
  std::optional<TimePoint> updated_at_;
  bool hears_most_ = false;
  std::optional<TimePoint> heard_most_since_;
  NodeId collector_;  ///< Whose word was taken last.
  std::optional<TimePoint> levels_at_;
  int nodes_ = 1;
};

}  // namespace pollenledge
