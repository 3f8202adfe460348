#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenledge/process/crash_record.h"
#include "pollenledge/request/fingerprint.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Returns the id of a crash of `upstream`. The same incarnation can appear to
/// crash again while the list of upstreams is outdated; `earlier_crashes` is
/// the number of crashes of this incarnation that the node `observer` has
/// already recorded. The id depends on `observer` only if `earlier_crashes` is
/// not 0.
CrashId CrashIdOf(const UpstreamId& upstream, int earlier_crashes,
                  const std::string& observer);

/// Reports that the connection to an upstream was lost without notice while
/// a request with the suspect ran on it.
struct CrashReport {
  Fingerprint fingerprint;
  CrashId crash = 0;
  /// Another request on the upstream may have caused it as well.
  bool shared = false;
  Duration age{0};       ///< Time since the crash.
  Duration run_time{0};  ///< From sending the request to the crash.
  RunPhase phase = RunPhase::kStarting;  ///< Of the request at the crash.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Reports that an upstream responded to a request with the suspect without
/// crashing until the request had reached a phase.
struct SoundReport {
  Fingerprint fingerprint;
  Duration age{0};  ///< Time since the upstream began to respond.
  RunPhase reached = RunPhase::kWriting;

  friend bool operator==(const SoundReport&, const SoundReport&) = default;
};

/// What nodes report to each other about a suspect.
using SuspectReport = std::variant<CrashReport, SoundReport>;

/// How a request is dispatched, given the crashes recorded for it. In order of
/// severity.
enum class Suspicion : std::uint8_t {
  kNone,
  /// Runs on an upstream without other suspects. A forwarding node uses an
  /// upstream with suspects if there is no other, and starts requests with the
  /// same suspect one at a time.
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

/// A request that ran on a lost upstream and may have crashed it.
struct SuspectRun {
  std::vector<Fingerprint> fingerprints;
  TimePoint sent_at;                     ///< To that upstream.
  RunPhase phase = RunPhase::kStarting;  ///< When the upstream was lost.

  friend bool operator==(const SuspectRun&, const SuspectRun&) = default;
};

/// The number of crashes from which on a suspect is written to the store.
enum class PersistFrom : std::uint8_t {
  kFirstCrash,
  /// Of a suspect without a recent sound response.
  kSecondCrash,
};

/// A suspect to which the crash of an upstream is attributed.
struct BlamedSuspect {
  Fingerprint fingerprint;
  bool shared = false;  ///< As in `CrashReport`.
  /// Requests in this phase are blamed.
  RunPhase phase = RunPhase::kStarting;

  friend bool operator==(const BlamedSuspect&, const BlamedSuspect&) = default;
};

/// Configures when a suspect is rejected.
struct SuspectOptions {
  /// Number of crashes in sequence after which a suspect is rejected.
  std::size_t crashes_to_reject = 2;
  /// Crashes closer together count once.
  Duration min_crash_interval{0};

  friend bool operator==(const SuspectOptions&,
                         const SuspectOptions&) = default;
};

/// Detects what crashes every upstream that runs it.
///
/// A suspect is something by which requests are recognized: the request as a
/// whole, or a segment of its prompt that other requests contain as well. A
/// request has the fingerprints of all its suspects; the same evidence and the
/// same rules apply to each of them.
///
/// When an upstream is lost without notice, the crash is attributed to those
/// requests on it that have the most recorded crashes. The state of a suspect
/// is the set of its crashes. Sets can be merged, so reports may be duplicated,
/// delayed or reordered, and all nodes still reach the same result.
///
/// A suspect is rejected after `crashes_to_reject` crashes in sequence, see
/// `CrashRecord`, or one more if each of them may have had another cause.
/// An upstream that responds to the suspect and does not crash clears it of all
/// crashes before that in an earlier phase of their runs: once it has written
/// for `kSoundWritingTime`, of those at the start; once it has completed the
/// response, of all. For `kVouchTime` afterwards the suspect needs twice as
/// many crashes, so that one that many requests contain is not rejected before
/// the next of them has cleared it.
///
/// Most crashes occur at the start of a run. Those requests on a lost upstream
/// that were starting are judged among themselves, and those that were being
/// written among themselves; the latter only if none of the former is more
/// suspected. One crash while writing raises no suspicion: all begun responses
/// of an upstream have it in common.
///
/// Two suspects may run together in all crashes. A request is then rejected
/// only if it contains both; one that contains only one of them runs isolated
/// and shows which one is the cause. Crashes of a rejected suspect do not count
/// for others that are less likely to be their cause.
///
/// Memory is bounded: the suspect with the fewest crashes, and among these the
/// oldest one, is evicted first, so a flood of new suspects cannot evict a
/// rejected one.
/// Not thread-safe.
class CrashSuspects {
 public:
  /// Time for which a suspect is rejected after its last crash, or after the
  /// last rejected request that contained it.
  static constexpr Duration kRejectionTime = std::chrono::minutes(10);
  /// Time for which it is suspected after that. Longer than the rejection, so
  /// that one more crash renews the rejection.
  static constexpr Duration kSuspicionTime = std::chrono::minutes(20);
  /// Time for which a sound response raises the number of crashes that are
  /// needed for a rejection.
  static constexpr Duration kVouchTime = std::chrono::seconds(30);
  /// Time for which a suspect that was cleared cannot become suspected again by
  /// late reports of older crashes.
  static constexpr Duration kClearedTime = std::chrono::minutes(1);
  /// Maximum number of suspects.
  static constexpr std::size_t kMaxTrackedSuspects = 4096;
  /// Number of heartbeats that carry a new or changed report.
  static constexpr int kSendsPerUpdate = 6;
  /// Time after a crash until a rejected suspect is tried again, in case that
  /// the rejection is wrong; four times as long after each retrial.
  static constexpr Duration kRetrialDelay = std::chrono::seconds(15);
  static constexpr std::size_t kMaxRetrials = 2;

