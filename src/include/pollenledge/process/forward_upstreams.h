#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One upstream with everything that this node knows of it.
struct ForwardUpstream {
  ForwardUpstreamInfo info;
  bool listed = true;  ///< The platform's list names it.
  int in_flight = 0;   ///< Requests of this node on it.
  std::optional<ReportedLoad> report;
  TimePoint reported_at;
  bool heard_here = false;  ///< The report came to this node.
  int sent_since_report = 0;
  TimePoint sent_at;  ///< When this node last sent it a request.
  /// Prompt tokens of this node's requests on it that have had no event yet.
  std::int64_t unread_tokens = 0;
  TimePoint avoid_until;  ///< No work before this.
  double limit = 0;       ///< Requests of this node that it may have at once.
  TimePoint limit_cut_at;
  int refusals = 0;       ///< In a row: no connection, or not run.
  double error_rate = 0;  ///< Recent part of the answers that were failures.
  TimePoint error_rate_at;

  /// Requests in progress at the upstream, those of other nodes included as
  /// far as they are known.
  double EstimatedLoad(TimePoint now) const;
  /// How long work takes there beside what is usual, as far as a report that
  /// is that old tells.
  double Slowness(TimePoint now) const;
  /// True if this node may send it one more request.
  bool HasRoom(TimePoint now) const;
};

/// What the choice of an upstream depends on.
struct UpstreamQuery {
  std::string service;
  std::string own_domain;
  /// Requests with the same value share a part of their prompt.
  std::optional<std::uint64_t> affinity;
  std::int64_t shared_tokens = 0;    ///< In that part.
  std::vector<std::string> exclude;  ///< Names of upstreams.
  std::vector<std::string> avoid;    ///< The same, if there are others.
  bool least_loaded = false;         ///< Whatever else speaks for another.
};

/// The upstreams of all services, and which of them gets a request.
///
/// A request without a shared prompt goes where its end is expected first: by
/// the requests that are there, the slots, and how long work takes there now.
///
/// Requests that share a part of their prompt prefer the same upstream, by
/// rendezvous hashing, unless its load is above a bound relative to the mean:
/// consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
/// SODA 2018). All nodes come to the same preference without talking. Among
/// the upstreams within the bound the one is chosen that has the least to read
/// before the request's first token: the prompts that this node has sent it and
/// that had no event yet, and, where it is not the preferred one, the shared
/// part of its own. So a flurry of long prompts spreads,
/// and a short prompt does not queue behind a long one. Other requests stay in
/// their failure domain unless it is loaded or slow.
///
/// How many requests a node may have at one upstream follows from whether its
/// answers begin in time: one more for each round of answers in time, a part
/// less when one is late (additive increase, multiplicative decrease). So the
/// work that would wait in an overloaded upstream waits here, where it is
/// ordered by rank and can be refused.
///
/// Not thread-safe. Memory grows with the upstreams.
class ForwardUpstreams {
 public:
  explicit ForwardUpstreams(std::uint64_t seed) : random_(seed) {}

  /// Takes a newer list. Returns the upstreams that left the list or began to
  /// leave, by name.
  std::vector<std::string> SetList(
      const std::vector<ForwardUpstreamInfo>& list);

  /// Returns null if no upstream may be given the request now, or none has
  /// room.
  ForwardUpstream* Choose(const UpstreamQuery& query, TimePoint now);
  ForwardUpstream* Find(const std::string& name);

  /// A request was sent whose prompt has `unread_tokens` to be read there.
  void OnSent(ForwardUpstream* upstream, std::int64_t unread_tokens,
              TimePoint now);
  /// The first event came, or the attempt ended before it.
  void OnPromptRead(ForwardUpstream* upstream, std::int64_t unread_tokens);
  /// An answer began, in time for its latency target or late.
  void OnAnswerBegun(ForwardUpstream* upstream, bool in_time, TimePoint now);
  void OnEnded(ForwardUpstream* upstream, ForwardEnd end, TimePoint now);
  /// No answer came for longer than answers take.
  void OnSilent(ForwardUpstream* upstream, TimePoint now);
  /// An answer to this node said so just now.
  void OnReport(ForwardUpstream* upstream, const ReportedLoad& load,
                TimePoint now);
  /// The newest reports, if they came to this node and after `since`.
  std::vector<HeardLoad> ReportsSince(TimePoint since, TimePoint now) const;
  /// Fresh reports of the upstreams that are busiest for their slots, whoever
  /// heard them.
  std::vector<HeardLoad> BusiestReports(std::size_t count, TimePoint now) const;
  /// Takes in what a peer heard from upstreams.
  void TakeReports(const std::vector<HeardLoad>& reports, TimePoint now);

  /// Upstreams of `service` that may be given work.
  int UsableCount(const std::string& service) const;

  const std::map<std::string, ForwardUpstream>& all() const {
    return upstreams_;
  }

 private:
  std::vector<ForwardUpstream*> Candidates(const UpstreamQuery& query,
                                           TimePoint now);
  static void RemoveAvoided(const UpstreamQuery& query,
                            std::vector<ForwardUpstream*>* candidates);
  /// The candidate where a plain request ends first, near ones preferred.
  static ForwardUpstream* FirstToEnd(
      const UpstreamQuery& query,
      const std::vector<ForwardUpstream*>& candidates, TimePoint now);
  /// The candidate with the least to read before the request's first token.
  ForwardUpstream* LeastToRead(
      const UpstreamQuery& query,
      const std::vector<ForwardUpstream*>& candidates) const;
  /// Older news changes nothing.
  static void TakeReport(ForwardUpstream* upstream, const ReportedLoad& load,
                         TimePoint reported_at);
  void NoteOutcome(ForwardUpstream* upstream, bool failed, TimePoint now);
  void Avoid(ForwardUpstream* upstream, TimePoint now);

  std::map<std::string, ForwardUpstream> upstreams_;  ///< By name.
  std::mt19937_64 random_;
};

}  // namespace pollenledge
