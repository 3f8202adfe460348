#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A restore of the store, as it is recorded in the store itself.
struct StoredRestore {
  std::int64_t era = 0;  ///< The era that began with it.
  WallTime at{};         ///< It happened at this time or earlier.

  friend bool operator==(const StoredRestore&, const StoredRestore&) = default;
};

/// Encodes and decodes the record's entry.
std::string EncodeRestore(const StoredRestore& restore);
Result<StoredRestore> DecodeRestore(const std::string& text);

/// Remembers when the store was last restored from an older copy, also for
/// processes that start later.
///
/// A process sees a restore by the store's era. A process that starts later
/// sees only the current era; the record in the store tells it when that began.
/// A missing or older record in a later era than the first means that the store
/// was restored and nobody has recorded it.
///
/// Runs on the event loop of its constructor. Not thread-safe; `store` must
/// outlive it.
class RestoreRecord {
 public:
  /// Delay after a failed call to the store.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
  /// Time after a restore within which operators and upstreams have written
  /// again what the store lost.
  static constexpr Duration kRewriteTime = std::chrono::seconds(2);

  /// `key` is the record's entry. Only one process needs to write it;
  /// `may_write` tells whether this one should.
  RestoreRecord(boost::asio::io_context& loop, AsyncStore* store,
                std::string key, std::function<WallTime()> now,
                std::function<bool()> may_write);

  void Start();

  /// False until the record was read after the start and after each restore.
  bool is_known() const { return is_known_; }
  /// What was written to the store before this time may be lost. Empty if the
  /// store was never restored.
  const std::optional<WallTime>& restored_at() const { return restored_at_; }
  /// Returns true if entries in the store may be older than what was last
  /// written, and this process started too late to know.
  bool MayLackWrites() const;

 private:
  /// Returns true while lost writes may not have been written again, whether or
  /// not this process knew them.
  bool IsRewriteTime() const;
  void OnRestored();
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void Write(std::int64_t expected_revision);
  void RetryRead();

  AsyncStore* store_;
  std::string key_;
  std::function<WallTime()> now_;
  std::function<bool()> may_write_;
  boost::asio::steady_timer timer_;
  bool is_known_ = false;
  std::int64_t era_ = 0;  ///< Of the last read.
  std::optional<WallTime> restored_at_;
  /// This process had read everything before the store was restored.
  bool was_current_ = false;
};

}  // namespace pollenledge
