#include "pollenledge/connection/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <utility>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr std::size_t kReadBufferBytes = std::size_t{8} * 1024;
/// Maximum size of output buffered for a caller that does not read it: the
/// largest response that is not a stream (4 MB), its head, and a rest of the
/// response before it.
constexpr std::size_t kMaxUnsentBytes = std::size_t{5} * 1024 * 1024;
/// From this size of unsent output on, a stream waits for its caller, until
/// half of it is taken.
constexpr std::size_t kFullOutputBytes = std::size_t{256} * 1024;
/// Output is collected in strings of this size, except larger ones, which are
/// not copied.
constexpr std::size_t kOutputBlockBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxBuffersPerWrite = 16;
constexpr std::size_t kMinTrimBytes = std::size_t{128} * 1024;
/// Maximum size of the kernel's buffer for a body that the account has room
/// for.
constexpr std::size_t kMaxReceiveBufferBytes = std::size_t{256} * 1024;
/// Maximum size of pipelined requests read while a response is pending.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
/// Memory for a chunked body is requested in steps of this size.
constexpr std::size_t kBodyStepBytes = std::size_t{64} * 1024;
/// Bytes of a refused request that are discarded beyond the largest body, and
/// the time for it. A caller on 10 Mbit/s sends 4 MB in 3.4 s.
constexpr std::size_t kDiscardMarginBytes = std::size_t{64} * 1024;
constexpr Duration kDiscardTimeout = std::chrono::seconds(5);

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
    case 408:
      return "Request Timeout";
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

CallerConnection::~CallerConnection() {
  if (client_.has_value()) handlers_->budget->Close(*client_);
}

bool CallerConnection::OpenClient(ClientGroup group) {
  if (handlers_->budget == nullptr) return true;
  ByteBudget::Callbacks callbacks;
  callbacks.evict = [this](ByteBudget::Need need) {
    // The callback must not outlive the connection that it belongs to.
    auto self = shared_from_this();
    Evict(need);
  };
  callbacks.has_unhandled_progress = [this] { return HasUncountedProgress(); };
  client_ = handlers_->budget->Open(group, std::move(callbacks), read_at_);
  return client_.has_value();
}

bool CallerConnection::Start() {
  read_at_ = BootClockNow();
  has_no_room_ = !OpenClient(handlers_->group);
  if (has_no_room_ && !OpenClient(ClientGroup::kRefused)) {
    Close(CallerCloseCause::kNoRoom);
    return false;
  }
  SystemError ignored;  // A failure only increases latency.
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  idle_since_ = read_at_;
  ArmTimer();
  Read();
  return !has_no_room_;
}

void CallerConnection::Read() {
  if (reading_ || !open_) return;
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_wait(tcp::socket::wait_read,
                     [this, self](const SystemError& error) {
                       reading_ = false;
                       if (!error && open_) OnReadable();
                     });
}

void CallerConnection::OnReadable() {
  std::array<char, kReadBufferBytes> buffer;
  SystemError error;
  const std::size_t size =
      socket_.read_some(boost::asio::buffer(buffer), error);
  if (error == boost::asio::error::would_block) {
    Read();
    ArmTimer();
    return;
  }
  OnRead(error, std::string_view(buffer.data(), size));
}

void CallerConnection::OnRead(const SystemError& error,
                              std::string_view bytes) {
  if (error) {
    const bool response_pending = state_ == State::kAwaitingResponse;
    Close(CallerCloseCause::kCallerClosed);
    if (response_pending) handlers_->on_disconnect(shared_from_this());
    return;
  }
  read_at_ = BootClockNow();
  had_request_ = true;
  if (state_ == State::kDiscarding) {
    OnDiscarded(bytes.size());
    return;
  }
  if (reader_.idle()) UpdateLimits();
  const Status status = reader_.Append(bytes);
  bool has_room = true;
  if (HoldsRequest()) {
    has_room = HoldReader();
  } else {
    if (client_.has_value())
      handlers_->budget->OnProgress(*client_, bytes.size(), read_at_);
    if (!Ok(status)) {
      RejectMalformed();
    } else {
      ProcessInput();
    }
  }
  // Without room, the next request is read after this one.
  if (has_room && reader_.unread_bytes() < kMaxReadAheadBytes) Read();
  ArmTimer();
}

