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
class FleetScaler {
 public:
  /// Interval at which the lease holder plans each service.
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

  /// The baseline of a service is stored under `prefix` and the service's name.
  FleetScaler(boost::asio::io_context& loop, AsyncStore* store,
              AsyncCloud* cloud, const DutyLease* lease, ForwardNode* node,
              std::string prefix);

  void Start();

 private:
  struct ServiceState {
    bool baseline_call_in_progress =
        false;  ///< A read or write of the baseline is in progress.
    std::optional<FleetPlanner> planner;
    bool baseline_is_stored = false;  ///< The baseline is in the store.
    TimePoint first_seen_at;  ///< When registered upstreams were first seen.
  };

  void Tick();
  void PlanService(const ForwardingService& service);
  void ReadBaseline(const std::string& service);
  void WriteBaseline(const std::string& service);
  void ApplyStoredBaseline(const std::string& service, const KvEntry& entry);
  void SendScaleRequest(const ScaleRequest& request);
  std::vector<ForwardUpstreamInfo> ListedUpstreams() const;
  /// Counts the service's on-demand upstreams that are registered and not
  /// leaving, by failure domain.
  DomainCounts CountReadyOnDemand(const std::string& service) const;

  AsyncStore* store_;
  AsyncCloud* cloud_;
  const DutyLease* lease_;
  ForwardNode* node_;
  std::string prefix_;
  boost::asio::steady_timer timer_;
  std::map<std::string, ServiceState> services_;
};

}  // namespace pollenledge
