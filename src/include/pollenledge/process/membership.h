#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/lateness_tally.h"
#include "pollenledge/process/upstream_list.h"
#include "pollenledge/process/usage_collection.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How much one customer asks of one entry, for sharing its limit.
struct CustomerDemand {
  std::string customer;
  double tokens_per_s = 0;

  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;
};

/// What one node used of a customer's limit since its start; only grows.
struct CustomerUse {
  std::string customer;
  double units = 0;

  friend bool operator==(const CustomerUse&, const CustomerUse&) = default;
};

/// What one entry says of itself, spread from peer to peer.
struct MemberRecord {
  NodeId id;
  std::uint64_t heartbeat = 0;  ///< Grows while the entry runs.
  std::string domain;
  std::string peer_address;
  std::string admin_address;
  bool leaving = false;
  bool left = false;
  std::uint64_t tables_version = 0;
  std::uint32_t active_requests = 0;
  /// Part of a processor core that the node may use, in percent; 0: not known.
  std::uint16_t processor_percent = 0;
  std::vector<CustomerDemand> demands;  ///< The largest, `kMaxDemands` at most.

  /// Of limits that are kept by use instead of by demand.
  std::vector<CustomerUse> uses;

  std::vector<LatenessCount> lateness;

  /// Who and where the node is, without what it used and counted.
  MemberRecord WithoutCounts() const;

  static constexpr std::size_t kMaxDemands = 8;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// How an entry looks from here.
enum class MemberStatus : std::uint8_t {
  kAlive,
  kSuspect,      ///< No news for a while.
  kUnreachable,  ///< No news for long; it may still run on the far side of a
                 ///< partition.
  kLeft,         ///< Said itself that it stops.
};

/// The name of `status` as it stands in status reports.
const char* ToString(MemberStatus status);

struct Member {
  MemberRecord record;
  MemberStatus status = MemberStatus::kAlive;
  Duration silence{0};  ///< Since the last news of it.

  friend bool operator==(const Member&, const Member&) = default;
};

/// What is left of one customer's limit, as a node sees it that hears from all
/// others directly.
struct LimitLevel {
  std::string customer;
  double units = 0;  ///< Below zero if too much was used.
  /// Use of the node that is told, since its start, as far as it is counted in
  /// `units`.
  double counted_use = 0;

  friend bool operator==(const LimitLevel&, const LimitLevel&) = default;
};

/// What an upstream said of its load.
struct HeardLoad {
  UpstreamId upstream;
  ReportedLoad load;
  Duration age{0};  ///< Since it was said.

  friend bool operator==(const HeardLoad&, const HeardLoad&) = default;
};

/// What one heartbeat says.
struct Heartbeat {
  std::vector<MemberRecord> records;  ///< The sender's is the first.
  bool asks_for_levels = false;       ///< The sender wants to know `levels`.
  /// The sender follows what all nodes do, and `levels` are to be believed.
  bool leads = false;
  std::vector<LimitLevel> levels;
  /// In a question the asking node's clock; its answer says the same again, so
  /// that the asking node knows that the answer was given later than this.
  TimePoint asked_at;
  /// How old the sender's proof is that its tables are in force.
  std::optional<Duration> proof_age;
  std::vector<SuspectReport> suspects;
  WallTime calendar{};  ///< The sender's estimate; zero if it has none.
  std::vector<HeardLoad> loads;
  /// In a question how far the sender knows the list of upstreams; in the
  /// answer what changed in it since.
  std::int64_t upstreams_revision = 0;
  std::optional<UpstreamChanges> upstream_changes;
  /// Counts of usage that the receiver is to write to the store with its own.
  std::vector<UsageReport> usage;
  std::vector<UsageWindow> usage_taken;  ///< In an answer, what was taken.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// A heartbeat message to one peer.
struct HeartbeatMessage {
  std::string address;
  Heartbeat heartbeat;

  friend bool operator==(const HeartbeatMessage&,
                         const HeartbeatMessage&) = default;
};

/// How often and to how many peers heartbeats go.
struct HeartbeatOptions {
  Duration period = std::chrono::milliseconds(500);
  std::size_t fanout = 2;
  std::size_t records_per_message = 10;
  /// In a fleet that a period's messages do not reach whole: there heartbeats
  /// only spread who is there, and what nodes used of limits is left out. Zero:
  /// as in a small fleet.
  Duration sparse_period{0};
  std::size_t sparse_fanout = 2;

