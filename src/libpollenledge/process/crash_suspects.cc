#include "pollenledge/process/crash_suspects.h"

#include <xxhash.h>

#include <algorithm>

namespace pollenledge {
namespace {

/// Number of already sent reports that each heartbeat repeats, so that a node
/// eventually receives the ones it missed during a network partition.
constexpr std::size_t kRepeatedReportsPerHeartbeat = CrashRecord::kMaxCrashes;
/// Number of tracked sound responses from which on those observed by this node
/// are no longer recorded, unless they clear a suspect.
constexpr std::size_t kMaxSounds = 16'384;
/// Minimum time between the sound responses to requests with one suspect that
/// are announced because of a crash. Peers rely on one for `kVouchTime`.
constexpr Duration kAnnounceInterval = CrashSuspects::kVouchTime / 2;
/// Maximum number of remembered crashes that are no longer attributed to
/// requests because a whole failure domain failed.
constexpr std::size_t kMaxWithdrawnCrashes = 1024;
/// Factor of the crashes after which a suspect with a recent sound response is
/// rejected.
constexpr std::size_t kVouchedCrashesFactor = 2;
/// Factor of the crashes after which a suspect is rejected even if another one
/// ran in the same crashes.
constexpr std::size_t kUndoubtedCrashesFactor = 2;
/// Crashes from which on a suspect that is not rejected is written to the
/// store.
constexpr std::size_t kCrashesToPersist = 2;
constexpr Duration::rep kRetrialBackoffFactor = 4;
/// Number of heartbeats that carry the report of a single crash while writing:
/// all begun responses of the upstream have it in common.
constexpr int kSendsOfCommonCrash = 2;
/// Typical maximum time of a report between two nodes.
constexpr Duration kReportTransitTime = std::chrono::milliseconds(100);

bool Contains(const std::vector<Fingerprint>& fingerprints,
              const Fingerprint& fingerprint) {
  return std::find(fingerprints.begin(), fingerprints.end(), fingerprint) !=
         fingerprints.end();
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

std::size_t CrashSuspects::BlameOf(const std::vector<Fingerprint>& fingerprints,
                                   TimePoint now) const {
  std::size_t blame = 0;
  for (const Fingerprint& fingerprint : fingerprints) {
    if (IsVouchedFor(fingerprint, now)) continue;
    blame = std::max(blame, UnexplainedCount(fingerprint, now));
  }
  return blame;
}

std::optional<std::size_t> CrashSuspects::MaxBlame(
    const std::vector<SuspectRun>& running, RunPhase phase,
    TimePoint now) const {
  std::optional<std::size_t> max_blame;
  for (const SuspectRun& run : running) {
    if (run.phase != phase) continue;
    const std::size_t blame = BlameOf(run.fingerprints, now);
    max_blame = std::max(max_blame.value_or(0), blame);
  }
  return max_blame;
}

std::vector<BlamedSuspect> CrashSuspects::BlameRuns(
    const std::vector<SuspectRun>& running, RunPhase phase, std::size_t blame,
    bool is_shared, TimePoint now) const {
  std::map<Fingerprint, std::size_t> run_counts;
  std::size_t blamed_runs = 0;
  for (const SuspectRun& run : running) {
    if (run.phase != phase || BlameOf(run.fingerprints, now) < blame) continue;
    ++blamed_runs;
    for (const Fingerprint& fingerprint : std::set<Fingerprint>(
             run.fingerprints.begin(), run.fingerprints.end())) {
      ++run_counts[fingerprint];
    }
  }
  std::vector<BlamedSuspect> blamed;
  blamed.reserve(run_counts.size());
  for (const auto& [fingerprint, count] : run_counts) {
    blamed.push_back({fingerprint, is_shared || count < blamed_runs, phase});
  }
  return blamed;
}

std::vector<BlamedSuspect> CrashSuspects::MostSuspected(
    const std::vector<SuspectRun>& running, TimePoint now) const {
  const auto starting = MaxBlame(running, RunPhase::kStarting, now);
  const auto writing = MaxBlame(running, RunPhase::kWriting, now);
  std::vector<BlamedSuspect> blamed;
  if (starting.has_value()) {
    blamed = BlameRuns(running, RunPhase::kStarting, *starting, false, now);
  }
  if (!writing.has_value() || starting > writing) return blamed;
  for (const BlamedSuspect& suspect : BlameRuns(
           running, RunPhase::kWriting, *writing, starting == writing, now)) {
    blamed.push_back(suspect);
  }
  return blamed;
}

bool CrashSuspects::AttributeCrash(const BlamedSuspect& suspect, CrashId crash,
                                   TimePoint sent_at, const std::string& domain,
                                   TimePoint now) {
  return AddCrash(suspect.fingerprint, crash,
                  {now, sent_at, suspect.shared, true, domain, suspect.phase},
                  now);
}

std::vector<Fingerprint> CrashSuspects::OnUpstreamLost(
    const std::vector<SuspectRun>& running, CrashId crash,
    const std::string& domain, TimePoint now) {
  std::vector<Fingerprint> rejected;
  for (const BlamedSuspect& suspect : MostSuspected(running, now)) {
    for (const SuspectRun& run : running) {
      if (run.phase != suspect.phase ||
          !Contains(run.fingerprints, suspect.fingerprint))
        continue;
      if (AttributeCrash(suspect, crash, run.sent_at, domain, now)) {
        rejected.push_back(suspect.fingerprint);
      }
    }
  }
  return rejected;
}

bool CrashSuspects::AddCrash(const Fingerprint& fingerprint, CrashId id,
                             const RecordedCrash& crash, TimePoint now) {
  if (withdrawn_crashes_.count(id) > 0) return false;
  const auto sound = sounds_.find(fingerprint);
  const std::optional<TimePoint> sound_began_at =
      sound == sounds_.end() ? std::nullopt
                             : sound->second.BeganBeyond(crash.phase);
  if (sound_began_at.has_value() && crash.at <= *sound_began_at) {
    // Peers that suspect it must receive the evidence as well.
    if (sound->second.NeedsAnnouncement(crash.at)) AnnounceSound(fingerprint);
    return false;
  }
  if (records_.count(fingerprint) == 0) {
    EvictIfFull(now);
    // Nodes that have run no request with it rely on those that have.
    if (sound_began_at.has_value() && sound->second.NeedsAnnouncement(crash.at))
      AnnounceSound(fingerprint);
  }
  Record& record =
      records_
          .try_emplace(fingerprint,
                       Record{CrashRecord(options_.min_crash_interval), {}, 0})
          .first->second;
  const bool was_rejected = IsRejected(fingerprint, record, now);
  if (!record.crashes.Add(id, crash)) return false;
  record.last_active = std::max(record.last_active, crash.at);
  record.remaining_sends =
      IsCommonCrash(record) ? kSendsOfCommonCrash : kSendsPerUpdate;
  has_unsent_reports_ = true;
  if (!IsRejected(fingerprint, record, now)) return false;
  rejected_.insert(fingerprint);
  return !was_rejected;
}

void CrashSuspects::OnDomainOutage(const std::string& domain) {
  for (auto it = records_.begin(); it != records_.end();) {
    CrashRecord& crashes = it->second.crashes;
    const std::map<CrashId, RecordedCrash> known = crashes.crashes();
    for (const auto& [id, crash] : known) {
      if (crash.domain != domain) continue;
      if (withdrawn_crashes_.size() >= kMaxWithdrawnCrashes) {
        withdrawn_crashes_.erase(withdrawn_crashes_.begin());
      }
      withdrawn_crashes_.insert(id);
      crashes.Remove(id);
    }
    it = crashes.empty() ? records_.erase(it) : std::next(it);
  }
}

std::vector<Fingerprint> CrashSuspects::OnSoundResponse(
    const std::vector<Fingerprint>& fingerprints, TimePoint began_at,
    RunPhase reached) {
  std::vector<Fingerprint> cleared;
  for (const Fingerprint& fingerprint : fingerprints) {
    const bool was_suspected = CrashCount(fingerprint) > 1;
    if (sounds_.size() < kMaxSounds || records_.count(fingerprint) > 0)
      sounds_[fingerprint].Add(began_at, reached);
    Clear(fingerprint, began_at, reached);
    if (was_suspected && CrashCount(fingerprint) == 0) {
      cleared.push_back(fingerprint);
    }
  }
  return cleared;
}

void CrashSuspects::Clear(const Fingerprint& fingerprint, TimePoint began_at,
                          RunPhase reached) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  found->second.crashes.RemoveUpTo(began_at, reached);
  if (found->second.crashes.empty()) records_.erase(found);
  AnnounceSound(fingerprint);
}

std::optional<TimePoint> CrashSuspects::Sound::BeganBeyond(
    RunPhase phase) const {
  if (phase == RunPhase::kStarting) return began_at;
  return completed_began_at;
}

void CrashSuspects::Sound::Add(TimePoint began, RunPhase reached) {
  began_at = std::max(began_at, began);
  if (reached < RunPhase::kCompleted) return;
  completed_began_at = std::max(completed_began_at.value_or(began), began);
}

bool CrashSuspects::Sound::NeedsAnnouncement(TimePoint crash_at) const {
  return !announced.has_value() || crash_at - *announced > kAnnounceInterval;
}

void CrashSuspects::AnnounceSound(const Fingerprint& fingerprint) {
  Sound& sound = sounds_[fingerprint];
  sound.announced = sound.began_at;
  unsent_sounds_[fingerprint] = kSendsPerUpdate;
  has_unsent_reports_ = true;
}

std::optional<Fingerprint> CrashSuspects::OnReport(const SuspectReport& report,
                                                   TimePoint now) {
  if (const auto* sound = std::get_if<SoundReport>(&report)) {
    if (sound->age > kClearedTime) return std::nullopt;
    const TimePoint began_at = now - sound->age;
    Sound& known = sounds_[sound->fingerprint];
    const std::optional<TimePoint> known_began_at =
        sound->reached == RunPhase::kCompleted ? known.completed_began_at
                                               : known.began_at;
    // A report that comes back is older by its time on the way.
    if (known_began_at.has_value() &&
        began_at <= *known_began_at + kReportTransitTime)
      return std::nullopt;
    known.Add(began_at, sound->reached);
    unsent_sounds_.erase(sound->fingerprint);
    Clear(sound->fingerprint, began_at, sound->reached);
    return std::nullopt;
  }
  const auto& crash = std::get<CrashReport>(report);
  if (crash.age > kSuspicionTime) return std::nullopt;
  const TimePoint at = now - crash.age;
  const bool rejected = AddCrash(
      crash.fingerprint, crash.crash,
      {at, at - crash.run_time, crash.shared, false, "", crash.phase}, now);
  return rejected ? std::optional(crash.fingerprint) : std::nullopt;
}

void CrashSuspects::OnRequestRejected(
    const std::vector<Fingerprint>& fingerprints, TimePoint now) {
  for (const Fingerprint& fingerprint : fingerprints) {
    const auto found = records_.find(fingerprint);
    if (found == records_.end() ||
        !IsRejected(fingerprint, found->second, now)) {
      continue;
    }
    found->second.last_active = std::max(found->second.last_active, now);
  }
}

bool CrashSuspects::IsVouchedFor(const Fingerprint& fingerprint,
                                 TimePoint now) const {
  const auto found = sounds_.find(fingerprint);
  if (found == sounds_.end()) return false;
  const auto record = records_.find(fingerprint);
  const RunPhase phase = record == records_.end()
                             ? RunPhase::kStarting
                             : record->second.crashes.LatestPhase();
  const std::optional<TimePoint> began_at = found->second.BeganBeyond(phase);
  return began_at.has_value() && now - *began_at <= kVouchTime;
}

bool CrashSuspects::MayCrashWhileWriting(
    const std::vector<Fingerprint>& fingerprints, TimePoint now) const {
  return std::any_of(
      fingerprints.begin(), fingerprints.end(),
      [&](const Fingerprint& fingerprint) {
        const auto found = records_.find(fingerprint);
        return found != records_.end() &&
               found->second.crashes.LatestPhase() == RunPhase::kWriting &&
               SuspicionOfOne(fingerprint, now) != Suspicion::kNone;
      });
}

bool CrashSuspects::IsRejected(const Fingerprint& fingerprint,
                               const Record& record, TimePoint now) const {
  if (now >= record.last_active + kRejectionTime) return false;
  return record.crashes.SequentialCount() >=
         CrashesToReject(fingerprint, record, now);
}

std::size_t CrashSuspects::CrashesToReject(const Fingerprint& fingerprint,
                                           const Record& record,
                                           TimePoint now) const {
  if (IsVouchedFor(fingerprint, now)) {
    return options_.crashes_to_reject * kVouchedCrashesFactor;
  }
  return options_.crashes_to_reject +
         (record.crashes.has_unshared_crash() ? 0 : 1);
}

std::size_t CrashSuspects::UnexplainedCount(const Fingerprint& fingerprint,
                                            TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return 0;
  const CrashRecord& crashes = found->second.crashes;
  const bool is_vouched_for = IsVouchedFor(fingerprint, now);
  std::vector<const CrashRecord*> causes;
  for (const Fingerprint& other : rejected_) {
    const auto cause = records_.find(other);
    if (other == fingerprint || cause == records_.end() ||
        !IsRejected(other, cause->second, now)) {
      continue;
    }
    const bool is_likelier = is_vouched_for != IsVouchedFor(other, now)
                                 ? is_vouched_for
                                 : cause->second.crashes.SequentialCount() >
                                       crashes.SequentialCount();
    if (is_likelier) causes.push_back(&cause->second.crashes);
  }
  return crashes.SequentialCountWithout(causes);
}

bool CrashSuspects::ContainsCompanions(
    const Record& record, const std::vector<Fingerprint>& fingerprints,
    TimePoint now) const {
  if (record.crashes.SequentialCount() >=
      options_.crashes_to_reject * kUndoubtedCrashesFactor) {
    return true;
  }
  return std::all_of(
      rejected_.begin(), rejected_.end(), [&](const Fingerprint& other) {
        const auto found = records_.find(other);
        return found == records_.end() || Contains(fingerprints, other) ||
               record.crashes.CountCommon(found->second.crashes) <
                   options_.crashes_to_reject ||
               record.crashes.HasUnsharedCrashWithout(found->second.crashes) ||
               !IsRejected(other, found->second, now);
      });
}

bool CrashSuspects::IsCommonCrash(const Record& record) {
  return record.crashes.SequentialCount() == 1 &&
         record.crashes.has_writing_crashes_only();
}

Suspicion CrashSuspects::SuspicionOfOne(const Fingerprint& fingerprint,
                                        TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return Suspicion::kNone;
  const Record& record = found->second;
  if (now >= record.last_active + kSuspicionTime) return Suspicion::kNone;
  const std::size_t crashes = UnexplainedCount(fingerprint, now);
  if (crashes == 0) return Suspicion::kNone;
  if (crashes >= CrashesToReject(fingerprint, record, now) &&
      now < record.last_active + kRejectionTime) {
    return Suspicion::kRejected;
  }
  const bool is_vouched_for = IsVouchedFor(fingerprint, now);
  if (crashes > 1) {
    return is_vouched_for ? Suspicion::kSeparated : Suspicion::kIsolated;
  }
  return is_vouched_for || IsCommonCrash(record) ? Suspicion::kNone
                                                 : Suspicion::kSeparated;
}

std::optional<Fingerprint> CrashSuspects::RejectedSuspect(
    const std::vector<Fingerprint>& fingerprints, TimePoint now) const {
  for (const Fingerprint& fingerprint : fingerprints) {
    if (SuspicionOfOne(fingerprint, now) == Suspicion::kRejected &&
        ContainsCompanions(records_.at(fingerprint), fingerprints, now)) {
      return fingerprint;
    }
  }
  return std::nullopt;
}

Suspicion CrashSuspects::SuspicionOf(
    const std::vector<Fingerprint>& fingerprints, TimePoint now) const {
  if (RejectedSuspect(fingerprints, now).has_value()) {
    return Suspicion::kRejected;
  }
  Suspicion highest = Suspicion::kNone;
  for (const Fingerprint& fingerprint : fingerprints) {
    highest = std::max(highest, SuspicionOfOne(fingerprint, now));
  }
  // Another suspect may be the cause, so this request is a test.
  return std::min(highest, Suspicion::kIsolated);
}

std::optional<Duration> CrashSuspects::RemainingRejection(
    const std::vector<Fingerprint>& fingerprints, TimePoint now) const {
  const std::optional<Fingerprint> rejected =
      RejectedSuspect(fingerprints, now);
  if (!rejected.has_value()) return std::nullopt;
  return records_.at(*rejected).last_active + kRejectionTime - now;
}

bool CrashSuspects::IsRetrialDue(const Fingerprint& fingerprint,
                                 TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return false;
  const CrashRecord& crashes = found->second.crashes;
  const std::size_t retrials =
      crashes.PausesAfter(options_.crashes_to_reject, kRetrialDelay);
  Duration delay = kRetrialDelay;
  for (std::size_t i = 0; i < retrials; ++i) delay *= kRetrialBackoffFactor;
  return retrials < kMaxRetrials && now >= crashes.last_crash() + delay;
}

std::size_t CrashSuspects::CrashCount(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? 0 : found->second.crashes.SequentialCount();
}

bool CrashSuspects::ObservedCrashLocally(const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() && found->second.crashes.observed_locally();
}

std::size_t CrashSuspects::CountRejected(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        return IsRejected(entry.first, entry.second, now);
      }));
}