void CallerConnection::ProcessInput() {
  if (has_no_room_) {
    if (reader_.has_head()) Refuse(503);
    return;
  }
  if (!HoldReceived()) return;
  if (reader_.complete()) {
    if (HasCallerLeft()) {
      Close(CallerCloseCause::kCallerClosed);
      return;
    }
    // The request's own deadline has passed, so nobody waits for its answer.
    if (body_deadline_.has_value() && read_at_ >= *body_deadline_) {
      Refuse(408);
      return;
    }
    state_ = State::kAwaitingResponse;
    keep_alive_ = reader_.keep_alive();
    UpdateActivity();
    SetReceiveBuffer(0);
    std::string body = reader_.TakeBody();
    handlers_->on_request(shared_from_this(), reader_.head(), std::move(body));
    return;
  }
  if (state_ == State::kIdle && !reader_.idle()) {
    state_ = State::kReadingRequest;
    deadline_ = BootClockNow() + limits_.header_timeout;
    UpdateActivity();
    ArmTimer();
  }
  if (!reader_.has_head()) return;
  if (!head_admitted_ && !AdmitHead()) return;
  // Receiving the body is limited by the same timeout as an idle connection.
  deadline_ = BootClockNow() + limits_.idle_timeout;
  if (body_deadline_.has_value() && *body_deadline_ < deadline_) {
    deadline_ = *body_deadline_;
    ArmTimer();
  }
}

bool CallerConnection::AdmitHead() {
  head_admitted_ = true;
  const HttpHead& head = reader_.head();
  if (handlers_->on_head) {
    const BodyTerms terms = handlers_->on_head(head);
    SetCustomer(terms.customer);
    if (terms.time_left.has_value())
      body_deadline_ = BootClockNow() + *terms.time_left;
  }
  if (!HoldReceived()) return false;
  if (const std::optional<std::size_t> size = reader_.announced_body_bytes())
    reader_.ReserveBody(*size);
  // The account has room for these bytes, wherever they wait.
  SetReceiveBuffer(std::min(held_body_bytes_, kMaxReceiveBufferBytes));
  const std::string* expect = head.Find("Expect");
  if (expect != nullptr && EqualsIgnoreCase(*expect, "100-continue"))
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  return open_;
}

void CallerConnection::SetReceiveBuffer(std::size_t bytes) {
  const int size = std::max(kReceiveBufferBytes, static_cast<int>(bytes));
  if (size == receive_buffer_bytes_) return;
  receive_buffer_bytes_ = size;
  SystemError ignored;  // A failure only increases latency.
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(size),
                     ignored);
}

bool CallerConnection::HoldReader() {
  // The owner copies the head.
  return Hold(ByteBudget::Stage::kReader,
              reader_.buffered_bytes() + 2 * reader_.head_memory_bytes());
}

bool CallerConnection::HoldReceived() {
  if (!HoldReader()) {
    Refuse(503);
    return false;
  }
  const std::size_t received = reader_.received_body_bytes();
  std::size_t needed = received;
  if (!reader_.complete()) {
    // Before the head is admitted, the customer is not known.
    if (!head_admitted_) return true;
    needed = reader_.announced_body_bytes().value_or(
        (received / kBodyStepBytes + 1) * kBodyStepBytes);
  }
  if (needed == held_body_bytes_) return true;
  if (!TryHold(ByteBudget::Stage::kRequest, needed)) {
    Refuse(503);
    return false;
  }
  held_body_bytes_ = needed;
  return true;
}

bool CallerConnection::TryHold(ByteBudget::Stage stage, std::size_t bytes) {
  return !client_.has_value() ||
         handlers_->budget->TryHold(*client_, stage, bytes, BootClockNow());
}

bool CallerConnection::Hold(ByteBudget::Stage stage, std::size_t bytes) {
  return !client_.has_value() ||
         handlers_->budget->Hold(*client_, stage, bytes, BootClockNow());
}

bool CallerConnection::HoldAnswer(std::size_t bytes) {
  return Hold(ByteBudget::Stage::kAnswer, bytes);
}

void CallerConnection::SetCustomer(const std::string& customer) {
  if (customer == customer_ || !client_.has_value()) return;
  customer_ = customer;
  handlers_->budget->SetCustomer(*client_, customer);
}

ByteBudget::Activity CallerConnection::CurrentActivity() const {
  using Activity = ByteBudget::Activity;
  const bool holds_output =
      output_is_full_ || (state_ == State::kIdle && !output_.empty());
  if (state_ == State::kDiscarding) return Activity::kClosing;
  if (state_ == State::kReadingRequest) return Activity::kReceiving;
  if (holds_output) return Activity::kSending;
  return state_ == State::kIdle ? Activity::kIdle : Activity::kServing;
}

void CallerConnection::UpdateActivity() {
  if (!client_.has_value()) return;
  handlers_->budget->SetActivity(*client_, CurrentActivity(), BootClockNow());
}

void CallerConnection::RejectMalformed() {
  Refuse(reader_.head_too_large() ? 431 : reader_.body_too_large() ? 413 : 400);
}

