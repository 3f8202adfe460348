#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pollenledge/process/admission_level.h"
#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/late_stream_tracker.h"
#include "pollenledge/process/prompt_cache_report.h"
#include "pollenledge/process/rate_limit_permits.h"
#include "pollenledge/process/speed_report.h"
#include "pollenledge/process/tables_transfer.h"
#include "pollenledge/process/upstream_list.h"
#include "pollenledge/process/upstream_rate_limits.h"
#include "pollenledge/process/usage_collection.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/request.h"
#include "pollenledge/request/rollout.h"
#include "pollenledge/request/stream_binding.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Rate at which one customer sends requests to one entry, for sharing its
/// limit.
struct CustomerDemand {
  std::string customer;
  double tokens_per_s = 0;

  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;
};

/// Usage of one customer's limit by one node since its start. Only grows.
struct CustomerUsage {
  std::string customer;
  double used_units = 0;  ///< In the unit of the limit.

  friend bool operator==(const CustomerUsage&, const CustomerUsage&) = default;
};

/// The state that a node publishes about itself; spread by gossip.
struct MemberRecord {
  NodeId id;
  std::uint64_t heartbeat = 0;  ///< Counter that grows while the node runs.
  std::string domain;
  std::string peer_address;
  std::string admin_address;
  bool draining = false;
  bool left = false;  ///< The node announced that it stopped.
  std::uint64_t tables_version = 0;
  std::uint32_t active_requests = 0;
  /// Processor time that the node may use, in percent of one core; 0 if
  /// unknown.
  std::uint16_t cpu_percent = 0;
  /// The largest customer demands on an entry, at most `kMaxDemands`.
  std::vector<CustomerDemand> demands;

  /// Usage of the limits at a forwarding node, which shares limits by usage.
  /// Entries share them by `demands` instead.
  std::vector<CustomerUsage> customer_usage;

  /// Streams started since the node's start, by service.
  std::vector<LateStreamCount> late_stream_counts;

  /// Services to whose upstreams the node has no path.
  std::vector<std::string> unreachable_services;

  /// The node refuses relayed requests for which its tables are too old.
  /// Earlier releases handle them all.
  bool checks_tables_version = false;

  /// Returns a copy without usage and stream counters.
  MemberRecord WithoutCounters() const;

  static constexpr std::size_t kMaxDemands = 8;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Status of a node as this node sees it.
enum class MemberStatus : std::uint8_t {
  kAlive,
  /// No newer heartbeat received for `kSuspectTimeout`. This timeout and the
  /// next one are longer in a large fleet.
  kSuspect,
  /// No newer heartbeat received for `kUnreachableTimeout`; the node may still
  /// run on the other side of a network partition.
  kUnreachable,
  kLeft,  ///< The node announced that it stopped.
};

/// Returns the name of `status` as used in status reports.
const char* ToString(MemberStatus status);

/// A node and its status as this node sees it.
struct Member {
  MemberRecord record;
  MemberStatus status = MemberStatus::kAlive;
  Duration since_heartbeat{0};  ///< Time since its last newer heartbeat.

  friend bool operator==(const Member&, const Member&) = default;
};

/// Token bucket level of one customer's limit, as computed by a node that
/// receives the usage of all others directly.
struct LimitLevel {
  std::string customer;
  double remaining_units = 0;  ///< Negative if the limit was exceeded.
  /// Usage of the receiving node since its start that `remaining_units` already
  /// accounts for.
  double counted_usage = 0;

  friend bool operator==(const LimitLevel&, const LimitLevel&) = default;
};

/// Load that an upstream reported.
struct UpstreamLoadReport {
  UpstreamId upstream;
  ReportedLoad load;
  Duration age{0};  ///< Time since the upstream sent it.

