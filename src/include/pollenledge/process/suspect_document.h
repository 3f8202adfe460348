#pragma once

#include <string>
#include <vector>

#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A crash attributed to a suspect, as written to the store.
struct StoredCrash {
  Fingerprint fingerprint;
  CrashId crash = 0;
  bool shared = false;  ///< As in `CrashReport`.
  WallTime at;
  Duration run_time{0};                  ///< As in `CrashReport`.
  RunPhase phase = RunPhase::kStarting;  ///< As in `CrashReport`.

  friend bool operator==(const StoredCrash&, const StoredCrash&) = default;
};

/// Maximum number of suspects in the document. Those with the most crashes, and
/// among these the latest ones, are kept.
constexpr std::size_t kMaxStoredSuspects = 256;

/// Returns the crashes as a JSON document.
std::string EncodeSuspects(const std::vector<StoredCrash>& crashes);
/// Parses the document. An empty text yields an empty list; a malformed one
/// yields `kInvalidArgument`.
Result<std::vector<StoredCrash>> DecodeSuspects(const std::string& text);
/// Merges both lists. Removes duplicates of the same request and crash, and
/// crashes that are older than `CrashSuspects::kRejectionTime`.
std::vector<StoredCrash> MergeSuspects(const std::vector<StoredCrash>& stored,
                                       const std::vector<StoredCrash>& local,
                                       WallTime now);
/// Converts the crashes to reports for this node's `CrashSuspects`, with ages
/// relative to `now`.
std::vector<SuspectReport> ToReports(const std::vector<StoredCrash>& crashes,
                                     WallTime now);
/// Converts reports, whose ages are relative to `now`, to stored crashes.
std::vector<StoredCrash> ToStoredCrashes(
    const std::vector<CrashReport>& reports, WallTime now);

}  // namespace pollenledge