void CrashSuspects::AppendCrashes(const Fingerprint& fingerprint,
                                  const Record& record, std::size_t max_reports,
                                  TimePoint now,
                                  std::vector<SuspectReport>* reports) {
  for (const auto& [id, crash] : record.crashes.crashes()) {
    if (reports->size() >= max_reports) return;
    reports->push_back(CrashReport{fingerprint, id, crash.shared,
                                   std::max(Duration(0), now - crash.at),
                                   crash.at - crash.sent_at, crash.phase});
  }
}

std::vector<SuspectReport> CrashSuspects::SoundReports(
    const Fingerprint& fingerprint, const Sound& sound, TimePoint now) {
  std::vector<SuspectReport> reports;
  const std::optional<TimePoint> completed = sound.completed_began_at;
  if (completed != sound.began_at)
    reports.emplace_back(SoundReport{fingerprint, now - sound.began_at});
  if (completed.has_value()) {
    reports.emplace_back(
        SoundReport{fingerprint, now - *completed, RunPhase::kCompleted});
  }
  return reports;
}

void CrashSuspects::AppendUpdates(std::size_t max_reports, TimePoint now,
                                  std::vector<SuspectReport>* reports) {
  for (auto it = unsent_sounds_.begin(); it != unsent_sounds_.end();) {
    const auto sound = sounds_.find(it->first);
    if (sound != sounds_.end()) {
      const std::vector<SuspectReport> sounds =
          SoundReports(it->first, sound->second, now);
      if (reports->size() + sounds.size() > max_reports) return;
      reports->insert(reports->end(), sounds.begin(), sounds.end());
    }
    const bool sent = sound == sounds_.end() || --it->second <= 0;
    it = sent ? unsent_sounds_.erase(it) : std::next(it);
  }
  std::vector<std::pair<std::size_t, const Fingerprint*>> updates;
  for (const auto& [fingerprint, record] : records_) {
    if (record.remaining_sends > 0) {
      updates.emplace_back(record.crashes.SequentialCount(), &fingerprint);
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
    if (record.crashes.crashes().size() < kCrashesToPersist) continue;
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
    if (reports->size() + record.crashes.crashes().size() > max_reports) return;
    round_robin_cursor_ = *next;
    AppendCrashes(*next, record, max_reports, now, reports);
  }
}

std::vector<SuspectReport> CrashSuspects::NextReports(std::size_t max_reports,
                                                      TimePoint now) {
  std::vector<SuspectReport> reports;
  has_unsent_reports_ = false;
  if (records_.empty() && unsent_sounds_.empty()) return reports;
  AppendUpdates(max_reports, now, &reports);
  AppendRoundRobin(
      std::min(max_reports, reports.size() + kRepeatedReportsPerHeartbeat), now,
      &reports);
  return reports;
}

std::vector<CrashReport> CrashSuspects::CrashesToPersist(PersistFrom from,
                                                         TimePoint now) const {
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, record] : records_) {
    const bool is_included =
        from == PersistFrom::kFirstCrash
            ? UnexplainedCount(fingerprint, now) > 0
            : SuspicionOfOne(fingerprint, now) >= Suspicion::kIsolated;
    if (!is_included) continue;
    for (const auto& [id, crash] : record.crashes.crashes()) {
      reports.push_back({fingerprint, id, crash.shared, now - crash.at,
                         crash.at - crash.sent_at, crash.phase});
    }
  }
  return reports;
}

void CrashSuspects::RemoveExpiredSounds(TimePoint now) {
  std::erase_if(sounds_, [now](const auto& entry) {
    const Sound& sound = entry.second;
    return now - sound.began_at >
           (sound.announced.has_value() ? kClearedTime : kVouchTime);
  });
}

void CrashSuspects::RemoveExpired(TimePoint now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now >= entry.second.last_active + kSuspicionTime;
  });
  std::erase_if(rejected_, [this, now](const Fingerprint& fingerprint) {
    const auto found = records_.find(fingerprint);
    return found == records_.end() ||
           !IsRejected(fingerprint, found->second, now);
  });
  RemoveExpiredSounds(now);
}

void CrashSuspects::EvictIfFull(TimePoint now) {
  if (records_.size() < kMaxTrackedSuspects) return;
  RemoveExpired(now);
  if (records_.size() < kMaxTrackedSuspects) return;
  const auto least_suspected = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        const std::size_t crashes_a = a.second.crashes.SequentialCount();
        const std::size_t crashes_b = b.second.crashes.SequentialCount();
        return crashes_a != crashes_b
                   ? crashes_a < crashes_b
                   : a.second.last_active < b.second.last_active;
      });
  records_.erase(least_suspected);
}

}  // namespace pollenledge
