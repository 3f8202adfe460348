#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// How old the confirmation of a node's tables may become, in parts.
///
/// A version of the tables is in force everywhere after a bound. The age of the
/// confirmation when a request is decided is the sum of the parts below, in the
/// worst case: the version is written just after a read began, nothing tells
/// so, and the next read is answered only by its second call.
///
///     read_period + hedge + answer  <=  bound - reserve
///
/// In a large fleet a collector confirms the tables. Whatever the phase at
/// which its confirmations end, a node that follows it begins a read at an age
/// of `read_period` at most.
struct TablesTimes {
  /// Age of the confirmation at which a node has begun to read by itself. Nodes
  /// that publish what they read do so twice in this time.
  Duration read_period{0};
  /// How often a node checks the age of its confirmation.
  Duration check_interval{0};

  /// Returns the age from which on a check begins a read, if reads take
  /// `read_time` at present. A node whose reads take long begins them earlier,
  /// so that they end at the same age.
  Duration MaxAge(Duration read_time) const;

  friend bool operator==(const TablesTimes&, const TablesTimes&) = default;
};

/// Returns the times for tables that must be in force within `bound`.
TablesTimes MakeTablesTimes(Duration bound);

}  // namespace pollenledge