  explicit CrashSuspects(SuspectOptions options = {}) : options_(options) {}

  /// Returns the suspects to which the crash of an upstream that ran `running`
  /// is attributed: all those of the most suspected requests in each phase.
  std::vector<BlamedSuspect> MostSuspected(
      const std::vector<SuspectRun>& running, TimePoint now) const;
  /// Attributes the crash of an upstream in failure domain `domain` to the
  /// suspect, of which a request was sent there at `sent_at`. Returns true if
  /// the suspect becomes rejected by this crash.
  bool AttributeCrash(const BlamedSuspect& suspect, CrashId crash,
                      TimePoint sent_at, const std::string& domain,
                      TimePoint now);
  /// Handles the loss of an upstream in failure domain `domain` on which
  /// `running` ran. Returns the suspects that become rejected.
  std::vector<Fingerprint> OnUpstreamLost(
      const std::vector<SuspectRun>& running, CrashId crash,
      const std::string& domain, TimePoint now);
  /// Handles the loss of many instances of a failure domain: withdraws all
  /// crashes in `domain` that this node observed itself.
  void OnDomainOutage(const std::string& domain);
  /// Records that an upstream began to respond to a request at `began_at` and
  /// did not crash until the request had `reached` a phase, which clears the
  /// request's suspects of earlier crashes in the phases before. Returns those
  /// that had crashed several times and are no longer suspected.
  std::vector<Fingerprint> OnSoundResponse(
      const std::vector<Fingerprint>& fingerprints, TimePoint began_at,
      RunPhase reached = RunPhase::kWriting);
  /// Merges a report from a peer or from the store. Returns the suspect if it
  /// becomes rejected.
  std::optional<Fingerprint> OnReport(const SuspectReport& report,
                                      TimePoint now);
  /// Records that a request was rejected because of its suspects, which renews
  /// their rejection.
  void OnRequestRejected(const std::vector<Fingerprint>& fingerprints,
                         TimePoint now);

  /// Returns how a request with these suspects is to be dispatched.
  Suspicion SuspicionOf(const std::vector<Fingerprint>& fingerprints,
                        TimePoint now) const;
  Suspicion SuspicionOf(const Fingerprint& fingerprint, TimePoint now) const {
    return SuspicionOf(std::vector<Fingerprint>{fingerprint}, now);
  }
  /// Returns how much longer a request with these suspects is rejected; nullopt
  /// if it is not.
  std::optional<Duration> RemainingRejection(
      const std::vector<Fingerprint>& fingerprints, TimePoint now) const;
  std::optional<Duration> RemainingRejection(const Fingerprint& fingerprint,
                                             TimePoint now) const {
    return RemainingRejection(std::vector<Fingerprint>{fingerprint}, now);
  }
  /// Returns the suspect because of which such a request is rejected; nullopt
  /// if it is not rejected.
  std::optional<Fingerprint> RejectedSuspect(
      const std::vector<Fingerprint>& fingerprints, TimePoint now) const;
  /// Returns true if a rejected suspect is to be tried once more. Only one node
  /// may do so.
  bool IsRetrialDue(const Fingerprint& fingerprint, TimePoint now) const;
  /// Returns true if an upstream began a sound response to a request with the
  /// suspect within the last `kVouchTime`, which got beyond the phases of the
  /// suspect's crashes.
  bool IsVouchedFor(const Fingerprint& fingerprint, TimePoint now) const;
  /// Returns true if a request with these suspects may crash its upstream also
  /// while it is being written.
  bool MayCrashWhileWriting(const std::vector<Fingerprint>& fingerprints,
                            TimePoint now) const;
  /// Returns the number of crashes in sequence recorded for the suspect.
  std::size_t CrashCount(const Fingerprint& fingerprint) const;
  /// Returns true if this node observed one of the suspect's crashes itself.
  bool ObservedCrashLocally(const Fingerprint& fingerprint) const;

