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
#include "pollenledge/process/outcome_keeper.h"
#include "pollenledge/process/prefix_index.h"
#include "pollenledge/process/retry_budget.h"
#include "pollenledge/process/router.h"
#include "pollenledge/process/slot_reserve.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/process/upstream_table.h"
#include "pollenledge/request/request_state.h"

namespace pollenledge {

/// What an entry is told when it starts.
struct EntryOptions {
  MemberRecord self;
  std::vector<std::string> seeds;  ///< Peer addresses to begin with.
  int expected_entries = 1;        ///< Least number of parts of each limit.
  DomainDistances distances{"", std::chrono::milliseconds(1)};
  std::uint64_t random_seed = 1;
  std::size_t max_requests = 4096;  ///< In progress at once, queued included.
  std::size_t time_line_events = 4096;
};

/// Decides everything that one entry does.
///
/// A deterministic function of its state, the event and the present time: it
/// opens no socket, reads no clock and starts no thread. `Handle` takes one
/// event and returns what is to be done, in order. Messages to other nodes are
/// actions here and events there, so a test can drive many entries in one
/// process and lose, delay, double or cut what they say.
///
/// Every accepted request ends in exactly one `Answer` or `Replay`, unless its
/// caller left or it was handed over.
///
/// Not thread-safe: the caller serializes all calls.
class EntryNode {
 public:
  /// New requests are refused this long after a drain began, when the
  /// balancer has had time to stop sending them.
  static constexpr Duration kDrainGrace = std::chrono::seconds(1);
  /// Requests still in progress this long before the end are handed over.
  static constexpr Duration kHandOverMargin = std::chrono::milliseconds(1500);
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  /// Attempts of one request that may fail before it is given up.
  static constexpr std::uint32_t kMaxAttempts = 5;
  /// How long a request whose stream was stopped waits for another upstream.
  static constexpr Duration kResumePatience = std::chrono::seconds(30);

  explicit EntryNode(EntryOptions options);

  std::vector<EntryAction> Handle(const EntryEvent& event, const Instant& now);

  /// What this entry says of a claim that names `id` as its holder.
  HolderAnswer QueryHolder(const RequestId& id) const;

  /// A new id for a request that arrives here.
  RequestId NextRequestId();

  const std::shared_ptr<const Tables>& tables() const { return tables_; }
  const Membership& membership() const { return membership_; }
  const UpstreamTable& upstreams() const { return upstreams_; }
  const CostLedger& cost_ledger() const { return cost_ledger_; }
  const EntryStats& stats() const { return stats_; }
  const TimeLine& time_line() const { return time_line_; }
  const LimitShares& limit_shares() const { return limit_shares_; }
  TimeLine& time_line() { return time_line_; }
  /// True while the request is in progress here.
  bool HasRequest(const RequestId& id) const { return requests_.count(id) > 0; }
  std::size_t active_requests() const { return requests_.size(); }
  bool draining() const { return drain_started_.has_value(); }
  /// True if the balancer may send requests here.
  bool ready() const { return tables_ != nullptr && !draining(); }

 private:
  /// Recent experience with one pool.
  struct PoolExperience {
    double mean_hold_s = 0;  ///< Time on a slot.
    double mean_cost = 0;    ///< Tokens of a request.
    double mean_answer = 0;  ///< Tokens generated.
  };

  void On(const event::RequestArrived& arrived);
  void On(const event::CallerLeft& left);
  void On(const event::ClaimReplied& replied);
  void On(const event::HolderReplied& replied);
  void On(const event::OutcomeWritten& written);
  void On(const event::FirstToken& token);
  void On(const event::AttemptEnded& ended);
  void On(const event::LoadReported& reported);
  void On(const event::CacheChanged& changed);
  void On(const event::UpstreamsListed& listed);
  void On(const event::UpstreamNoticed& noticed);
  void On(const event::TablesAdopted& adopted);
  void On(const event::HeartbeatReceived& heartbeat);
  void On(const event::DrainStarted& drain);
  void On(const event::HandOverReceived& received);
  void On(const event::Ticked& tick);

