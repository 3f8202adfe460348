#include "pollenledge/process/crash_suspects.h"

#include <xxhash.h>

#include <algorithm>

namespace pollenledge {
namespace {

/// Maximum number of crashes kept per request; further ones do not change the
/// result.
constexpr std::size_t kMaxCrashesPerRequest = 4;
/// Number of already sent reports that each heartbeat repeats, so that a node
/// eventually receives the ones it missed during a network partition.
constexpr std::size_t kRepeatedReportsPerHeartbeat = kMaxCrashesPerRequest;
/// Number of tracked completions from which on those observed by this node are
/// no longer recorded. Completions reported by peers are always recorded.
constexpr std::size_t kMaxCompletions = 4096;
/// Maximum number of remembered crashes that are no longer attributed to
/// requests because a whole failure domain failed.
constexpr std::size_t kMaxWithdrawnCrashes = 1024;

void RemoveExpiredCompletions(
    std::unordered_map<Fingerprint, TimePoint>* completions, TimePoint now) {
  for (auto it = completions->begin(); it != completions->end();) {
    const bool expired = now - it->second > CrashSuspects::kExonerationTime;
    it = expired ? completions->erase(it) : std::next(it);
  }
}

}  // namespace

CrashId CrashIdOf(const UpstreamId& upstream, int earlier_crashes,
                  const std::string& observer) {
  std::string name =
      upstream.name + '\n' + std::to_string(upstream.incarnation);
  if (earlier_crashes > 0)
    name += '\n' + observer + '\n' + std::to_string(earlier_crashes);
  return XXH64(name.data(), name.size(), 0);
}

const char* ToString(Suspicion suspicion) {
  switch (suspicion) {
    case Suspicion::kNone:
      return "none";
    case Suspicion::kSeparated:
      return "apart";
    case Suspicion::kIsolated:
      return "alone";
    case Suspicion::kRejected:
      return "refused";
  }
  return "?";
}

std::vector<Fingerprint> CrashSuspects::MostSuspected(
    const std::vector<Fingerprint>& running, TimePoint now) const {
  std::vector<Fingerprint> suspects;
  std::size_t max_crashes = 0;
  for (const Fingerprint& fingerprint : running) {
    const std::size_t crashes =
        SuspicionOf(fingerprint, now) == Suspicion::kNone
            ? 0
            : CrashCount(fingerprint);
    if (crashes > max_crashes) suspects.clear();
    max_crashes = std::max(max_crashes, crashes);
    if (crashes == max_crashes) suspects.push_back(fingerprint);
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

bool CrashSuspects::AttributeCrash(const Fingerprint& fingerprint,
                                   CrashId crash, bool shared,
                                   const std::string& domain, TimePoint now) {
  return AddCrash(fingerprint, crash, {now, shared, true, domain}, now);
}

std::vector<Fingerprint> CrashSuspects::OnUpstreamLost(
    const std::vector<Fingerprint>& running, CrashId crash,
    const std::string& domain, TimePoint now) {
  const std::vector<Fingerprint> suspects = MostSuspected(running, now);
  std::vector<Fingerprint> rejected;
  for (const Fingerprint& fingerprint : suspects) {
    if (AttributeCrash(fingerprint, crash, suspects.size() > 1, domain, now)) {
      rejected.push_back(fingerprint);
    }
  }
  return rejected;
}

bool CrashSuspects::AddCrash(const Fingerprint& fingerprint, CrashId id,
                             const Crash& crash, TimePoint now) {
  if (withdrawn_crashes_.count(id) > 0) return false;
  const auto completed = completions_.find(fingerprint);
  if (completed != completions_.end() &&
      crash.at <= completed->second + kExonerationTime) {
    // Peers that suspect the request must receive the completion as well.
    unsent_exonerations_[fingerprint] = kSendsPerUpdate;
    has_unsent_reports_ = true;
    return false;
  }
  if (records_.count(fingerprint) == 0) EvictIfFull(now);
  Record& record = records_[fingerprint];
  const bool was_rejected = IsRejected(record, now);
  const auto known = record.crashes.find(id);
  if (known != record.crashes.end()) {
    known->second.observed_locally |= crash.observed_locally;
    if (crash.observed_locally) known->second.domain = crash.domain;
    return false;
  }
  record.last_crash = std::max(record.last_crash, crash.at);
  if (record.crashes.size() < kMaxCrashesPerRequest) record.crashes[id] = crash;
  record.remaining_sends = kSendsPerUpdate;
  has_unsent_reports_ = true;
  return !was_rejected && IsRejected(record, now);
}

void CrashSuspects::OnDomainOutage(const std::string& domain) {
  for (auto it = records_.begin(); it != records_.end();) {
    auto& crashes = it->second.crashes;
    for (auto crash = crashes.begin(); crash != crashes.end();) {
      if (crash->second.domain != domain) {
        ++crash;
        continue;
      }
      if (withdrawn_crashes_.size() >= kMaxWithdrawnCrashes) {
        withdrawn_crashes_.erase(withdrawn_crashes_.begin());
      }
      withdrawn_crashes_.insert(crash->first);
      crash = crashes.erase(crash);
    }
    it = crashes.empty() ? records_.erase(it) : std::next(it);
  }
}

void CrashSuspects::OnCompleted(const Fingerprint& fingerprint, TimePoint now) {
  if (completions_.size() >= kMaxCompletions) {
    RemoveExpiredCompletions(&completions_, now);
  }
  if (completions_.size() < kMaxCompletions) completions_[fingerprint] = now;
  Exonerate(fingerprint, now);
}

void CrashSuspects::Exonerate(const Fingerprint& fingerprint,
                              TimePoint completed_at) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  auto& crashes = found->second.crashes;
  for (auto it = crashes.begin(); it != crashes.end();) {
    const bool exonerated = it->second.at <= completed_at + kExonerationTime;
    it = exonerated ? crashes.erase(it) : std::next(it);
  }
  if (crashes.empty()) records_.erase(found);
  unsent_exonerations_[fingerprint] = kSendsPerUpdate;
  has_unsent_reports_ = true;
}

std::optional<Fingerprint> CrashSuspects::OnReport(const SuspectReport& report,
                                                   TimePoint now) {
  if (const auto* completed = std::get_if<CompletionReport>(&report)) {
    const TimePoint at = now - completed->age;
    if (completed->age > kExonerationTime) return std::nullopt;
    TimePoint& known = completions_[completed->fingerprint];
    known = std::max(known, at);
    Exonerate(completed->fingerprint, at);
    return std::nullopt;
  }
  const auto& crash = std::get<CrashReport>(report);
  if (crash.age > kSuspicionTime) return std::nullopt;
  const bool rejected =
      AddCrash(crash.fingerprint, crash.crash,
               {now - crash.age, crash.shared, false, ""}, now);
  return rejected ? std::optional(crash.fingerprint) : std::nullopt;
}

bool CrashSuspects::IsRejected(const Record& record, TimePoint now) const {
  if (now >= record.last_crash + kRejectionTime) return false;
  const bool has_unshared_crash =
      std::any_of(record.crashes.begin(), record.crashes.end(),
                  [](const auto& crash) { return !crash.second.shared; });
  return record.crashes.size() >=
         options_.crashes_to_reject + (has_unshared_crash ? 0 : 1);
}

Suspicion CrashSuspects::SuspicionOf(const Fingerprint& fingerprint,
                                     TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return Suspicion::kNone;
  const Record& record = found->second;
  if (now >= record.last_crash + kSuspicionTime) return Suspicion::kNone;
  if (IsRejected(record, now)) return Suspicion::kRejected;
  return record.crashes.size() > 1 ? Suspicion::kIsolated
                                   : Suspicion::kSeparated;
}

std::optional<Duration> CrashSuspects::RemainingRejection(
    const Fingerprint& fingerprint, TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || !IsRejected(found->second, now)) {
    return std::nullopt;
  }
  return found->second.last_crash + kRejectionTime - now;
}

std::size_t CrashSuspects::CrashCount(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? 0 : found->second.crashes.size();
}

bool CrashSuspects::ObservedCrashLocally(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() &&
         std::any_of(
             found->second.crashes.begin(), found->second.crashes.end(),
             [](const auto& crash) { return crash.second.observed_locally; });
}

void CrashSuspects::AppendCrashes(const Fingerprint& fingerprint,
                                  const Record& record, std::size_t max_reports,
                                  TimePoint now,
                                  std::vector<SuspectReport>* reports) {
  for (const auto& [id, crash] : record.crashes) {
    if (reports->size() >= max_reports) return;
    reports->push_back(CrashReport{fingerprint, id, crash.shared,
                                   std::max(Duration(0), now - crash.at)});
  }
}

void CrashSuspects::AppendUpdates(std::size_t max_reports, TimePoint now,
                                  std::vector<SuspectReport>* reports) {
  for (auto it = unsent_exonerations_.begin();
       it != unsent_exonerations_.end();) {
    if (reports->size() >= max_reports) return;
    const auto completed = completions_.find(it->first);
    if (completed != completions_.end()) {
      reports->push_back(CompletionReport{it->first, now - completed->second});
    }
    const bool sent = completed == completions_.end() || --it->second <= 0;
    it = sent ? unsent_exonerations_.erase(it) : std::next(it);
  }
  std::vector<std::pair<std::size_t, const Fingerprint*>> updates;
  for (const auto& [fingerprint, record] : records_) {
    if (record.remaining_sends > 0) {
      updates.emplace_back(record.crashes.size(), &fingerprint);
    }
  }
  std::sort(updates.begin(), updates.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  for (const auto& [crashes, fingerprint] : updates) {
    if (reports->size() >= max_reports) return;
    Record& record = records_.at(*fingerprint);
    --record.remaining_sends;
    AppendCrashes(*fingerprint, record, max_reports, now, reports);
  }
}

const Fingerprint* CrashSuspects::NextRoundRobin() const {
  const Fingerprint* next = nullptr;
  const Fingerprint* first = nullptr;
  for (const auto& [fingerprint, record] : records_) {
    if (record.crashes.size() < 2) continue;
    if (first == nullptr || fingerprint < *first) first = &fingerprint;
    if (fingerprint > round_robin_cursor_ &&
        (next == nullptr || fingerprint < *next)) {
      next = &fingerprint;
    }
  }
  return next == nullptr ? first : next;
}

void CrashSuspects::AppendRoundRobin(std::size_t max_reports, TimePoint now,
                                     std::vector<SuspectReport>* reports) {
  const Fingerprint* begin = nullptr;
  while (const Fingerprint* next = NextRoundRobin()) {
    if (next == begin) return;  // All have been visited.
    if (begin == nullptr) begin = next;
    const Record& record = records_.at(*next);
    if (reports->size() + record.crashes.size() > max_reports) return;
    round_robin_cursor_ = *next;
    AppendCrashes(*next, record, max_reports, now, reports);
  }
}

std::vector<SuspectReport> CrashSuspects::NextReports(std::size_t max_reports,
                                                      TimePoint now) {
  std::vector<SuspectReport> reports;
  has_unsent_reports_ = false;
  if (records_.empty() && unsent_exonerations_.empty()) return reports;
  AppendUpdates(max_reports, now, &reports);
  AppendRoundRobin(
      std::min(max_reports, reports.size() + kRepeatedReportsPerHeartbeat), now,
      &reports);
  return reports;
}

std::vector<CrashReport> CrashSuspects::RejectedCrashes(TimePoint now) const {
  std::vector<CrashReport> rejected;
  for (const auto& [fingerprint, record] : records_) {
    if (!IsRejected(record, now)) continue;
    for (const auto& [id, crash] : record.crashes) {
      rejected.push_back({fingerprint, id, crash.shared, now - crash.at});
    }
  }
  return rejected;
}

void CrashSuspects::RemoveExpired(TimePoint now) {
  for (auto it = records_.begin(); it != records_.end();) {
    const bool expired = now >= it->second.last_crash + kSuspicionTime;
    it = expired ? records_.erase(it) : std::next(it);
  }
  RemoveExpiredCompletions(&completions_, now);
}

void CrashSuspects::EvictIfFull(TimePoint now) {
  if (records_.size() < kMaxTrackedRequests) return;
  RemoveExpired(now);
  if (records_.size() < kMaxTrackedRequests) return;
  const auto least_suspected = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        const std::size_t crashes_a = a.second.crashes.size();
        const std::size_t crashes_b = b.second.crashes.size();
        return crashes_a != crashes_b
                   ? crashes_a < crashes_b
                   : a.second.last_crash < b.second.last_crash;
      });
  records_.erase(least_suspected);
}

}  // namespace pollenledge
