#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "pollenledge/connection/async_store.h"

namespace pollenledge {

/// Tells how much of the store a node must read itself. In a large fleet a few
/// nodes read it and publish the state to the others.
struct StoreReadPolicy {
  /// Returns true if a read is due now, given that one is due once the state
  /// was last confirmed `max_age` ago.
  std::function<bool(Duration max_age, TimePoint now)> needs_read;
  /// Returns true if this node must watch the store for changes.
  std::function<bool()> needs_watch;
  /// Returns true if this node publishes what it reads, and therefore reads
  /// more often.
  std::function<bool()> publishes_reads;
};

/// Watches the changes under a prefix of the store by consecutive long polls.
///
/// A watch without changes is no evidence that nothing changed: its connection
/// may be lost, or the store may have discarded the history. The owner
/// therefore also reads the prefix each period and reports the outcome of each
/// read here. A successful read starts a watch if none is running; a failed
/// read abandons the running watch.
///
/// Not thread-safe; `store` must outlive it.
class StoreWatch {
 public:
  /// Time that one long poll waits for changes. Below the 30 s that the store
  /// allows.
  static constexpr Duration kPollTimeout = std::chrono::seconds(20);
  using OnChanges = std::function<void(const StoreChanges&)>;
  using OnError = std::function<void(const Error&)>;

  /// `poll_delay` separates two polls: changes come in bursts, so that one poll
  /// then returns several of them.
  StoreWatch(boost::asio::io_context& loop, AsyncStore* store,
             std::string prefix, Duration poll_delay,
             std::function<bool()> needs_watch, OnChanges on_changes,
             OnError on_error);

  /// Starts a watch from `revision`, as of which the store was read, unless one
  /// is running or this node need not watch the store.
  void OnReadSucceeded(std::int64_t revision);
  /// Abandons the running watch: its connection may be lost for the same reason
  /// that made the read fail.
  void OnReadFailed();

 private:
  void Poll();
  void OnPolled(const Result<StoreChanges>& changes);

  AsyncStore* store_;
  std::string prefix_;
  Duration poll_delay_;
  std::function<bool()> needs_watch_;
  OnChanges on_changes_;
  OnError on_error_;
  boost::asio::steady_timer timer_;
  std::int64_t after_revision_ = 0;
  bool polling_ = false;  ///< A watch is running, or waits for its next poll.
  /// Incremented for each poll and when a watch is abandoned; responses to
  /// earlier polls are ignored.
  std::uint64_t generation_ = 0;
};

}  // namespace pollenledge
