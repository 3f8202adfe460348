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

/// Synchronizes what crashes upstreams with one document in the store. If all
/// nodes restart, they load the document before they accept their first
/// request. Nodes that do not know each other read it again and again.
///
/// A node writes only what the document lacks, and writes successfully at most
/// once per `kWriteInterval`.
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
  /// `kStartupReadTimeout`, and again with the new crashes after each later
  /// read that finds some. A crash that was delivered once is not delivered
  /// again, as the suspect may have been cleared of it since. `store` must
  /// outlive this object; `key` is the document's key.
  SuspectSync(boost::asio::io_context& loop, AsyncStore* store, std::string key,
              WallClock now, ReportsCallback on_reports);

  /// Starts to read the document. Call once.
  void Start();
  /// Merges the crashes into the document, now or as soon as no store call is
  /// pending.
  void AddCrashes(const std::vector<CrashReport>& crashes);
  /// Reads the document again, now or as soon as no store call is pending.
  void ReadNow();

 private:
  /// Writes again what the store has lost.
  void OnRestored();
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void OnReadFailed(const Error& error);
  /// Returns the crashes that are neither known from earlier reads nor this
  /// node's own.
  std::vector<StoredCrash> NewCrashes(
      const std::vector<StoredCrash>& stored) const;
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
  bool busy_ = false;            ///< A store call or the timer is pending.
  bool dirty_ = false;           ///< `local_crashes_` holds unwritten crashes.
  bool read_requested_ = false;  ///< While busy.
};

}  // namespace pollenledge
