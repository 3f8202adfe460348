#pragma once

#include <map>
#include <string>

#include "pollenledge/connection/connection_reuse.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Decides whether requests that may run only once reuse connections for longer
/// than `ConnectionReuse::kRecentlyUsed` allows. Answers a fleet of many nodes
/// with few requests each: there nearly every such request would open a new
/// connection.
///
/// Upstreams that close idle connections earlier than their keep-alive timeout
/// are noticed by requests that are lost immediately after they were sent on
/// such a connection. For a while after one, the service's requests reuse only
/// recently used connections. Not thread-safe. Memory grows with the number of
/// services.
class ConnectionReusePolicy {
 public:
  /// A connection that the upstream had closed is reset within a round trip. A
  /// later loss has other causes, such as a crash.
  static constexpr Duration kImmediateLossTime = std::chrono::milliseconds(50);
  /// Time for which one lost request limits the reuse.
  static constexpr Duration kCautionTime = std::chrono::minutes(1);

  /// Records that an attempt for `service` lost its connection, without any
  /// response, `lost_after` it was sent. The connection had been idle for
  /// `idle`.
  void OnConnectionLost(const std::string& service, Duration idle,
                        Duration lost_after, TimePoint now);

  /// Returns which connections a request for `service` that may run only once
  /// reuses.
  ConnectionReuse ForSingleRun(const std::string& service, TimePoint now) const;

 private:
  std::map<std::string, TimePoint> cautious_until_;  ///< By service.
};

}  // namespace pollenledge
