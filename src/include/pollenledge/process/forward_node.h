#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/collector_selector.h"
#include "pollenledge/process/connection_reuse_policy.h"
#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/fair_queue.h"
#include "pollenledge/process/fleet_admission.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/held_requests.h"
#include "pollenledge/process/limit_buckets.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/process/path_monitor.h"
#include "pollenledge/process/prompt_cache_directory.h"
#include "pollenledge/process/prompt_cache_reports.h"
#include "pollenledge/process/prompt_cache_watch.h"
#include "pollenledge/process/rate_limit_permits.h"
#include "pollenledge/process/retry_budget.h"
#include "pollenledge/process/rollout_shares.h"
#include "pollenledge/process/stream_origins.h"
#include "pollenledge/process/stream_outbox.h"
#include "pollenledge/process/stream_versions.h"
#include "pollenledge/process/upstream_balancer.h"
#include "pollenledge/process/upstream_list.h"
#include "pollenledge/process/upstream_rate_limits.h"
#include "pollenledge/process/upstream_speeds.h"
#include "pollenledge/process/upstream_stalls.h"
#include "pollenledge/process/usage_ledger.h"
#include "pollenledge/process/wall_clock_estimate.h"

namespace pollenledge {

/// Identity, limits and timeouts of a `ForwardNode`.
struct ForwardNodeOptions {
  MemberRecord self;
  std::vector<std::string> seeds;  ///< Peer addresses to contact first.
  /// Maximum age of the tables' freshness confirmation at which requests that
  /// need an API key are still sent; 0: no limit.
  Duration key_freshness{0};
  /// Time within which changed tables must be active; 0: no limit. A request is
  /// refused as unknown only by tables that were confirmed more recently, and
  /// served by older ones only if the store can't be read and no live peer has
  /// later ones.
  Duration tables_bound{0};
  /// Retries allowed per first attempt, for each service.
  double retries_per_request = 0.2;
  /// Retries allowed in addition for each service, summed over all nodes.
  double retry_slack = 0;
  /// Length of a usage window.
  Duration usage_window = std::chrono::seconds(5);
  /// Time from `DrainStarted` until requests in progress are aborted.
  Duration drain_timeout = std::chrono::hours(1);
  /// Reject all requests until `SuspectsRead`.
  bool wait_for_suspects = false;
  /// Schedule services with uneven upstreams by prediction.
  bool adaptive_scheduling = false;
  /// With `adaptive_scheduling`, schedule all services with an engine by
  /// prediction, whether or not their upstreams were found to be uneven.
  bool assume_uneven_upstreams = false;
  RolloutLimits rollout_limits;
  std::uint64_t random_seed = 1;
};

/// State machine of a forwarding node: admits requests, chooses upstreams,
/// retries, and exchanges state with the other nodes.
///
/// Owns the request queues, the limit buckets, the retry budget and this node's
/// view of the upstreams and of the fleet.
///
/// Deterministic: `Handle` depends only on the node's state, the event and the
/// given time. It opens no socket, reads no clock and starts no thread; it
/// returns the actions to execute, in order.
///
/// Each request that arrives ends in exactly one `Reject`, `Fail` or
/// `DeliverResponse`, unless its caller disconnects first. `Reject` is used
/// only if no attempt reached an upstream, or if every upstream that was
/// reached reported that it did not run the request.
///
/// Not thread-safe: all calls must be serialized.
class ForwardNode {
 public:
  /// Retry-After of a rejection for which no better estimate exists.
  static constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);
  /// Interval between heartbeats in a small fleet.
  static constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(250);
  /// The store delivers a version that a peer names within this time.
  static constexpr Duration kTablesWatchTime = std::chrono::milliseconds(250);
  /// Interval at which the bindings of streams are told to peers and written to
  /// the store while a service has several versions.
  static constexpr Duration kStreamTellInterval =
      std::chrono::milliseconds(200);

  explicit ForwardNode(ForwardNodeOptions options);

  /// Processes one event at time `now` and returns the actions to execute.
  std::vector<ForwardAction> Handle(const ForwardEvent& event,
                                    const Instant& now);

  /// Returns when the next `Ticked` event must be submitted.
  TimePoint NextTickTime(TimePoint now) const;
  /// Returns true if the load balancer may send requests to this node.
  bool IsReady(TimePoint now) const;

