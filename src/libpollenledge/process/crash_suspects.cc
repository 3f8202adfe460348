#include "pollenledge/process/crash_suspects.h"

#include <xxhash.h>

#include <algorithm>

namespace pollenledge {
namespace {

/// Crashes kept for one request; more tell nothing new.
constexpr std::size_t kMaxCrashes = 4;
/// Reports of what is known already in one heartbeat, so that a node that was
/// cut off learns all of it in time.
constexpr std::size_t kReportsInTurn = kMaxCrashes;
constexpr std::size_t kMaxCompletions = 4096;
constexpr std::size_t kMaxWithdrawn = 1024;

void ForgetOldCompletions(
    std::unordered_map<Fingerprint, TimePoint>* completions, TimePoint now) {
  for (auto it = completions->begin(); it != completions->end();) {
    const bool old = now - it->second > CrashSuspects::kVouchTime;
    it = old ? completions->erase(it) : std::next(it);
  }
}

}  // namespace

CrashId CrashIdOf(const UpstreamId& upstream, int earlier,
                  const std::string& observer) {
  std::string name =
      upstream.name + '\n' + std::to_string(upstream.incarnation);
  if (earlier > 0) name += '\n' + observer + '\n' + std::to_string(earlier);
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
  std::vector<Fingerprint> blamed;
  std::size_t most = 0;
  for (const Fingerprint& fingerprint : running) {
    const std::size_t crashes =
        Of(fingerprint, now) == Suspicion::kNone ? 0 : Crashes(fingerprint);
    if (crashes > most) blamed.clear();
    most = std::max(most, crashes);
    if (crashes == most) blamed.push_back(fingerprint);
  }
  std::sort(blamed.begin(), blamed.end());
  blamed.erase(std::unique(blamed.begin(), blamed.end()), blamed.end());
  return blamed;
}

bool CrashSuspects::Blame(const Fingerprint& fingerprint, CrashId crash,
                          bool shared, const std::string& domain,
                          TimePoint now) {
  return Add(fingerprint, crash, {now, shared, true, domain}, now);
}

std::vector<Fingerprint> CrashSuspects::OnUpstreamLost(
    const std::vector<Fingerprint>& running, CrashId crash,
    const std::string& domain, TimePoint now) {
  const std::vector<Fingerprint> blamed = MostSuspected(running, now);
  std::vector<Fingerprint> refused;
  for (const Fingerprint& fingerprint : blamed) {
    if (Blame(fingerprint, crash, blamed.size() > 1, domain, now)) {
      refused.push_back(fingerprint);
    }
  }
  return refused;
}

bool CrashSuspects::Add(const Fingerprint& fingerprint, CrashId id,
                        const Crash& crash, TimePoint now) {
  if (withdrawn_.count(id) > 0) return false;
  const auto completed = completions_.find(fingerprint);
  if (completed != completions_.end() &&
      crash.at <= completed->second + kVouchTime) {
    // Peers that suspect it are told as well.
    cleared_[fingerprint] = kTellings;
    has_news_ = true;
    return false;
  }
  if (records_.count(fingerprint) == 0) MakeRoom(now);
  Record& record = records_[fingerprint];
  const bool was_refused = IsRefused(record, now);
  const auto known = record.crashes.find(id);
  if (known != record.crashes.end()) {
    known->second.seen_here |= crash.seen_here;
    if (crash.seen_here) known->second.domain = crash.domain;
    return false;
  }
  record.last_crash = std::max(record.last_crash, crash.at);
  if (record.crashes.size() < kMaxCrashes) record.crashes[id] = crash;
  record.tellings = kTellings;
  has_news_ = true;
  return !was_refused && IsRefused(record, now);
}

void CrashSuspects::OnDomainWave(const std::string& domain) {
  for (auto it = records_.begin(); it != records_.end();) {
    auto& crashes = it->second.crashes;
    for (auto crash = crashes.begin(); crash != crashes.end();) {
      if (crash->second.domain != domain) {
        ++crash;
        continue;
      }
      if (withdrawn_.size() >= kMaxWithdrawn) {
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
    ForgetOldCompletions(&completions_, now);
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
    const bool vouched = it->second.at <= completed_at + kVouchTime;
    it = vouched ? crashes.erase(it) : std::next(it);
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
  const bool refused = Add(crash.fingerprint, crash.crash,
                           {now - crash.age, crash.shared, false, ""}, now);
  return refused ? std::optional(crash.fingerprint) : std::nullopt;
}

bool CrashSuspects::IsRefused(const Record& record, TimePoint now) const {
  if (now >= record.last_crash + kRefusalTime) return false;
  const bool only_one_to_blame =
      std::any_of(record.crashes.begin(), record.crashes.end(),
                  [](const auto& crash) { return !crash.second.shared; });
  return record.crashes.size() >=
         options_.crashes_to_refuse + (only_one_to_blame ? 0 : 1);
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
                                  const Record& record, std::size_t most,
                                  TimePoint now,
                                  std::vector<SuspectReport>* reports) {
  for (const auto& [id, crash] : record.crashes) {
    if (reports->size() >= most) return;
    reports->push_back(CrashReport{fingerprint, id, crash.shared,
                                   std::max(Duration(0), now - crash.at)});
  }
}

void CrashSuspects::AppendNews(std::size_t most, TimePoint now,
                               std::vector<SuspectReport>* reports) {
  for (auto it = cleared_.begin(); it != cleared_.end();) {
    if (reports->size() >= most) return;
    const auto completed = completions_.find(it->first);
    if (completed != completions_.end()) {
      reports->push_back(CompletionReport{it->first, now - completed->second});
    }
    const bool told = completed == completions_.end() || --it->second <= 0;
    it = told ? cleared_.erase(it) : std::next(it);
  }
  std::vector<std::pair<std::size_t, const Fingerprint*>> news;
  for (const auto& [fingerprint, record] : records_) {
    if (record.tellings > 0) {
      news.emplace_back(record.crashes.size(), &fingerprint);
    }
  }
  std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  for (const auto& [crashes, fingerprint] : news) {
    if (reports->size() >= most) return;
    Record& record = records_.at(*fingerprint);
    --record.tellings;
    AppendCrashes(*fingerprint, record, most, now, reports);
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

void CrashSuspects::AppendInTurn(std::size_t most, TimePoint now,
                                 std::vector<SuspectReport>* reports) {
  const Fingerprint* begin = nullptr;
  while (const Fingerprint* next = NextInTurn()) {
    if (next == begin) return;  // Once around.
    if (begin == nullptr) begin = next;
    const Record& record = records_.at(*next);
    if (reports->size() + record.crashes.size() > most) return;
    cursor_ = *next;
    AppendCrashes(*next, record, most, now, reports);
  }
}

std::vector<SuspectReport> CrashSuspects::ReportsToTell(std::size_t most,
                                                        TimePoint now) {
  std::vector<SuspectReport> reports;
  has_news_ = false;
  if (records_.empty() && cleared_.empty()) return reports;
  AppendNews(most, now, &reports);
  AppendInTurn(std::min(most, reports.size() + kReportsInTurn), now, &reports);
  return reports;
}

std::vector<CrashReport> CrashSuspects::Refused(TimePoint now) const {
  std::vector<CrashReport> refused;
  for (const auto& [fingerprint, record] : records_) {
    if (!IsRefused(record, now)) continue;
    for (const auto& [id, crash] : record.crashes) {
      refused.push_back({fingerprint, id, crash.shared, now - crash.at});
    }
  }
  return refused;
}

void CrashSuspects::Forget(TimePoint now) {
  for (auto it = records_.begin(); it != records_.end();) {
    const bool old = now >= it->second.last_crash + kSuspicionTime;
    it = old ? records_.erase(it) : std::next(it);
  }
  ForgetOldCompletions(&completions_, now);
}

void CrashSuspects::MakeRoom(TimePoint now) {
  if (records_.size() < kMaxTracked) return;
  Forget(now);
  if (records_.size() < kMaxTracked) return;
  const auto least = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        const std::size_t crashes_a = a.second.crashes.size();
        const std::size_t crashes_b = b.second.crashes.size();
        return crashes_a != crashes_b
                   ? crashes_a < crashes_b
                   : a.second.last_crash < b.second.last_crash;
      });
  records_.erase(least);
}

}  // namespace pollenledge
