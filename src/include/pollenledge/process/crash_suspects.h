#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenledge/request/fingerprint.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Identifies one crash of one upstream. Every node that observes the crash
/// derives the same id.
using CrashId = std::uint64_t;

/// Returns the id of a crash of `upstream`. The same incarnation can appear to
/// crash again while the list of upstreams is outdated; `earlier_crashes` is
/// the number of crashes of this incarnation that the node `observer` has
/// already recorded. The id depends on `observer` only if `earlier_crashes` is
/// not 0.
CrashId CrashIdOf(const UpstreamId& upstream, int earlier_crashes,
                  const std::string& observer);

/// Reports that the connection to an upstream was lost without notice while
/// the request ran on it.
struct CrashReport {
  Fingerprint fingerprint;
  CrashId crash = 0;
  /// Other requests on the upstream are equally likely to have caused it.
  bool shared = false;
  Duration age{0};  ///< Time since the crash.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Reports that an upstream returned a complete response to the request, so
/// the request does not crash upstreams.
struct CompletionReport {
  Fingerprint fingerprint;
  Duration age{0};  ///< Time since the completion.

  friend bool operator==(const CompletionReport&,
                         const CompletionReport&) = default;
};

/// What nodes report to each other about a suspected request.
using SuspectReport = std::variant<CrashReport, CompletionReport>;

/// How a request is dispatched, given the crashes recorded for it. In order of
/// severity.
enum class Suspicion : std::uint8_t {
  kNone,
  /// Runs on an upstream without other suspects. A forwarding node uses an
  /// upstream with suspects if there is no other.
  kSeparated,
  /// Runs isolated: at a forwarding node on the least loaded upstream, one at a
  /// time. An entry treats it as `kSeparated`.
  kIsolated,
  kRejected,  ///< Is not run.
};

/// Returns the name of `suspicion` in logs.
const char* ToString(Suspicion suspicion);

/// Maximum number of reports in one heartbeat, so that it fits into a datagram.
constexpr std::size_t kMaxSuspectReportsPerHeartbeat = 16;

/// Configures when a request is rejected.
struct SuspectOptions {
  /// Number of crashes after which a request is rejected.
  std::size_t crashes_to_reject = 2;

  friend bool operator==(const SuspectOptions&,
                         const SuspectOptions&) = default;
};

/// Detects requests that crash every upstream that runs them.
///
/// When an upstream is lost without notice, the crash is attributed to those
/// requests on it that have the most recorded crashes. The state of a request
/// is the set of its crashes. Sets can be merged, so reports may be duplicated,
/// delayed or reordered, and all nodes still reach the same result.
///
/// A request is rejected after `crashes_to_reject` crashes, or one more if each
/// of them was also attributed to other requests. A complete response
/// exonerates the request. It also covers crashes up to `kExonerationTime`
/// later, even if they are reported afterwards. Hence a request that many
/// callers send is not rejected when a failure domain is lost.
///
/// Memory is bounded: the request with the fewest crashes, and among these the
/// oldest one, is evicted first, so a flood of new requests cannot evict a
/// rejected one.
/// Not thread-safe.
class CrashSuspects {
 public:
  /// Time for which a request is rejected after its last crash.
  static constexpr Duration kRejectionTime = std::chrono::minutes(10);
  /// Time for which a request is suspected after its last crash. Longer than
  /// the rejection, so that one more crash renews the rejection.
  static constexpr Duration kSuspicionTime = std::chrono::minutes(20);
  /// A crash is not attributed to a request that completed at most this long
  /// before it.
  static constexpr Duration kExonerationTime = std::chrono::seconds(5);
  /// Maximum number of suspected and rejected requests.
  static constexpr std::size_t kMaxTrackedRequests = 4096;
  /// Number of heartbeats that carry a new or changed report.
  static constexpr int kSendsPerUpdate = 6;

  explicit CrashSuspects(SuspectOptions options = {}) : options_(options) {}

