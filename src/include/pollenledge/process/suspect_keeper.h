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

/// Keeps the requests that are refused because upstreams ended under them in
/// one document of the store, so that nodes which all restarted know them
/// before they take their first request.
///
/// Writes are few: one for each new refusal and node that saw one of its
/// crashes, at most one each `kWritePause`. Not thread-safe.
class SuspectKeeper {
 public:
  using Submit = std::function<void(std::vector<SuspectReport>)>;
  using Now = std::function<WallTime()>;

  static constexpr Duration kWritePause = std::chrono::seconds(1);
  static constexpr Duration kReadPause = std::chrono::milliseconds(200);
  /// A node whose first reads fail for so long takes requests without what the
  /// document holds, and goes on reading.
  static constexpr Duration kPatience = std::chrono::seconds(2);

  /// `submit` is called once with what the document held, or with nothing
  /// after `kPatience`, and later with what it held after all.
  SuspectKeeper(boost::asio::io_context& loop, AsyncStore* store,
                std::string key, Now now, Submit submit);

  void Start();
  /// Adds the crashes to the document.
  void Keep(const std::vector<CrashReport>& refused);

 private:
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void OnReadFailed(const Error& error);
  void Write();
  void OnWritten(const Result<KvTxnReply>& reply);

  AsyncStore* store_;
  std::string key_;
  Now now_;
  Submit submit_;
  boost::asio::steady_timer timer_;
  std::vector<StoredCrash> stored_;  ///< What the document held last.
  std::int64_t revision_ = 0;        ///< Of the document; 0: there is none.
  std::vector<StoredCrash> own_;     ///< To be in it.
  int failed_reads_ = 0;
  bool submitted_ = false;
  bool busy_ = false;   ///< A call is on its way, or a pause runs.
  bool dirty_ = false;  ///< `own_` holds what is not written yet.
};

}  // namespace pollenledge
