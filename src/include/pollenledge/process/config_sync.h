#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/store_watch.h"
#include "pollenledge/process/tables_times.h"

namespace pollenledge {

/// Keeps a node's tables up to date with the key-value store.
///
/// A watch delivers changes within a fraction of a second. Linearizable reads
/// confirm which version is active, since a watch without changes may also be
/// one whose connection was lost.
///
/// Uses the event loop of its constructor. Not thread-safe; `store` must
/// outlive it.
class ConfigSync {
 public:
  /// Decodes the value of the tables' entry.
  using Decode = std::function<Result<ForwardingTables>(const std::string&)>;
  /// Returns true if the store may lack the last writes of the operator.
  using MayLackWrites = std::function<bool()>;
  /// Receives the event of each version that was read or watched, and of each
  /// read that failed.
  using Submit = std::function<void(ForwardEvent)>;

  /// `key` is the tables' entry. It is read as `times` say unless `read_policy`
  /// reports that a peer confirmed the tables.
  ConfigSync(boost::asio::io_context& loop, AsyncStore* store, std::string key,
             const TablesTimes& times, Decode decode,
             StoreReadPolicy read_policy, MayLackWrites may_lack_writes,
             Submit submit);

  /// Starts with a read, which then starts the watch.
  void Start();
  /// Reads at once, regardless of when the next read is due.
  void ReadNow();

 private:
  /// Reads if a read is due, else checks again later.
  void ReadIfDue();
  void ScheduleCheck(Duration delay);
  /// Returns the time from the end of a read until the next check.
  Duration CheckDelay() const;
  void Read();
  /// Revisions of the running watch are out of date; the next read continues.
  void OnRestored();
  /// A read that started at `started` has ended, or its result came late.
  void OnReadEnded(TimePoint started, const Result<StoreItem>& item);
  void OnRead(TimePoint started, const Result<StoreItem>& item);
  void OnChanges(const StoreChanges& changes);
  /// Reads soon: the read starts the next watch.
  void OnWatchEnded();
  /// Decodes the entry, or returns the cached index if the entry has the newest
  /// revision decoded so far. Returns null if the entry cannot be decoded.
  std::shared_ptr<const ForwardingIndex> DecodeIndex(const KvEntry& entry);

  AsyncStore* store_;
  std::string key_;
  TablesTimes times_;
  Decode decode_;
  StoreReadPolicy read_policy_;
  MayLackWrites may_lack_writes_;
  bool read_in_progress_ = false;
  TimePoint read_started_at_;
  Duration read_time_{0};  ///< That the last read took.
  Submit submit_;
  boost::asio::steady_timer read_timer_;
  StoreWatch watch_;
  std::int64_t decoded_revision_ = 0;  ///< Newest revision decoded so far.
  std::shared_ptr<const ForwardingIndex> decoded_index_;
  bool store_unavailable_ = false;  ///< The last read failed.
};

}  // namespace pollenledge
