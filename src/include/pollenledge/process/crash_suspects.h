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

/// Names one end of one upstream; every node that saw it names it the same.
using CrashId = std::uint64_t;

/// The name of the end of `upstream`. If the same incarnation seems to end
/// again, because the list of upstreams is behind, `earlier` counts the ends
/// that `observer` saw before.
CrashId CrashIdOf(const UpstreamId& upstream, int earlier,
                  const std::string& observer);

/// An upstream ended without notice while the request ran on it.
struct CrashReport {
  Fingerprint fingerprint;
  CrashId crash = 0;
  /// Others that ran there are as likely to have caused it.
  bool shared = false;
  Duration age{0};

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// The request was answered whole by an upstream, so it does not end them.
struct CompletionReport {
  Fingerprint fingerprint;
  Duration age{0};

  friend bool operator==(const CompletionReport&,
                         const CompletionReport&) = default;
};

/// What one node tells another of a request under suspicion.
using SuspectReport = std::variant<CrashReport, CompletionReport>;

/// How a request is to be run, from what is known of it.
enum class Suspicion : std::uint8_t {
  kNone,
  kApart,    ///< On an upstream without other suspects.
  kAlone,    ///< On the least busy upstream, one at a time.
  kRefused,  ///< Not at all.
};

/// The name of `suspicion` as it stands in logs.
const char* ToString(Suspicion suspicion);

/// Reports that one heartbeat carries at most: they fit into a datagram.
constexpr std::size_t kMaxSuspectReports = 16;

/// How many upstreams a request may end before it is refused.
struct SuspectOptions {
  std::size_t crashes_to_refuse = 2;

  friend bool operator==(const SuspectOptions&,
                         const SuspectOptions&) = default;
};

/// Finds the requests that end every upstream that runs them.
///
/// When an upstream is lost without notice, the requests that ran on it and
/// under which most upstreams ended so far are to blame. What is known of a
/// request is the set of crashes under it. Sets merge, so reports may come
/// twice, late and in any order, and each node comes to the same verdict.
///
/// A request is refused once `crashes_to_refuse` upstreams ended under it, one
/// more if it was never the only one to blame. A whole answer clears it, and
/// vouches for the request for a while, also for a crash that is heard of
/// later. So many callers may send the same request without being refused when
/// a failure domain is lost.
///
/// Memory is bounded: the least suspected, oldest request is forgotten first,
/// so that new requests in any number do not drive out a verdict.
/// Not thread-safe.
class CrashSuspects {
 public:
  /// A request is refused for this time after the last crash under it.
  static constexpr Duration kRefusalTime = std::chrono::minutes(10);
  /// Suspicion lasts longer, so that one more crash renews the refusal.
  static constexpr Duration kSuspicionTime = std::chrono::minutes(20);
  /// A crash is not blamed on a request that was answered whole no longer than
  /// this before.
  static constexpr Duration kVouchTime = std::chrono::seconds(5);
  static constexpr std::size_t kMaxTracked = 4096;
  /// Heartbeats in which news is passed on.
  static constexpr int kTellings = 6;

  explicit CrashSuspects(SuspectOptions options = {}) : options_(options) {}

  /// Those of `running` on whom the end of their upstream is blamed.
  std::vector<Fingerprint> MostSuspected(
      const std::vector<Fingerprint>& running, TimePoint now) const;
  /// An upstream of `domain` ended while `fingerprint` ran on it. Returns true
  /// if the request is refused now and was not before.
  bool Blame(const Fingerprint& fingerprint, CrashId crash, bool shared,
             const std::string& domain, TimePoint now);
  /// An upstream of `domain` ended while `running` ran on it. Returns those
  /// that are refused now and were not before.
  std::vector<Fingerprint> OnUpstreamLost(
      const std::vector<Fingerprint>& running, CrashId crash,
      const std::string& domain, TimePoint now);
  /// The failure domain as a whole loses instances: whatever was blamed on
  /// requests for losses there that were seen here is taken back.
  void OnDomainWave(const std::string& domain);
  /// The request's answer arrived whole.
  void OnCompleted(const Fingerprint& fingerprint, TimePoint now);
  /// A peer or the store tells. Returns the request if it is refused now and
  /// was not before.
  std::optional<Fingerprint> OnReport(const SuspectReport& report,
                                      TimePoint now);

  Suspicion Of(const Fingerprint& fingerprint, TimePoint now) const;
  /// How long the request is refused; nothing if it is not.
  std::optional<Duration> RefusedFor(const Fingerprint& fingerprint,
                                     TimePoint now) const;
  std::size_t Crashes(const Fingerprint& fingerprint) const;
  /// True if one of the crashes under the request was seen here.
  bool SawCrash(const Fingerprint& fingerprint) const;

  /// True if there is news that no peer was told yet.
  bool HasNews() const { return has_news_; }
  /// What to tell peers now, `most` reports at most: news first, the most
  /// suspected before others, then what is known, in turn.
  std::vector<SuspectReport> ReportsToTell(std::size_t most, TimePoint now);
  /// The crashes of all refused requests, for the store.
  std::vector<CrashReport> Refused(TimePoint now) const;
  /// Requests that are suspected or refused.
  std::size_t size() const { return records_.size(); }
  /// Forgets what has run out.
  void Forget(TimePoint now);

 private:
  struct Crash {
    TimePoint at;
    bool shared = false;
    bool seen_here = false;
    std::string domain;  ///< Empty if it was not seen here.
  };
  struct Record {
    std::map<CrashId, Crash> crashes;
    TimePoint last_crash;
    int tellings = 0;  ///< Heartbeats that still carry it as news.
  };

  bool Add(const Fingerprint& fingerprint, CrashId id, const Crash& crash,
           TimePoint now);
  bool IsRefused(const Record& record, TimePoint now) const;
  void Clear(const Fingerprint& fingerprint, TimePoint completed_at);
  void MakeRoom(TimePoint now);
  static void AppendCrashes(const Fingerprint& fingerprint,
                            const Record& record, std::size_t most,
                            TimePoint now, std::vector<SuspectReport>* reports);
  const Fingerprint* NextInTurn() const;
  void AppendInTurn(std::size_t most, TimePoint now,
                    std::vector<SuspectReport>* reports);
  void AppendNews(std::size_t most, TimePoint now,
                  std::vector<SuspectReport>* reports);

  SuspectOptions options_;
  std::unordered_map<Fingerprint, Record> records_;
  /// When each request was last answered whole; for `kVouchTime`.
  std::unordered_map<Fingerprint, TimePoint> completions_;
  /// Completions that peers are to be told of, and in how many heartbeats.
  std::map<Fingerprint, int> cleared_;
  std::set<CrashId> withdrawn_;  ///< Blamed on nobody any more.
  Fingerprint cursor_;           ///< The last one told in turn.
  bool has_news_ = false;
};

}  // namespace pollenledge
