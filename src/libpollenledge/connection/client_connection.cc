#include "pollenledge/connection/client_connection.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "pollenledge/connection/endpoint.h"
#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/connection/socket_readiness.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// Size limits of an upstream's response. The largest value on the platform is
/// one megabyte, and encoding makes it a third larger.
constexpr std::size_t kMaxResponseHeadBytes = std::size_t{32} * 1024;
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{64} * 1024 * 1024;
/// Size of the kernel's buffers of a connection, in each direction. What waits
/// there takes the machine's memory besides what this process holds.
constexpr int kSocketBufferBytes = 128 * 1024;
/// Maximum number of interim responses and responses to other requests that are
/// skipped before an exchange fails.
constexpr int kMaxSkippedResponses = 16;
/// Time for which a peer whose response has ended with the connection may take
/// the rest of the request: 4 MB take 3.4 s on 10 Mbit/s.
constexpr Duration kUnreadRequestTimeout = std::chrono::seconds(5);
/// Keep-alive timeout assumed if the peer sends none. Peers commonly close idle
/// connections after five seconds.
constexpr Duration kDefaultKeepAliveTimeout = std::chrono::seconds(4);
/// A connection is not reused within this time before the peer's timeout, so
/// that the request does not reach the peer while it closes the connection.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);
/// Longest idle time of any connection that is reused.
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

std::optional<Duration> ParseKeepAliveTimeout(const HttpHead& head) {
  const std::string* value = head.Find("Keep-Alive");
  if (value == nullptr) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value->find(kName);
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + kName.size();
  const auto parsed =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

Duration KeepAliveTime(const ClientConnection& connection) {
  return connection.keep_alive_timeout().value_or(kDefaultKeepAliveTimeout);
}

/// Returns the idle time after which `connection` must not be reused.
Duration UsableIdleTime(const ClientConnection& connection) {
  return KeepAliveTime(connection) - kKeepAliveMargin;
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& loop,
                                   std::string address, std::int64_t number)
    : address_(std::move(address)),
      number_(number),
      socket_(loop),
      timer_(loop),
      reader_(HttpReader::Role::kResponses, kMaxResponseHeadBytes,
              kMaxResponseBodyBytes) {}

void ClientConnection::Start(std::string request, std::string_view method,
                             Duration connect_timeout,
                             ExchangeHandlers handlers,
                             std::optional<TimePoint> send_before,
                             std::shared_ptr<const std::string> body) {
  request_ = std::move(request);
  body_ = std::move(body);
  send_before_ = send_before;
  handlers_ = std::make_shared<ExchangeHandlers>(std::move(handlers));
  busy_ = true;
  ++request_count_;
  may_have_sent_ = false;
  request_written_ = false;
  write_failed_ = false;
  response_ended_at_close_ = false;
  head_processed_ = false;
  skipping_response_ = false;
  skipped_responses_ = 0;
  reading_resumed_at_.reset();
  reader_.ExpectResponseTo(method);
  if (open_) {
    Write();
  } else {
    Connect(connect_timeout);
  }
}

void ClientConnection::Abort() {
  handlers_.reset();
  body_ = nullptr;
  if (busy_ && may_have_sent_) {
    SystemError ignored;  // On failure the connection is closed normally.
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  busy_ = false;
  Close();
}

void ClientConnection::Connect(Duration timeout) {
  auto self = shared_from_this();
  const Result<tcp::endpoint> endpoint = ParseTcpEndpoint(address_);
  if (!Ok(endpoint)) {
    boost::asio::post(socket_.get_executor(), [this, self] {
      if (busy_) FinishExchange(ClientExchangeResult::kNotSent);
    });
    return;
  }
  timer_.expires_after(timeout);
  timer_.async_wait([this, self](const SystemError& error) {
    if (error || open_ || IsReady(socket_.native_handle(), POLLOUT)) return;
    Close();  // Makes the connect fail.
  });
  socket_.async_connect(
      Value(endpoint),
      [this, self](const SystemError& error) { OnConnected(error); });
}

void ClientConnection::OnConnected(const SystemError& error) {
  timer_.cancel();
  if (!busy_) return;
  const bool too_late =
      send_before_.has_value() && BootClockNow() >= *send_before_;
  const bool is_refused =
      handlers_->may_send != nullptr && !handlers_->may_send();
  if (error || too_late || is_refused) {
    FinishExchange(ClientExchangeResult::kNotSent);
    return;
  }
  open_ = true;
  SystemError ignored;  // A failure only increases latency.
  socket_.set_option(tcp::no_delay(true), ignored);
  // On failure the kernel chooses sizes of up to some megabytes.
  socket_.set_option(
      boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes),
      ignored);
  socket_.set_option(
      boost::asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  Read();
  Write();
}

void ClientConnection::Write() {
  may_have_sent_ = true;
  auto self = shared_from_this();
  // The write owns the bytes, so that they are released once they are sent and
  // not when the connection is used again.
  const auto head = std::make_shared<const std::string>(std::move(request_));
  request_ = std::string();
  const std::shared_ptr<const std::string> body = std::move(body_);
  body_ = nullptr;
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(*head), body == nullptr ? boost::asio::const_buffer()
                                                  : boost::asio::buffer(*body)};
  boost::asio::async_write(
      socket_, buffers,
      [this, self, head, body](const SystemError& error, std::size_t) {
        OnWritten(error);
      });
}

void ClientConnection::OnWritten(const SystemError& error) {
  // The exchange goes on: the peer may have responded before. But the kernel
  // reports a reset only once, so that the read may find an orderly end.
  request_written_ = !error;
  write_failed_ = static_cast<bool>(error);
  if (busy_ && response_ended_at_close_) FinishAtClose();
}

void ClientConnection::Read() {
  if (reading_ || reading_paused_) return;
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [this, self](const SystemError& error, std::size_t size) {
        reading_ = false;
        OnRead(error, size);
      });
}