  /// The active tables; null until they were read.
  const std::shared_ptr<const ForwardingIndex>& tables_index() const {
    return tables_index_;
  }
  /// Returns true if the request's current attempt may still be sent: its
  /// upstream is listed and not leaving.
  bool MaySend(ForwardId id) const;
  /// Returns true if `service` is scheduled by prediction.
  bool IsPredictive(const std::string& service) const;
  /// Sets what tells how much of a prompt an upstream has in its cache. Until
  /// then it is assumed that the upstreams preferred by hash have the shared
  /// part.
  void SetCachedTokensSource(CachedTokensSource source) {
    cached_tokens_ = std::move(source);
  }
  /// Tells whether a request's upstream has sent bytes that were not handled
  /// yet.
  using UnreadResponseSource = std::function<bool(ForwardId)>;
  /// Sets what tells a silent upstream from a process that is late. Until then
  /// no response is unread.
  void SetUnreadResponseSource(UnreadResponseSource source) {
    has_unread_response_ = std::move(source);
  }
  /// Returns the number of services that are scheduled by prediction.
  int predictive_services() const;
  const UpstreamSpeeds& speeds() const { return speeds_; }
  const UpstreamStalls& stalls() const { return stalls_; }
  const Membership& membership() const { return membership_; }
  const UpstreamBalancer& upstreams() const { return upstreams_; }
  const CrashSuspects& suspects() const { return suspects_; }
  const LimitBuckets& limits() const { return limits_; }
  const UpstreamRateLimits& rate_limits() const { return rate_limits_; }
  const RateLimitPermits& permits() const { return permits_; }
  const PathMonitor& paths() const { return paths_; }
  /// Which prompts the upstreams of predictive services retain.
  const PromptCacheDirectory& prompt_caches() const { return prompt_caches_; }
  const PromptCacheWatch& prompt_cache_watch() const {
    return prompt_cache_watch_;
  }
  const StreamVersions& stream_versions() const { return stream_versions_; }
  const RolloutShares& rollouts() const { return rollouts_; }
  /// Returns the counts of the roll-out by `order` of each process, by name, as
  /// last reported to this node.
  std::map<std::string, std::vector<RolloutEvidence>> RolloutReports(
      std::int64_t order) const;
  const FleetAdmission& admission() const { return admission_; }
  const UsageLedger& usage() const { return usage_; }
  UsageLedger& usage() { return usage_; }
  /// Usage counts that other nodes reported to this one as a collector.
  UsageCollection& usage_collection() { return usage_collection_; }
  /// Returns true if a collector has accepted this node's counts of `window`.
  bool IsUsageAcknowledged(UsageWindow window) const;
  std::size_t active_requests() const {
    return requests_.size() + held_requests_.size();
  }
  std::size_t queued_requests() const;
  bool draining() const { return drain_started_at_.has_value(); }
  /// Maximum number of retries that this node accumulates for each service.
  double max_saved_retries() const {
    return retry_budget_.options().max_balance;
  }
  /// Returns the fraction of recent streams of `service` whose first event was
  /// late or that found no free slot, over all nodes with recent heartbeats.
  /// Returns 0 if too few streams were counted recently.
  double LateStreamShare(const std::string& service, TimePoint now);
  /// Returns true if the tables must be read from the store now, because this
  /// node is a collector or the tables were last confirmed `max_age` ago. In a
  /// large fleet the collectors' confirmations save the followers' reads.
  bool NeedsTablesRead(Duration max_age, TimePoint now) const;
  /// Returns true if the list of upstreams must be read from the store now,
  /// because this node follows no collector or the list was last confirmed more
  /// than `period` ago.
  bool NeedsUpstreamsRead(Duration period, TimePoint now) const;
  /// Returns true if this node relies on collectors for the state of the store
  /// and of the other nodes: in a large fleet, while it is no collector and has
  /// fresh collector state.
  bool FollowsCollectors(TimePoint now) const;
  /// Returns true if this node should watch the store, because it follows no
  /// collector and has run long enough to know that. Until then it only polls
  /// the store.
  bool ShouldWatchStore(TimePoint now) const {
    return !FollowsCollectors(now) && !membership_.IsJoining(now);
  }
  /// Returns true if this node should compete for the fleet-wide duties.
  bool IsDutyCandidate(TimePoint now) const;
  /// True if this node publishes the store's state to the nodes of a large
  /// fleet.
  bool is_collector() const { return is_collector_; }
  /// The fleet's common estimate of the wall-clock time.
  const WallClockEstimate& wall_clock() const { return wall_clock_; }
  /// Time since the active tables were last confirmed current; empty if they
  /// never were.
  std::optional<Duration> TablesAge(TimePoint now) const;
  /// When the active tables were activated; the epoch before.
  TimePoint tables_activated_at() const { return tables_activated_at_; }

 private:
  /// Selects the queue of the requests that wait for the same upstreams.
  struct QueueKey {
    std::string service;
    /// The version that the upstream must run; empty: any.
    std::optional<std::string> software_version;

    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };

  /// A begun stream whose attempt has ended waits until it is known which
  /// process sent its events.
  struct OriginWait {
    ForwardOutcome end = ForwardOutcome::kConnectionLost;  ///< Of the attempt.
    TimePoint until;
    TimePoint next_check_at;
  };

  /// One request in progress, queued or sent.
  struct Request {
    ForwardId id = 0;
    ForwardSpec spec;
    Fingerprint fingerprint;  ///< Of the customer, target and body.
    /// The above, and that of the customer, path and body if there is a query.
    std::vector<Fingerprint> own_fingerprints;
    /// The above, and those of the prompt's shared segments.
    std::vector<Fingerprint> suspect_fingerprints;
    /// The tables version that was active when the request arrived, here or at
    /// the node that relayed it.
    std::shared_ptr<const ForwardingIndex> tables_index;
    const ForwardingRoute* route = nullptr;
    const ForwardingCustomer* customer = nullptr;  ///< Null on public routes.
    std::string service;
    int priority = 5;
    TimePoint arrived_at;
    TimePoint deadline;
    TimePoint next_check_at;    ///< Time of the next `OnCheckDue`.
    double acquired_units = 0;  ///< Acquired from the customer's limit.
    int attempts = 0;
    int possible_runs = 0;  ///< Attempts that may have run, here or elsewhere.
    std::vector<std::string> tried_upstreams;  ///< Upstreams it was sent to.
    std::string current_upstream;  ///< Of the current attempt; empty: none.
    std::uint64_t current_incarnation = 0;  ///< Of `current_upstream`.
    std::string current_version;            ///< Software of `current_upstream`.
    std::string relay;  ///< Node that it was relayed to and that has not ended.
    int relay_max_runs = 0;  ///< How often `relay` may run it.
    std::vector<std::string> tried_relays;
    std::int64_t pending_prompt_tokens = 0;  ///< Of the current attempt.
    TimePoint sent_at;
    TimePoint last_event_at;
    bool first_event_received = false;     ///< By the current attempt.
    TimePoint first_event_at;              ///< Of the current attempt.
    RunPhase phase = RunPhase::kStarting;  ///< Of the current attempt.
    bool sent_under_load = false;  ///< The current attempt's upstream had load.
    /// The current attempt opened its connection. Known once it responds.
    bool on_new_connection = false;
    int event_batches = 0;    ///< Forwarded by the current attempt.
    bool is_retrial = false;  ///< Sent although its suspects are rejected.
    /// Counted as demand by `CheckFleetAdmission`.
    bool counted_as_demand = false;
    bool response_started = false;  ///< The caller received the head.
    /// An upstream, not this node, ended an attempt without a whole response.
    bool broken_off = false;
    bool may_have_run = false;
    /// How the last attempt or relay ended; empty if there was none.
    std::optional<ForwardOutcome> last_end;
    ResponseEvidence last_evidence;
    bool usage_counted = false;
    std::optional<QueueKey> queue;  ///< In which it waits.
    std::optional<std::int64_t> last_event_id;
    /// Key of the stream; empty unless the stream can be resumed.
    std::optional<Fingerprint> stream;
    /// What the stream is bound to; empty before its first event.
    std::optional<StreamBinding> binding;
    /// When the store is searched again for the binding of the stream that the
    /// request resumes; empty if the request doesn't wait for it.
    std::optional<TimePoint> next_lookup_at;
    bool store_answered = false;  ///< One of the searches for the binding.
    /// When an upstream is searched that goes on with the begun response; empty
    /// unless the request waits for one.
    std::optional<TimePoint> next_retry_at;
    std::optional<OriginWait> origin_wait;
    /// Prompt tokens that the upstream had to read before the first event of
    /// the current attempt, as far as this node knew.
    double expected_prompt_tokens = 0;
    EventWindow event_window;      ///< Of the current attempt.
    int events = 0;                ///< Of all attempts.
    bool load_is_applied = false;  ///< That of the response's head.
    /// When the current attempt makes no progress if no event was received;
    /// empty if that isn't predicted.
    std::optional<TimePoint> progress_due_at;
    Duration allowed_silence{0};  ///< Without an event, before that.

