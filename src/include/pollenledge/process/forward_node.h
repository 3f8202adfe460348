#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/calendar_estimate.h"
#include "pollenledge/process/collector_choice.h"
#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/fair_queue.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/forward_upstreams.h"
#include "pollenledge/process/limit_buckets.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/process/retry_budget.h"
#include "pollenledge/process/upstream_list.h"
#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

/// What a forwarding node is told when it starts.
struct ForwardOptions {
  MemberRecord self;
  std::vector<std::string> seeds;  ///< Peer addresses to begin with.
  /// A request with a key runs only if the tables were read from the store
  /// this recently; 0: whatever their age.
  Duration key_freshness{0};
  double retries_per_request = 0.2;  ///< Over all nodes, for each service.
  double retry_slack = 0;            ///< Besides, over all nodes.
  Duration usage_window = std::chrono::seconds(5);
  /// From `DrainStarted` until what is still in progress is cut.
  Duration drain_time = std::chrono::hours(1);
  /// Refuse all work until `SuspectsRead`.
  bool awaits_suspects = false;
  std::uint64_t random_seed = 1;
};

/// Decides what becomes of the requests that one node forwards.
///
/// A deterministic function of its state, the event and the present time: it
/// opens no socket, reads no clock and starts no thread. `Handle` takes one
/// event and returns what is to be done, in order.
///
/// Every request that arrives ends in exactly one `Refuse`, `Fail` or
/// `Deliver`, unless its caller left. `Refuse` is chosen only if no attempt
/// reached an upstream, or each that did was refused before execution.
///
/// Not thread-safe: the caller serializes all calls.
class ForwardNode {
 public:
  /// When a caller may come back if nothing better is known.
  static constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);
  /// Period of heartbeats in a small fleet.
  static constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(250);

  explicit ForwardNode(ForwardOptions options);

  std::vector<ForwardAction> Handle(const ForwardEvent& event,
                                    const Instant& now);

  /// When `Ticked` is due next.
  TimePoint NextDue(TimePoint now) const;
  /// True if the balancer may send requests here.
  bool Ready(TimePoint now) const;

  const std::shared_ptr<const ForwardingIndex>& index() const { return index_; }
  const Membership& membership() const { return membership_; }
  const ForwardUpstreams& upstreams() const { return upstreams_; }
  const CrashSuspects& suspects() const { return suspects_; }
  const UsageLedger& usage() const { return usage_; }
  UsageLedger& usage() { return usage_; }
  /// What other nodes handed to this one as a collector.
  UsageCollection& usage_collection() { return usage_collection_; }
  /// True if a collector has taken this node's counts of `window`.
  bool IsUsageHandedOver(UsageWindow window) const;
  std::size_t active_requests() const { return requests_.size(); }
  std::size_t queued_requests() const;
  bool draining() const { return drain_started_at_.has_value(); }
  /// Repeats that this node may save up for each service.
  double retry_share() const { return retry_budget_.options().max_saved; }
  /// Part of the recent streams of `service` at all nodes that are heard whose
  /// first event came late, or that found no room.
  double LateShare(const std::string& service, TimePoint now);
  /// True if the tables must be read from the store now, where they are to be
  /// read each `period` at least. Ask each half period: peers' proofs save
  /// reads in a large fleet, where the collectors read twice as often.
  bool NeedsTablesRead(Duration period, TimePoint now) const;
  /// The same of the list of upstreams.
  bool NeedsUpstreamsRead(Duration period, TimePoint now) const;
  /// True if collectors tell this node what changes in the store.
  bool FollowsCollectors(TimePoint now) const;
  /// True if this node is to watch the store: nobody tells it what changes, and
  /// it has been there long enough to know that. Until then it reads.
  bool WatchesStore(TimePoint now) const {
    return !FollowsCollectors(now) && !membership_.IsJoining(now);
  }
  /// True if this node is among the few that should do what is done for all.
  bool IsDutyCandidate(TimePoint now) const;
  /// True if this node tells the others of a large fleet what it reads.
  bool is_collector() const { return is_collector_; }
  const CalendarEstimate& calendar() const { return calendar_; }
  /// Age of the newest proof that the tables are in force.
  std::optional<Duration> TablesAge(TimePoint now) const;

 private:
  struct Request {
    ForwardId id = 0;
    ForwardSpec spec;
    Fingerprint fingerprint;  ///< Of the customer and what it asked.
    /// The version of the tables under which the request came.
    std::shared_ptr<const ForwardingIndex> index;
    const ForwardingRoute* route = nullptr;
    const KeyedCustomer* customer = nullptr;  ///< Null on public routes.
    std::string service;
    int priority = 5;
    TimePoint arrived_at;
    TimePoint deadline;
    TimePoint check_at;      ///< When `OnDue` looks at the request next.
    double limit_units = 0;  ///< Taken from the customer's limit.
    int attempts = 0;
    int runs = 0;                    ///< Attempts that may have run.
    std::vector<std::string> tried;  ///< Names of upstreams.
    std::string upstream;            ///< Of the present attempt; empty: none.
    std::int64_t unread_tokens = 0;  ///< Of the present attempt's prompt.
    TimePoint sent_at;
    TimePoint last_event_at;
    bool first_event_seen = false;  ///< By the present attempt.
    bool answer_begun = false;      ///< The caller has the answer's head.
    bool may_have_run = false;
    bool usage_counted = false;
    bool queued = false;
    std::optional<std::int64_t> last_event_id;
  };

  void On(const forward_event::Arrived& arrived);
  void On(const forward_event::CallerLeft& left);
  void On(const forward_event::FirstEvent& first);
  void On(const forward_event::EventsPassed& passed);
  void On(const forward_event::AttemptEnded& ended);
  void On(const forward_event::TablesRead& read);
  void On(const forward_event::TablesHeard& heard);
  void On(const forward_event::UpstreamsListed& listed);
  void On(const forward_event::HeartbeatReceived& heartbeat);
  void On(const forward_event::SuspectsRead& read);
  void On(const forward_event::FleetSizeRead& read);
  void On(const forward_event::DrainStarted& drain);
  void On(const forward_event::Ticked& tick);

  /// The last end of an upstream that this node saw.
  struct UpstreamLoss {
    UpstreamId upstream;
    int ends = 0;  ///< Of this incarnation, as it seems from here.
    CrashId crash = 0;
    TimePoint at;
    std::vector<Fingerprint> blamed;
  };

  // Arrival.
  std::optional<NotRun> Admit(Request* request);
  std::optional<NotRun> CheckKey(Request* request);
  /// Nothing if a node that stops can still answer the request.
  std::optional<NotRun> CheckDrain(const Request& request) const;
  std::optional<NotRun> TakeLimit(Request* request);
  std::string PickService(const ForwardingRoute& route);
  bool KeyIsFresh(TimePoint now) const;
  /// Until when the newest proof lets keyed requests be sent; there must be
  /// one.
  TimePoint KeysHoldUntil() const;

  // Dispatch.
  void Dispatch(Request* request);
  ForwardUpstream* ChooseUpstream(const Request& request);
  /// `repeat_after` is how the attempt before ended, if there was one.
  void Send(Request* request, ForwardUpstream* upstream,
            std::optional<ForwardEnd> repeat_after = std::nullopt);
  TimePoint LatestSend(const Request& request) const;
  void Enqueue(Request* request);
  void Pump(const std::string& service);
  void PumpAll();

  // Requests that end upstreams.
  /// Nothing if the request may run, as far as upstreams ended under it.
  std::optional<NotRun> CheckSuspect(const Request& request) const;
  bool IsSuspect(const Request& request) const;
  /// True if the same request waits or runs here already.
  bool IsTried(const Request& request) const;
  void KeepApart(const Request& request, UpstreamQuery* query) const;
  /// The connection of the request's attempt ended before the answer.
  void OnUpstreamLost(const Request& request);
  void NoteLoss(const ForwardUpstream& upstream, UpstreamLoss* loss);
  void OnRefused(const Fingerprint& fingerprint);
  void TakeReports(const std::vector<SuspectReport>& reports);
  void TellSuspects();
  void ForgetSuspects();

  // The end of an attempt.
  void NotePromptRead(Request* request);
  void SettleAttempt(Request* request, ForwardEnd end);
  bool MayTryAgain(const Request& request) const;
  /// Sends the request once more; false if that is not allowed or no upstream
  /// is free.
  bool TryAgain(Request* request, ForwardEnd end);
  void GiveUp(Request* request, ForwardEnd end, const std::string& reason);
  void CountUsage(Request* request, WallTime began);
  void CountStream(const std::string& service, bool late);

  // The end of a request.
  void Refuse(Request* request, NotRun not_run);
  void Fail(Request* request, int status, const std::string& reason);
  void Finish(Request* request);
  void Forget(Request* request);

  // Time.
  void OnDue(Request* request);
  void OnSilence(Request* request);
  std::optional<TimePoint> SilenceDue(const Request& request) const;
  void ScheduleCheck(Request* request);

  // Peers.
  void SendHeartbeats();
  TimePoint HeartbeatsDue(TimePoint now) const;
  void UpdateLimits();
  /// What upstreams said here since peers were last told.
  std::vector<HeardLoad> LoadsToTell();
  /// The collectors as this node sees them; it may be among them.
  std::vector<const MemberRecord*> ChooseCollectors();
  /// Tells the collectors what was used here, and asks for what they know.
  void AskCollectors();
  /// Notes whether this node is a collector from now on.
  void NoteCollecting(bool is_collector);
  void Answer(const Heartbeat& question);
  /// What a collector tells `node` of itself and of what is left of limits.
  Heartbeat AnswerFor(const std::string& node);
  void TakeAnswer(const Heartbeat& answer);
  /// Tells a node that has just started whom to ask in a large fleet.
  void Welcome(const MemberRecord& sender);
  /// As a collector, tells all nodes that a limit has become low.
  void TellLowLevels(const std::vector<Member>& others);
  /// How often it may do so.
  Duration LowLevelPeriod() const;
  /// Tells the collectors soon what was used of a limit that is low.
  void ReportLowLevel(const std::string& customer);
  /// The tables here were in force at `proven_at`.
  void NoteProof(TimePoint proven_at);
  /// Takes a peer's proof that the tables here are in force.
  void TakeProof(const Heartbeat& answer);
  void UseUpstreams();
  /// Counts of ended windows that no collector has taken yet.
  std::vector<UsageReport> UsageToTell();
  std::vector<UsageWindow> TakeUsage(const NodeId& sender,
                                     const std::vector<UsageReport>& reports);
  void LogCalendar(Duration correction);

  /// Of the tables in force; 0 if there are none.
  std::uint64_t TablesVersion() const;
  void AdoptTables(const std::shared_ptr<const ForwardingIndex>& tables,
                   const char* source);
  void LogRequest(LogLevel level, const char* event, const Request& request,
                  std::vector<LogField> fields);
  Duration SpreadRetryAfter(Duration base, const Request& request);
  void Emit(ForwardAction action) { actions_.push_back(std::move(action)); }
  Request* FindRequest(ForwardId id);
  TimePoint now() const { return now_.monotonic; }

  ForwardOptions options_;
  Instant now_{};
  std::vector<ForwardAction> actions_;
  std::mt19937_64 random_;

  std::shared_ptr<const ForwardingIndex> index_;
  std::optional<TimePoint> tables_proven_at_;
  CalendarEstimate calendar_;
  UpstreamList upstream_list_;
  ForwardUpstreams upstreams_;
  Membership membership_;
  LimitBuckets limits_;
  int expected_nodes_;  ///< That limits are shared among at the least.
  TimePoint limits_updated_at_;
  TimePoint loads_told_at_;
  CollectorChoice collectors_;
  TimePoint asked_at_;
  Duration question_period_ = kHeartbeatPeriod;  ///< To each collector.
  TimePoint levels_told_at_;
  TimePoint low_use_told_at_;
  RetryBudget retry_budget_;
  UsageLedger usage_;
  UsageCollection usage_collection_;
  std::set<UsageWindow> usage_handed_over_;
  CrashSuspects suspects_;
  std::map<std::string, UpstreamLoss> losses_;  ///< By upstream.
  TimePoint suspects_forgotten_at_;
  bool suspects_known_ = false;
  std::map<std::string, FairQueue> queues_;  ///< By service.
  std::vector<LatenessCount> lateness_;      ///< Of this process.
  LatenessTally lateness_tally_;
  std::unordered_map<ForwardId, Request> requests_;
  /// When requests have to be looked at next.
  std::multimap<TimePoint, ForwardId> due_;
  bool is_collector_ = false;
  std::optional<TimePoint> drain_started_at_;
};

}  // namespace pollenledge
