#include "pollenledge/process/suspect_document.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;
using SuspectCrash = std::pair<Fingerprint, CrashId>;

/// The suspects with lower values are removed from a full document first.
struct SuspectWeight {
  std::size_t crashes = 0;
  WallTime last_crash;

  friend auto operator<=>(const SuspectWeight&, const SuspectWeight&) = default;
};

std::map<Fingerprint, SuspectWeight> SuspectWeights(
    const std::map<SuspectCrash, StoredCrash>& crashes) {
  std::map<Fingerprint, SuspectWeight> weights;
  for (const auto& [key, crash] : crashes) {
    SuspectWeight& weight = weights[key.first];
    ++weight.crashes;
    weight.last_crash = std::max(weight.last_crash, crash.at);
  }
  return weights;
}

/// Removes the suspects with the lowest weight if there are more than
/// `kMaxStoredSuspects`.
void KeepMostSuspected(std::map<SuspectCrash, StoredCrash>* crashes) {
  const std::map<Fingerprint, SuspectWeight> weights = SuspectWeights(*crashes);
  if (weights.size() <= kMaxStoredSuspects) return;
  std::vector<SuspectWeight> sorted;
  sorted.reserve(weights.size());
  for (const auto& [fingerprint, weight] : weights) sorted.push_back(weight);
  std::sort(sorted.rbegin(), sorted.rend());
  const SuspectWeight bound = sorted[kMaxStoredSuspects];
  std::erase_if(*crashes, [&](const auto& entry) {
    return weights.at(entry.first.first) <= bound;
  });
}

}  // namespace

std::string EncodeSuspects(const std::vector<StoredCrash>& crashes) {
  Json list = Json::array();
  for (const StoredCrash& crash : crashes) {
    list.push_back({{"request", ToHex(crash.fingerprint)},
                    {"crash", crash.crash},
                    {"shared", crash.shared},
                    {"at_us", crash.at.time_since_epoch().count()},
                    {"run_us", crash.run_time.count()},
                    {"phase", static_cast<int>(crash.phase)}});
  }
  return Json{{"crashes", list}}.dump();
}

Result<std::vector<StoredCrash>> DecodeSuspects(const std::string& text) {
  std::vector<StoredCrash> crashes;
  if (text.empty()) return crashes;
  try {
    const Json document = Json::parse(text);
    for (const Json& entry : document.at("crashes")) {
      StoredCrash crash;
      const std::optional<Fingerprint> fingerprint =
          ParseFingerprint(entry.at("request").get<std::string>());
      if (!fingerprint.has_value()) {
        return Error{ErrorCode::kInvalidArgument,
                     "the fingerprint of a request is not 32 hexadecimal "
                     "digits"};
      }
      crash.fingerprint = *fingerprint;
      crash.crash = entry.at("crash").get<CrashId>();
      crash.shared = entry.at("shared").get<bool>();
      crash.at = WallTime(Duration(entry.at("at_us").get<std::int64_t>()));
      // Nodes of an earlier version do not write these.
      crash.run_time = Duration(entry.value("run_us", std::int64_t{0}));
      crash.phase = ToRunPhase(entry.value("phase", std::uint64_t{0}));
      crashes.push_back(crash);
    }
  } catch (const Json::exception& problem) {
    return Error{ErrorCode::kInvalidArgument, problem.what()};
  }
  return crashes;
}

std::vector<StoredCrash> MergeSuspects(const std::vector<StoredCrash>& stored,
                                       const std::vector<StoredCrash>& local,
                                       WallTime now) {
  std::map<SuspectCrash, StoredCrash> merged;
  for (const auto* list : {&stored, &local}) {
    for (const StoredCrash& crash : *list) {
      if (now - crash.at >= CrashSuspects::kRejectionTime) continue;
      merged.try_emplace({crash.fingerprint, crash.crash}, crash);
    }
  }
  KeepMostSuspected(&merged);
  std::vector<StoredCrash> crashes;
  crashes.reserve(merged.size());
  for (const auto& [key, crash] : merged) crashes.push_back(crash);
  return crashes;
}

std::vector<SuspectReport> ToReports(const std::vector<StoredCrash>& crashes,
                                     WallTime now) {
  std::vector<SuspectReport> reports;
  reports.reserve(crashes.size());
  for (const StoredCrash& crash : crashes) {
    // The clock of the node that recorded the crash may be ahead.
    const Duration age = std::max<Duration>(Duration(0), now - crash.at);
    reports.emplace_back(CrashReport{crash.fingerprint, crash.crash,
                                     crash.shared, age, crash.run_time,
                                     crash.phase});
  }
  return reports;
}

std::vector<StoredCrash> ToStoredCrashes(
    const std::vector<CrashReport>& reports, WallTime now) {
  std::vector<StoredCrash> crashes;
  crashes.reserve(reports.size());
  for (const CrashReport& report : reports) {
    crashes.push_back({report.fingerprint, report.crash, report.shared,
                       now - report.age, report.run_time, report.phase});
  }
  return crashes;
}

}  // namespace pollenledge
