#include "pollenledge/process/calendar_estimate.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace pollenledge {

void CalendarEstimate::Start(const Instant& clocks) {
  if (started_at_.has_value()) return;
  started_at_ = clocks.monotonic;
  own_ = clocks.wall.time_since_epoch() - clocks.monotonic.time_since_epoch();
}

std::optional<Duration> CalendarEstimate::OnPeer(const std::string& peer,
                                                 WallTime estimate,
                                                 TimePoint now) {
  const bool correction_closed =
      !started_at_.has_value() || now - *started_at_ >= kSettles;
  if (correction_closed || estimate == WallTime()) return std::nullopt;
  const bool can_store_peer =
      peers_.size() < kMostPeers || peers_.count(peer) > 0;
  if (!can_store_peer) return std::nullopt;
  peers_[peer] = estimate.time_since_epoch() - now.time_since_epoch();
  const bool sampling_complete = now - *started_at_ >= kListens;
  if (!sampling_complete || peers_.size() < kLeastPeers) return std::nullopt;
  const Duration correction = Median() - own_;
  if (std::abs(correction.count()) < kTolerance.count()) return std::nullopt;
  own_ += correction;
  return correction;
}

CalendarEstimate::Offset CalendarEstimate::Median() const {
  std::vector<Offset> offsets = {own_};
  for (const auto& [name, offset] : peers_) offsets.push_back(offset);
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

WallTime CalendarEstimate::At(TimePoint now) const {
  return WallTime(now.time_since_epoch() + own_);
}

bool CalendarEstimate::IsKnown(TimePoint now) const {
  if (!started_at_.has_value()) return false;
  const Duration elapsed = now - *started_at_;
  return elapsed >= kPatience ||
         (elapsed >= kListens && peers_.size() >= kLeastPeers);
}

}  // namespace pollenledge