    /// Returns true before the first attempt, while the request is in a queue
    /// or waits for the binding of its stream.
    bool IsWaiting() const {
      return queue.has_value() || next_lookup_at.has_value();
    }
  };

  void On(const forward_event::RequestArrived& arrived);
  /// Decides on a request that arrived at `arrived_at` by the active tables.
  void BeginRequest(const forward_event::RequestArrived& arrived,
                    TimePoint arrived_at);
  void On(const forward_event::CallerDisconnected& disconnected);
  void On(const forward_event::ResponseHeadReceived& received);
  void On(const forward_event::FirstEventReceived& first);
  void On(const forward_event::EventsForwarded& forwarded);
  void On(const forward_event::AttemptEnded& ended);
  void On(const forward_event::TablesRead& read);
  void On(const forward_event::TablesReadFailed& failed);
  void On(const forward_event::TablesWatchUpdate& update);
  void On(const forward_event::TablesFromPeer& received);
  void On(const forward_event::UpstreamsListed& listed);
  void On(const forward_event::HeartbeatReceived& received);
  void On(const forward_event::SuspectsRead& read);
  void On(const forward_event::SuspectLifted& lifted);
  void On(const forward_event::FleetSizeRead& read);
  void On(const forward_event::VersionRecordsRead& read);
  void On(const forward_event::StreamLookedUp& lookup);
  void On(const forward_event::UpstreamProbed& probed);
  void On(const forward_event::RolloutSharesConfirmed& confirmed);
  void On(const forward_event::PromptCachePolled& polled);
  void On(const forward_event::DrainStarted& drain);
  void On(const forward_event::DrainTimedOut& timed_out);
  void On(const forward_event::Ticked& tick);

  /// The last connection loss of an upstream that this node observed. The node
  /// cannot tell a crash of the upstream from a disconnect.
  struct ConnectionLoss {
    UpstreamId upstream;
    int observed_losses = 0;  ///< Connection losses of this incarnation so far.
    CrashId crash_id = 0;
    TimePoint observed_at;
    std::vector<BlamedSuspect> suspects;  ///< May have caused it.
  };

  // Admission.
  /// Fills in the request's route, customer, priority and deadline, and
  /// acquires its units. Returns why it is rejected; empty if it is admitted.
  std::optional<NotRun> Admit(Request* request);
  std::optional<NotRun> CheckKey(Request* request);
  /// Sets the fingerprints of the request as a whole.
  static void SetFingerprints(Request* request);
  /// Returns an error if this node is draining, the load balancer has had time
  /// to notice it, and the node may stop before the request completes.
  std::optional<NotRun> CheckDrain(const Request& request) const;
  std::optional<NotRun> AcquireLimit(Request* request);
  std::string PickService(const Request& request);
  bool AreKeysFresh(TimePoint now) const;
  /// Returns the time until which requests with a key may be sent. The tables
  /// must have been confirmed.
  TimePoint KeysValidUntil() const;

  // Fleet-wide admission of services that are scheduled by prediction.
  AdmissionRequest ToAdmissionRequest(const Request& request) const;
  /// Counts the request as demand and refuses it if its position is above the
  /// service's admission level. Resumed streams and requests that another node
  /// admitted pass.
  std::optional<NotRun> CheckFleetAdmission(Request* request);
  /// Returns true if a request that waits here would be sent too late, by what
  /// the fleet knows.
  bool IsPredictedLate(const Request& request) const;
  /// Returns true if the upstreams that responded to this node lately have free
  /// slots.
  bool HasFreeSlots(const std::string& service) const;
  void RecordAdmittedFirstEvent(const Request& request);
  void RecordAdmittedEnd(const Request& request);
  /// Returns the slots of the service's upstreams that accept requests.
  double SlotsOf(const std::string& service) const;
  /// Computes the levels if this node is the one to do so and that is due.
  void UpdateAdmissionLevels();
  /// Returns the demand at this node.
  std::vector<AdmissionDemand> AdmissionDemands();
  /// Follows the levels of `heartbeat` and stores the sender's demand.
  void MergeAdmission(const Heartbeat& heartbeat);

