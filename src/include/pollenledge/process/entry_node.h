#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/entry_events.h"
#include "pollenledge/process/entry_stats.h"
#include "pollenledge/process/fair_queue.h"
#include "pollenledge/process/limit_shares.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/process/outcome_writer.h"
#include "pollenledge/process/prefix_index.h"
#include "pollenledge/process/retry_budget.h"
#include "pollenledge/process/router.h"
#include "pollenledge/process/slot_reserve.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/process/upstream_table.h"
#include "pollenledge/request/request_state.h"

namespace pollenledge {

/// Start-up parameters of an `EntryNode`.
struct EntryOptions {
  MemberRecord self;               ///< Identity and addresses.
  std::vector<std::string> seeds;  ///< Initial peer addresses.
  /// Minimum number of shares that each customer limit is split into. It keeps
  /// an entry that starts within a network partition, and has received no
  /// heartbeat, from using a whole limit alone.
  int expected_entries = 1;
  /// One-way network latencies to the failure domains.
  DomainDistances domain_distances{"", std::chrono::milliseconds(1)};
  std::uint64_t random_seed = 1;
  /// Maximum number of requests in progress, including queued ones.
  std::size_t max_active_requests = 4096;
  std::size_t time_line_capacity = 4096;  ///< Events that the timeline keeps.
};

/// The decision logic of one entry: admission, limits, queueing, routing,
/// retries, failover, claims, membership and draining.
///
/// A deterministic state machine: the result depends only on its state, the
/// event and the time passed in. It opens no socket, reads no clock and starts
/// no thread. `Handle` processes one event and returns the actions to execute,
/// in order. A message between nodes is an action of the sender and an event of
/// the receiver, so a test can run many entries in one process and lose, delay
/// or duplicate their messages, or partition their network.
///
/// Every accepted request ends in exactly one `ReportOutcome` or
/// `ReplayResponse`, unless its caller disconnected or it was handed off.
///
/// Not thread-safe: the caller must serialize all calls.
class EntryNode {
 public:
  /// A draining entry accepts new requests for this long, which gives the load
  /// balancer time to stop sending them. Later ones are rejected.
  static constexpr Duration kDrainGracePeriod = std::chrono::seconds(1);
  /// Requests still in progress this long before the drain deadline are handed
  /// off to a peer.
  static constexpr Duration kHandOverMargin = std::chrono::milliseconds(1500);
  /// Bounds the whole claim negotiation of a request.
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  /// Maximum number of attempts of one request; it is not retried after that.
  static constexpr std::uint32_t kMaxAttempts = 5;
  /// Maximum queue time of a request that was dispatched before and waits for
  /// another upstream.
  static constexpr Duration kResumeTimeout = std::chrono::seconds(30);

  explicit EntryNode(EntryOptions options);

  /// Processes one event and returns the resulting actions in order.
  std::vector<EntryAction> Handle(const EntryEvent& event, const Instant& now);

  /// Returns the status of request `id`, which owns a claim. Returns
  /// `kIncarnationChanged` if the request was accepted by an earlier
  /// incarnation of this entry or by another node.
  ClaimOwnerResponse QueryClaimOwner(const RequestId& id) const;

  /// Returns a new id for a request that arrives at this entry.
  RequestId NextRequestId();

  const std::shared_ptr<const Tables>& tables() const { return tables_; }
  const Membership& membership() const { return membership_; }
  const UpstreamTable& upstreams() const { return upstreams_; }
  const CostLedger& cost_ledger() const { return cost_ledger_; }
  const EntryStats& stats() const { return stats_; }
  const TimeLine& time_line() const { return time_line_; }
  const LimitShares& limit_shares() const { return limit_shares_; }
  TimeLine& time_line() { return time_line_; }
  /// True while the request is in progress at this entry.
  bool HasRequest(const RequestId& id) const { return requests_.count(id) > 0; }
  std::size_t active_requests() const { return requests_.size(); }
  bool draining() const { return drain_started_at_.has_value(); }
  /// True if the load balancer may send requests to this entry.
  bool ready() const { return tables_ != nullptr && !draining(); }

