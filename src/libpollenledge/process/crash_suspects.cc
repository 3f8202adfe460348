#include "pollenledge/process/crash_suspects.h"

#include <xxhash.h>

#include <algorithm>

namespace pollenledge {
namespace {

/// Crashes kept per request; further ones do not change the result.
constexpr std::size_t kMaxCrashesPerRequest = 4;
/// Already sent reports that each heartbeat repeats, so that a node eventually
/// receives the ones it missed during a network partition.
constexpr std::size_t kRepeatedReportsPerHeartbeat = kMaxCrashesPerRequest;
constexpr std::size_t kMaxCompletions = 4096;
constexpr std::size_t kMaxWithdrawnCrashes = 1024;

void RemoveExpiredCompletions(
    std::unordered_map<Fingerprint, TimePoint>* completions, TimePoint now) {
  for (auto it = completions->begin(); it != completions->end();) {
    const bool expired = now - it->second > CrashSuspects::kVouchTime;
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
    case Suspicion::kApart:
      return "apart";
    case Suspicion::kAlone:
      return "alone";
    case Suspicion::kRefused:
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
        Of(fingerprint, now) == Suspicion::kNone ? 0 : Crashes(fingerprint);
    if (crashes > max_crashes) suspects.clear();
    max_crashes = std::max(max_crashes, crashes);
    if (crashes == max_crashes) suspects.push_back(fingerprint);
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

bool CrashSuspects::Blame(const Fingerprint& fingerprint, CrashId crash,
                          bool shared, const std::string& domain,
                          TimePoint now) {
  return Add(fingerprint, crash, {now, shared, true, domain}, now);
}

std::vector<Fingerprint> CrashSuspects::OnUpstreamLost(
    const std::vector<Fingerprint>& running, CrashId crash,
    const std::string& domain, TimePoint now) {
  const std::vector<Fingerprint> suspects = MostSuspected(running, now);
  std::vector<Fingerprint> rejected;
  for (const Fingerprint& fingerprint : suspects) {
    if (Blame(fingerprint, crash, suspects.size() > 1, domain, now)) {
      rejected.push_back(fingerprint);
    }
  }
  return rejected;
}

bool CrashSuspects::Add(const Fingerprint& fingerprint, CrashId id,
                        const Crash& crash, TimePoint now) {
  if (withdrawn_.count(id) > 0) return false;
  const auto completed = completions_.find(fingerprint);
  if (completed != completions_.end() &&
      crash.at <= completed->second + kVouchTime) {
    // Peers that suspect the request must receive the completion as well.
    cleared_[fingerprint] = kTellings;
    has_news_ = true;
    return false;
  }
  if (records_.count(fingerprint) == 0) MakeRoom(now);
  Record& record = records_[fingerprint];
  const bool was_rejected = IsRefused(record, now);
  const auto known = record.crashes.find(id);
  if (known != record.crashes.end()) {
    known->second.seen_here |= crash.seen_here;
    if (crash.seen_here) known->second.domain = crash.domain;
    return false;
  }
  record.last_crash = std::max(record.last_crash, crash.at);
  if (record.crashes.size() < kMaxCrashesPerRequest) record.crashes[id] = crash;
  record.tellings = kTellings;
  has_news_ = true;
  return !was_rejected && IsRefused(record, now);
}

void CrashSuspects::OnDomainWave(const std::string& domain) {
  for (auto it = records_.begin(); it != records_.end();) {
    auto& crashes = it->second.crashes;
    for (auto crash = crashes.begin(); crash != crashes.end();) {
      if (crash->second.domain != domain) {
        ++crash;
        continue;
      }
      if (withdrawn_.size() >= kMaxWithdrawnCrashes) {
        withdrawn_.erase(withdrawn_.begin());
      }
      withdrawn_.insert(crash->first);
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
  Clear(fingerprint, now);
}

void CrashSuspects::Clear(const Fingerprint& fingerprint,
                          TimePoint completed_at) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  auto& crashes = found->second.crashes;
  for (auto it = crashes.begin(); it != crashes.end();) {
    const bool exonerated = it->second.at <= completed_at + kVouchTime;
    it = exonerated ? crashes.erase(it) : std::next(it);
  }
  if (crashes.empty()) records_.erase(found);
  cleared_[fingerprint] = kTellings;
  has_news_ = true;
}

std::optional<Fingerprint> CrashSuspects::OnReport(const SuspectReport& report,
                                                   TimePoint now) {
  if (const auto* completed = std::get_if<CompletionReport>(&report)) {
    const TimePoint at = now - completed->age;
    if (completed->age > kVouchTime) return std::nullopt;
    TimePoint& known = completions_[completed->fingerprint];
    known = std::max(known, at);
    Clear(completed->fingerprint, at);
    return std::nullopt;
  }
  const auto& crash = std::get<CrashReport>(report);
  if (crash.age > kSuspicionTime) return std::nullopt;
  const bool rejected = Add(crash.fingerprint, crash.crash,
                            {now - crash.age, crash.shared, false, ""}, now);
  return rejected ? std::optional(crash.fingerprint) : std::nullopt;
}

bool CrashSuspects::IsRefused(const Record& record, TimePoint now) const {
  if (now >= record.last_crash + kRefusalTime) return false;
  const bool has_unshared_crash =
      std::any_of(record.crashes.begin(), record.crashes.end(),
                  [](const auto& crash) { return !crash.second.shared; });
  return record.crashes.size() >=
         options_.crashes_to_refuse + (has_unshared_crash ? 0 : 1);
}

Suspicion CrashSuspects::Of(const Fingerprint& fingerprint,
                            TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return Suspicion::kNone;
  const Record& record = found->second;
  if (now >= record.last_crash + kSuspicionTime) return Suspicion::kNone;
  if (IsRefused(record, now)) return Suspicion::kRefused;
  return record.crashes.size() > 1 ? Suspicion::kAlone : Suspicion::kApart;
}

std::optional<Duration> CrashSuspects::RefusedFor(
    const Fingerprint& fingerprint, TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || !IsRefused(found->second, now)) {
    return std::nullopt;
  }
  return found->second.last_crash + kRefusalTime - now;
}

std::size_t CrashSuspects::Crashes(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? 0 : found->second.crashes.size();
}

bool CrashSuspects::SawCrash(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() &&
         std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                     [](const auto& crash) { return crash.second.seen_here; });
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

void CrashSuspects::AppendNews(std::size_t max_reports, TimePoint now,
                               std::vector<SuspectReport>* reports) {
  for (auto it = cleared_.begin(); it != cleared_.end();) {
    if (reports->size() >= max_reports) return;
    const auto completed = completions_.find(it->first);
    if (completed != completions_.end()) {
      reports->push_back(CompletionReport{it->first, now - completed->second});
    }
    const bool sent = completed == completions_.end() || --it->second <= 0;
    it = sent ? cleared_.erase(it) : std::next(it);
  }
  std::vector<std::pair<std::size_t, const Fingerprint*>> updates;
  for (const auto& [fingerprint, record] : records_) {
    if (record.tellings > 0) {
      updates.emplace_back(record.crashes.size(), &fingerprint);
    }
  }
  std::sort(updates.begin(), updates.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  for (const auto& [crashes, fingerprint] : updates) {
    if (reports->size() >= max_reports) return;
    Record& record = records_.at(*fingerprint);
    --record.tellings;
    AppendCrashes(*fingerprint, record, max_reports, now, reports);
  }
}

const Fingerprint* CrashSuspects::NextInTurn() const {
  const Fingerprint* next = nullptr;
  const Fingerprint* first = nullptr;
  for (const auto& [fingerprint, record] : records_) {
    if (record.crashes.size() < 2) continue;
    if (first == nullptr || fingerprint < *first) first = &fingerprint;
    if (fingerprint > cursor_ && (next == nullptr || fingerprint < *next)) {
      next = &fingerprint;
    }
  }
  return next == nullptr ? first : next;
}

void CrashSuspects::AppendInTurn(std::size_t max_reports, TimePoint now,
                                 std::vector<SuspectReport>* reports) {
  const Fingerprint* begin = nullptr;
  while (const Fingerprint* next = NextInTurn()) {
    if (next == begin) return;  // All have been visited.
    if (begin == nullptr) begin = next;
    const Record& record = records_.at(*next);
    if (reports->size() + record.crashes.size() > max_reports) return;
    cursor_ = *next;
    AppendCrashes(*next, record, max_reports, now, reports);
  }
}

std::vector<SuspectReport> CrashSuspects::ReportsToTell(std::size_t max_reports,
                                                        TimePoint now) {
  std::vector<SuspectReport> reports;
  has_news_ = false;
  if (records_.empty() && cleared_.empty()) return reports;
  AppendNews(max_reports, now, &reports);
  AppendInTurn(
      std::min(max_reports, reports.size() + kRepeatedReportsPerHeartbeat), now,
      &reports);
  return reports;
}

std::vector<CrashReport> CrashSuspects::Refused(TimePoint now) const {
  std::vector<CrashReport> rejected;
  for (const auto& [fingerprint, record] : records_) {
    if (!IsRefused(record, now)) continue;
    for (const auto& [id, crash] : record.crashes) {
      rejected.push_back({fingerprint, id, crash.shared, now - crash.at});
    }
  }
  return rejected;
}

void CrashSuspects::Forget(TimePoint now) {
  for (auto it = records_.begin(); it != records_.end();) {
    const bool expired = now >= it->second.last_crash + kSuspicionTime;
    it = expired ? records_.erase(it) : std::next(it);
  }
  RemoveExpiredCompletions(&completions_, now);
}

void CrashSuspects::MakeRoom(TimePoint now) {
  if (records_.size() < kMaxTracked) return;
  Forget(now);
  if (records_.size() < kMaxTracked) return;
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
