#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/store_watch.h"

namespace pollenledge {

/// Keeps a node's tables up to date with the store.
///
/// A watch brings changes within milliseconds; a linearizable read each period
/// proves which version is in force, since a watch that hears nothing proves
/// nothing. Not thread-safe.
class ConfigSync {
 public:
  using Decode = std::function<Result<ForwardingTables>(const std::string&)>;
  using Submit = std::function<void(ForwardEvent)>;

  ConfigSync(boost::asio::io_context& loop, AsyncStore* store, std::string key,
             Duration read_period, Decode decode, StoreFollowing following,
             Submit submit);

  void Start();
  /// Reads now, whenever the next read is due.
  void ReadNow();

 private:
  /// Reads if it is time to.
  void Check();
  void CheckAfter(Duration wait);
  void Read();
  void OnRead(TimePoint started, const Result<StoreItem>& item);
  void OnChanges(const StoreChanges& changes);
  /// Decodes the entry unless it is the one that was decoded last. Null if it
  /// cannot be decoded.
  std::shared_ptr<const ForwardingIndex> Index(const KvEntry& entry);

  AsyncStore* store_;
  std::string key_;
  Duration read_period_;
  Decode decode_;
  StoreFollowing following_;
  bool reading_ = false;
  Submit submit_;
  boost::asio::steady_timer read_timer_;
  StoreWatch watch_;
  std::int64_t decoded_revision_ = 0;
  std::shared_ptr<const ForwardingIndex> decoded_;
  bool store_lost_ = false;
};

}  // namespace pollenledge
