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

/// What a server is told about its callers, and what it asks.
struct CallerHandlers {
  /// A whole request was read. The answer is due on the connection.
  std::function<void(const std::shared_ptr<CallerConnection>&,
                     const HttpHead& head, const std::string& body)>
      on_request;
  /// The caller closed the connection before its answer was complete.
  std::function<void(const std::shared_ptr<CallerConnection>&)> on_left;
  /// The limits that hold for new requests.
  std::function<CallerLimits()> limits;
};

/// One HTTP/1.1 connection of a caller, on an event loop.
///
/// Reads one request at a time and holds the next until the answer is out; a
/// caller that closes is noticed while its answer is awaited. Malformed
/// requests are answered with 400, 413 or 431 and end the connection. Not
/// thread-safe; used on the loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerHandlers> handlers);

  void Start();

  /// Answers the present request whole.
  void Answer(const HttpHead& head, std::string_view body);
  /// Begins an answer that `Part` continues and `EndParts` ends.
  void BeginParts(const HttpHead& head);
  void Part(std::string_view bytes);
  void EndParts();
  /// Ends the connection so that an answer that was begun looks incomplete.
  void Abort();

  /// Closes after the next answer, which says so.
  void CloseAfterAnswer();
  /// Closes once the present request is answered, or now if there is none.
  void CloseWhenIdle();

  /// Marks the request in progress for the owner.
  std::uint64_t request_id = 0;
  bool open() const { return open_; }

 private:
  enum class Wait : std::uint8_t { kRequest, kRestOfRequest, kAnswer };

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void TakeRequest();
  void RejectMalformed();
  void FinishAnswer();
  void Send(std::string_view bytes);
  void Flush();
  void OnWritten(const boost::system::error_code& error);
  void ArmTimer();
  void OnTimer();
  void Close();
  std::string RenderHead(const HttpHead& head) const;

  static constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const CallerHandlers> handlers_;
  CallerLimits limits_;
  HttpReader reader_;
  std::array<char, kReadBytes> read_buffer_{};
  Wait wait_ = Wait::kRequest;
  TimePoint wait_until_;
  std::optional<TimePoint> armed_until_;
  bool reading_ = false;
  bool open_ = true;
  bool writing_ = false;
  bool close_after_write_ = false;
  bool close_when_idle_ = false;
  bool keep_alive_ = true;
  std::string out_;            ///< Waits for the write in progress.
  std::string writing_bytes_;  ///< The write in progress.
};

/// Accepts callers' connections on one address. Not thread-safe.
class CallerServer {
 public:
  /// Throws `std::system_error` if it cannot listen on `address`.
  CallerServer(boost::asio::io_context& loop, const std::string& address,
               CallerHandlers handlers);

  /// Takes no new connections.
  void StopAccepting();
  /// Each answer from now on says that the connection closes.
  void CloseAfterAnswers();
  /// Closes connections as they fall idle.
  void CloseIdleConnections();
  std::size_t connection_count();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<const CallerHandlers> handlers_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  bool closing_ = false;
};

}  // namespace pollenledge