  friend bool operator==(const UpstreamLoadReport&,
                         const UpstreamLoadReport&) = default;
};

/// Content of one heartbeat message. A message with `requests_levels` is a
/// query; its response repeats `queried_at`.
struct Heartbeat {
  std::vector<MemberRecord> records;  ///< The first is the sender's.
  bool requests_levels = false;       ///< The sender requests `levels`.
  /// The sender tracks the usage of all nodes, so that the receiver may rely on
  /// `levels`.
  bool levels_authoritative = false;
  std::vector<LimitLevel> levels;
  /// In a query, the sender's clock. The response repeats it, so that the
  /// querying node knows that the response was created later than this.
  TimePoint queried_at;
  /// Time since the sender's tables were last confirmed current. Not set if
  /// they never were.
  std::optional<Duration> tables_confirmation_age;
  std::vector<SuspectReport> suspect_reports;
  WallTime wall_clock_time{};  ///< The sender's estimate; zero if it has none.
  std::vector<UpstreamLoadReport> load_reports;
  /// In a query, the revision of the list of upstreams that the sender has.
  std::int64_t upstreams_revision = 0;
  /// In a response, the changes since that revision.
  std::optional<UpstreamChanges> upstream_changes;
  /// Usage counts that the receiver is to write to the store with its own.
  std::vector<UsageReport> usage_reports;
  /// In a response, the windows whose usage counts were accepted.
  std::vector<UsageWindow> accepted_usage_windows;
  std::vector<RateLimitReport> rate_limit_reports;
  /// Upstreams that stated in a response that they leave.
  std::vector<UpstreamId> leaving_upstreams;
  /// Streams that began or were resumed at the sender.
  std::vector<StreamRecord> stream_records;
  /// Permits that the sender requests from the receiver.
  std::vector<PermitCount> requested_permits;
  /// Permits that the sender grants to the receiver.
  std::vector<PermitCount> granted_permits;
  /// With requested permits the sender's clock, with granted permits the
  /// receiver's clock as it was in its request.
  TimePoint permits_requested_at;
  std::vector<RolloutShare> rollout_shares;
  /// Changes of the prompts that upstreams retain.
  PromptCacheReport prompt_caches;
  /// The sender's levels of services that are scheduled by prediction.
  std::vector<AdmissionLevel> admission_levels;
  /// The demand at the sender for these services.
  std::vector<AdmissionDemand> admission_demands;
  /// Speeds of upstreams, if the sender schedules by prediction.
  std::vector<SpeedReport> speed_reports;
  std::optional<TablesRequest> tables_request;
  /// With it, `tables_confirmation_age` is that of the sender's tables.
  std::optional<TablesReply> tables_reply;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// A heartbeat and the peer that it is sent to.
struct HeartbeatMessage {
  std::string address;
  Heartbeat heartbeat;

  friend bool operator==(const HeartbeatMessage&,
                         const HeartbeatMessage&) = default;
};

/// Interval and fanout of heartbeats.
struct HeartbeatOptions {
  Duration period = std::chrono::milliseconds(500);
  std::size_t fanout = 2;  ///< Peers that one period's messages go to.
  /// Records in one message, including the sender's own, once one period's
  /// messages do not reach every node. In a smaller fleet there are at most
  /// two.
  std::size_t records_per_message = 10;
  /// Period in a large fleet, where one period's messages do not reach every
  /// node. There heartbeats spread only the membership, without usage and
  /// stream counters. Zero disables this.
  Duration large_fleet_period{0};
  std::size_t large_fleet_fanout = 2;  ///< Fanout with `large_fleet_period`.

  friend bool operator==(const HeartbeatOptions&,
                         const HeartbeatOptions&) = default;
};

/// Discovers the other nodes and detects their failure by gossip of heartbeat
/// counters (van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
/// Service", Middleware 1998).
///
/// Each period a node sends a bounded number of records to a bounded number of
/// peers, so its traffic does not grow with the fleet. The view may be
/// outdated. It is used for sharing limits and for choosing where to hand off
/// requests; no safety property depends on it.
///
/// Not thread-safe. Memory grows with the number of nodes.
class Membership {
 public:
  /// Default heartbeat period.
  static constexpr Duration kDefaultPeriod = std::chrono::milliseconds(500);
  static constexpr Duration kSuspectTimeout = std::chrono::seconds(3);
  static constexpr Duration kUnreachableTimeout = std::chrono::seconds(10);
  /// With a large-fleet period the suspect timeout is at least this long per
  /// known node, because the records of all nodes take turns in the messages.
  /// The unreachable timeout is then at least three times as long.
  static constexpr Duration kSuspectTimeoutPerMember =
      std::chrono::milliseconds(40);
  /// Time after its start in which a node sends heartbeats as in a small fleet.
  static constexpr Duration kJoinTime = std::chrono::seconds(3);
  /// A node without a newer heartbeat for this long is forgotten, and its share
  /// of the limits is given to the others.
  static constexpr Duration kForgetTimeout = std::chrono::minutes(30);

