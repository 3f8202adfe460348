#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// An operator's order to move the traffic of a service to upstreams of another
/// software version.
struct RolloutOrder {
  std::string service;
  std::string target;  ///< Software version to move to.
  /// Time from the order until it must be completed or reverted.
  Duration duration{0};
  std::int64_t revision = 0;  ///< Position of the order in the store.

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// Counts of what nodes observed of the responses on one route since a roll-out
/// began. Counts only grow.
struct RolloutEvidence {
  std::string route;
  bool at_target = false;  ///< At the target; otherwise at another version.
  /// The upstream was loaded when the request was sent.
  bool under_load = false;
  std::uint32_t answers = 0;  ///< Attempts that ended with a response.
  std::uint32_t failed = 0;   ///< Of these, the ones that failed.
  /// Attempts of which the time to the first event, or to the whole response,
  /// was compared with the usual time of the route.
  std::uint32_t starts = 0;
  std::uint32_t slow_starts = 0;
  /// Streams of which the time between events was compared in the same way.
  std::uint32_t paced = 0;
  std::uint32_t slowly_paced = 0;

  friend bool operator==(const RolloutEvidence&,
                         const RolloutEvidence&) = default;
};

/// The share of a service's requests that may go to the target of a roll-out.
struct RolloutShare {
  /// Empty in an entry which states that the list of roll-outs is complete.
  std::string service;
  std::string target;
  std::int64_t order = 0;  ///< `RolloutOrder::revision`.
  std::uint32_t step = 0;  ///< Grows with each change of the share.
  /// From 0 to 1; 1: other versions get nothing. In an entry without a service,
  /// 1 states that the sender holds the duties.
  double share = 0;
  Duration age{0};     ///< Since the holder of the duties last confirmed it.
  bool ended = false;  ///< The roll-out is completed (share 1) or reverted (0).
  /// In a report to the holder of the duties: the sender's counts.
  std::vector<RolloutEvidence> evidence;

  friend bool operator==(const RolloutShare&, const RolloutShare&) = default;
};

}  // namespace pollenledge
