#pragma once

#include <map>
#include <string>
#include <vector>

#include "pollenledge/process/entry_events.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Keeps the outcomes of claims until the key-value service has them.
///
/// A write is repeated until it is confirmed. While an outcome is here the
/// entry answers for it: a peer that asks hears that the work ran. When the
/// keeper is full the entry takes no further non-idempotent work, so nothing
/// is ever forgotten. Not thread-safe.
class OutcomeKeeper {
 public:
  static constexpr std::size_t kMaxKept = 1024;
  static constexpr Duration kFirstRetry = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetry = std::chrono::seconds(8);

  /// Begins to keep an outcome; returns the write to make.
  action::WriteOutcome Keep(const RequestId& id, const std::string& key,
                            const ClaimRecord& record, std::int64_t revision,
                            Duration retention, TimePoint now);
  void OnWritten(const RequestId& id, bool ok, TimePoint now);
  /// The writes that are due to be repeated.
  std::vector<action::WriteOutcome> Due(TimePoint now);

  /// The outcome of `id` while it is not yet recorded, else null. Valid until
  /// the next change.
  const ClaimRecord* Find(const RequestId& id) const;
  bool full() const { return kept_.size() >= kMaxKept; }
  std::size_t size() const { return kept_.size(); }

 private:
  struct Kept {
    action::WriteOutcome write;
    TimePoint due_at;
    Duration next_delay{kFirstRetry};
    bool in_flight = true;
  };

  std::map<RequestId, Kept> kept_;
};

}  // namespace pollenledge
