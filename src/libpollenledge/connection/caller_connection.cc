#include "pollenledge/connection/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "pollenledge/connection/endpoint.h"
#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// Maximum size of output buffered for a caller that does not read it. Regular
/// requests and responses are far smaller.
constexpr std::size_t kMaxUnsentBytes = std::size_t{8} * 1024 * 1024;
/// Maximum size of pipelined requests read while a response is pending.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
constexpr int kListenBacklog = 1024;
/// From this many connections on, each accept first forgets the closed ones.
constexpr std::size_t kPruneThreshold = 256;

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace

CallerConnection::CallerConnection(
    tcp::socket socket, std::shared_ptr<const CallerHandlers> handlers)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handlers_(std::move(handlers)),
      limits_(handlers_->limits()),
      reader_(HttpReader::Role::kRequests, limits_.max_header_bytes,
              limits_.max_body_bytes) {}

void CallerConnection::Start() {
  SystemError ignored;  // A failure only increases latency.
  socket_.set_option(tcp::no_delay(true), ignored);
  deadline_ = BootClockNow() + limits_.idle_timeout;
  ArmTimer();
  Read();
}

void CallerConnection::Read() {
  if (reading_ || !open_) return;
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [this, self](const SystemError& error, std::size_t size) {
        reading_ = false;
        OnRead(error, size);
      });
}

void CallerConnection::OnRead(const SystemError& error, std::size_t size) {
  if (!open_) return;
  if (error) {
    const bool response_pending = state_ == State::kAwaitingResponse;
    Close();
    if (response_pending) handlers_->on_disconnect(shared_from_this());
    return;
  }
  const Status status =
      reader_.Append(std::string_view(read_buffer_.data(), size));
  const bool holds_request =
      state_ == State::kAwaitingResponse || state_ == State::kResponseSent;
  if (!Ok(status) && !holds_request) {
    RejectMalformed();
    return;
  }
  if (!holds_request) ProcessInput();
  if (reader_.unread_bytes() < kMaxReadAheadBytes) Read();
}

