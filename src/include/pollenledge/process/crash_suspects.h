#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// A request that crashed two upstreams and is not run again for a while.
struct Quarantine {
  std::uint64_t fingerprint = 0;
  Duration remaining{0};

  friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

/// Finds the requests that crash every upstream that runs them.
///
/// When an upstream is lost without notice, every request that ran on it
/// becomes a suspect. Suspects are retried each on an upstream of its own. One
/// whose second upstream is lost too is quarantined; one that completes is
/// cleared. Requests that merely ran beside a suspect are not blamed for the
/// second loss.
///
/// Requests are known by fingerprint, so that a resend counts as the same.
/// Memory is bounded; the oldest suspects are forgotten first. Not
/// thread-safe.
class CrashSuspects {
 public:
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  /// A suspect that is not seen again is forgotten after this time.
  static constexpr Duration kSuspicionTime = std::chrono::minutes(2);
  static constexpr std::size_t kMaxTracked = 4096;

  /// An upstream of `domain` was lost without notice while `running` were on
  /// it. Returns the request that is quarantined now, if the loss proves one
  /// guilty.
  std::optional<Quarantine> OnUpstreamLost(
      const std::vector<std::uint64_t>& running, const std::string& domain,
      TimePoint now);

  /// The failure domain as a whole loses instances: whatever was suspected for
  /// a loss there is cleared.
  void OnDomainWave(const std::string& domain);

  /// The request's answer arrived whole.
  void OnCompleted(std::uint64_t fingerprint);

  /// A peer has quarantined a request.
  void OnPeerQuarantine(const Quarantine& quarantine, TimePoint now);

  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;
  /// How long the request stays quarantined; nothing if it is not.
  std::optional<Duration> QuarantineLeft(std::uint64_t fingerprint,
                                         TimePoint now) const;
  /// All quarantines in force, for peers.
  std::vector<Quarantine> Quarantines(TimePoint now) const;
  /// Forgets what has run out.
  void Forget(TimePoint now);

 private:
  struct Record {
    bool quarantined = false;
    TimePoint until;
    std::string domain;  ///< Where the loss was that made it a suspect.
  };

  void MakeRoom(TimePoint now);

  std::unordered_map<std::uint64_t, Record> records_;
};

}  // namespace pollenledge