  /// `seeds` are the peer addresses to contact first; they may include this
  /// node's own.
  Membership(MemberRecord self, std::vector<std::string> seeds,
             std::uint64_t seed, HeartbeatOptions options = {});

  /// Returns true until this node has run for `kJoinTime`.
  bool IsJoining(TimePoint now) const;
  /// Returns when `OnTick` returns messages next.
  TimePoint NextDue(TimePoint now) const;
  bool IsDue(TimePoint now) const { return now >= NextDue(now); }
  /// Returns the messages that are due. Call it at least once per period.
  std::vector<HeartbeatMessage> OnTick(TimePoint now);
  /// Increments this node's heartbeat counter and returns its record.
  const MemberRecord& AdvanceHeartbeat();
  /// Returns the records to send in one message, this node's first.
  std::vector<MemberRecord> SelectRecords();
  /// Sets whether collectors distribute the state of all nodes, so that
  /// heartbeats need to spread only the membership.
  void SetCollectorsActive(bool active) { collectors_active_ = active; }
  /// Merges the received records, of which the first is the sender's. Returns
  /// true if the sender's current incarnation was not known before.
  bool OnHeartbeat(const std::vector<MemberRecord>& records, TimePoint now);

  /// Replaces this node's record, except for its id and heartbeat counter.
  void UpdateSelf(const MemberRecord& self);

  /// Returns the addresses of the peers to send an urgent message to: at most
  /// `HeartbeatOptions::fanout`, chosen at random, and all in a small fleet.
  std::vector<std::string> BroadcastTargets(TimePoint now);

  /// Returns every other known node, by name.
  std::vector<Member> Others(TimePoint now) const;
  /// Returns false if no seed but this node itself is alive, so that there may
  /// be nodes that this one and its peers cannot discover. Returns true if it
  /// has no other seeds.
  bool HasLiveSeed(TimePoint now) const;
  /// Returns true if one period's messages do not reach every node.
  bool IsLargeFleet() const { return others_.size() > options_.fanout; }
  /// Returns at most `count` live nodes, which may include this one, in an
  /// order that all nodes with the same view agree on: nodes with more
  /// processor time come first. Nodes that are draining are left out.
  std::vector<const MemberRecord*> PreferredMembers(std::size_t count,
                                                    TimePoint now) const;
  /// Returns the names of the known nodes that have not left, including this
  /// one, in order.
  std::vector<std::string> KnownNames() const;
  /// Returns the other live nodes, by name.
  std::vector<const MemberRecord*> LiveOthers(TimePoint now) const;
  /// Returns the number of live nodes, including this one.
  int AliveCount(TimePoint now) const;
  /// Returns this node's position among the live nodes, sorted by name.
  int Ordinal(TimePoint now) const;
  /// Returns the number of known nodes that have not left, including this one.
  /// Each of them may still use a share of the limits.
  int KnownNodeCount(TimePoint now) const;

  const MemberRecord& self() const { return self_; }

 private:
  /// The newest record of a node and when its heartbeat last advanced.
  struct KnownMember {
    MemberRecord record;
    TimePoint heartbeat_advanced_at;
  };

  MemberStatus StatusOf(const KnownMember& known, TimePoint now) const;
  /// Scales a timeout with the number of nodes in a large fleet.
  Duration ScaledTimeout(Duration timeout) const;
  /// True if heartbeats use the period and fanout of a large fleet.
  bool UsesLargeFleetPeriod(TimePoint now) const;
  std::vector<std::string> ShuffledPeers(TimePoint now);
  /// Chooses the addresses to send this period's heartbeats to.
  std::vector<std::string> GossipTargets(TimePoint now);

  HeartbeatOptions options_;
  std::optional<TimePoint> started_at_;  ///< Time of the first `OnTick`.
  MemberRecord self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  std::map<std::string, KnownMember> others_;  ///< By name.
  std::string cursor_;  ///< Name of the last record that was forwarded.
  TimePoint last_sent_at_;
  bool collectors_active_ = false;
};

}  // namespace pollenledge
