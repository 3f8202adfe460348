#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "pollenledge/connection/async_store.h"

namespace pollenledge {

/// How far a node must read the store itself: in a large fleet a few nodes read
/// and tell the others.
struct StoreFollowing {
  /// True if it must be read now, where it is to be read each `period`.
  std::function<bool(Duration period, TimePoint now)> needs_read;
  /// True if changes must be watched for.
  std::function<bool()> needs_watch;
  /// True if others are told what is read here, so that it is read more often.
  std::function<bool()> reads_for_others;
};

/// Hears of changes under a prefix of the store, one long poll after the other.
///
/// A watch that hears nothing proves nothing: its connection may be silent, or
/// the history gone. So the owner reads the prefix each period as well, and
/// tells each read's outcome here: a good one begins the watch if none is
/// running, a failed one leaves the present watch to itself. Not thread-safe;
/// `store` must outlive it.
class StoreWatch {
 public:
  /// How long one poll waits. Below the 30 s that the store allows.
  static constexpr Duration kWait = std::chrono::seconds(20);
  using OnChanges = std::function<void(const StoreChanges&)>;
  using OnError = std::function<void(const Error&)>;

  /// `pause` lies between two polls: changes come in flurries, and one call
  /// then brings several.
  StoreWatch(boost::asio::io_context& loop, AsyncStore* store,
             std::string prefix, Duration pause,
             std::function<bool()> needs_watch, OnChanges on_changes,
             OnError on_error);

  /// A read showed the store as of `revision`.
  void OnReadSucceeded(std::int64_t revision);
  /// A read failed. The watch's connection may have gone silent with whatever
  /// made it fail.
  void OnReadFailed();

 private:
  void Poll();
  void OnPolled(const Result<StoreChanges>& changes);

  AsyncStore* store_;
  std::string prefix_;
  Duration pause_;
  std::function<bool()> needs_watch_;
  OnChanges on_changes_;
  OnError on_error_;
  boost::asio::steady_timer timer_;
  std::int64_t from_revision_ = 0;
  bool running_ = false;
  /// Counts the watches; answers to earlier ones are ignored.
  std::uint64_t number_ = 0;
};

}  // namespace pollenledge