 private:
  /// Moving averages over the completed requests of one pool.
  struct PoolAverages {
    /// Time that a request occupies a slot, in seconds.
    double mean_slot_time_s = 0;
    double mean_cost_tokens = 0;      ///< Prompt and response tokens.
    double mean_response_tokens = 0;  ///< Response tokens.
  };

  void On(const event::RequestArrived& arrival);
  void On(const event::CallerDisconnected& disconnect);
  void On(const event::ClaimReplyReceived& received);
  void On(const event::ClaimOwnerReplied& received);
  void On(const event::OutcomeWritten& written);
  void On(const event::FirstTokenReceived& token);
  void On(const event::AttemptFinished& finished);
  void On(const event::LoadReported& reported);
  void On(const event::PrefixCacheChanged& changed);
  void On(const event::UpstreamListReceived& received);
  void On(const event::UpstreamNoticeReceived& notice);
  void On(const event::TablesActivated& activated);
  void On(const event::HeartbeatReceived& received);
  void On(const event::DrainRequested& drain);
  void On(const event::HandOverReceived& received);
  void On(const event::TimerTicked& tick);

  // Admission. The checks return the reason for a rejection, or nothing.

  /// Checks that this entry can serve the request at all, and sets `route` to
  /// its route, or to null if none matches.
  std::optional<NotRun> ValidateAndRoute(const RequestSpec& spec,
                                         const Route** route);
  /// Checks the idempotency key, and that another outcome can be stored.
  std::optional<NotRun> CheckClaimPreconditions(const RequestSpec& spec,
                                                const Route& route);
  /// Checks the expected queue time against the rank's target, and acquires the
  /// predicted cost from the customer's limit.
  std::optional<NotRun> CheckLoadAndLimit(const RequestState& request);
  /// Predicted prompt and response tokens.
  double PredictCost(const RequestSpec& spec, const Route& route);
  /// This entry's share of the slots of `pool`, if split equally among the live
  /// entries.
  double LocalSlotShare(const std::string& pool) const;
  /// Tokens per second that the local slot share of `pool` serves; 0 if
  /// unknown.
  double LocalServiceRate(const std::string& pool);
  /// True if the slots reserved for more urgent ranks permit the dispatch.
  bool MayStart(const RequestState& request, const RoutingChoice& choice);
  /// Queues the request; `at_front` puts it ahead of the customer's others.
  void Enqueue(RequestState* request, bool at_front);

  // Dispatch.

  /// Dispatches queued requests of `pool` until the next one finds no upstream
  /// or must leave the free slots to more urgent ranks. Non-idempotent requests
  /// first obtain their claim. Requests that wait for an isolated or one of the
  /// cheapest upstreams may be overtaken.
  void DispatchQueued(const std::string& pool);
  void DispatchAllQueued();
  /// Chooses an upstream. If none is available, first lets a suspect use
  /// upstreams that are assigned to other entries, then allows upstreams where
  /// an earlier attempt failed.
  std::optional<RoutingChoice> ChooseUpstream(RoutingRequest routing);
  RoutingRequest MakeRoutingRequest(const RequestState& request) const;
  void Dispatch(RequestState* request, const RoutingChoice& choice);
  void StartClaim(RequestState* request);
  /// Carries out the next step of the claim negotiation. `owned_revision` is
  /// the revision of the claim record if this request is known to own it.
  void ApplyClaimStep(RequestState* request, const ClaimStep& step,
                      std::optional<std::int64_t> owned_revision);
  /// Determines the status of the request that owns the claim, from local
  /// knowledge if possible, otherwise by querying its entry.
  void ResolveClaimOwner(RequestState* request, const RequestId& owner);
  /// Finishes the queued requests whose latest start time has passed.
  void ExpireQueued();

  // End of an attempt.

