#pragma once

#include <cstdint>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Identifies one incarnation of an upstream in messages about speeds, where
/// its name would take most of the space.
using UpstreamKey = std::uint64_t;
UpstreamKey KeyOf(const UpstreamId& upstream);

/// What a `SpeedReport` says.
enum class SpeedReportKind : std::uint8_t {
  kIntervals,    ///< Intervals between events that the sender observed.
  kSpeed,        ///< The estimate of a node that hears from all others.
  kStalled,      ///< Requests there make no progress.
  kProgressing,  ///< Requests there make progress after they made none.
};

/// Part of a heartbeat: what a node knows about the speed of an upstream.
struct SpeedReport {
  UpstreamKey upstream = 0;
  SpeedReportKind kind = SpeedReportKind::kIntervals;
  /// `kIntervals`: mean interval in seconds. `kSpeed`: the speed; 1 is the
  /// median of the service.
  float value = 0;
  /// `kIntervals`: mean number of requests that ran there.
  std::uint16_t running = 0;
  /// `kIntervals`: number of intervals. `kSpeed`: weight of the estimate.
  std::uint16_t weight = 0;
  Duration age{0};  ///< Time since the observation.

  friend bool operator==(const SpeedReport&, const SpeedReport&) = default;
};

/// Size of a report in a message.
inline constexpr int kSpeedReportBytes = 24;

}  // namespace pollenledge
