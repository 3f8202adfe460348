#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Serializes a heartbeat as the payload of a datagram.
std::string EncodeHeartbeat(const Heartbeat& heartbeat);
/// Parses a datagram's payload. Accepts arbitrary bytes and returns an error if
/// they are not a heartbeat that contains its sender's record.
Result<Heartbeat> DecodeHeartbeat(const char* bytes, std::size_t size);

/// What a link has sent and received since it was made.
struct HeartbeatTraffic {
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  /// Heartbeats that the kernel did not take, e.g. because they are larger than
  /// a datagram.
  std::uint64_t send_failures = 0;

  auto operator<=>(const HeartbeatTraffic&) const = default;
};

/// Sends and receives heartbeats as Cap'n Proto messages in UDP datagrams. Owns
/// the socket.
///
/// Lost heartbeats are not retransmitted, since the next one replaces them. Not
/// thread-safe; use it only on the event loop's thread.
class HeartbeatLink {
 public:
  using Callback = std::function<void(Heartbeat)>;

  /// Throws `std::system_error` if it cannot listen on `address`.
  HeartbeatLink(boost::asio::io_context& loop, const std::string& address,
                Callback on_heartbeat);

  /// Sends one heartbeat. Network errors are only counted.
  void Send(const HeartbeatMessage& message);

  const HeartbeatTraffic& traffic() const { return traffic_; }

 private:
  void Receive();

  static constexpr std::size_t kMaxDatagramBytes = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  Callback on_heartbeat_;
  HeartbeatTraffic traffic_;
  std::array<char, kMaxDatagramBytes> buffer_{};
};

}  // namespace pollenledge
