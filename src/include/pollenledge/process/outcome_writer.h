#pragma once

#include <map>
#include <string>
#include <vector>

#include "pollenledge/process/entry_events.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Holds the outcomes of claims until they are written to the key-value
/// service.
///
/// A write is retried until it succeeds. While an outcome is pending, the entry
/// responds to its peers' queries from it, so that they learn that the work
/// ran. No outcome is ever dropped: while the maximum number is pending, the
/// entry accepts no further non-idempotent requests. Not thread-safe.
class OutcomeWriter {
 public:
  static constexpr std::size_t kMaxPendingWrites = 1024;
  /// Delay before the first retry of a failed write. It doubles with each
  /// further failure, up to `kMaxRetryDelay`.
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);

  /// Adds an outcome and returns the first write to execute.
  action::WriteOutcome Add(const RequestId& id, const std::string& key,
                           const ClaimRecord& record, std::int64_t revision,
                           Duration retention, TimePoint now);
  /// Records the result of a write: removes the outcome, or schedules a retry
  /// with exponential backoff.
  void OnWritten(const RequestId& id, bool ok, TimePoint now);
  /// Returns the writes to retry now and marks them as in flight.
  std::vector<action::WriteOutcome> StartDueRetries(TimePoint now);

  /// The outcome of `id` while its write is pending, otherwise null. The
  /// pointer is valid until the next call of a non-const function.
  const ClaimRecord* Find(const RequestId& id) const;
  bool full() const { return pending_.size() >= kMaxPendingWrites; }
  std::size_t size() const { return pending_.size(); }

 private:
  struct PendingWrite {
    action::WriteOutcome write;
    TimePoint retry_at;
    Duration retry_delay{kFirstRetryDelay};
    bool in_flight = true;
  };

  std::map<RequestId, PendingWrite> pending_;
};

}  // namespace pollenledge
