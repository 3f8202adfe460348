#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/duty_lease.h"

namespace pollenledge {

/// Returns the node count to write to the store, or nothing if `stored` stays.
/// A lease holder that has just started may know only a few of many nodes, so
/// the count decreases only once the holder has been up for longer than
/// `Membership::kForgetTimeout`.
std::optional<int> NextFleetSize(int stored, int known, Duration holder_uptime);

/// Keeps the number of nodes of the fleet in the store, where the holder of the
/// duty lease writes it. A node that starts in a network partition reads it and
/// so uses no more than its share of the fleet-wide limits. Runs on the event
/// loop. Not thread-safe.
class FleetSizeSync {
 public:
  struct Hooks {
    std::function<int()> known_nodes;        ///< Including this node.
    std::function<void(int nodes)> on_read;  ///< 0: no valid count is stored.
  };

  /// Interval at which the holder of the duty lease updates a changed count.
  static constexpr Duration kUpdateInterval = std::chrono::seconds(5);
  /// Delay before the store is read again after a failed read or write.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

  FleetSizeSync(boost::asio::io_context& loop, AsyncStore* store,
                const DutyLease* lease, std::string key, Hooks hooks);

  void Start();

 private:
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void UpdateIfChanged();
  void Write(int nodes);
  /// Calls `next` after `delay`.
  void RunAfter(Duration delay, void (FleetSizeSync::*next)());

  AsyncStore* store_;
  const DutyLease* lease_;
  std::string key_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  TimePoint started_at_;
  int stored_nodes_ = 0;              ///< 0: no valid count is stored.
  std::int64_t stored_revision_ = 0;  ///< 0: the key does not exist.
};

}  // namespace pollenledge
