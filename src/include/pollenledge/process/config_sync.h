#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/forward_events.h"

namespace pollenledge {

/// Keeps a node's tables up to date with the store.
///
/// A watch brings changes within milliseconds; a linearizable read each period
/// proves which version is in force, since a watch that hears nothing proves
/// nothing. Not thread-safe.
class ConfigSync {
 public:
  static constexpr Duration kWatchWait = std::chrono::seconds(20);

  using Decode = std::function<Result<ForwardingTables>(const std::string&)>;
  using Submit = std::function<void(ForwardEvent)>;

  ConfigSync(boost::asio::io_context& loop, AsyncStore* store, std::string key,
             Duration read_period, Decode decode, Submit submit);

  void Start();

 private:
  void Read();
  void OnRead(TimePoint started, const Result<StoreItem>& item);
  void Watch();
  void OnWatched(const Result<StoreChanges>& changes);
  /// Leaves the present watch to itself; the next read begins another.
  void DropWatch();
  /// Decodes the entry unless it is the one that was decoded last. Null if it
  /// cannot be decoded.
  std::shared_ptr<const ForwardingIndex> Index(const KvEntry& entry);

  AsyncStore* store_;
  std::string key_;
  Duration read_period_;
  Decode decode_;
  Submit submit_;
  boost::asio::steady_timer read_timer_;
  boost::asio::steady_timer watch_timer_;
  std::int64_t decoded_revision_ = 0;
  std::shared_ptr<const ForwardingIndex> decoded_;
  std::int64_t watch_from_ = 0;
  bool watching_ = false;
  std::uint64_t watch_number_ = 0;  ///< Answers to earlier watches are ignored.
  bool store_lost_ = false;
};

}  // namespace pollenledge
