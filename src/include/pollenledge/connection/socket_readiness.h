#pragma once

#include <cstdint>

#include "pollenledge/time.h"

namespace pollenledge {

/// Returns true if any of `events` (of `poll(2)`) is pending on a socket, or if
/// its connection was lost, so that the handler of an operation in progress
/// follows.
///
/// A process that was suspended or busy finds its timers due before it has
/// handled what arrived in time. What is decided from a peer's silence asks the
/// socket first.
bool IsReady(int socket, std::int16_t events);

/// As `IsReady`, but false for a connection that was lost.
bool IsReadyAndConnected(int socket, std::int16_t events);

/// Returns how long ago a TCP connection received the last of its bytes,
/// whether or not they were read since; zero if that is not known.
Duration TimeSinceReceived(int socket);

}  // namespace pollenledge
