#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A number of permits, each for one request to an upstream with a rate limit.
struct PermitCount {
  UpstreamId upstream;
  int count = 0;

  friend bool operator==(const PermitCount&, const PermitCount&) = default;
};

/// The node that grants the permits for an upstream.
struct PermitCoordinator {
  std::string name;
  std::string peer_address;

  friend bool operator==(const PermitCoordinator&,
                         const PermitCoordinator&) = default;
};

/// Permits for requests to upstreams with a rate limit.
///
/// One node is the coordinator of an upstream: it grants permits from a token
/// bucket that fills at the upstream's rate, and every node sends a request
/// there only with a permit. A permit expires soon, so that within a window no
/// more are used than were granted in a slightly longer one. A node that has
/// become coordinator first waits for `kTakeoverDelay`: by then the permits of
/// its predecessor have expired and other nodes' requests for permits reach it.
///
/// Holds this node's own permits as well as the buckets of the upstreams that
/// it coordinates. Deterministic. Not thread-safe. Memory grows with the number
/// of upstreams that have a limit.
class RateLimitPermits {
 public:
  /// Time from a request for permits until these expire.
  static constexpr Duration kPermitTtl = std::chrono::milliseconds(500);
  /// Interval at which a node requests permits for one service.
  static constexpr Duration kRequestInterval = std::chrono::milliseconds(50);
  static constexpr Duration kTakeoverDelay = std::chrono::seconds(1);
  /// The coordinator uses an upstream at least this often, if its limit allows
  /// it, to learn when the limit ends.
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);
  /// Rate, per second, of the requests that tell when a lower limit ends.
  static constexpr double kMinRate = 0.25;
  /// Maximum number of permits that a node requests at a time.
  static constexpr int kMaxRequestedPermits = 4;

  // This node's own permits.

  bool HasPermit(const UpstreamId& upstream, TimePoint now) const;
  /// Uses one permit, if there is one.
  void Consume(const UpstreamId& upstream, TimePoint now);
  /// Returns true if permits may be requested for upstreams of `service` now,
  /// and records that they are.
  bool BeginRequest(const std::string& service, TimePoint now);
  /// Adds permits that were requested at `requested_at`.
  void OnGranted(const PermitCount& granted, TimePoint requested_at,
                 TimePoint now);

  // Coordination.

  /// Sets the coordinator of `upstream` as this node sees it.
  void SetCoordinator(const UpstreamId& upstream,
                      const PermitCoordinator& coordinator, TimePoint now);
  /// Returns the coordinator; its name is empty if none was set.
  const PermitCoordinator& CoordinatorOf(const UpstreamId& upstream) const;
  /// This node may have missed that another node became coordinator: it waits
  /// as if it had just become coordinator itself.
  void RestartTakeover(TimePoint now);
  /// Grants at most `count` permits, as the coordinator of `upstream`.
  /// `requests_per_s` is the upstream's limit. Returns the number granted.
  int Grant(const UpstreamId& upstream, double requests_per_s, int count,
            TimePoint now);
  /// Returns true if nothing was granted for `kProbeInterval`.
  bool IsProbeDue(const UpstreamId& upstream, TimePoint now) const;

  /// Keeps only the state of `limited`.
  void Retain(const std::vector<UpstreamId>& limited);

  /// Number of permits granted by this node since its start.
  std::int64_t granted_total() const { return granted_total_; }

 private:
  struct Upstream {
    std::uint64_t incarnation = 0;
    std::vector<TimePoint> permits_expire_at;  ///< Own permits.
    PermitCoordinator coordinator;
    TimePoint coordinator_since;
    double tokens = 0;
    TimePoint refilled_at;
    TimePoint granted_at;
  };

  /// Returns the state of `upstream`, without that of earlier incarnations.
  Upstream& StateOf(const UpstreamId& upstream);
  const Upstream* FindState(const UpstreamId& upstream) const;

  std::map<std::string, Upstream> upstreams_;      ///< By name.
  std::map<std::string, TimePoint> requested_at_;  ///< By service.
  std::int64_t granted_total_ = 0;
};

}  // namespace pollenledge
