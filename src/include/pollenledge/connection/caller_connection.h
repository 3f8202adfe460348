#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/time.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

class CallerConnection;

/// Callbacks from callers' connections to the server's owner.
struct CallerHandlers {
  /// A whole request was read. The owner must respond on the connection.
  std::function<void(const std::shared_ptr<CallerConnection>&,
                     const HttpHead& head, const std::string& body)>
      on_request;
  /// The connection was lost or aborted before the response was complete.
  std::function<void(const std::shared_ptr<CallerConnection>&)> on_disconnect;
  /// Returns the limits to apply to new connections.
  std::function<CallerLimits()> limits;
};

/// The server side of one caller's HTTP/1.1 connection, on an event loop. Owns
/// the socket.
///
/// Reads one request at a time and holds back pipelined requests until the
/// response has been sent. Continues to read while a response is pending, so
/// that it notices when the caller closes the connection. Responds to a
/// malformed request with status 400, 413 or 431 and closes the connection.
/// Not thread-safe; use it only on the event loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerHandlers> handlers);

  /// Starts to read requests.
  void Start();

  /// Sends a complete response to the current request.
  void SendResponse(const HttpHead& head, std::string_view body);
  /// Starts a chunked response. `SendChunk` continues it and
  /// `FinishChunkedResponse` completes it.
  void StartChunkedResponse(const HttpHead& head);
  void SendChunk(std::string_view bytes);
  void FinishChunkedResponse();
  /// Resets the connection, so that the caller sees a partially sent response
  /// as incomplete.
  void Abort();

  /// Closes the connection after the next response, which carries
  /// `Connection: close`.
  void CloseAfterResponse();
  /// Closes the connection after the response to the current request, or
  /// immediately if there is no request.
  void CloseWhenIdle();

  /// Set by the owner to identify the request in progress; 0 if there is none.
  std::uint64_t request_id = 0;
  bool open() const { return open_; }

 private:
  enum class State : std::uint8_t {
    kIdle,
    kReadingRequest,
    kAwaitingResponse,
    /// The response was sent, but the reader still holds its request. What is
    /// read now belongs to the next one.
    kResponseSent,
  };

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ProcessInput();
  void RejectMalformed();
  void FinishResponse();
  /// Continues with the request after the one that was responded to.
  void StartNextRequest();
  void Send(std::string_view bytes);
  void Flush();
  void OnWritten(const boost::system::error_code& error);
  void ArmTimer();
  void OnTimer();
  void Close();
  std::string SerializeHead(const HttpHead& head) const;

  static constexpr std::size_t kReadBufferBytes = std::size_t{8} * 1024;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const CallerHandlers> handlers_;
  CallerLimits limits_;
  HttpReader reader_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  State state_ = State::kIdle;
  TimePoint deadline_;
  std::optional<TimePoint> armed_deadline_;
  bool reading_ = false;
  bool open_ = true;
  bool writing_ = false;
  bool close_after_write_ = false;
  bool close_when_idle_ = false;
  bool keep_alive_ = true;
  std::string pending_output_;    ///< Held back until the current write ends.
  std::string output_in_flight_;  ///< The buffer of the current write.
};

/// Accepts callers' connections on one address. Refers to the connections
/// without owning them. Not thread-safe.
class CallerServer {
 public:
  /// Throws `std::system_error` if it cannot listen on `address`.
  CallerServer(boost::asio::io_context& loop, const std::string& address,
               CallerHandlers handlers);

  /// Stops accepting new connections.
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

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<const CallerHandlers> handlers_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  bool close_after_responses_ = false;
};

}  // namespace pollenledge