  // Dispatch.
  void Dispatch(Request* request);
  ForwardUpstream* ChooseUpstream(const Request& request);
  /// `previous_end` is how the previous attempt ended; empty for the first one.
  void Send(Request* request, ForwardUpstream* upstream,
            std::optional<ForwardOutcome> previous_end = std::nullopt);
  TimePoint LatestSendTime(const Request& request) const;
  ConnectionReuse ReusableConnections(const Request& request) const;

  // Roll-outs.
  /// Chooses an upstream that matches the criteria and runs a version that the
  /// request may be sent to.
  ForwardUpstream* ChooseVersion(const Request& request,
                                 UpstreamCriteria query);
  /// Returns the upstreams of a version that requests are not sent to while the
  /// version gets a share of them only.
  std::vector<std::string> UnusedUpstreams(const std::string& service,
                                           const VersionChoice& choice) const;
  void CountSent(const Request& request, const ForwardUpstream& upstream);
  /// Describes the current attempt.
  RolloutEvidence EvidenceOf(const Request& request) const;
  void ObserveStart(const Request& request);
  void ObserveEvents(Request* request);
  void ObserveEnd(const Request& request, ForwardOutcome end);
  /// Counts lost connections as failures, unless the upstream left as well.
  void CountLostAttempts();
  void ApplyRolloutShares(const Heartbeat& heartbeat);
  /// Returns what this node tells others of the roll-outs.
  std::vector<RolloutShare> StatedRolloutShares() const;
  void MergeRolloutShares(const std::vector<RolloutShare>& shares);
  /// Reports this node's counts to the holder of the duties.
  void ReportRollouts();

  void Enqueue(Request* request);
  /// Sends queued requests of `service` while upstreams have capacity, and
  /// rejects those that waited too long. Streams that are resumed come first.
  void DispatchQueued(const std::string& service);
  void DispatchQueue(const std::string& service, FairQueue* queue);
  void DispatchAllQueued();

  // Retained prompts, in services that are scheduled by prediction.
  /// Lets the choice of the upstream count what each is known to retain.
  void UsePromptCaches(const Request& request, UpstreamCriteria* query) const;
  void RecordPromptSent(const Request& request);
  void RecordPromptRead(const Request& request);
  void RecordPromptNotRun(const Request& request);
  void MergePromptCaches(const Heartbeat& heartbeat);
  /// Adds what the recipient has not been sent yet; if `own_only`, only what
  /// this node learnt first-hand.
  void AddPromptCaches(const std::string& recipient, bool own_only,
                       Heartbeat* heartbeat);
  /// Tracks the upstreams of predictive services and calls the watched ones for
  /// their cache events.
  void UpdatePromptCaches();
  void SelectPromptCaches();
  void PollPromptCaches();

  // Relaying through other nodes.
  void OnConnectFailed(const std::string& service, const std::string& upstream);
  /// An upstream of `service` has responded or accepted a connection.
  void OnUpstreamContact(const std::string& service);
  /// Connects to upstreams of the services whose path is suspected or lost.
  void ProbePaths();
  /// Returns the nodes that the request may be relayed to.
  std::vector<const MemberRecord*> RelayCandidates(
      const Request& request) const;
  /// Returns true if the member is known to have the tables by which the
  /// request was admitted, or later ones.
  static bool HasTablesOf(const MemberRecord& member, const Request& request);
  /// Prefers nodes of the own failure domain, and of these the ones that are
  /// known to have the request's tables. Returns null if there is none.
  const MemberRecord* ChooseRelay(const Request& request);
  /// Refuses a relayed request that was admitted by later tables than this
  /// node's. The other node then tries another one.
  std::optional<NotRun> CheckTablesVersion(const Request& request);
  bool MayRelay(const Request& request) const;
  /// Returns how often the other node may run a request that is relayed now.
  static int RunsForRelay(const Request& request);
  /// Returns the id of the caller's request that began the stream which the
  /// request goes on with; empty if it begins one.
  static std::string FirstAttemptOf(const Request& request);
  /// Relays the request. Returns false if it may not be relayed or no other
  /// node has a path.
  bool Relay(Request* request);
  /// Relays the request after an attempt of this node that failed because it
  /// has no path.
  bool RelayAfter(Request* request, ForwardOutcome end);
  /// Relays the request after another attempt. That draws on the retry budget
  /// if an upstream may have received the earlier one.
  bool RelayAgain(Request* request, ForwardOutcome end);
  void OnRelayEnded(Request* request, const forward_event::AttemptEnded& ended);

  // Streams that are resumed.
  /// Sets the key of the request's stream and, if this node knows it, its
  /// binding.
  void IdentifyStream(Request* request);
  /// Returns true if the request resumes a stream that another request of its
  /// caller began.
  static bool ResumesStream(const Request& request);
  /// Finds out what the stream to resume is bound to, or begins to search the
  /// store for it. Returns why the stream cannot be resumed, if that is known.
  std::optional<NotRun> BindResumedStream(Request* request);
  std::optional<NotRun> CheckBinding(Request* request) const;
  /// Binds the stream to its service's only version, if there is one. What this
  /// node knows of versions must be newer than the request.
  void BindToOnlyVersion(Request* request);
  /// True if more than half of the known nodes were heard of after `since`.
  bool HeardFromMostSince(TimePoint since) const;
  void ContinueLookup(Request* request);
  /// Goes by what the peers know if the store did not answer, else rejects the
  /// request.
  void EndLookup(Request* request);
  void LookUpStream(Request* request);
  /// Continues with a request whose binding was searched for.
  void OnBindingKnown(Request* request, const char* source);
  void RejectUnboundStream(Request* request, const char* reason,
                           Duration retry_after);
  /// Returns the version that the request's upstream must run; empty: any.
  std::optional<std::string> RequiredVersion(const Request& request) const;
  /// Makes `query` respect the binding of the stream. A new stream doesn't
  /// begin at a version that has no record yet unless there is no other.
  void RestrictVersions(const Request& request, UpstreamCriteria* query) const;
  /// Binds the stream to the upstream that sends its first event.
  void BindStream(Request* request,
                  const forward_event::FirstEventReceived& first);

