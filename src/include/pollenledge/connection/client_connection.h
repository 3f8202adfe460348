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

#include "pollenledge/connection/connection_reuse.h"
#include "pollenledge/connection/http_reader.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How an exchange, one request with its response, on a client connection
/// ended.
enum class ClientExchangeResult : std::uint8_t {
  kComplete,         ///< The whole response was read.
  kCompleteAtClose,  ///< As `kComplete`, but the response had no length, so
                     ///< that only the orderly end of the connection showed its
                     ///< end.
  kNotSent,          ///< The connection was not established; no byte was sent.
  kConnectionLost,   ///< The connection was lost after bytes of the request may
                     ///< have arrived and before the whole response was read.
  kInvalid,  ///< As `kConnectionLost`, but because the peer sent a malformed
             ///< response or one that exceeds a size limit.
};

/// Callbacks from a client connection to the owner of its current exchange.
/// None is called after `on_finished` or after `Abort`.
struct ExchangeHandlers {
  /// Called once a new connection is open. Returning false ends the exchange
  /// with `kNotSent`. Optional.
  std::function<bool()> may_send;
  /// The response's head was read. Returning false makes the connection skip
  /// this response and wait for the next one.
  std::function<bool(const HttpHead&)> on_head;
  /// The next part of the response's body was read.
  std::function<void(const std::string&)> on_body;
  /// The exchange is over. Called at most once.
  std::function<void(ClientExchangeResult)> on_finished;
};

/// The client side of one HTTP/1.1 connection, on an event loop. Owns the
/// socket, carries one exchange at a time and can carry another one while
/// `reusable()` is true.
///
/// Bytes or an end of stream received between exchanges belong to no request
/// and close the connection. Not thread-safe; use it only on the event loop's
/// thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// `number` tells the connections of one pool apart.
  ClientConnection(boost::asio::io_context& loop, std::string address,
                   std::int64_t number = 0);

  /// Sends `request`, the serialized bytes of one request with the given
  /// `method`, and then `body`, if it is not null, which others may share.
  /// Connects first if necessary, for at most `connect_timeout`, or longer if
  /// the event loop is late and finds the connection established. If connecting
  /// completes at `send_before` or later, for example because the
  /// machine was suspended meanwhile, nothing is sent.
  void Start(std::string request, std::string_view method,
             Duration connect_timeout, ExchangeHandlers handlers,
             std::optional<TimePoint> send_before = std::nullopt,
             std::shared_ptr<const std::string> body = nullptr);
  /// Stops reading the response, so that the peer has to wait, for example
  /// because the response's receiver is slower. Ends with the exchange.
  void PauseReading();
  void ResumeReading();
  /// When reading was resumed last in the current exchange; empty if it was not
  /// paused. What is read soon after may have been received long before.
  std::optional<TimePoint> reading_resumed_at() const {
    return reading_resumed_at_;
  }
  /// Ends the exchange without calling its handlers and closes the connection.
  /// If a request was being sent, the connection is reset, so that the kernel
  /// discards the bytes that it has not transmitted yet.
  void Abort();

  /// True if another exchange can be started.
  bool reusable() const { return open_ && reusable_ && !busy_; }
  /// True if the peer has sent bytes, or has closed the connection, and the
  /// event loop has not handled that yet.
  bool HasUnhandledInput();
  /// True once any byte of the current request may have been sent.
  bool may_have_sent() const { return may_have_sent_; }
  const std::string& address() const { return address_; }
  std::int64_t number() const { return number_; }
  /// Set by the owner once the peer's process has said on this connection which
  /// incarnation it is; empty before. A connection leads to one process for as
  /// long as it is open.
  std::optional<std::uint64_t> verified_incarnation;
  /// When the last exchange ended.
  TimePoint idle_since() const { return idle_since_; }
  /// Number of requests that were sent on this connection, or are to be.
  int request_count() const { return request_count_; }
  /// How long the peer keeps an idle connection open, from its `Keep-Alive`
  /// header; empty if it sent none.
  std::optional<Duration> keep_alive_timeout() const {
    return keep_alive_timeout_;
  }

 private:
  void Connect(Duration timeout);
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void OnWritten(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  /// The peer sends nothing more: it has closed the connection in order, or the
  /// connection was lost.
  void OnEndOfStream(bool is_orderly);
  /// Waits until the peer has taken the whole request, or has reset the
  /// connection: then its response was cut off.
  void AwaitWritten();
  /// Ends an exchange whose response ended with the connection.
  void FinishAtClose();
  void ProcessInput();
  void DeliverBody();
  void FinishExchange(ClientExchangeResult end);
  void Close();

  static constexpr std::size_t kReadBufferBytes = std::size_t{8} * 1024;

  std::string address_;
  std::int64_t number_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  ///< Of the connect, or of `AwaitWritten`.
  HttpReader reader_;
  /// Shared so that a handler stays alive while it runs if it ends the
  /// exchange.
  std::shared_ptr<ExchangeHandlers> handlers_;
  /// What is to be sent, until the write starts.
  std::string request_;
  std::shared_ptr<const std::string> body_;
  std::optional<TimePoint> send_before_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  bool open_ = false;
  bool reading_ = false;
  bool reading_paused_ = false;
  std::optional<TimePoint> reading_resumed_at_;
  bool busy_ = false;
  bool may_have_sent_ = false;
  bool request_written_ = false;
  bool write_failed_ = false;  ///< Of the current request.
  /// The response ended with the connection; the write may go on.
  bool response_ended_at_close_ = false;
  bool reusable_ = true;
  bool head_processed_ = false;
  bool skipping_response_ = false;
  int request_count_ = 0;
  int skipped_responses_ = 0;  ///< Responses skipped in this exchange.
  TimePoint idle_since_;
  std::optional<Duration> keep_alive_timeout_;
};

/// Connects to `address`, sends nothing and closes the connection again. Calls
/// `callback` with true if connecting succeeded within `timeout`.
void ProbeConnect(boost::asio::io_context& loop, const std::string& address,
                  Duration timeout, std::function<void(bool)> callback);

/// A pool of idle client connections, by address. Not thread-safe.
class ClientConnectionPool {
 public:
  explicit ClientConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  /// Returns an idle connection to `address` that has been idle for less than
  /// `max_idle`, or else a new one. One that the peer has closed is not
  /// returned, even if the event loop has not noticed yet.
  std::shared_ptr<ClientConnection> Acquire(const std::string& address,
                                            Duration max_idle, TimePoint now);
  /// Returns the most recently used idle connection to `address` if `reuse`
  /// allows that, or else a new one.
  std::shared_ptr<ClientConnection> Acquire(const std::string& address,
                                            ConnectionReuse reuse,
                                            TimePoint now);
  /// Returns a new connection to `address`.
  std::shared_ptr<ClientConnection> Open(const std::string& address);
  /// Returns a connection to the pool after its exchange. Drops it if it is not
  /// reusable.
  void Release(std::shared_ptr<ClientConnection> connection);
  /// Closes the idle connections to `address` that no exchange has used since
  /// `unused_since`. Call this after an exchange with it that began then has
  /// failed, because the same cause may have left these unresponsive.
  void CloseIdleTo(const std::string& address, TimePoint unused_since);
  /// Closes the connections that have been idle beyond their keep-alive
  /// timeout.
  void CloseIdle(TimePoint now);

  /// The number of connections created by this pool.
  std::int64_t opened_count() const { return opened_count_; }

 private:
  boost::asio::io_context& loop_;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::int64_t opened_count_ = 0;
};

}  // namespace pollenledge
