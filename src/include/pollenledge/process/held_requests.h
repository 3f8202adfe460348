#pragma once

#include <optional>
#include <vector>

#include "pollenledge/process/forward_events.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A request that is not decided on yet.
struct HeldRequest {
  forward_event::RequestArrived arrived;
  TimePoint arrived_at;
  TimePoint release_at;  ///< It waits no longer than this.
};

/// The requests that wait until the tables are confirmed current, in the order
/// of their arrival. Deterministic; not thread-safe.
class HeldRequests {
 public:
  /// Maximum time for which a request waits. It covers a read of the store
  /// whose first call is lost.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(500);
  /// Maximum wait as a share of the time that the request has.
  static constexpr int kMaxWaitDivisor = 3;

  /// `time_left` is the time until the request's deadline.
  void Add(const forward_event::RequestArrived& arrived, Duration time_left,
           TimePoint now);
  /// Returns false if the request is not held.
  bool Remove(ForwardId id);
  std::vector<HeldRequest> TakeAll();
  /// Takes the requests that have waited for as long as they may.
  std::vector<HeldRequest> TakeDue(TimePoint now);

  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  /// Returns when `TakeDue` returns the next request; empty if none is held.
  const std::optional<TimePoint>& next_due() const { return next_due_; }

 private:
  void UpdateNextDue();

  std::vector<HeldRequest> requests_;
  std::optional<TimePoint> next_due_;
};

}  // namespace pollenledge