void CallerConnection::Refuse(int status) {
  if (state_ == State::kDiscarding) return;
  HttpHead head;
  head.status = status;
  if (handlers_->on_refused)
    head.fields = handlers_->on_refused(reader_.head(), status);
  keep_alive_ = false;
  // Sending may make other clients release memory. In state `kDiscarding` this
  // request can be neither handed on nor refused again by then.
  reader_.Discard();
  state_ = State::kDiscarding;
  deadline_ = BootClockNow() + kDiscardTimeout;
  held_body_bytes_ = 0;
  Hold(ByteBudget::Stage::kReader, 0);
  Hold(ByteBudget::Stage::kRequest, 0);
  UpdateActivity();
  Send(SerializeHead(head) + "Content-Length: 0\r\n\r\n");
  if (!open_) return;
  ArmTimer();
  if (!writing_) FinishWriting();
  Read();
}

void CallerConnection::OnDiscarded(std::size_t size) {
  discarded_bytes_ += size;
  if (discarded_bytes_ > limits_.max_body_bytes + kDiscardMarginBytes) {
    Close(CallerCloseCause::kRefused);
    return;
  }
  Read();
}

void CallerConnection::Evict(ByteBudget::Need need) {
  if (!open_) return;
  if (need == ByteBudget::Need::kBytes && state_ == State::kReadingRequest) {
    Refuse(503);
  } else {
    GiveUp(CallerCloseCause::kEvicted);
  }
}

void CallerConnection::GiveUp(CallerCloseCause cause) {
  if (!open_) return;
  const bool response_pending =
      state_ == State::kAwaitingResponse && !close_after_write_;
  if (writing_ || state_ == State::kAwaitingResponse) {
    Reset(cause);
  } else {
    Close(cause);
  }
  if (response_pending) handlers_->on_disconnect(shared_from_this());
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

void CallerConnection::SendResponse(const HttpHead& head, std::string body) {
  if (!open_) return;
  std::string text = SerializeHead(head);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  // A response to HEAD has the body's Content-Length, but no body.
  const bool has_body = reader_.head().method != "HEAD";
  const bool is_large = body.size() > kOutputBlockBytes;
  if (has_body && !is_large) text += body;
  Send(std::move(text));
  if (has_body && is_large) Send(std::move(body));
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
  Send(std::move(text));
}

void CallerConnection::FinishChunkedResponse() {
  if (!open_) return;
  Send("0\r\n\r\n");
  FinishResponse();
}

void CallerConnection::FinishResponse() {
  if (!open_) return;
  request_id = 0;
  held_body_bytes_ = 0;
  Hold(ByteBudget::Stage::kRequest, 0);
  Hold(ByteBudget::Stage::kAnswer, 0);
  if (!keep_alive_ || close_when_idle_) {
    close_after_write_ = true;
    if (!writing_) Close(CallerCloseCause::kResponded);
    return;
  }
  state_ = State::kResponseSent;
  // The owner may still be using the request's head.
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [this, self] {
    if (open_ && state_ == State::kResponseSent) StartNextRequest();
  });
}

void CallerConnection::StartNextRequest() {
  // A caller that does not read gets no further response to hold.
  if (output_is_full_) return;
  state_ = State::kIdle;
  head_admitted_ = false;
  body_deadline_.reset();
  SetCustomer("");
  UpdateActivity();
  idle_since_ = BootClockNow();
  ArmTimer();
  UpdateLimits();
  if (!Ok(reader_.StartNextMessage())) {
    RejectMalformed();
    return;
  }
  Read();
  if (close_when_idle_ && reader_.idle()) {
    CloseWhenIdle();
    return;
  }
  ProcessInput();
}

void CallerConnection::Abort() {
  // A reset makes the response look incomplete to the caller immediately.
  Reset(CallerCloseCause::kAborted);
}

void CallerConnection::CloseAfterResponse() { close_when_idle_ = true; }

void CallerConnection::CloseWhenIdle() {
  CloseAfterResponse();
  const bool is_idle = state_ == State::kIdle || state_ == State::kDiscarding;
  const bool awaits_first_request =
      !had_request_ && BootClockNow() - idle_since_ < kFirstRequestTime;
  if (open_ && is_idle && !writing_ && !awaits_first_request &&
      !HasUnhandledProgress()) {
    Close(CallerCloseCause::kDrained);
  }
}

