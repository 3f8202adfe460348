#include "pollenledge/process/wall_clock_estimate.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace pollenledge {

void WallClockEstimate::Start(const Instant& clocks) {
  if (started_at_.has_value()) return;
  started_at_ = clocks.monotonic;
  offset_ =
      clocks.wall.time_since_epoch() - clocks.monotonic.time_since_epoch();
}

std::optional<Duration> WallClockEstimate::OnPeerEstimate(
    const std::string& peer, WallTime estimate, TimePoint now) {
  const bool correction_closed =
      !started_at_.has_value() || now - *started_at_ >= kCorrectionWindow;
  if (correction_closed || estimate == WallTime()) return std::nullopt;
  const bool can_store_peer =
      peer_offsets_.size() < kMaxPeers || peer_offsets_.count(peer) > 0;
  if (!can_store_peer) return std::nullopt;
  peer_offsets_[peer] = estimate.time_since_epoch() - now.time_since_epoch();
  const bool sampling_complete = now - *started_at_ >= kSamplingTime;
  if (!sampling_complete || peer_offsets_.size() < kMinPeers)
    return std::nullopt;
  const Duration correction = MedianOffset() - offset_;
  if (std::abs(correction.count()) < kMinCorrection.count())
    return std::nullopt;
  offset_ += correction;
  return correction;
}

WallClockEstimate::Offset WallClockEstimate::MedianOffset() const {
  std::vector<Offset> offsets = {offset_};
  for (const auto& [name, offset] : peer_offsets_) offsets.push_back(offset);
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

WallTime WallClockEstimate::At(TimePoint now) const {
  return WallTime(now.time_since_epoch() + offset_);
}

bool WallClockEstimate::IsReliable(TimePoint now) const {
  if (!started_at_.has_value()) return false;
  const Duration elapsed = now - *started_at_;
  return elapsed >= kNoPeerTimeout ||
         (elapsed >= kSamplingTime && peer_offsets_.size() >= kMinPeers);
}

}  // namespace pollenledge
