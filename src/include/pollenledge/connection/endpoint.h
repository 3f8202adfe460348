#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "pollenledge/result.h"

namespace pollenledge {

/// Reads `a.b.c.d:port`. Names are not looked up.
Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    const std::string& address);
Result<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(
    const std::string& address);

}  // namespace pollenledge