  // Which process sent the events of a stream, see `StreamOrigins`.
  /// Tracks the current attempt's part of the stream unless it is known which
  /// process sends it.
  void TrackOrigin(const Request& request,
                   const forward_event::FirstEventReceived& first);
  bool IsOriginConfirmed(const Request& request) const;
  /// Goes on with a request whose attempt has ended, once the origin of what it
  /// sent is known.
  void ContinueAfter(Request* request, ForwardOutcome end);
  void RetryOrGiveUp(Request* request, ForwardOutcome end);
  void CheckOriginWait(Request* request);
  /// The list can't be read in time. In a service with one version the stream
  /// goes on at that one, else it can't be resumed.
  void OnOriginUnknown(Request* request);
  /// Waits with a request that resumes a stream of this node until the stream's
  /// origin is known.
  void AwaitOriginOfResumed(Request* request);
  /// Applies the list to the tracked parts: makes streams unresumable that
  /// another version may have sent, and goes on with the requests that waited.
  void CheckOrigins();
  void ContinueConfirmed();
  /// Attempts that have not begun to respond at upstreams which the list now
  /// shows with another version may be those of either version.
  void MarkReplacedAttempts(const std::vector<ForwardUpstreamInfo>& list);
  /// Binds the stream to either of two versions, so that it can't be resumed.
  /// Returns the new binding.
  StreamBinding Unbind(const Fingerprint& stream, StreamBinding binding,
                       const std::string& other_version);
  void LogMixedServices(const std::set<std::string>& services);
  /// Returns the services with routes whose streams can be resumed.
  std::set<std::string> ResumableServices() const;
  void UpdateVersionRecords();
  /// Tells peers and the store the bindings that they do not know yet. A node
  /// that follows collectors tells these with its next query.
  void TellStreams();
  void TellPeers(const std::vector<StreamRecord>& records);
  void LearnStreams(const Heartbeat& heartbeat);
  /// Services between which resumable routes were moved by these tables.
  std::set<std::string> MovedServices(const ForwardingTables& tables) const;

  // Crash-causing requests.
  /// Returns an error if the request is rejected as crash-causing, if a request
  /// with the same suspect is being tried here, or if the suspects were not yet
  /// read.
  std::optional<NotRun> CheckSuspect(Request* request);
  NotRun RejectAsCrashing(const Request& request, const Fingerprint& suspect);
  /// Returns the shared prompt segment that is the suspect, for logs; "none" if
  /// the suspect is the request itself.
  static std::string SegmentOf(const Request& request,
                               const Fingerprint& suspect);
  bool IsSuspect(const Request& request) const;
  /// Returns true if a crash of the attempt's upstream may be attributed to the
  /// request: the attempt is still starting.
  bool MayCrash(const Request& request) const;
  /// Returns true if a request that shares a suspect with this one is queued or
  /// `MayCrash`.
  bool HasActiveTrial(const Request& request) const;
  /// Returns true if this node is the one that tries the rejected suspect again
  /// and this is due.
  bool MayRetrySuspect(const Fingerprint& suspect);
  /// The upstream has been responding to the request's attempt and did not
  /// crash until the attempt `reached` this phase.
  void RecordSoundResponse(Request* request, RunPhase reached,
                           TimePoint began_at);
  /// Makes `query` avoid upstreams so that suspects run isolated.
  void IsolateSuspects(const Request& request, UpstreamCriteria* query) const;
  /// The connection of the request's attempt was lost before the response was
  /// complete.
  void OnConnectionLost(const Request& request);
  void LogSuspected(const Request& request, const BlamedSuspect& suspect);
  void RecordConnectionLoss(const ForwardUpstream& upstream,
                            ConnectionLoss* loss);
  /// Requests with this suspect are rejected from now on.
  void OnSuspectRejected(const Fingerprint& fingerprint);
  /// After a suspect became rejected, ends the requests that contain it and
  /// wait in a queue, or whose attempt may still crash its upstream and has not
  /// begun its response.
  void EndRejectedRequests();
  /// Writes suspects to the store: those with several crashes, and all of them
  /// while there may be nodes that only the store reaches.
  void PersistSuspects();
  /// Exchanges suspects through the store with nodes that may be unknown here.
  void SyncSuspects();
  void ApplySuspectReports(const std::vector<SuspectReport>& reports);
  /// Sends new reports to some peers, which pass them on. In a large fleet what
  /// is new waits until `NextSuspectReportTime`.
  void SendSuspectReports();
  TimePoint NextSuspectReportTime() const;
  void ExpireSuspects();

  // What upstreams state about themselves.
  void ApplyLeaving(const UpstreamId& upstream, const std::string& source);
  /// An upstream of the request's service states that too many rejections make
  /// it fail.
  void ApplyBrittleness(const Request& request, const UpstreamSignals& signals);
  void ApplyPause(const UpstreamId& upstream, Duration pause,
                  const Request& request);
  /// Adds to `heartbeat` what peers are told of the upstreams' statements.
  void AddUpstreamStatements(Heartbeat* heartbeat);

