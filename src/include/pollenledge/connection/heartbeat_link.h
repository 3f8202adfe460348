#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// The bytes of a heartbeat's datagram.
std::string EncodeHeartbeat(const Heartbeat& heartbeat);
/// Whatever bytes came; an error if they are no heartbeat of a named sender.
Result<Heartbeat> DecodeHeartbeat(const char* bytes, std::size_t size);

/// Sends and receives heartbeats as datagrams of Cap'n Proto messages.
///
/// A lost heartbeat is made good by the next. Not thread-safe; used on the
/// loop's thread.
class HeartbeatLink {
 public:
  using Callback = std::function<void(Heartbeat)>;

  /// Throws `std::system_error` if it cannot listen on `address`.
  HeartbeatLink(boost::asio::io_context& loop, const std::string& address,
                Callback on_heartbeat);

  void Send(const HeartbeatMessage& message);

 private:
  void Receive();

  static constexpr std::size_t kMaxDatagram = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  Callback on_heartbeat_;
  std::array<char, kMaxDatagram> buffer_{};
};

}  // namespace pollenledge
