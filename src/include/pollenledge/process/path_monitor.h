#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Whether this node reaches the upstreams of a service.
enum class PathState : std::uint8_t {
  kReachable,
  kSuspected,  ///< Connecting to several failed and none has responded since.
  kLost,       ///< Connecting failed to so many that it is this node's path.
};

/// Tells, for each service, whether this node has lost its path to the
/// upstreams. Several that fail at once are not a lost path while any other
/// responds, so suspicion is followed by probes of others.
///
/// Whether all upstreams are down is not known here; other nodes know, if they
/// still reach some. Deterministic; not thread-safe.
class PathMonitor {
 public:
  /// Numbers of upstreams to which connecting must fail in a row, or all of a
  /// smaller service.
  static constexpr std::size_t kFailuresToSuspect = 3;
  static constexpr std::size_t kFailuresToConclude = 7;
  /// Interval of probes while a path is not known to be reachable.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

  /// Connecting to `upstream` failed. `usable_upstreams` is the size of the
  /// service. Returns true if the state changed.
  bool OnConnectFailed(const std::string& service, const std::string& upstream,
                       std::size_t usable_upstreams) {
    Service& state = services_[service];
    state.failed.insert(upstream);
    const std::size_t failed = state.failed.size();
    const PathState before = state.path;
    if (failed >= std::min(kFailuresToConclude, usable_upstreams)) {
      state.path = PathState::kLost;
    } else if (failed >= kFailuresToSuspect && before != PathState::kLost) {
      state.path = PathState::kSuspected;
    }
    return state.path != before;
  }

  /// An upstream responded or accepted a connection. Returns true if the path
  /// was lost until now.
  bool OnContact(const std::string& service) {
    const bool was_lost = StateOf(service) == PathState::kLost;
    services_.erase(service);
    return was_lost;
  }

  PathState StateOf(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? PathState::kReachable
                                    : found->second.path;
  }
  bool IsLost(const std::string& service) const {
    return StateOf(service) == PathState::kLost;
  }
  /// Returns true if connecting to this upstream failed and none of the service
  /// has responded since.
  bool HasFailed(const std::string& service,
                 const std::string& upstream) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.failed.count(upstream) > 0;
  }

  /// Returns the services whose path is suspected or lost.
  std::vector<std::string> DoubtfulServices() const {
    std::vector<std::string> doubtful;
    for (const auto& [service, state] : services_) {
      if (state.path != PathState::kReachable) doubtful.push_back(service);
    }
    return doubtful;
  }
  /// Returns the services whose path is lost.
  std::vector<std::string> LostServices() const {
    std::vector<std::string> lost = DoubtfulServices();
    std::erase_if(
        lost, [this](const std::string& service) { return !IsLost(service); });
    return lost;
  }

 private:
  struct Service {
    std::set<std::string> failed;  ///< Upstreams, since the last contact.
    PathState path = PathState::kReachable;
  };

  std::map<std::string, Service> services_;  ///< By name.
};

}  // namespace pollenledge
