#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/process/predictive_choice.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The state that this node keeps of one upstream.
struct ForwardUpstream {
  ForwardUpstreamInfo info;
  bool listed = true;  ///< In the current list of upstreams.
  int in_flight = 0;   ///< Requests that this node has running on it.
  std::optional<ReportedLoad> load_report;
  TimePoint reported_at;
  /// The upstream sent `load_report` to this node, not to a peer.
  bool report_is_direct = false;
  int sent_since_report = 0;  ///< Requests sent by this node.
  TimePoint last_sent_at;     ///< When this node last sent a request to it.
  /// Prompt tokens of this node's requests on it that have not received their
  /// first event yet.
  std::int64_t pending_prompt_tokens = 0;
  TimePoint backoff_until;  ///< Not chosen before this time.
  TimePoint paused_until;   ///< The upstream accepts nothing before this time.
  /// Maximum number of requests that this node may have running on it.
  double concurrency_limit = 0;
  TimePoint limit_decreased_at;  ///< When `concurrency_limit` was last reduced.
  /// Attempts in a row that could not connect or that the upstream rejected.
  int consecutive_rejections = 0;
  TimePoint connection_lost_at;  ///< When an attempt last lost its connection.
  double error_rate = 0;  ///< Moving average of failed responses, 0 to 1.
  TimePoint error_rate_updated_at;

  /// Returns the estimated number of requests in progress at the upstream,
  /// including those of other nodes as last reported.
  double EstimatedLoad(TimePoint now) const;
  /// Returns how much longer work takes there than usual; 1 is the usual time.
  /// The weight of the last load report decays with its age.
  double SlowdownFactor(TimePoint now) const;
  /// Returns true if this node may send it one more request.
  bool HasCapacity(TimePoint now) const;
};

/// The criteria by which an upstream is chosen for a request.
struct UpstreamCriteria {
  std::string service;
  /// The version of the software that the upstream must run.
  std::optional<std::string> software_version;
  /// Versions of the software that the upstream must not run.
  std::vector<std::string> exclude_versions;
  std::string own_domain;
  /// Requests with the same value share a prefix of their prompt.
  std::optional<std::uint64_t> affinity;
  std::int64_t shared_prompt_tokens = 0;  ///< Length of that prefix.
  /// Returns the tokens of the prompt that an upstream is known to retain. If
  /// it is null, or no candidate is known to retain any, the upstream preferred
  /// by rendezvous hashing is taken to retain the prefix.
  std::function<std::int64_t(const UpstreamId&)> cached_prompt_tokens;
  /// Names of upstreams that must not be chosen.
  std::vector<std::string> exclude;
  /// Names of upstreams to choose only if there is no other.
  std::vector<std::string> avoid;
  /// Names of upstreams to choose first.
  std::vector<std::string> prefer;
  /// Choose by load alone, regardless of affinity and domain.
  bool least_loaded = false;
  /// Choose by the predicted progress of this request instead; may be null.
  const PredictedRequest* predicted = nullptr;
};

/// Holds the upstreams of all services and balances requests among them.
///
/// A request without a shared prompt prefix goes to the upstream where it is
/// expected to complete first, given the requests in progress, the slots and
/// the current slowdown of each upstream. It stays in its failure domain unless
/// the upstreams there are loaded or slow.
///
/// Requests that share a prompt prefix prefer the same upstream by rendezvous
/// hashing, unless its load exceeds a bound relative to the mean: consistent
/// hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, SODA 2018).
/// All nodes compute the same preference without communication. Among the
/// upstreams within the bound, the one with the fewest prompt tokens to process
/// before the request's first token is chosen. These are the prompts that this
/// node has sent to it and that have no event yet and, unless it is the
/// preferred upstream, the shared prefix of the request itself. So a burst of
/// long prompts spreads over the upstreams, and a short prompt does not queue
/// behind a long one.
///
/// The number of requests that a node may have at one upstream depends on
/// whether its responses begin within their latency target. The limit grows by
/// one for each round of timely responses and shrinks by a fixed factor when
/// one is late (additive increase, multiplicative decrease). Work that would
/// wait in an overloaded upstream thus waits here, where it is ordered by rank
/// and can be rejected.
///
/// While the upstreams of a service state that they are brittle, so that a
/// second with too many rejections makes them fail, each node uses a fixed part
/// of each upstream's slots. The parts of all nodes together leave some free,
/// so that no upstream needs to reject, however old the nodes' load reports are
/// and whatever comes at once.
///
/// Not thread-safe. Memory grows with the number of upstreams.
class UpstreamBalancer {
 public:
  /// Time for which a service counts as brittle after an upstream stated it.
  static constexpr Duration kBrittleTime = std::chrono::seconds(5);