bool ClientConnection::HasUnhandledInput() {
  return open_ && IsReady(socket_.native_handle(), POLLIN);
}

void ClientConnection::PauseReading() { reading_paused_ = busy_; }

void ClientConnection::ResumeReading() {
  if (!reading_paused_) return;
  reading_paused_ = false;
  reading_resumed_at_ = BootClockNow();
  if (open_) Read();
}

void ClientConnection::OnRead(const SystemError& error, std::size_t size) {
  if (!open_) return;
  if (!busy_) {
    Close();
    return;
  }
  if (error) {
    reusable_ = false;
    OnEndOfStream(error == boost::asio::error::eof);
    return;
  }
  const Status status =
      reader_.Append(std::string_view(read_buffer_.data(), size));
  if (!Ok(status)) {
    FinishExchange(ClientExchangeResult::kInvalid);
    return;
  }
  auto self = shared_from_this();
  ProcessInput();
  if (open_) Read();
}

void ClientConnection::OnEndOfStream(bool is_orderly) {
  const bool is_whole = is_orderly && head_processed_ && !skipping_response_ &&
                        Ok(reader_.OnEndOfStream());
  if (!is_whole) {
    FinishExchange(ClientExchangeResult::kConnectionLost);
    return;
  }
  DeliverBody();
  if (!busy_) return;
  response_ended_at_close_ = true;
  if (request_written_ || write_failed_) {
    FinishAtClose();
  } else {
    AwaitWritten();
  }
}

void ClientConnection::AwaitWritten() {
  // If the peer doesn't take the rest of the request, a reset follows.
  timer_.expires_after(kUnreadRequestTimeout);
  timer_.async_wait(
      [this, self = shared_from_this()](const SystemError& error) {
        if (!error && busy_) FinishExchange(ClientExchangeResult::kInvalid);
      });
}

void ClientConnection::FinishAtClose() {
  FinishExchange(write_failed_ ? ClientExchangeResult::kConnectionLost
                               : ClientExchangeResult::kCompleteAtClose);
}

void ClientConnection::ProcessInput() {
  while (busy_ && reader_.has_head()) {
    if (!head_processed_) {
      head_processed_ = true;
      if (reader_.head().status / 100 == 1) {
        skipping_response_ = true;  // An interim response.
      } else {
        keep_alive_timeout_ = ParseKeepAliveTimeout(reader_.head());
        const std::shared_ptr<ExchangeHandlers> handlers = handlers_;
        skipping_response_ = !handlers->on_head(reader_.head());
        if (!busy_) return;
        if (skipping_response_) reusable_ = false;
      }
    }
    DeliverBody();
    if (!busy_ || !reader_.complete()) return;
    if (!skipping_response_) {
      FinishExchange(ClientExchangeResult::kComplete);
      return;
    }
    head_processed_ = false;
    skipping_response_ = false;
    if (++skipped_responses_ > kMaxSkippedResponses ||
        !Ok(reader_.StartNextMessage())) {
      FinishExchange(ClientExchangeResult::kInvalid);
      return;
    }
  }
}

void ClientConnection::DeliverBody() {
  const std::string body = reader_.TakeBody();
  if (body.empty() || skipping_response_) return;
  const std::shared_ptr<ExchangeHandlers> handlers = handlers_;
  handlers->on_body(body);
}

