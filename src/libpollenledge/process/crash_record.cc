#include "pollenledge/process/crash_record.h"

#include <algorithm>
#include <optional>

namespace pollenledge {

RunPhase ToRunPhase(std::uint64_t value) {
  const auto last = static_cast<std::uint64_t>(RunPhase::kCompleted);
  return value <= last ? static_cast<RunPhase>(value) : RunPhase::kStarting;
}

bool CrashRecord::Add(CrashId id, const RecordedCrash& crash) {
  const auto [found, is_new] = crashes_.try_emplace(id, crash);
  if (is_new) {
    if (crashes_.size() > kMaxCrashes) RemoveLeastInformative();
    sequential_count_ = Sequence().size();
    return true;
  }
  RecordedCrash& known = found->second;
  if (crash.observed_locally) {
    known.observed_locally = true;
    known.domain = crash.domain;
  }
  // Nodes that ran different requests of the suspect on the upstream report
  // different times and phases. The latest time and the earliest phase depend
  // on no order of the reports.
  const bool is_earlier_phase = crash.phase < known.phase;
  known.phase = std::min(known.phase, crash.phase);
  if (crash.sent_at <= known.sent_at) return is_earlier_phase;
  known.sent_at = crash.sent_at;
  sequential_count_ = Sequence().size();
  return true;
}

void CrashRecord::Remove(CrashId id) {
  if (crashes_.erase(id) > 0) sequential_count_ = Sequence().size();
}

void CrashRecord::RemoveUpTo(TimePoint time, RunPhase reached) {
  std::erase_if(crashes_, [time, reached](const auto& entry) {
    const RecordedCrash& crash = entry.second;
    return crash.at <= time && crash.phase < reached;
  });
  sequential_count_ = Sequence().size();
}

std::size_t CrashRecord::SequentialCountWithout(
    const std::vector<const CrashRecord*>& causes) const {
  return causes.empty() ? sequential_count_ : Sequence(causes).size();
}

std::vector<CrashId> CrashRecord::Sequence(
    const std::vector<const CrashRecord*>& causes) const {
  std::vector<CrashId> ids;
  for (const auto& [id, crash] : crashes_) {
    const bool explained = std::any_of(causes.begin(), causes.end(),
                                       [id = id](const CrashRecord* cause) {
                                         return cause->crashes_.count(id) > 0;
                                       });
    if (!explained) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end(), [this](CrashId a, CrashId b) {
    return crashes_.at(a).at < crashes_.at(b).at;
  });
  // Interval scheduling: taking the interval that ends first gives the longest
  // sequence of intervals that do not overlap.
  std::optional<TimePoint> previous;
  std::erase_if(ids, [&](CrashId id) {
    const RecordedCrash& crash = crashes_.at(id);
    if (previous.has_value() &&
        (crash.sent_at < *previous || crash.at < *previous + min_interval_)) {
      return true;
    }
    previous = crash.at;
    return false;
  });
  return ids;
}

std::size_t CrashRecord::PausesAfter(std::size_t skip, Duration pause) const {
  const std::vector<CrashId> ids = Sequence();
  std::size_t pauses = 0;
  for (std::size_t i = std::max<std::size_t>(skip, 1); i < ids.size(); ++i) {
    const RecordedCrash& previous = crashes_.at(ids[i - 1]);
    if (crashes_.at(ids[i]).sent_at >= previous.at + pause) ++pauses;
  }
  return pauses;
}

bool CrashRecord::has_unshared_crash() const {
  return std::any_of(crashes_.begin(), crashes_.end(),
                     [](const auto& entry) { return !entry.second.shared; });
}

RunPhase CrashRecord::LatestPhase() const {
  RunPhase latest = RunPhase::kStarting;
  for (const auto& [id, crash] : crashes_)
    latest = std::max(latest, crash.phase);
  return latest;
}

bool CrashRecord::has_writing_crashes_only() const {
  return std::all_of(crashes_.begin(), crashes_.end(), [](const auto& entry) {
    return entry.second.phase == RunPhase::kWriting;
  });
}

bool CrashRecord::HasUnsharedCrashWithout(const CrashRecord& other) const {
  return std::any_of(
      crashes_.begin(), crashes_.end(), [&other](const auto& entry) {
        return !entry.second.shared && other.crashes_.count(entry.first) == 0;
      });
}

bool CrashRecord::observed_locally() const {
  return std::any_of(crashes_.begin(), crashes_.end(), [](const auto& entry) {
    return entry.second.observed_locally;
  });
}

std::size_t CrashRecord::CountCommon(const CrashRecord& other) const {
  return static_cast<std::size_t>(std::count_if(
      crashes_.begin(), crashes_.end(), [&other](const auto& entry) {
        return other.crashes_.count(entry.first) > 0;
      }));
}

TimePoint CrashRecord::last_crash() const {
  TimePoint last = TimePoint::min();
  for (const auto& [id, crash] : crashes_) last = std::max(last, crash.at);
  return last;
}

void CrashRecord::RemoveLeastInformative() {
  const std::vector<CrashId> sequence = Sequence();
  const auto unused =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        return std::find(sequence.begin(), sequence.end(), entry.first) ==
               sequence.end();
      });
  // A record whose crashes all form a sequence is long enough for any decision.
  crashes_.erase(unused == crashes_.end()
                     ? crashes_.find(sequence[sequence.size() / 2])
                     : unused);
}

}  // namespace pollenledge
