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

/// What the number of nodes in the store should become. A holder that has just
/// started may know few nodes of many, so the number goes down only once it
/// would have forgotten the others. Returns nothing if it stays.
std::optional<int> NextFleetSize(int stored, int known, Duration holder_uptime);

/// Keeps the number of nodes in the store, written by the holder of the duties,
/// so that a node which starts in a cut does not take more of what all nodes
/// share than its part. Not thread-safe.
class FleetSizeKeeper {
 public:
  struct Hooks {
    std::function<int()> known_nodes;  ///< This one included.
    std::function<void(int nodes)> on_read;
  };

  static constexpr Duration kPeriod = std::chrono::seconds(5);
  static constexpr Duration kRetry = std::chrono::milliseconds(500);

  FleetSizeKeeper(boost::asio::io_context& loop, AsyncStore* store,
                  const DutyLease* lease, std::string key, Hooks hooks);

  void Start();

 private:
  void Read();
  void OnRead(const Result<StoreItem>& item);
  void Tick();
  void Write(int nodes);
  /// Calls `next` after `pause`.
  void After(Duration pause, void (FleetSizeKeeper::*next)());

  AsyncStore* store_;
  const DutyLease* lease_;
  std::string key_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  TimePoint started_at_;
  int stored_ = 0;  ///< 0: not in the store.
  std::int64_t revision_ = 0;
};

}  // namespace pollenledge
