#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// How old a node's list of upstreams may become, in parts.
///
/// An upstream that leaves gets no new work after a bound. The age of the list
/// when a request is sent is the sum of the parts below, in the worst case: the
/// entry is removed just after a listing, nothing tells so, and the next
/// listing is answered only by its second call.
///
///     list_period + hedge + answer  <=  bound - reserve
///
/// In a large fleet the list comes through a collector. Its age when a node
/// lists by itself is at most the follower's age limit and the interval at
/// which the node checks that, together no more than `list_period`.
///
/// The reserve is for the way of the request and for a loop that is behind. The
/// time for which a request waits for room or for a connection does not count:
/// the list is looked at again before its bytes are sent.
struct UpstreamListTimes {
  /// Time between two listings of one node, or the age of a collector's list at
  /// which a node lists by itself.
  Duration list_period{0};
  /// How often a node that follows collectors checks the age of its list.
  Duration check_interval{0};
  /// Time before a listing that failed is repeated, and the shortest time
  /// between two listings.
  Duration retry_delay{0};
  /// Least time from the loss of the store until an upstream's entry expires
  /// although the upstream lives.
  Duration min_expiry{0};

  friend bool operator==(const UpstreamListTimes&,
                         const UpstreamListTimes&) = default;
};

/// Returns the times for upstreams that must get no new work later than `bound`
/// after they left, and that write their entries each `heartbeat`.
UpstreamListTimes MakeUpstreamListTimes(Duration bound, Duration heartbeat);

}  // namespace pollenledge
