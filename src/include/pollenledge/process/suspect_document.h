#pragma once

#include <string>
#include <vector>

#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A crash under a refused request as the store keeps it.
struct StoredCrash {
  Fingerprint fingerprint;
  CrashId crash = 0;
  bool shared = false;
  WallTime at;

  friend bool operator==(const StoredCrash&, const StoredCrash&) = default;
};

/// Requests that the document holds at most; the latest stay.
constexpr std::size_t kMaxStoredSuspects = 256;

/// The document's text.
std::string EncodeSuspects(const std::vector<StoredCrash>& crashes);
/// Reads the document. An empty text holds nothing.
Result<std::vector<StoredCrash>> DecodeSuspects(const std::string& text);
/// Both lists together, each crash under a request once, without what is older
/// than a refusal lasts.
std::vector<StoredCrash> MergeSuspects(const std::vector<StoredCrash>& stored,
                                       const std::vector<StoredCrash>& own,
                                       WallTime now);
/// The crashes as this node tells them to itself at `now`.
std::vector<SuspectReport> ToReports(const std::vector<StoredCrash>& crashes,
                                     WallTime now);
std::vector<StoredCrash> ToStored(const std::vector<CrashReport>& reports,
                                  WallTime now);

}  // namespace pollenledge