  // Rate limits of upstreams.
  void MergeRateLimits(const std::vector<RateLimitReport>& reports,
                       const std::string& sender);
  /// `source` names the request or the peer from which this node learned of the
  /// change.
  void OnRateLimitChange(const UpstreamId& upstream, RateLimitChange change,
                         const std::string& source);
  std::vector<RateLimitReport> NextRateLimitReports();
  void BroadcastUpstreamStatements();
  /// Returns the usable upstreams of `service` that have a limit.
  std::vector<UpstreamId> LimitedUpstreams(const std::string& service) const;
  /// Makes `query` exclude the limited upstreams for which this node has no
  /// permit.
  void ApplyRateLimits(const Request& request, UpstreamCriteria* query);
  /// Requests permits for `count` queued requests from one coordinator. Returns
  /// true if this is the node itself and has granted some.
  bool RequestPermits(const std::string& service, std::size_t count);
  /// Grants permits for the upstreams that this node coordinates, together at
  /// most the largest requested number.
  std::vector<PermitCount> GrantPermits(
      const std::vector<PermitCount>& requested);
  /// Grants this node permits for upstreams that it coordinates. Returns false
  /// if there are none.
  bool GrantToSelf(const std::vector<PermitCount>& requested);
  void RespondToPermitRequest(const Heartbeat& request);
  void ApplyPermits(const Heartbeat& response);
  /// Forgets outdated limits and reviews the coordinators when that is due.
  void UpdateRateLimits();
  /// Returns the nodes of which one coordinates each limited upstream.
  std::vector<const MemberRecord*> CoordinatorCandidates();
  void ReviewCoordinators();
  /// Returns how long a request waits for permits behind `requests_ahead`
  /// others at this node. Empty unless all upstreams of `service` are limited.
  std::optional<Duration> WaitForLimitedUpstreams(
      const std::string& service, std::size_t requests_ahead) const;
  /// Logs what the end of an attempt or a relay rests on. `target` names where
  /// the request was sent.
  void LogAttemptEnd(const char* event, LogField target, const Request& request,
                     const forward_event::AttemptEnded& ended);

  // Attempts.
  /// The upstream processed the prompt, or the attempt ended before that.
  void RecordPromptProcessed(Request* request);
  /// Updates the upstream's state and the request after an attempt ended.
  void FinalizeAttempt(Request* request, ForwardOutcome end);
  bool MayRetry(const Request& request) const;
  /// Returns how often this node may run the request, and how many of these
  /// runs are left.
  static int MaxRuns(const Request& request);
  static int RunsLeft(const Request& request);
  /// Sends the request again. Returns false if that is not allowed or no
  /// upstream has capacity.
  bool Retry(Request* request, ForwardOutcome end);
  /// Returns true if the caller has begun to receive the response and no
  /// upstream has broken it off. Only the deadline ends it then.
  static bool HasSoundResponse(const Request& request);
  /// Waits for another upstream if the response `HasSoundResponse` and the
  /// attempt ended without running; gives the request up otherwise.
  void WaitOrGiveUp(Request* request, ForwardOutcome end,
                    const std::string& reason);
  void WaitForUpstream(Request* request);
  /// Sends the waiting request on, or waits again.
  void ContinueWaiting(Request* request);
  /// Rejects the request if it did not run, otherwise fails it.
  void GiveUp(Request* request, ForwardOutcome end, const std::string& reason,
              Duration retry_after = kDefaultRetryAfter);
  void CountUsage(Request* request, WallTime started_at);
  void CountStream(const std::string& service, bool late);

  // End of a request.
  void Reject(Request* request, NotRun not_run);
  void Fail(Request* request, int status, const std::string& reason);
  void Finish(Request* request);
  void RemoveRequest(Request* request);

  // Timeouts.
  void OnCheckDue(Request* request);
  /// Ends a request that has no whole response: with `not_run` if that is true,
  /// or else as failed by `reason`. Its current attempt ends as `attempt_end`.
  void EndUnanswered(Request* request, ForwardOutcome attempt_end,
                     const std::string& reason, NotRun not_run);
  /// The upstream has sent something, which this process has not handled yet.
  void OnUnreadResponse(Request* request);
  /// The upstream sent nothing until `InactivityDeadline`.
  void OnUpstreamUnresponsive(Request* request);
  /// Returns when the upstream counts as unresponsive; empty if the request has
  /// no attempt or its route is not safe to retry.
  std::optional<TimePoint> InactivityDeadline(const Request& request) const;
  void ScheduleCheck(Request* request);

  // Scheduling by prediction.
  /// Returns true if `service` may be scheduled by prediction.
  bool IsAdaptive(const std::string& service) const;
  void LearnLoad(Request* request, const UpstreamSignals& signals);
  void LearnFirstEvent(Request* request);
  void LearnEvents(Request* request, std::optional<std::int64_t> last_event_id);
  /// Learns how many events the responses of a route have.
  void LearnResponse(const Request& request);
  void ForgetAttemptProgress(Request* request);
  /// Updates the estimates when that is due.
  void UpdateSpeeds();
  /// Adds at most `count` reports of what this node observed.
  void AddSpeedReports(Heartbeat* heartbeat, std::size_t count);
  void AddSpeedQuery(Heartbeat* query);
  /// Adds reports to the heartbeats of a small fleet when that is due.
  void AddSpeedBroadcast(std::vector<HeartbeatMessage>* messages);
  /// Adds a collector's estimates for `node`.
  void AddSpeedResponse(const std::string& node, Heartbeat* response);
  void ApplySpeedReports(const Heartbeat& heartbeat);
  /// Tells the others, or the collectors, that an upstream is stalled.
  void BroadcastStalls();
  double ExpectedEvents(const Request& request) const;
  /// Returns what to choose the request's upstream by; empty if it is not
  /// chosen by prediction.
  std::optional<PredictedRequest> PredictedBy(
      const Request& request, const UpstreamCriteria& criteria) const;
  /// Makes `query` exclude stalled upstreams, or prefer one to probe it.
  void AvoidStalled(const Request& request, UpstreamCriteria* query) const;
  /// Sets until when the attempt that is sent must have its first event.
  void ExpectProgress(Request* request, const ForwardUpstream& upstream);
  /// Sets until when the next event must come.
  void ExpectNextEvent(Request* request);
  /// `progress_due_at` has passed. Returns true if the request should go on
  /// elsewhere.
  bool OnMissingProgress(Request* request);
  void LogStall(const char* event, const Request& request);