void CallerConnection::Send(std::string bytes) {
  if (!open_ || bytes.empty()) return;
  unsent_bytes_ += bytes.size();
  if (unsent_bytes_ > kMaxUnsentBytes) {
    GiveUp(CallerCloseCause::kTooMuchOutput);
    return;
  }
  const bool can_append =
      output_.size() > output_in_flight_ &&
      output_.back().size() + bytes.size() <= kOutputBlockBytes;
  if (can_append) {
    output_.back() += bytes;
  } else {
    output_.push_back(std::move(bytes));
  }
  if (unsent_bytes_ > kFullOutputBytes && !output_is_full_) {
    output_is_full_ = true;
    UpdateActivity();
  }
  Hold(ByteBudget::Stage::kWriter, unsent_bytes_ + output_sent_bytes_);
  Flush();
}

void CallerConnection::Flush() {
  if (writing_ || output_.empty() || !open_) return;
  writing_ = true;
  std::vector<boost::asio::const_buffer> buffers;
  output_in_flight_ = std::min(output_.size(), kMaxBuffersPerWrite);
  buffers.reserve(output_in_flight_);
  for (std::size_t i = 0; i < output_in_flight_; ++i)
    buffers.push_back(boost::asio::buffer(output_[i]));
  buffers.front() += output_sent_bytes_;
  output_progress_at_ = BootClockNow();
  ArmTimer();
  auto self = shared_from_this();
  socket_.async_write_some(
      buffers, [this, self](const SystemError& error, std::size_t size) {
        writing_ = false;
        output_in_flight_ = 0;
        if (open_) OnWritten(error, size);
      });
}

void CallerConnection::OnWritten(const SystemError& error, std::size_t size) {
  if (error) {
    const bool response_pending =
        state_ == State::kAwaitingResponse && !close_after_write_;
    Close(CallerCloseCause::kCallerClosed);
    if (response_pending) handlers_->on_disconnect(shared_from_this());
    return;
  }
  unsent_bytes_ -= size;
  output_sent_bytes_ += size;
  while (!output_.empty() && output_sent_bytes_ >= output_.front().size()) {
    output_sent_bytes_ -= output_.front().size();
    output_.pop_front();
  }
  if (client_.has_value() && state_ != State::kReadingRequest)
    handlers_->budget->OnProgress(*client_, size, BootClockNow());
  // Releases the part of a large response that was taken. As it is at least
  // half, all copies together are no larger than the response.
  if (output_sent_bytes_ >= kMinTrimBytes &&
      output_sent_bytes_ >= output_.front().size() / 2) {
    output_.front() = output_.front().substr(output_sent_bytes_);
    output_sent_bytes_ = 0;
  }
  Hold(ByteBudget::Stage::kWriter, unsent_bytes_ + output_sent_bytes_);
  Flush();
  if (!writing_) FinishWriting();
  ArmTimer();
  if (!open_ || !output_is_full_ || unsent_bytes_ > kFullOutputBytes / 2)
    return;
  output_is_full_ = false;
  UpdateActivity();
  if (state_ == State::kResponseSent) StartNextRequest();
  if (handlers_->on_drained) handlers_->on_drained(shared_from_this());
}

void CallerConnection::FinishWriting() {
  if (close_after_write_) {
    Close(CallerCloseCause::kResponded);
    return;
  }
  UpdateActivity();
  if (state_ != State::kDiscarding) return;
  // The caller sees the end of the response while it still sends.
  SystemError ignored;  // The read reports a lost connection.
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void CallerConnection::Reset(CallerCloseCause cause) {
  if (!open_) return;
  SystemError ignored;  // The socket is closed in either case.
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close(cause);
}

CallerClose CallerConnection::DescribeClose(CallerCloseCause cause) const {
  const TimePoint now = BootClockNow();
  CallerClose close;
  close.cause = cause;
  close.response_pending =
      (state_ == State::kAwaitingResponse && !close_after_write_) ||
      !output_.empty();
  SystemError ignored;  // Nothing can be read from a connection that was reset.
  close.unread_bytes = socket_.available(ignored);
  if (HoldsRequest()) close.buffered_bytes = reader_.unread_bytes();
  close.since_read = now - read_at_;
  if (const std::optional<TimePoint> deadline = NextDeadline())
    close.overdue = std::max<Duration>(now - *deadline, Duration::zero());
  close.idle_timeout = IdleTimeout();
  return close;
}

void CallerConnection::Close(CallerCloseCause cause) {
  if (!open_) return;
  std::optional<CallerClose> close;
  if (handlers_->on_closed) close = DescribeClose(cause);
  open_ = false;
  timer_.cancel();
  SystemError ignored;  // The socket is unusable in either case.
  socket_.close(ignored);
  if (client_.has_value()) handlers_->budget->Close(*client_);
  client_.reset();
  if (close.has_value()) handlers_->on_closed(*this, *close);
}

}  // namespace pollenledge