  /// `node` is the name of this node.
  explicit UpstreamBalancer(std::uint64_t seed, std::string node = "")
      : random_(seed), node_(std::move(node)) {}

  /// Sets the names of the nodes that use the upstreams, including this one's,
  /// in order, and how many there are if some are not known.
  void SetNodes(std::vector<std::string> names, int count);
  int node_count() const { return node_count_; }
  /// Records that an upstream of `service` stated that it is brittle. Returns
  /// true if the service did not count as brittle before.
  bool OnBrittle(const std::string& service, TimePoint now);
  bool IsBrittle(const std::string& service, TimePoint now) const;

  /// Applies a newer list. Returns the names of the upstreams that left the
  /// list or started to leave.
  std::vector<std::string> SetList(
      const std::vector<ForwardUpstreamInfo>& list);

  /// Returns null if no upstream matches the criteria or none has capacity.
  ForwardUpstream* Choose(const UpstreamCriteria& criteria, TimePoint now);
  /// Returns null if there is no upstream `name`.
  ForwardUpstream* Find(const std::string& name);

  /// Records that a request whose prompt has `prompt_tokens` tokens was sent to
  /// the upstream.
  void OnSent(ForwardUpstream* upstream, std::int64_t prompt_tokens,
              TimePoint now);
  /// Records that the first event was received, or that the attempt ended
  /// before it.
  void OnPromptProcessed(ForwardUpstream* upstream, std::int64_t prompt_tokens);
  /// Adapts the concurrency limit to a response that began within its latency
  /// target or late.
  void OnResponseStarted(ForwardUpstream* upstream, bool in_time,
                         TimePoint now);
  /// Records how an attempt ended. A rejection or a failed connection starts a
  /// backoff period; a failure raises the error rate.
  void OnAttemptEnded(ForwardUpstream* upstream, ForwardOutcome end,
                      TimePoint now);
  /// Records a failure: no response was received for longer than responses
  /// usually take.
  void OnUnresponsive(ForwardUpstream* upstream, TimePoint now);
  /// Applies a load report that a response to this node carried.
  void OnLoadReport(ForwardUpstream* upstream, const ReportedLoad& load,
                    TimePoint now);
  /// Returns the fresh reports that this node received from upstreams after
  /// `since`.
  std::vector<UpstreamLoadReport> DirectReportsSince(TimePoint since,
                                                     TimePoint now) const;
  /// Returns up to `count` fresh reports, those of the upstreams with the
  /// highest load per slot, including reports received by peers.
  std::vector<UpstreamLoadReport> BusiestReports(std::size_t count,
                                                 TimePoint now) const;
  /// Applies the load reports that a peer received from upstreams.
  void MergePeerReports(const std::vector<UpstreamLoadReport>& reports,
                        TimePoint now);

  /// Records that the upstream stated that it leaves, also if it is not listed
  /// now. Returns false if that was known.
  bool OnLeaving(const UpstreamId& id);
  /// Returns at most `count` of the listed upstreams that stated it.
  std::vector<UpstreamId> StatedLeaving(std::size_t count) const;
  /// Records that the upstream accepts no requests until `until`, also if it is
  /// not listed now. Afterwards it gets few at first.
  void OnPauseRequested(const UpstreamId& id, TimePoint until, TimePoint now);
  /// Returns when the first upstream of `service` accepts requests again; empty
  /// if there is one that accepts some now.
  std::optional<TimePoint> EarliestReturn(const std::string& service,
                                          TimePoint now) const;

