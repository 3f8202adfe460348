#include "pollenledge/process/held_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenledge {

void HeldRequests::Add(const forward_event::RequestArrived& arrived,
                       Duration time_left, TimePoint now) {
  const Duration wait =
      std::min<Duration>(kMaxWait, time_left / kMaxWaitDivisor);
  const HeldRequest held{arrived, now, now + wait};
  next_due_ = std::min(held.release_at, next_due_.value_or(held.release_at));
  requests_.push_back(held);
}

bool HeldRequests::Remove(ForwardId id) {
  const std::size_t removed = std::erase_if(
      requests_,
      [id](const HeldRequest& held) { return held.arrived.id == id; });
  UpdateNextDue();
  return removed > 0;
}

std::vector<HeldRequest> HeldRequests::TakeAll() {
  next_due_.reset();
  return std::exchange(requests_, {});
}

std::vector<HeldRequest> HeldRequests::TakeDue(TimePoint now) {
  if (!next_due_.has_value() || now < *next_due_) return {};
  const auto first_due = std::stable_partition(
      requests_.begin(), requests_.end(),
      [now](const HeldRequest& held) { return now < held.release_at; });
  std::vector<HeldRequest> due(std::make_move_iterator(first_due),
                               std::make_move_iterator(requests_.end()));
  requests_.erase(first_due, requests_.end());
  UpdateNextDue();
  return due;
}

void HeldRequests::UpdateNextDue() {
  next_due_.reset();
  for (const HeldRequest& held : requests_)
    next_due_ = std::min(held.release_at, next_due_.value_or(held.release_at));
}

}  // namespace pollenledge