void CallerConnection::ProcessInput() {
  if (reader_.complete()) {
    state_ = State::kAwaitingResponse;
    keep_alive_ = reader_.keep_alive();
    handlers_->on_request(shared_from_this(), reader_.head(),
                          reader_.TakeBody());
    return;
  }
  if (state_ == State::kIdle && !reader_.idle()) {
    state_ = State::kReadingRequest;
    deadline_ = BootClockNow() + limits_.header_timeout;
    ArmTimer();
  }
  if (reader_.has_head()) {
    // Receiving the body is limited by the same timeout as an idle connection.
    deadline_ = BootClockNow() + limits_.idle_timeout;
    const std::string* expect = reader_.head().Find("Expect");
    if (expect != nullptr && EqualsIgnoreCase(*expect, "100-continue") &&
        !writing_) {
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
}

void CallerConnection::RejectMalformed() {
  HttpHead head;
  head.status = reader_.head_too_large()   ? 431
                : reader_.body_too_large() ? 413
                                           : 400;
  keep_alive_ = false;
  state_ = State::kAwaitingResponse;
  SendResponse(head, "");
}

std::string CallerConnection::SerializeHead(const HttpHead& head) const {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
  text += head.reason.empty() ? ReasonPhrase(head.status) : head.reason;
  text += "\r\n";
  for (const HttpField& field : head.fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  if (!keep_alive_ || close_when_idle_) text += "Connection: close\r\n";
  return text;
}

void CallerConnection::SendResponse(const HttpHead& head,
                                    std::string_view body) {
  if (!open_) return;
  std::string text = SerializeHead(head);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  // A response to HEAD has the body's Content-Length, but no body.
  if (reader_.head().method != "HEAD") text += body;
  Send(text);
  FinishResponse();
}

void CallerConnection::StartChunkedResponse(const HttpHead& head) {
  if (!open_) return;
  Send(SerializeHead(head) + "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerConnection::SendChunk(std::string_view bytes) {
  if (!open_ || bytes.empty()) return;
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text += bytes;
  text += "\r\n";
  Send(text);
}

void CallerConnection::FinishChunkedResponse() {
  if (!open_) return;
  Send("0\r\n\r\n");
  FinishResponse();
}

void CallerConnection::FinishResponse() {
  if (!open_) return;
  request_id = 0;
  if (!keep_alive_ || close_when_idle_) {
    close_after_write_ = true;
    if (!writing_) Close();
    return;
  }
  state_ = State::kResponseSent;
  // The owner may still be using the request's head.
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [this, self] {
    if (open_) StartNextRequest();
  });
}

void CallerConnection::StartNextRequest() {
  state_ = State::kIdle;
  deadline_ = BootClockNow() + limits_.idle_timeout;
  ArmTimer();
  if (!Ok(reader_.StartNextMessage())) {
    RejectMalformed();
    return;
  }
  if (close_when_idle_ && reader_.idle()) {
    CloseWhenIdle();
    return;
  }
  ProcessInput();
  Read();
}

void CallerConnection::Abort() {
  if (!open_) return;
  // A reset makes the response look incomplete to the caller immediately.
  SystemError ignored;  // The socket is closed in either case.
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void CallerConnection::CloseAfterResponse() { close_when_idle_ = true; }

void CallerConnection::CloseWhenIdle() {
  CloseAfterResponse();
  if (open_ && state_ == State::kIdle && !writing_) Close();
}

void CallerConnection::Send(std::string_view bytes) {
  if (!open_) return;
  pending_output_.append(bytes);
  if (pending_output_.size() > kMaxUnsentBytes) {
    const bool response_pending = state_ == State::kAwaitingResponse;
    Abort();
    if (response_pending) handlers_->on_disconnect(shared_from_this());
    return;
  }
  Flush();
}

void CallerConnection::Flush() {
  if (writing_ || pending_output_.empty()) return;
  writing_ = true;
  output_in_flight_.clear();
  std::swap(output_in_flight_, pending_output_);
  auto self = shared_from_this();
  boost::asio::async_write(socket_, boost::asio::buffer(output_in_flight_),
                           [this, self](const SystemError& error, std::size_t) {
                             OnWritten(error);
                           });
}

void CallerConnection::OnWritten(const SystemError& error) {
  writing_ = false;
  if (!open_) return;
  if (error) {
    const bool response_pending =
        state_ == State::kAwaitingResponse && !close_after_write_;
    Close();
    if (response_pending) handlers_->on_disconnect(shared_from_this());
    return;
  }
  Flush();
  if (!writing_ && close_after_write_) Close();
}

void CallerConnection::ArmTimer() {
  if (!open_ ||
      (armed_deadline_.has_value() && *armed_deadline_ <= deadline_)) {
    return;
  }
  armed_deadline_ = deadline_;
  timer_.expires_after(std::max<Duration>(deadline_ - BootClockNow(),
                                          std::chrono::milliseconds(1)));
  auto self = shared_from_this();
  timer_.async_wait([this, self](const SystemError& error) {
    if (error) return;  // The timer was rearmed or cancelled.
    armed_deadline_.reset();
    OnTimer();
  });
}

void CallerConnection::OnTimer() {
  if (!open_ || state_ == State::kAwaitingResponse ||
      state_ == State::kResponseSent)
    return;
  if (BootClockNow() < deadline_) {
    ArmTimer();
    return;
  }
  Close();
}

void CallerConnection::Close() {
  if (!open_) return;
  open_ = false;
  timer_.cancel();
  SystemError ignored;  // The socket is unusable in either case.
  socket_.close(ignored);
}

CallerServer::CallerServer(boost::asio::io_context& loop,
                           const std::string& address, CallerHandlers handlers)
    : acceptor_(loop),
      handlers_(std::make_shared<const CallerHandlers>(std::move(handlers))) {
  const Result<tcp::endpoint> endpoint = ParseTcpEndpoint(address);
  if (!Ok(endpoint)) throw std::runtime_error(ErrorOf(endpoint).message);
  acceptor_.open(Value(endpoint).protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(Value(endpoint));
  acceptor_.listen(kListenBacklog);
  Accept();
}

void CallerServer::Accept() {
  acceptor_.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      auto connection =
          std::make_shared<CallerConnection>(std::move(socket), handlers_);
      if (connections_.size() >= kPruneThreshold) CountOpenConnections();
      connections_.push_back(connection);
      if (close_after_responses_) connection->CloseAfterResponse();
      connection->Start();
    }
    Accept();
  });
}

void CallerServer::StopAccepting() {
  SystemError ignored;  // The acceptor is unusable in either case.
  acceptor_.close(ignored);
}

void CallerServer::CloseAfterResponses() {
  close_after_responses_ = true;
  for (const std::weak_ptr<CallerConnection>& weak : connections_) {
    if (const auto connection = weak.lock()) connection->CloseAfterResponse();
  }
}

void CallerServer::CloseIdleConnections() {
  for (const std::weak_ptr<CallerConnection>& weak : connections_) {
    if (const auto connection = weak.lock()) connection->CloseWhenIdle();
  }
}

std::size_t CallerServer::CountOpenConnections() {
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const std::weak_ptr<CallerConnection>& weak) {
                       const auto connection = weak.lock();
                       return connection == nullptr || !connection->open();
                     }),
      connections_.end());
  return connections_.size();
}

}  // namespace pollenledge