  /// Returns those of `running`, the requests on a lost upstream, to which its
  /// crash is attributed: the ones with the most recorded crashes.
  std::vector<Fingerprint> MostSuspected(
      const std::vector<Fingerprint>& running, TimePoint now) const;
  /// Attributes the crash of an upstream in failure domain `domain` to the
  /// request. `shared` is true if it is attributed to other requests as well.
  /// Returns true if the request becomes rejected by this crash.
  bool AttributeCrash(const Fingerprint& fingerprint, CrashId crash,
                      bool shared, const std::string& domain, TimePoint now);
  /// Handles the loss of an upstream in failure domain `domain` on which
  /// `running` ran. Returns the requests that become rejected.
  std::vector<Fingerprint> OnUpstreamLost(
      const std::vector<Fingerprint>& running, CrashId crash,
      const std::string& domain, TimePoint now);
  /// Handles the loss of many instances of a failure domain: withdraws all
  /// crashes in `domain` that this node observed itself.
  void OnDomainOutage(const std::string& domain);
  /// Records a complete response to the request and exonerates it.
  void OnCompleted(const Fingerprint& fingerprint, TimePoint now);
  /// Merges a report from a peer or from the store. Returns the request if it
  /// becomes rejected.
  std::optional<Fingerprint> OnReport(const SuspectReport& report,
                                      TimePoint now);

  /// Returns how the request is to be dispatched.
  Suspicion SuspicionOf(const Fingerprint& fingerprint, TimePoint now) const;
  /// Returns how much longer the request is rejected; nullopt if it is not.
  std::optional<Duration> RemainingRejection(const Fingerprint& fingerprint,
                                             TimePoint now) const;
  /// Returns the number of crashes recorded for the request.
  std::size_t CrashCount(const Fingerprint& fingerprint) const;
  /// Returns true if this node observed one of the request's crashes itself.
  bool ObservedCrashLocally(const Fingerprint& fingerprint) const;

  /// Returns true if a report was added since the last call of `NextReports`.
  bool HasUnsentReports() const { return has_unsent_reports_; }
  /// Returns at most `max_reports` reports for the next heartbeat: first
  /// exonerations, then requests with new crashes in descending order of their
  /// crashes, then already sent requests with several crashes, round robin.
  std::vector<SuspectReport> NextReports(std::size_t max_reports,
                                         TimePoint now);
  /// Returns the crashes of all rejected requests, to be written to the store.
  std::vector<CrashReport> RejectedCrashes(TimePoint now) const;
  /// Returns the number of suspected and rejected requests.
  std::size_t size() const { return records_.size(); }
  /// Removes suspicions and completions that have expired.
  void RemoveExpired(TimePoint now);

 private:
  struct Crash {
    TimePoint at;
    bool shared = false;
    bool observed_locally = false;
    std::string domain;  ///< Empty unless observed locally.
  };
  struct Record {
    std::map<CrashId, Crash> crashes;
    TimePoint last_crash;
    int remaining_sends = 0;  ///< Heartbeats that still carry it as an update.
  };

  bool AddCrash(const Fingerprint& fingerprint, CrashId id, const Crash& crash,
                TimePoint now);
  bool IsRejected(const Record& record, TimePoint now) const;
  void Exonerate(const Fingerprint& fingerprint, TimePoint completed_at);
  void EvictIfFull(TimePoint now);
  static void AppendCrashes(const Fingerprint& fingerprint,
                            const Record& record, std::size_t max_reports,
                            TimePoint now, std::vector<SuspectReport>* reports);
  const Fingerprint* NextRoundRobin() const;
  void AppendRoundRobin(std::size_t max_reports, TimePoint now,
                        std::vector<SuspectReport>* reports);
  void AppendUpdates(std::size_t max_reports, TimePoint now,
                     std::vector<SuspectReport>* reports);

  SuspectOptions options_;
  std::unordered_map<Fingerprint, Record> records_;
  /// Time of each request's last complete response, kept for
  /// `kExonerationTime`.
  std::unordered_map<Fingerprint, TimePoint> completions_;
  /// Completed requests to report to peers, with the number of heartbeats that
  /// still carry the report.
  std::map<Fingerprint, int> unsent_exonerations_;
  std::set<CrashId>
      withdrawn_crashes_;           ///< No longer attributed to any request.
  Fingerprint round_robin_cursor_;  ///< Last request sent in round-robin order.
  bool has_unsent_reports_ = false;
};

}  // namespace pollenledge
