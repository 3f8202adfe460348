#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Tells, for each service, whether this node has lost its path to the
/// upstreams: connecting to several of them failed and none has responded
/// since. A single upstream that fails is not a lost path.
///
/// Whether the upstreams themselves are down is not known here; other nodes
/// know, if they still reach some. Deterministic; not thread-safe.
class PathMonitor {
 public:
  /// Number of upstreams to which connecting must fail in a row, or all of a
  /// smaller service.
  static constexpr std::size_t kFailuresToConclude = 3;
  /// Interval at which a lost path is tried again.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

  /// Connecting to `upstream` failed. `usable_upstreams` is the size of the
  /// service. Returns true if the path is now found to be lost.
  bool OnConnectFailed(const std::string& service, const std::string& upstream,
                       std::size_t usable_upstreams) {
    Service& state = services_[service];
    state.failed.insert(upstream);
    if (state.lost) return false;
    state.lost =
        state.failed.size() >= std::min(kFailuresToConclude, usable_upstreams);
    return state.lost;
  }

  /// An upstream responded or accepted a connection. Returns true if the path
  /// was lost until now.
  bool OnContact(const std::string& service) {
    const auto found = services_.find(service);
    if (found == services_.end()) return false;
    const bool was_lost = found->second.lost;
    services_.erase(found);
    return was_lost;
  }

  bool IsLost(const std::string& service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.lost;
  }
  bool IsAnyLost() const { return !LostServices().empty(); }
  /// Returns the services to which the path is lost.
  std::vector<std::string> LostServices() const {
    std::vector<std::string> lost;
    for (const auto& [service, state] : services_) {
      if (state.lost) lost.push_back(service);
    }
    return lost;
  }

 private:
  struct Service {
    std::set<std::string> failed;  ///< Upstreams, since the last contact.
    bool lost = false;
  };

  std::map<std::string, Service> services_;  ///< By name.
};

}  // namespace pollenledge
