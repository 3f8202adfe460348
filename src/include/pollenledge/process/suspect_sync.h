#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/suspect_document.h"

namespace pollenledge {

/// Synchronizes the requests that are rejected because they crash upstreams
/// with one document in the store. If all nodes restart, they load the rejected
/// requests before they accept their first request.
///
/// A node writes only when a request becomes rejected of which it observed a
/// crash, and writes successfully at most once per `kWriteInterval`.
/// Not thread-safe.
class SuspectSync {
 public:
  using ReportsCallback = std::function<void(std::vector<SuspectReport>)>;
  using WallClock = std::function<WallTime()>;

  /// Minimum time between writes. Also the interval of read retries after
  /// `kStartupReadTimeout`.
  static constexpr Duration kWriteInterval = std::chrono::seconds(1);
  /// Time before a failed write is retried, or a failed read until the first
  /// reports are delivered.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
  /// If the first reads fail for this long, the node accepts requests without
  /// the document and keeps retrying the read. Each failed read counts as
  /// `kRetryInterval`, however long it took.
  static constexpr Duration kStartupReadTimeout = std::chrono::seconds(2);

  /// Calls `on_reports` on the loop's thread with the content of the document
  /// after the first successful read, or with an empty list after
  /// `kStartupReadTimeout`, and again after each later read that finds crashes.
  /// `store` must outlive this object; `key` is the document's key.
  SuspectSync(boost::asio::io_context& loop, AsyncStore* store, std::string key,
              WallClock now, ReportsCallback on_reports);

  /// Starts to read the document. Call once.
  void Start();
  /// Merges the crashes of rejected requests into the document, now or as soon
  /// as no store call is pending.
  void AddCrashes(const std::vector<CrashReport>& crashes);

 private:
  /// Writes again what the store has lost.
  void OnRestored();
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void OnReadFailed(const Error& error);
  void Write();
  void OnWritten(const Result<KvTxnReply>& reply);

  AsyncStore* store_;
  std::string key_;
  WallClock now_;
  ReportsCallback on_reports_;
  boost::asio::steady_timer timer_;
  std::vector<StoredCrash>
      stored_crashes_;         ///< Last known content of the document.
  std::int64_t revision_ = 0;  ///< Of the document; 0: does not exist.
  std::vector<StoredCrash> local_crashes_;  ///< Crashes this node adds to it.
  int failed_reads_ = 0;
  bool initial_reports_delivered_ = false;
  bool busy_ = false;   ///< A store call or the timer is pending.
  bool dirty_ = false;  ///< `local_crashes_` holds unwritten crashes.
};

}  // namespace pollenledge
