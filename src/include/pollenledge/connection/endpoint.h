#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "pollenledge/result.h"

namespace pollenledge {

/// Parses a numeric IP address with a port, such as `a.b.c.d:port`. Does not
/// resolve host names.
Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    const std::string& address);
Result<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(
    const std::string& address);

}  // namespace pollenledge
