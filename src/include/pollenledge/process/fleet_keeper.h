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

/// Sends scale requests for upstreams to the cloud while this node holds the
/// duty lease. The first holder writes the baseline fleet size of each service
/// to the store once, so that later holders plan with the same baseline. Runs
/// on the event loop. Not thread-safe.
class FleetKeeper {
 public:
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);

  FleetKeeper(boost::asio::io_context& loop, AsyncStore* store,
              AsyncCloud* cloud, const DutyLease* lease, ForwardNode* node,
              std::string prefix);

  void Start();

 private:
  struct Service {
    bool busy = false;  ///< A read or write of the baseline is in progress.
    std::optional<FleetPlanner> planner;
    bool stored = false;  ///< The baseline is in the store.
    TimePoint seen_at;    ///< When registered upstreams were first seen.
  };

  void Tick();
  void Plan(const ForwardingService& service);
  void ReadReference(const std::string& service);
  void WriteReference(const std::string& service);
  void SetReference(const std::string& service, const KvEntry& entry);
  void Send(const UpstreamOrder& request);
  std::vector<ForwardUpstreamInfo> Upstreams() const;
  /// Counts the service's on-demand upstreams that are registered and not
  /// leaving, by failure domain.
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
