#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "pollenledge/connection/caller_connection.h"

namespace pollenledge {

/// Accepts callers' connections on one address. Refers to the connections
/// without owning them. Not thread-safe.
class CallerServer {
 public:
  /// Throws `std::system_error` if it cannot listen on `address`.
  CallerServer(boost::asio::io_context& loop, const std::string& address,
               CallerHandlers handlers);

  /// Stops accepting new connections. Those that wait already are served.
  void StopAccepting();
  /// Makes each connection close after its next response, which carries
  /// `Connection: close`.
  void CloseAfterResponses();
  /// Closes idle connections now and the others after their response.
  void CloseIdleConnections();
  /// Forgets closed connections and returns the number of open ones.
  std::size_t CountOpenConnections();

 private:
  void Accept();
  /// Accepts the connections that the kernel has established already, on which
  /// requests may wait.
  void AcceptWaiting();
  void Serve(boost::asio::ip::tcp::socket socket);
  /// Accepts again after a pause, for an error that lasts, such as a lack of
  /// descriptors.
  void AcceptLater();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::shared_ptr<const CallerHandlers> handlers_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  /// Number of connections from which closed ones are forgotten.
  std::size_t prune_at_;
  bool close_after_responses_ = false;
};

}  // namespace pollenledge