  /// Returns true if a report was added since the last call of `NextReports`.
  bool HasUnsentReports() const { return has_unsent_reports_; }
  /// Returns at most `max_reports` reports for the next heartbeat: first
  /// sound responses, then suspects with new crashes in descending order of
  /// their crashes, then already sent reports of several crashes, round robin.
  std::vector<SuspectReport> NextReports(std::size_t max_reports,
                                         TimePoint now);
  /// Returns the crashes of all suspects that are rejected or were in as many
  /// crashes as `from` says, to be written to the store.
  std::vector<CrashReport> CrashesToPersist(PersistFrom from,
                                            TimePoint now) const;
  /// Returns the number of suspected and rejected suspects.
  std::size_t size() const { return records_.size(); }
  /// Returns the number of rejected suspects.
  std::size_t CountRejected(TimePoint now) const;
  /// Removes suspicions and sound responses that have expired.
  void RemoveExpired(TimePoint now);

 private:
  struct Record {
    CrashRecord crashes;
    TimePoint last_active;    ///< Last crash or rejected request.
    int remaining_sends = 0;  ///< Heartbeats that still carry it as an update.
  };
  /// The last sound responses to requests with the suspect.
  struct Sound {
    TimePoint began_at;  ///< Of the last one that reached `kWriting`.
    /// Of the last one that was completed.
    std::optional<TimePoint> completed_began_at;
    /// When the response began that was last announced to peers.
    std::optional<TimePoint> announced;

    /// Returns when the last one began that got beyond `phase`; empty if there
    /// is none.
    std::optional<TimePoint> BeganBeyond(RunPhase phase) const;
    /// Records another one.
    void Add(TimePoint began, RunPhase reached);
    /// Returns true if peers must learn of it after a crash at `crash_at`.
    bool NeedsAnnouncement(TimePoint crash_at) const;
  };

  bool AddCrash(const Fingerprint& fingerprint, CrashId id,
                const RecordedCrash& crash, TimePoint now);
  bool IsRejected(const Fingerprint& fingerprint, const Record& record,
                  TimePoint now) const;
  /// Returns the number of crashes in sequence after which it is rejected.
  std::size_t CrashesToReject(const Fingerprint& fingerprint,
                              const Record& record, TimePoint now) const;
  /// Returns the number of its crashes in sequence that are not those of a
  /// rejected suspect which is more likely to be their cause.
  std::size_t UnexplainedCount(const Fingerprint& fingerprint,
                               TimePoint now) const;
  /// Returns true if a request with these suspects contains all other rejected
  /// ones that may be the cause of the record's crashes instead.
  bool ContainsCompanions(const Record& record,
                          const std::vector<Fingerprint>& fingerprints,
                          TimePoint now) const;
  /// Returns how a suspect affects requests that contain it.
  Suspicion SuspicionOfOne(const Fingerprint& fingerprint, TimePoint now) const;
  /// Returns the weight of a request when a crash is attributed.
  std::size_t BlameOf(const std::vector<Fingerprint>& fingerprints,
                      TimePoint now) const;
  /// Returns the largest `BlameOf` of the runs in `phase`; empty if there are
  /// none.
  std::optional<std::size_t> MaxBlame(const std::vector<SuspectRun>& running,
                                      RunPhase phase, TimePoint now) const;
  /// Returns the suspects of the runs in `phase` with this blame. All are
  /// shared if `is_shared` is true.
  std::vector<BlamedSuspect> BlameRuns(const std::vector<SuspectRun>& running,
                                       RunPhase phase, std::size_t blame,
                                       bool is_shared, TimePoint now) const;
  void Clear(const Fingerprint& fingerprint, TimePoint began_at,
             RunPhase reached);
  /// Reports the last sound response to peers.
  void AnnounceSound(const Fingerprint& fingerprint);
  void EvictIfFull(TimePoint now);
  void RemoveExpiredSounds(TimePoint now);
  static void AppendCrashes(const Fingerprint& fingerprint,
                            const Record& record, std::size_t max_reports,
                            TimePoint now, std::vector<SuspectReport>* reports);
  /// Returns the reports of the last sound responses.
  static std::vector<SuspectReport> SoundReports(const Fingerprint& fingerprint,
                                                 const Sound& sound,
                                                 TimePoint now);
  /// Returns true if all that is known is one crash while writing, which all
  /// begun responses of an upstream have in common.
  static bool IsCommonCrash(const Record& record);
  const Fingerprint* NextRoundRobin() const;
  void AppendRoundRobin(std::size_t max_reports, TimePoint now,
                        std::vector<SuspectReport>* reports);
  void AppendUpdates(std::size_t max_reports, TimePoint now,
                     std::vector<SuspectReport>* reports);

  SuspectOptions options_;
  std::unordered_map<Fingerprint, Record> records_;
  std::unordered_map<Fingerprint, Sound> sounds_;
  /// Cleared suspects to report to peers, with the number of heartbeats that
  /// still carry the report.
  std::map<Fingerprint, int> unsent_sounds_;
  std::set<CrashId> withdrawn_crashes_;  ///< No longer attributed to anything.
  /// Suspects that became rejected; some may no longer be.
  std::set<Fingerprint> rejected_;
  Fingerprint round_robin_cursor_;  ///< Last suspect sent in round-robin order.
  bool has_unsent_reports_ = false;
};

}  // namespace pollenledge