  // Peers.
  void SendHeartbeats();
  TimePoint NextHeartbeatTime(TimePoint now) const;
  void UpdateLimits();
  /// Updates among which nodes brittle upstreams are shared.
  void ShareUpstreams();
  /// Returns the load reports received since the last ones were sent to peers.
  std::vector<UpstreamLoadReport> NewLoadReports();
  /// Returns the collectors as this node sees them; it may be among them.
  std::vector<const MemberRecord*> ChooseCollectors();
  /// Reports this node's usage to the collectors and queries their state.
  void QueryCollectors();
  /// Sets whether this node is a collector, and logs a change.
  void SetCollectorRole(bool is_collector);
  void RespondToQuery(const Heartbeat& query);
  /// Returns the collector state for `node`: membership records, tables version
  /// and token bucket levels.
  Heartbeat MakeStateHeartbeat(const std::string& node);
  /// Applies a collector's response to this node's query.
  void ApplyQueryResponse(const Heartbeat& response);
  /// Sends a newly started node of a large fleet the collector candidates and
  /// this node's state.
  void SendBootstrapState(const MemberRecord& sender);
  /// As a collector, broadcasts the levels of limits that have become low.
  void BroadcastLowLevels(const std::vector<Member>& others);
  /// Returns the minimum interval between these broadcasts.
  Duration LowLevelBroadcastInterval() const;
  /// Reports to the collectors what this node used of a limit that is low.
  void ReportLowLevelUse(const std::string& customer);
  /// Records that the active tables were current at `confirmed_at`. `source`
  /// names who confirmed them, for logs.
  void RecordTablesConfirmation(TimePoint confirmed_at,
                                const std::string& source);
  /// Returns true if a read of `version` that began at `read_started` shows
  /// that the store has lost a later version: it was restored from an older
  /// copy.
  bool IsStoreBehind(std::uint64_t version, TimePoint read_started) const;
  void OnStoreBehind(std::uint64_t version);
  void LogUnconfirmedTables(std::uint64_t version);
  void RecordPeerTablesVersion(std::uint64_t version);
  /// Updates since when a peer has later tables than this node.
  void UpdateBehindSince();
  /// Reads the store if a peer has had later tables for so long that the watch
  /// should have delivered them.
  void ReadNewerTables();
  /// Returns true if no change of the tables can have been due by now that this
  /// node doesn't have.
  bool AreTablesCurrent(TimePoint now) const;
  /// Returns true if the tables were confirmed so recently that each change
  /// that is due is in them.
  bool IsTablesAgeWithinBound(TimePoint now) const;
  /// Returns true if a live peer has later tables than this node, which may
  /// have been due for longer than the bound.
  bool AreTablesOutdated(TimePoint now) const;
  /// Returns true if a change of the tables may have been due by now that this
  /// node doesn't have, and a read of the store would tell.
  bool MustConfirmTables() const;
  /// Lets the request wait until the tables are confirmed.
  void HoldRequest(const forward_event::RequestArrived& arrived);
  /// Decides on the held requests by the active tables.
  void ReleaseHeldRequests(std::vector<HeldRequest> held);
  /// Releases the held requests if the tables are confirmed.
  void ReleaseConfirmedRequests();
  /// A read of the store that began at `read_started` has ended and its result
  /// was applied.
  void OnTablesReadEnded(TimePoint read_started);
  /// Returns `denial`, which says that the tables don't allow the request, or,
  /// if they may be outdated, that the request may be sent again.
  NotRun Deny(NotRun denial) const;
  /// Applies a peer's confirmation that the active tables are current.
  void ApplyTablesConfirmation(const Heartbeat& response);
  /// As above, of a response to what this node asked at `asked_at`.
  void ApplyTablesConfirmation(const Heartbeat& response, TimePoint asked_at);

  // Tables from other nodes.
  /// Asks a peer for its tables if this node needs them and that is due.
  void RequestTables();
  /// Returns true if a peer has had later tables for so long that the store
  /// should have delivered them, or if the store can't be read and the
  /// confirmation of the tables grows old.
  bool NeedsTablesFromPeer() const;
  /// Prefers peers with later tables. Returns null if there is none with the
  /// same or later ones.
  const MemberRecord* ChooseTablesPeer();
  void RespondToTablesRequest(const Heartbeat& heartbeat);
  void OnTablesReply(const Heartbeat& heartbeat);
  /// Applies the changed upstream list and dispatches queued requests.
  void ApplyUpstreamList();
  /// Returns the counts of complete windows that no collector has accepted yet.
  std::vector<UsageReport> UnacknowledgedUsage();
  /// Stores a peer's counts and returns the accepted windows.
  std::vector<UsageWindow> AcceptUsage(const NodeId& sender,
                                       const std::vector<UsageReport>& reports);
  /// Follows the levels of limits that a collector published.
  void ApplyLevels(const Heartbeat& heartbeat);
  void LogOverdrawnLimits();
  void LogWallClockCorrection(Duration correction);

  /// Returns the version of the active tables; 0 if there are none.
  std::uint64_t TablesVersion() const;
  /// As `LogRequest`, with the version of the tables that the request is
  /// decided by, how long ago the active ones were confirmed, and by whom.
  void LogDecision(LogLevel level, const char* event, const Request& request,
                   std::vector<LogField> fields);
  /// Returns the milliseconds since the tables were confirmed current, for
  /// logs.
  std::string FormatTablesAge() const;
  void ActivateTables(const std::shared_ptr<const ForwardingIndex>& tables,
                      const char* source);
  /// Returns the tables to decide a request by that arrives now. A relayed one
  /// is decided by those of the node that it arrived at, if this node has
  /// replaced them only just now: else that node would seem to alternate
  /// between versions.
  std::shared_ptr<const ForwardingIndex> TablesFor(
      const ForwardSpec& spec) const;
  void LogRequest(LogLevel level, const char* event, const Request& request,
                  std::vector<LogField> fields);
  /// Randomizes `base` so that callers rejected together do not retry together.
  Duration JitterRetryAfter(Duration base, const Request& request);
  void Emit(ForwardAction action) { actions_.push_back(std::move(action)); }
  Request* FindRequest(ForwardId id);
  TimePoint now() const { return now_.monotonic; }