void ClientConnection::FinishExchange(ClientExchangeResult end) {
  auto self = shared_from_this();
  const std::shared_ptr<ExchangeHandlers> handlers =
      std::exchange(handlers_, nullptr);
  busy_ = false;
  reading_paused_ = false;
  idle_since_ = BootClockNow();
  // Bytes after the response belong to no request. A partly written request
  // must not be followed by another one.
  const bool can_reuse = end == ClientExchangeResult::kComplete && open_ &&
                         reusable_ && request_written_ &&
                         reader_.keep_alive() && reader_.unread_bytes() == 0;
  reusable_ = can_reuse && Ok(reader_.StartNextMessage());
  if (!reusable_) Close();
  handlers->on_finished(end);
}

void ClientConnection::Close() {
  open_ = false;
  reusable_ = false;
  timer_.cancel();
  SystemError ignored;  // The socket is unusable in either case.
  socket_.close(ignored);
}

void ProbeConnect(boost::asio::io_context& loop, const std::string& address,
                  Duration timeout, std::function<void(bool)> callback) {
  struct Probe {
    explicit Probe(boost::asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
  };
  const Result<tcp::endpoint> endpoint = ParseTcpEndpoint(address);
  if (!Ok(endpoint)) {
    callback(false);
    return;
  }
  auto probe = std::make_shared<Probe>(loop);
  probe->timer.expires_after(timeout);
  probe->timer.async_wait([probe](const SystemError& error) {
    if (error || IsReady(probe->socket.native_handle(), POLLOUT)) return;
    SystemError ignored;  // The connect fails in either case.
    probe->socket.close(ignored);
  });
  probe->socket.async_connect(
      Value(endpoint),
      [probe, callback = std::move(callback)](const SystemError& error) {
        probe->timer.cancel();
        SystemError ignored;  // Nothing was sent.
        probe->socket.close(ignored);
        callback(!error);
      });
}

std::shared_ptr<ClientConnection> ClientConnectionPool::Acquire(
    const std::string& address, Duration max_idle, TimePoint now) {
  auto& idle = idle_[address];
  while (!idle.empty()) {
    std::shared_ptr<ClientConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->reusable()) continue;
    const Duration limit = std::min(UsableIdleTime(*connection), max_idle);
    if (now - connection->idle_since() < limit &&
        !connection->HasUnhandledInput()) {
      return connection;
    }
    connection->Abort();
  }
  return Open(address);
}

std::shared_ptr<ClientConnection> ClientConnectionPool::Acquire(
    const std::string& address, ConnectionReuse reuse, TimePoint now) {
  if (reuse == ConnectionReuse::kAny)
    return Acquire(address, kMaxIdleTime, now);
  if (reuse == ConnectionReuse::kRecentlyUsed)
    return Acquire(address, kRecentlyUsedTime, now);
  auto& idle = idle_[address];
  while (!idle.empty() &&
         (!idle.back()->reusable() || idle.back()->HasUnhandledInput()))
    idle.pop_back();
  if (idle.empty()) return Open(address);
  // The last one was used most recently. If it has been idle for too long, all
  // are left to the requests that may be retried.
  std::shared_ptr<ClientConnection> connection = idle.back();
  const Duration limit = std::min<Duration>(UsableIdleTime(*connection),
                                            KeepAliveTime(*connection) / 2);
  if (now - connection->idle_since() >= limit) return Open(address);
  idle.pop_back();
  return connection;
}

std::shared_ptr<ClientConnection> ClientConnectionPool::Open(
    const std::string& address) {
  ++opened_count_;
  return std::make_shared<ClientConnection>(loop_, address, opened_count_);
}

void ClientConnectionPool::Release(
    std::shared_ptr<ClientConnection> connection) {
  if (!connection->reusable()) return;
  idle_[connection->address()].push_back(std::move(connection));
}

void ClientConnectionPool::CloseIdleTo(const std::string& address,
                                       TimePoint unused_since) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  std::erase_if(found->second, [&](const auto& connection) {
    if (connection->idle_since() >= unused_since) return false;
    if (connection->reusable()) connection->Abort();
    return true;
  });
  if (found->second.empty()) idle_.erase(found);
}

void ClientConnectionPool::CloseIdle(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    const auto is_expired = [now](const std::shared_ptr<ClientConnection>& c) {
      const bool expired =
          now - c->idle_since() >
          c->keep_alive_timeout().value_or(kDefaultKeepAliveTimeout);
      if (expired && c->reusable()) c->Abort();
      return expired || !c->reusable();
    };
    connections.erase(
        std::remove_if(connections.begin(), connections.end(), is_expired),
        connections.end());
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace pollenledge
