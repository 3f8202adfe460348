#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/duty_lease.h"
#include "pollenledge/process/fleet_planner.h"
#include "pollenledge/process/forward_node.h"

namespace pollenledge {

/// Orders upstreams while this node holds the duties. The reference size of
/// each service is kept in the store, written once by the first holder, so
/// that later holders plan by the same. Not thread-safe.
class FleetKeeper {
 public:
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);

  FleetKeeper(boost::asio::io_context& loop, AsyncStore* store,
              AsyncCloud* cloud, const DutyLease* lease, ForwardNode* node,
              std::string prefix);

  void Start();

 private:
  struct Service {
    bool busy = false;  ///< The reference is being read or written.
    std::optional<FleetPlanner> planner;
    bool stored = false;  ///< The reference is in the store.
    TimePoint seen_at;    ///< When the first upstreams were seen.
  };

  void Tick();
  void Plan(const ForwardingService& service);
  void ReadReference(const std::string& service);
  void WriteReference(const std::string& service);
  void SetReference(const std::string& service, const KvEntry& entry);
  void Send(const UpstreamOrder& order);
  std::vector<ForwardUpstreamInfo> Upstreams() const;
  /// The service's on-demand upstreams that are ready, by failure domain.
  DomainCounts Standing(const std::string& service) const;

  AsyncStore* store_;
  AsyncCloud* cloud_;
  const DutyLease* lease_;
  ForwardNode* node_;
  std::string prefix_;
  boost::asio::steady_timer timer_;
  std::map<std::string, Service> services_;
};

}  // namespace pollenledge