  ForwardNodeOptions options_;
  Instant now_{};
  std::vector<ForwardAction> actions_;
  std::mt19937_64 random_;

  std::shared_ptr<const ForwardingIndex> tables_index_;
  std::optional<TimePoint> tables_confirmed_at_;
  std::string tables_confirmed_by_ = "none";  ///< A peer's name, or "store".
  /// The last read of the store confirmed the tables, or there was none yet.
  bool can_confirm_tables_ = true;
  bool tables_read_failed_ = false;  ///< The last read of the store.
  HeldRequests held_requests_;
  TimePoint tables_activated_at_;
  struct ReplacedTables {
    std::shared_ptr<const ForwardingIndex> index;
    TimePoint replaced_at;
  };
  std::deque<ReplacedTables> replaced_tables_;  ///< Oldest first.
  std::uint64_t peer_tables_version_ = 0;  ///< The highest that a peer named.
  TimePoint peer_tables_version_heard_at_;
  /// When a peer first named a later version than the active one; empty if none
  /// has.
  std::optional<TimePoint> behind_since_;
  TimePoint newer_tables_read_at_;  ///< By `ReadNewerTables`.
  TimePoint tables_requested_at_;   ///< From a peer.
  TablesAssembly tables_assembly_;
  std::uint64_t behind_version_ = 0;  ///< Last one logged by `OnStoreBehind`.
  WallClockEstimate wall_clock_;
  UpstreamList upstream_list_;
  UpstreamBalancer upstreams_;
  UpstreamSpeeds speeds_;
  UpstreamStalls stalls_;
  CachedTokensSource cached_tokens_;
  UnreadResponseSource has_unread_response_;
  TimePoint speeds_refreshed_at_;
  TimePoint speeds_told_at_;  ///< In a small fleet.
  /// The last upstream that each node was told of, as a collector.
  std::map<std::string, UpstreamKey> speed_cursors_;
  std::map<std::string, double> response_events_;  ///< Mean, by route.
  UpstreamRateLimits rate_limits_;
  RateLimitPermits permits_;
  TimePoint coordinators_reviewed_at_;
  Membership membership_;
  LimitBuckets limits_;
  /// Minimum number of nodes among which limits and retries are shared.
  int min_node_count_;
  int fleet_size_ = 0;  ///< As last read from the store.
  TimePoint limits_updated_at_;
  TimePoint loads_reported_at_;
  CollectorSelector collectors_;
  TimePoint collectors_queried_at_;
  Duration collector_query_interval_ = kHeartbeatPeriod;  ///< Per collector.
  TimePoint levels_broadcast_at_;
  TimePoint low_use_reported_at_;
  RetryBudget retry_budget_;
  ConnectionReusePolicy connection_reuse_;
  UsageLedger usage_;
  UsageCollection usage_collection_;
  std::set<UsageWindow> acknowledged_usage_windows_;
  CrashSuspects suspects_;
  std::map<std::string, ConnectionLoss> connection_losses_;  ///< By upstream.
  TimePoint suspects_expired_at_;
  TimePoint suspects_sent_at_;  ///< By `SendSuspectReports`.
  TimePoint suspects_synced_at_;
  bool suspects_loaded_ = false;
  bool has_new_rejections_ = false;  ///< Since `EndRejectedRequests`.
  std::map<QueueKey, FairQueue> queues_;
  PathMonitor paths_;
  PromptCacheDirectory prompt_caches_;
  PromptCacheReports prompt_cache_reports_;
  PromptCacheWatch prompt_cache_watch_;
  TimePoint prompt_caches_selected_at_;
  TimePoint probed_at_;
  StreamVersions stream_versions_;
  TimePoint streams_told_at_;
  StreamOutbox stream_outbox_;
  StreamOrigins stream_origins_;
  std::set<ForwardId> origin_waits_;  ///< Requests with an `origin_wait`.
  RolloutShares rollouts_;
  /// Attempts at observed services that lost their connection.
  struct LostAttempt {
    std::string service;
    RolloutEvidence where;
    UpstreamId upstream;
    TimePoint lost_at;
  };
  std::deque<LostAttempt> lost_attempts_;
  /// Peer address of the node that last confirmed shares itself.
  std::string rollout_holder_;
  std::optional<TimePoint> rollouts_confirmed_at_;  ///< By this node itself.
  TimePoint rollouts_reported_at_;
  struct RolloutReport {
    std::int64_t order = 0;
    std::vector<RolloutEvidence> evidence;
  };
  /// By process and service, as last reported to this node.
  std::map<std::pair<std::string, std::string>, RolloutReport> rollout_reports_;
  std::set<ForwardId> lookups_;  ///< Requests that wait for their binding.
  std::vector<LateStreamCount> stream_counts_;  ///< Of this node.
  LateStreamTracker fleet_stream_counts_;
  std::unordered_map<ForwardId, Request> requests_;
  /// Times at which requests must be checked for timeouts.
  std::multimap<TimePoint, ForwardId> scheduled_checks_;
  bool is_collector_ = false;
  FleetAdmission admission_;
  TimePoint admission_updated_at_;
  std::optional<TimePoint> drain_started_at_;
  TimePoint drain_ends_at_;  ///< The grace period counts from the signal.
};

}  // namespace pollenledge
