#include "pollenledge/connection/endpoint.h"

#include <charconv>

namespace pollenledge {
namespace {

template <typename Endpoint>
Result<Endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  unsigned port = 0;
  constexpr unsigned kMaxPort = 65535;
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) port = 0;
  }
  if (error || port == 0 || port > kMaxPort) {
    return Error{ErrorCode::kInvalidArgument,
                 "\"" + address + "\" is not an IP address with a port"};
  }
  return Endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    const std::string& address) {
  return ParseEndpoint<boost::asio::ip::tcp::endpoint>(address);
}

Result<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(
    const std::string& address) {
  return ParseEndpoint<boost::asio::ip::udp::endpoint>(address);
}

}  // namespace pollenledge
