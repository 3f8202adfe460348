#pragma once

#include <optional>

#include "pollenledge/request/forward_request.h"

namespace pollenledge {

/// What an upstream states about itself in the head of a response. The
/// statement is about the process of the upstream that the request was sent to.
struct UpstreamSignals {
  std::optional<ReportedLoad> load;
  /// The load was stated in a form that could not be parsed.
  bool load_is_unreadable = false;
  /// Requests per second that the upstream accepts from all nodes together.
  /// Unset: it states no limit, so an earlier limit has ended.
  std::optional<double> max_requests_per_s;
  /// A limit was stated in a form that could not be parsed. Nothing is then
  /// known about the limit.
  bool limit_is_unreadable = false;
  /// Rejections per second, for want of room, that the upstream survives.
  /// Unset: it survives any number.
  std::optional<double> max_rejections_per_s;
  /// Such a number was stated in a form that could not be parsed.
  bool max_rejections_is_unreadable = false;
  /// The upstream stops soon; this is final for its incarnation.
  bool leaving = false;
  /// The upstream wants no requests from this node for so long. Only stated
  /// with a rejection.
  std::optional<Duration> retry_after;
  /// A time was stated in a form that could not be parsed.
  bool retry_after_is_unreadable = false;

  friend bool operator==(const UpstreamSignals&,
                         const UpstreamSignals&) = default;
};

}  // namespace pollenledge
