#include "pollenledge/process/crash_suspects.h"

#include <algorithm>

namespace pollenledge {

std::optional<Quarantine> CrashSuspects::OnUpstreamLost(
    const std::vector<std::uint64_t>& running, const std::string& domain,
    TimePoint now) {
  std::vector<std::uint64_t> suspects;
  for (const std::uint64_t fingerprint : running) {
    if (IsSuspect(fingerprint, now)) suspects.push_back(fingerprint);
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  if (suspects.size() == 1) {
    records_[suspects.front()] = {true, now + kQuarantineTime, domain};
    return Quarantine{suspects.front(), kQuarantineTime};
  }
  const std::vector<std::uint64_t>& blamed =
      suspects.empty() ? running : suspects;
  for (const std::uint64_t fingerprint : blamed) {
    if (QuarantineLeft(fingerprint, now).has_value()) continue;
    MakeRoom(now);
    records_[fingerprint] = {false, now + kSuspicionTime, domain};
  }
  return std::nullopt;
}

void CrashSuspects::OnDomainWave(const std::string& domain) {
  for (auto it = records_.begin(); it != records_.end();) {
    const bool cleared = !it->second.quarantined && it->second.domain == domain;
    it = cleared ? records_.erase(it) : std::next(it);
  }
}

void CrashSuspects::OnCompleted(std::uint64_t fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end() && !found->second.quarantined) {
    records_.erase(found);
  }
}

void CrashSuspects::OnPeerQuarantine(const Quarantine& quarantine,
                                     TimePoint now) {
  const TimePoint until = now + std::min(quarantine.remaining, kQuarantineTime);
  const auto found = records_.find(quarantine.fingerprint);
  if (found != records_.end() && found->second.quarantined &&
      found->second.until >= until) {
    return;
  }
  MakeRoom(now);
  records_[quarantine.fingerprint] = {true, until, ""};
}

bool CrashSuspects::IsSuspect(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() && !found->second.quarantined &&
         now < found->second.until;
}

std::optional<Duration> CrashSuspects::QuarantineLeft(std::uint64_t fingerprint,
                                                      TimePoint now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || !found->second.quarantined ||
      now >= found->second.until) {
    return std::nullopt;
  }
  return found->second.until - now;
}

std::vector<Quarantine> CrashSuspects::Quarantines(TimePoint now) const {
  std::vector<Quarantine> quarantines;
  for (const auto& [fingerprint, record] : records_) {
    if (!record.quarantined || now >= record.until) continue;
    quarantines.push_back({fingerprint, record.until - now});
  }
  return quarantines;
}

void CrashSuspects::Forget(TimePoint now) {
  for (auto it = records_.begin(); it != records_.end();) {
    it = now >= it->second.until ? records_.erase(it) : std::next(it);
  }
}

void CrashSuspects::MakeRoom(TimePoint now) {
  if (records_.size() < kMaxTracked) return;
  Forget(now);
  if (records_.size() < kMaxTracked) return;
  const auto oldest = std::min_element(records_.begin(), records_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.until < b.second.until;
                                       });
  records_.erase(oldest);
}

}  // namespace pollenledge