  // Admission.
  std::optional<NotRun> CheckArrival(const RequestSpec& spec,
                                     const Route** route);
  std::optional<NotRun> CheckClaimable(const RequestSpec& spec,
                                       const Route& route);
  std::optional<NotRun> CheckLoad(const RequestState& request);
  double PredictCost(const RequestSpec& spec, const Route& route);
  double OwnSlots(const std::string& pool) const;
  double CapacityRate(const std::string& pool);
  bool MayStart(const RequestState& request, const RoutingChoice& choice);
  void Enqueue(RequestState* request, bool in_front);

  // Dispatch.
  void Pump(const std::string& pool);
  void PumpAll();
  std::optional<RoutingChoice> ChooseUpstream(RoutingRequest routing);
  RoutingRequest MakeRoutingRequest(const RequestState& request) const;
  void Dispatch(RequestState* request, const RoutingChoice& choice);
  void StartClaim(RequestState* request);
  void TakeClaimStep(RequestState* request, const ClaimStep& step,
                     std::optional<std::int64_t> held_revision);
  void AskHolderOfClaim(RequestState* request, const RequestId& holder);
  void ExpireQueued();

  // The end of an attempt.
  void SettleUpstream(const RequestState& request,
                      const event::AttemptEnded& ended);
  void SettleUsage(const RequestState& request,
                   const event::AttemptEnded& ended);
  void LearnPrefixes(const RequestState& request, UpstreamHandle upstream,
                     std::int64_t cached_tokens);
  bool BlameForLoss(const RequestState& request);
  /// Tells every peer what it does not know yet of suspected requests.
  void TellSuspects();
  bool IsSuspect(const RequestState& request) const;
  void OnCompletedAttempt(RequestState* request,
                          const event::AttemptEnded& ended);
  void OnBrokenAttempt(RequestState* request, const event::AttemptEnded& ended);
  void Move(RequestState* request);
  void Retry(RequestState* request, AttemptEnd end);
  void Finish(RequestState* request, const Outcome& outcome);
  void RecordOutcome(const RequestState& request, const Outcome& outcome,
                     const std::optional<KeptAnswer>& answer);
  void Forget(RequestState* request);

  // Leaving.
  void MoveStreams(const UpstreamId& upstream,
                   std::optional<Duration> remaining);
  void InterruptAttempt(RequestState* request);
  void HandOverAll();
  void ContinueDrain();

  void Note(EventKind kind, const RequestState* request,
            const std::string& detail);
  void Emit(EntryAction action) { actions_.push_back(std::move(action)); }
  std::vector<std::string> PeerAddresses() const;
  RequestState* FindRequest(const RequestId& id);
  EntryGroup Entries() const;
  TimePoint now() const { return now_.monotonic; }

  EntryOptions options_;
  Instant now_{};
  std::vector<EntryAction> actions_;
  std::uint64_t next_sequence_ = 1;

  std::shared_ptr<const Tables> tables_;
  UpstreamTable upstreams_;
  PrefixIndex prefixes_;
  Router router_;
  Membership membership_;
  LimitShares limit_shares_;
  TimePoint shares_updated_at_;
  RetryBudget retry_budget_;
  CrashSuspects suspects_;
  OutcomeKeeper outcomes_;
  CostLedger cost_ledger_;
  EntryStats stats_;
  TimeLine time_line_;
  std::map<std::string, FairQueue> queues_;
  std::map<std::string, PoolExperience> experience_;
  std::map<std::string, SlotReserve> reserves_;
  std::unordered_map<RequestId, RequestState> requests_;
  /// Claims whose request ended while a write was on its way.
  struct LateClaim {
    std::string key;
    std::string body_sha256;
    Duration retention{0};
  };
  std::map<RequestId, LateClaim> late_claims_;
  std::optional<TimePoint> drain_started_;
  std::optional<TimePoint> drain_deadline_;
  bool drain_completed_ = false;
};

}  // namespace pollenledge
