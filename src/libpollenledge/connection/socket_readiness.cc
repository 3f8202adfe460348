#include "pollenledge/connection/socket_readiness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

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

Duration TimeSinceReceived(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return Duration::zero();
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace pollenledge