  friend bool operator==(const HeartbeatOptions&,
                         const HeartbeatOptions&) = default;
};

/// Finds and watches the other entries by gossip of heartbeat counters (van
/// Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service",
/// Middleware 1998).
///
/// Each period an entry sends a bounded number of records to a bounded number
/// of peers, so its traffic does not grow with the fleet. The view informs
/// shares of limits and where to hand requests over; nothing that must never
/// go wrong rests on it.
///
/// Not thread-safe.
class Membership {
 public:
  /// The usual period of heartbeats.
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);
  static constexpr Duration kSuspectAfter = std::chrono::seconds(3);
  static constexpr Duration kUnreachableAfter = std::chrono::seconds(10);
  /// The same for each known entry, in a large fleet: news of one entry takes
  /// turns with that of all others.
  static constexpr Duration kSuspectAfterEach = std::chrono::milliseconds(40);
  /// An entry that has just started spreads its news as in a small fleet.
  static constexpr Duration kJoinTime = std::chrono::seconds(3);
  /// A member unheard of for this long is forgotten, and its part of the
  /// limits given out again.
  static constexpr Duration kForgetAfter = std::chrono::minutes(30);

  /// `seeds` are peer addresses to begin with; they may include this entry's.
  Membership(MemberRecord self, std::vector<std::string> seeds,
             std::uint64_t seed, HeartbeatOptions options = {});

  /// True until this entry has been there for `kJoinTime`.
  bool IsJoining(TimePoint now) const;
  /// When `OnTick` returns messages next.
  TimePoint NextDue(TimePoint now) const;
  bool IsDue(TimePoint now) const { return now >= NextDue(now); }
  /// Call at least every period; returns the messages that are due.
  std::vector<HeartbeatMessage> OnTick(TimePoint now);
  /// The record of this entry, newer than any before, to be told to a peer.
  const MemberRecord& Announce();
  /// What a message tells of the entries, this one first.
  std::vector<MemberRecord> PickRecords();
  /// Whether others follow what happens here by asking and being told, so that
  /// heartbeats need only spread who is there.
  void SetLed(bool led) { led_ = led; }
  /// Returns true if the sender, whose record is the first, was not known to
  /// have started.
  bool OnHeartbeat(const std::vector<MemberRecord>& records, TimePoint now);

  /// Replaces what this entry says of itself; identity and heartbeat stay.
  void UpdateSelf(const MemberRecord& self);

  /// Peers that are told something at once: as many as a period's heartbeats
  /// reach, in a small fleet all.
  std::vector<std::string> PeersToTell(TimePoint now);

  /// Every other entry that is known, by name.
  std::vector<Member> Others(TimePoint now) const;
  /// True if the fleet is so large that a period's messages do not reach all.
  bool IsSparse() const { return others_.size() > options_.fanout; }
  /// The live entries that come first in an order that all agree on, as far as
  /// they see the same ones alive: those with more processor time before
  /// others. This one may be among them. At most `count`.
  std::vector<const MemberRecord*> Ranked(std::size_t count,
                                          TimePoint now) const;
  /// Live entries, this one included.
  int AliveCount(TimePoint now) const;
  /// Place of this entry among the live ones, by name.
  int Ordinal(TimePoint now) const;
  /// Every entry that may still hold a part of a limit, this one included.
  int ShareholderCount(TimePoint now) const;

  const MemberRecord& self() const { return self_; }

 private:
  struct Known {
    MemberRecord record;
    TimePoint advanced_at;
  };

  MemberStatus StatusOf(const Known& known, TimePoint now) const;
  Duration Scaled(Duration bound) const;
  bool IsQuiet(TimePoint now) const;
  std::vector<std::string> ShuffledPeers(TimePoint now);
  std::vector<std::string> Targets(TimePoint now);

  HeartbeatOptions options_;
  std::optional<TimePoint> started_at_;  ///< First tick.
  MemberRecord self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  std::map<std::string, Known> others_;
  std::string cursor_;  ///< Name of the last record that was sent on.
  TimePoint sent_at_;
  bool led_ = false;
};

}  // namespace pollenledge
