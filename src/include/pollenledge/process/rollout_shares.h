#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/rollout.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Limits of a node's roll-outs.
struct RolloutLimits {
  /// Maximum share of a service's requests that may go to the target before it
  /// is proven; 0: no roll-outs, and all versions are used.
  double exposure_share = 0;
  /// Attempts allowed in addition, over all nodes.
  double exposure_slack = 0;
  /// Time after its last confirmation for which a share is valid. Of the 5 s in
  /// which requests to a bad version must cease it leaves 2 s for the
  /// detection, and it spans the loss of several heartbeats.
  Duration validity = std::chrono::seconds(3);

  friend bool operator==(const RolloutLimits&, const RolloutLimits&) = default;
};

/// Which software versions a request may be sent to.
struct VersionChoice {
  /// The version to try first; empty: none in particular.
  std::optional<std::string> first;
  bool may_use_others = true;  ///< If no upstream of `first` has capacity.
  /// Versions that no upstream outside `first` may run.
  std::vector<std::string> excluded;
  /// Share of the upstreams of `first` to use, so that these are as loaded as
  /// the upstreams of the other versions.
  double upstream_share = 1;
  std::int64_t order = 0;  ///< Order that `first` follows from.

  friend bool operator==(const VersionChoice&, const VersionChoice&) = default;
};

/// Decides on one node which software versions of a service get requests, and
/// counts what the node observes of them.
///
/// Each request that this node sends to a service adds the current share to the
/// node's credit, and each attempt at the target, retries and resumed streams
/// included, takes 1 from it. The attempts of all nodes together therefore stay
/// within the share of the requests of all nodes, without messages. A share
/// that was not confirmed for `RolloutLimits::validity` counts as 0.
///
/// A version that no order names gets requests only if it was listed when this
/// node learned which roll-outs there are. Until then, of several listed
/// versions only the one with the oldest upstream gets requests.
///
/// Deterministic. Not thread-safe. Memory grows with the services and routes.
class RolloutShares {
 public:
  /// Credit beyond this is lost, so that requests to the target are spread
  /// over the whole window.
  static constexpr double kMaxCredit = 3;
  /// A response that takes longer than this many times the usual time of its
  /// route is slow.
  static constexpr double kSlowFactor = 2.5;

  explicit RolloutShares(RolloutLimits limits) : limits_(limits) {}

  bool enabled() const { return limits_.exposure_share > 0; }

  /// Applies a list of upstreams.
  void OnListed(const std::vector<ForwardUpstreamInfo>& list);
  /// Applies what another node or the holder of the duties states. Returns the
  /// entries that changed a share.
  std::vector<RolloutShare> Merge(const std::vector<RolloutShare>& shares,
                                  TimePoint now);
  /// Returns all known shares and, if this node knows it, the statement that
  /// the list is complete.
  std::vector<RolloutShare> Shares(TimePoint now) const;

  /// Returns which versions may get a request of `service`. `bound_version` is
  /// the version of the stream that it resumes. `is_retry` is true if it was
  /// sent before. `nodes` is the number of nodes that share the slack.
  VersionChoice Choose(const std::string& service,
                       const std::optional<std::string>& bound_version,
                       bool is_retry, int nodes, TimePoint now) const;
  /// Returns false if no request of `service` may be sent to `version` now.
  bool MayUse(const std::string& service, const std::string& version,
              TimePoint now) const;
  /// Records that an attempt was sent to `version`. `is_new` is true for the
  /// first attempt of a request that no other node has sent.
  void OnSent(const std::string& service, const std::string& version,
              bool is_new, TimePoint now);

  /// The start of a response. The first request on a connection takes longer
  /// than those after it, so either kind is compared with its own.
  struct Start {
    /// From sending the request to the first event or, on a route without
    /// streams, to the end.
    Duration took{0};
    bool on_new_connection = false;
  };

  /// Evidence. `where` names the route.
  void OnAnswer(const std::string& service, const RolloutEvidence& where,
                bool failed);
  void OnStart(const std::string& service, const RolloutEvidence& where,
               const Start& start);
  /// `took` is the time in which the same number of events was received.
  void OnPaced(const std::string& service, const RolloutEvidence& where,
               Duration took);
  /// Returns true if `start` is slow on the route.
  bool IsSlowStart(const std::string& service, const std::string& route,
                   const Start& start) const;
  /// True if `version` is the target of a running roll-out of `service`.
  bool IsTarget(const std::string& service, const std::string& version) const;
  /// True if observations of `service` are of use now.
  bool IsObserving(const std::string& service) const;
  /// Returns the shares of the running roll-outs with this node's counts.
  std::vector<RolloutShare> Reports(TimePoint now) const;
  /// Returns what this node knows of the last roll-out of `service`.
  std::optional<RolloutShare> KnownShare(const std::string& service) const;
  /// The version of `service` that the requests went to before a roll-out to
  /// `target`; empty if there is none.
  std::string BaseVersion(const std::string& service,
                          const std::string& target) const;
  /// Returns the number of usable upstreams of a version.
  int UsableCount(const std::string& service, const std::string& version) const;

 private:
  /// Usual time of a route at versions other than the target: the geometric
  /// mean of the last observations.
  struct UsualTime {
    double mean_log = 0;
    int count = 0;

    void Add(Duration took);
    std::optional<bool> IsSlow(Duration took) const;
  };
  struct Rollout {
    RolloutShare share;
    TimePoint confirmed_at;
    double credit = 0;
    std::vector<RolloutEvidence> evidence;
  };
  struct ListedVersion {
    int usable = 0;
    std::uint64_t oldest_incarnation = 0;
  };

  double CurrentShare(const Rollout& rollout, TimePoint now) const;
  /// Returns the versions of `service` that no order or earlier list allows.
  std::vector<std::string> Forbidden(const std::string& service) const;
  std::string OldestVersion(const std::string& service,
                            const std::string& except) const;
  bool HasOtherUsable(const std::string& service,
                      const std::string& target) const;
  void AllowListed();
  Rollout* Find(const std::string& service);
  const Rollout* Find(const std::string& service) const;
  RolloutEvidence* RowOf(Rollout* rollout, const RolloutEvidence& where);

  RolloutLimits limits_;
  std::map<std::string, Rollout> rollouts_;  ///< By service.
  /// Usual times are also kept while there is no roll-out, so that the first
  /// responses of a target are compared. By service, route and whether the
  /// connection was new.
  std::map<std::tuple<std::string, std::string, bool>, UsualTime> usual_starts_;
  /// By service and route.
  std::map<std::pair<std::string, std::string>, UsualTime> usual_paces_;
  /// Listed versions by service.
  std::map<std::string, std::map<std::string, ListedVersion>> listed_;
  std::set<std::pair<std::string, std::string>> allowed_;
  /// When the holder of the duties last stated that the list is complete.
  std::optional<TimePoint> complete_at_;
};

}  // namespace pollenledge
