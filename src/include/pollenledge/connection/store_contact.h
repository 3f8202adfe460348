#pragma once

#include <optional>

#include "pollenledge/time.h"

namespace pollenledge {

/// Tells since when the store may have been away, from the outcomes of the
/// calls to it.
///
/// A call that failed alone is no sign of an outage, nor is a watch that ended:
/// the store may turn one call away, or a connection may be lost. An outage of
/// a certain length is possible only if calls failed and none was answered for
/// that long.
///
/// Deterministic: a function of the calls that it is told. Not thread-safe.
class StoreContact {
 public:
  /// `min_outage` is the shortest outage that matters to the user.
  explicit StoreContact(Duration min_outage) : min_outage_(min_outage) {}

  /// A call that was sent at `sent_at` was answered.
  void OnResponded(TimePoint sent_at, TimePoint now);
  /// A call failed: it was not answered, or the store turned it away.
  void OnFailed() { failed_ = true; }

  /// Returns true if the store may have been away for `min_outage` by now.
  bool MayBeAway(TimePoint now) const;
  /// Returns when the store last answered again after an outage of at least
  /// `min_outage` that was possible.
  const std::optional<TimePoint>& recovered_at() const { return recovered_at_; }

 private:
  Duration min_outage_;
  /// When the newest answered call was sent. The store may have been away from
  /// then on, as far as this node knows.
  std::optional<TimePoint> last_contact_;
  bool failed_ = false;  ///< A call failed since the last answer.
  std::optional<TimePoint> recovered_at_;
};

}  // namespace pollenledge