  /// Updates load, backoff and cached prefixes of the attempt's upstream.
  void UpdateUpstreamAfterAttempt(const RequestState& request,
                                  const event::AttemptFinished& finished);
  /// Adds the attempt to the cost ledger and the statistics.
  void RecordUsage(const RequestState& request,
                   const event::AttemptFinished& finished);
  void RecordCachedPrefixes(const RequestState& request,
                            UpstreamHandle upstream,
                            std::int64_t cached_tokens);
  /// Handles a lost connection that no notice announced: puts the upstream into
  /// backoff and attributes a possible crash to the requests that ran on it.
  /// Returns true if it did attribute the crash.
  bool AttributeConnectionLoss(const RequestState& request);
  /// Broadcasts new reports about suspected requests to every peer.
  void BroadcastSuspects();
  /// Returns the fingerprints of the request and of each block-aligned prefix
  /// of its prompt.
  static std::vector<Fingerprint> SuspectsOf(const RequestSpec& spec);
  /// Returns an error if the request is rejected as crash-causing.
  std::optional<NotRun> CheckSuspects(const RequestSpec& spec);
  bool IsSuspect(const RequestState& request) const;
  void OnCompletedAttempt(RequestState* request,
                          const event::AttemptFinished& finished);
  void OnConnectionLost(RequestState* request,
                        const event::AttemptFinished& finished);
  /// Handles a response that may be cut. Its upstream need not have failed, so
  /// neither the upstream nor the request is blamed.
  void OnCloseDelimited(RequestState* request);
  /// Queues the request again, free of charge to the retry budget.
  void FailOver(RequestState* request);
  /// Queues the request again, or finishes it if no retry is left.
  void Retry(RequestState* request, AttemptOutcome result);
  /// Reports the outcome to the caller and removes the request. A rejection
  /// becomes an unknown outcome if an earlier attempt may have run.
  void Finish(RequestState* request, const Outcome& proposed);
  /// Writes the outcome to the claim record, if this request owns one.
  void RecordOutcome(const RequestState& request, const Outcome& outcome,
                     const std::optional<StoredResponse>& response);
  void RemoveRequest(RequestState* request);

  // Leaving upstreams and draining.

  /// Interrupts the streams on `upstream` that cannot finish there in the
  /// `remaining` time, so that they resume on another upstream.
  void FailOverStreams(const UpstreamId& upstream,
                       std::optional<Duration> remaining);
  void InterruptAttempt(RequestState* request);
  /// Hands off all idempotent model requests to the best live peer, if any.
  void HandOverAll();
  void ContinueDrain();

  /// Adds an event to the timeline; `request` may be null.
  void RecordTimeLineEvent(EventKind kind, const RequestState* request,
                           const std::string& detail);
  void Emit(EntryAction action) { actions_.push_back(std::move(action)); }
  std::vector<std::string> PeerAddresses() const;
  RequestState* FindRequest(const RequestId& id);
  /// The number of live entries and the position of this one among them.
  EntryGroup LiveEntries() const;
  TimePoint now() const { return now_.monotonic; }

  EntryOptions options_;
  Instant now_{};                     ///< Time of the event being processed.
  std::vector<EntryAction> actions_;  ///< Result of the current `Handle`.
  std::uint64_t next_request_sequence_ = 1;

  std::shared_ptr<const Tables> tables_;  ///< Active tables; null at first.
  UpstreamTable upstreams_;
  PrefixIndex prefix_index_;
  Router router_;
  Membership membership_;
  LimitShares limit_shares_;
  TimePoint limit_shares_updated_at_;
  RetryBudget retry_budget_;
  CrashSuspects crash_suspects_;
  OutcomeWriter pending_outcomes_;  ///< Outcomes that are not yet written.
  CostLedger cost_ledger_;
  EntryStats stats_;
  TimeLine time_line_;
  // By pool.
  std::map<std::string, FairQueue> queues_;
  std::map<std::string, PoolAverages> pool_averages_;
  std::map<std::string, SlotReserve> slot_reserves_;

  std::unordered_map<RequestId, RequestState> requests_;
  /// A claim whose request ended while a claim read or write was in flight.
  struct OrphanedClaim {
    std::string key;
    std::string body_sha256;
    Duration retention{0};
  };
  std::map<RequestId, OrphanedClaim> orphaned_claims_;
  std::optional<TimePoint> drain_started_at_;
  std::optional<TimePoint> drain_deadline_;  ///< If the time is known.
  bool drain_completed_ = false;
};

}  // namespace pollenledge
