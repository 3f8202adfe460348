#pragma once

#include <cstdint>

#include "pollenledge/time.h"

namespace pollenledge {

/// Which idle connections to an upstream an attempt may reuse. An upstream may
/// be closing a connection that has been idle for long; a request that is sent
/// at that moment is lost.
enum class ConnectionReuse : std::uint8_t {
  /// Only one that was idle very shortly: a lost request cannot be retried.
  kRecentlyUsed,
  /// One that was idle for at most half of its keep-alive timeout.
  kHalfKeepAlive,
  /// Any that has not reached its keep-alive timeout.
  kAny,
};

/// Longest idle time that counts as very short.
constexpr Duration kRecentlyUsedTime = std::chrono::milliseconds(300);

}  // namespace pollenledge
