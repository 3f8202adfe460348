#pragma once

#include <cstdint>

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

}  // namespace pollenledge
