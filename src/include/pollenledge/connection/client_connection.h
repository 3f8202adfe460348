#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How an exchange on a client connection ended.
enum class ExchangeEnd : std::uint8_t {
  kComplete,  ///< The answer was read whole.
  kNotSent,   ///< The connection was not established; no byte was sent.
  kBroken,    ///< The connection ended after bytes of the request may have
              ///< arrived and before a whole answer came.
  kInvalid,   ///< The same, but the peer sent what is no answer or is over
              ///< its bounds.
};

/// What the owner of a client connection is told about its exchange. None is
/// called after `on_end`, nor after `Abort`.
struct ExchangeHandlers {
  /// The answer's head was read. False makes the connection pass over this
  /// answer and wait for the next one.
  std::function<bool(const HttpHead&)> on_head;
  std::function<void(const std::string&)> on_body;
  std::function<void(ExchangeEnd)> on_end;
};

/// One HTTP/1.1 connection as a client, on an event loop. It carries one
/// exchange at a time and can be used again when `reusable`.
///
/// Bytes or an end that come while no exchange is open close the connection:
/// they belong to no request. Not thread-safe; used on the loop's thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& loop, std::string address);

  /// Sends `request`, the bytes of one whole request by `method`, connecting
  /// first if need be. Gives up connecting after `connect_timeout`. If it is
  /// connected only at `send_before` or later, nothing is sent: the machine may
  /// have been suspended meanwhile.
  void Start(std::string request, std::string_view method,
             Duration connect_timeout, ExchangeHandlers handlers,
             std::optional<TimePoint> send_before = std::nullopt);
  /// Ends the exchange without a word to the handlers and closes. A request
  /// that was sent is reset: what the kernel still holds of it is dropped.
  void Abort();

  /// True if another exchange may begin.
  bool reusable() const { return open_ && reusable_ && !busy_; }
  /// True once a byte of the present request may have been sent.
  bool sent() const { return sent_; }
  const std::string& address() const { return address_; }
  /// When the last exchange ended.
  TimePoint idle_since() const { return idle_since_; }
  /// How long the peer keeps an idle connection; nothing if it did not say.
  std::optional<Duration> keep_alive_timeout() const { return keep_alive_; }

 private:
  void Connect(Duration timeout);
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Advance();
  void PassOnBody();
  void FinishExchange(ExchangeEnd end);
  void Close();

  static constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

  std::string address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  HttpReader reader_;
  /// Shared so that a handler that ends the exchange outlives its own call.
  std::shared_ptr<ExchangeHandlers> handlers_;
  std::string request_;
  std::optional<TimePoint> send_before_;
  std::array<char, kReadBytes> read_buffer_{};
  bool open_ = false;
  bool busy_ = false;
  bool sent_ = false;
  bool written_ = false;
  bool reusable_ = true;
  bool head_seen_ = false;
  bool skipping_ = false;
  int passed_over_ = 0;  ///< Answers of this exchange.
  TimePoint idle_since_;
  std::optional<Duration> keep_alive_;
};

/// The idle client connections to many addresses. Not thread-safe.
class ClientConnectionPool {
 public:
  explicit ClientConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  /// An idle connection to `address` that was used within `freshness`, else a
  /// new one.
  std::shared_ptr<ClientConnection> Take(const std::string& address,
                                         Duration freshness, TimePoint now);
  /// Takes back a connection after its exchange; drops it if it is of no use.
  void Return(std::shared_ptr<ClientConnection> connection);
  /// Closes all idle connections to `address`: one of them failed, and what
  /// made it fail may have silenced the others.
  void CloseIdleTo(const std::string& address);
  /// Closes what has been idle for too long.
  void CloseIdle(TimePoint now);

  std::int64_t opened() const { return opened_; }

 private:
  boost::asio::io_context& loop_;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::int64_t opened_ = 0;
};

}  // namespace pollenledge
