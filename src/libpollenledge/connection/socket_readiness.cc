#include "pollenledge/connection/socket_readiness.h"

#include <poll.h>

namespace pollenledge {
namespace {

std::int16_t PendingEvents(int socket, std::int16_t events) {
  pollfd descriptor{};
  descriptor.fd = socket;
  descriptor.events = events;
  return ::poll(&descriptor, 1, 0) > 0 ? descriptor.revents : std::int16_t{0};
}

}  // namespace

bool IsReady(int socket, std::int16_t events) {
  return PendingEvents(socket, events) != 0;
}

bool IsReadyAndConnected(int socket, std::int16_t events) {
  const std::int16_t pending = PendingEvents(socket, events);
  return (pending & events) != 0 && (pending & (POLLERR | POLLHUP)) == 0;
}

}  // namespace pollenledge