  /// Returns the number of upstreams of `service` that may be sent requests,
  /// of all versions of the software or of one.
  int UsableCount(
      const std::string& service,
      const std::optional<std::string>& software_version = {}) const;
  /// Returns the upstreams of `service` that may be sent requests.
  std::vector<ForwardUpstreamInfo> Usable(const std::string& service) const;
  /// Ends the backoff of all upstreams of `service`.
  void ClearBackoffs(const std::string& service, TimePoint now);
  /// Returns true if this incarnation of the upstream is in the current list.
  bool IsListed(const UpstreamId& id) const;
  /// Returns true if this incarnation serves `service` and may be sent
  /// requests.
  bool MayUse(const UpstreamId& id, const std::string& service) const;

  const std::map<std::string, ForwardUpstream>& all() const {
    return upstreams_;
  }

 private:
  /// Returns the number of requests that this node may have running on an
  /// upstream of a brittle service.
  int BrittleLimit(const ForwardUpstream& upstream);
  /// Returns the number of the known nodes that come before this one in the
  /// order in which the slots of `upstream` are given out.
  std::size_t RankAt(const std::string& upstream) const;
  /// Returns the upstreams that match the criteria, have capacity and are not
  /// skipped after failures.
  std::vector<ForwardUpstream*> Candidates(const UpstreamCriteria& criteria,
                                           TimePoint now);
  /// Returns the first candidate to choose before all others; null if there is
  /// none.
  static ForwardUpstream* Preferred(
      const UpstreamCriteria& criteria,
      const std::vector<ForwardUpstream*>& candidates);
  /// Removes the upstreams to avoid, unless no others remain.
  static void RemoveAvoided(const UpstreamCriteria& criteria,
                            std::vector<ForwardUpstream*>* candidates);
  /// Returns the candidate where a request without a shared prompt prefix
  /// completes first. Prefers upstreams in the failure domain of this node.
  static ForwardUpstream* EarliestCompletion(
      const UpstreamCriteria& criteria,
      const std::vector<ForwardUpstream*>& candidates, TimePoint now);
  /// Returns the candidate with the fewest prompt tokens to process before the
  /// request's first token.
  ForwardUpstream* SmallestPromptBacklog(
      const UpstreamCriteria& criteria,
      const std::vector<ForwardUpstream*>& candidates) const;
  /// Applies a report unless a newer one is known.
  static void MergeReport(ForwardUpstream* upstream, const ReportedLoad& load,
                          TimePoint reported_at);
  /// Updates the error rate.
  void RecordOutcome(ForwardUpstream* upstream, bool failed, TimePoint now);
  /// Starts a backoff period that doubles with each rejection in a row.
  void StartBackoff(ForwardUpstream* upstream, TimePoint now);

  /// A pause that an incarnation requested.
  struct Pause {
    std::uint64_t incarnation = 0;
    TimePoint until;
  };

  /// Applies what this incarnation stated in responses to its entry.
  void ApplyStatements(ForwardUpstream* upstream) const;

  /// Number of incarnations that are remembered to have stated that they leave.
  static constexpr std::size_t kMaxStatedLeaving = 1024;

  std::map<std::string, ForwardUpstream> upstreams_;  ///< By name.
  /// Incarnations that stated that they leave, by upstream name. Kept while
  /// they are not listed, as the store may list them again.
  std::map<std::string, std::uint64_t> stated_leaving_;
  std::map<std::string, Pause> pauses_;  ///< By upstream name, likewise.
  std::mt19937_64 random_;
  std::string node_;
  std::vector<std::string> nodes_;
  int node_count_ = 1;
  std::map<std::string, std::size_t> ranks_;  ///< By upstream, see `RankAt`.
  std::map<std::string, TimePoint> brittle_until_;  ///< By service.
};

}  // namespace pollenledge
