#include "pollenledge/connection/upstream_call.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <sstream>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/request/completion.h"

namespace pollenledge {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxPlainResponseBytes = std::size_t{1} << 20;
constexpr std::size_t kMaxStreamBytes = std::size_t{1} << 30;
constexpr std::size_t kMaxResponseHeadBytes = std::size_t{64} << 10;
constexpr int kMaxInterimResponses = 16;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
constexpr char kDataField[] = "data: ";
constexpr char kDoneEvent[] = "data: [DONE]";

Poco::Timespan ToTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

// Connects separately from sending, so that a failure to connect is known to
// have sent nothing.
std::optional<Poco::Net::StreamSocket> Connect(const std::string& address,
                                               Duration timeout) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address),
                   ToTimespan(kConnectTimeout));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(ToTimespan(timeout));
    socket.setSendTimeout(ToTimespan(timeout));
    return socket;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

// Attaches a socket to an `AttemptControl` for the lifetime of this object.
class SocketAttachment {
 public:
  SocketAttachment(AttemptControl* control,
                   const Poco::Net::StreamSocket& socket)
      : control_(control) {
    control_->AttachSocket(socket);
  }
  ~SocketAttachment() { control_->DetachSocket(); }
  SocketAttachment(const SocketAttachment&) = delete;
  SocketAttachment& operator=(const SocketAttachment&) = delete;

 private:
  AttemptControl* control_;
};

// Reads one response. Unlike Poco's session, it tells a whole response from one
// whose connection ended early.
class ResponseReader {
 public:
  ResponseReader(const Poco::Net::StreamSocket& socket, std::string_view method,
                 std::size_t max_body_bytes)
      : socket_(socket),
        reader_(HttpReader::Role::kResponses, kMaxResponseHeadBytes,
                max_body_bytes) {
    reader_.ExpectResponseTo(method);
  }

  // Reads up to the end of the head, skipping interim responses. Returns false
  // if there is no valid head.
  bool ReadHead() {
    for (int skipped = 0; skipped <= kMaxInterimResponses; ++skipped) {
      while (!reader_.has_head()) {
        if (!Receive()) return false;
      }
      if (reader_.head().status / 100 != 1) return true;
      if (!reader_.complete() || !Ok(reader_.StartNextMessage())) return false;
    }
    return false;
  }

  const HttpHead& head() const { return reader_.head(); }

  // Returns the next part of the body; empty at its end or if the connection is
  // lost, see `complete`.
  std::string ReadPart() {
    std::string part = reader_.TakeBody();
    while (part.empty() && !reader_.complete() && Receive()) {
      part = reader_.TakeBody();
    }
    return part;
  }

  // Returns true if the response was received up to its end.
  bool complete() const { return reader_.complete(); }
  // Returns true if nothing but the end of the connection marks that end. The
  // kernel ends the connections of a killed process in the same way.
  bool close_delimited() const { return close_delimited_; }

 private:
  // Returns false if the connection ended or the response is malformed.
  bool Receive() {
    if (lost_) return false;
    try {
      const int size = socket_.receiveBytes(buffer_.data(),
                                            static_cast<int>(buffer_.size()));
      if (size > 0) {
        lost_ = !Ok(reader_.Append(
            std::string_view(buffer_.data(), static_cast<std::size_t>(size))));
        return !lost_;
      }
      lost_ = true;
      // An orderly end may be the end of the response.
      close_delimited_ = reader_.has_head() && Ok(reader_.OnEndOfStream());
      return close_delimited_;
    } catch (const Poco::Exception&) {
      lost_ = true;  // Reset, or nothing was received within the timeout.
      return false;
    }
  }

  Poco::Net::StreamSocket socket_;
  HttpReader reader_;
  std::array<char, kReadBufferBytes> buffer_{};
  bool lost_ = false;  // No more bytes can be received.
  bool close_delimited_ = false;
};

void SendRequest(Poco::Net::StreamSocket socket,
                 const Poco::Net::HTTPRequest& request,
                 const std::string& body) {
  std::ostringstream text;
  request.write(text);
  text << body;
  const std::string bytes = text.str();
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    sent += static_cast<std::size_t>(socket.sendBytes(
        bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
  }
}

std::string HeaderValue(const HttpHead& head, const char* name) {
  const std::string* value = head.Find(name);
  return value == nullptr ? "" : *value;
}

// Reads whole server-sent events without modifying their bytes.
class EventReader {
 public:
  explicit EventReader(ResponseReader* response) : response_(response) {}

  // Returns false at the end of the stream, where an incomplete event is
  // discarded, and if the event exceeds `kMaxEventBytes`.
  bool Next(std::string* event) {
    event->clear();
    while (ReadLine(kMaxEventBytes - event->size())) {
      *event += line_;
      *event += '\n';
      if (line_.empty() || line_ == "\r")
        return event->size() > line_.size() + 1;
      if (event->size() >= kMaxEventBytes) return false;
    }
    return false;
  }

 private:
  // Returns false at the end of the stream and if the line is longer than
  // `max_bytes`.
  bool ReadLine(std::size_t max_bytes) {
    line_.clear();
    while (next_ < part_.size() || ReadPart()) {
      const char next = part_[next_++];
      if (next == '\n') return true;
      if (line_.size() == max_bytes) return false;
      line_ += next;
    }
    return false;
  }

  bool ReadPart() {
    part_ = response_->ReadPart();
    next_ = 0;
    return !part_.empty();
  }

  ResponseReader* response_;
  std::string part_;
  std::size_t next_ = 0;  // Position in `part_`.
  std::string line_;
};

// An event without a token has an empty `choices` list. Engines send one such
// event, with the usage, as the last event before the end marker. Only that
// event is parsed as JSON.
bool HasToken(const std::string& event) {
  return event.compare(0, sizeof kDataField - 1, kDataField) == 0 &&
         event.find("\"choices\":[]") == std::string::npos;
}

// Forwards the events of a stream to an `EngineSink` and fills in the attempt's
// result.
class EventForwarder {
 public:
  EventForwarder(const EngineSink& sink, event::AttemptFinished* result)
      : sink_(sink), result_(result) {}

  void Run(ResponseReader* response, AttemptControl* control) {
    EventReader reader(response);
    std::string event;
    while (reader.Next(&event)) {
      if (control->interrupted()) break;
      if (event.compare(0, sizeof kDoneEvent - 1, kDoneEvent) == 0) {
        result_->result = AttemptOutcome::kCompleted;
        SetInterTokenLatency();
        if (!sink_.on_event(event, 0))
          result_->result = AttemptOutcome::kCallerDisconnected;
        return;
      }
      if (!DeliverEvent(event)) return;
    }
    SetInterTokenLatency();
    result_->result = control->interrupted() ? AttemptOutcome::kInterrupted
                                             : AttemptOutcome::kConnectionLost;
  }

 private:
  bool DeliverEvent(const std::string& event) {
    const bool has_token = HasToken(event);
    if (!has_token) ReadUsage(event);
    if (has_token) {
      const auto now = std::chrono::steady_clock::now();
      if (token_count_ == 0) {
        first_token_at_ = now;
        sink_.on_first_token();
      }
      last_token_at_ = now;
      ++token_count_;
      ++result_->delivered_tokens;
    }
    if (sink_.on_event(event, has_token ? 1 : 0)) return true;
    result_->result = AttemptOutcome::kCallerDisconnected;
    return false;
  }

  void ReadUsage(const std::string& event) {
    if (event.compare(0, sizeof kDataField - 1, kDataField) != 0) return;
    const Result<EngineEvent> parsed =
        ParseEngineEvent(event.substr(sizeof kDataField - 1));
    if (!Ok(parsed) || !Value(parsed).has_usage) return;
    result_->cached_tokens = Value(parsed).cached_tokens;
    result_->recomputed_tokens = Value(parsed).recomputed_tokens;
  }

  void SetInterTokenLatency() {
    if (token_count_ < 2) return;
    result_->mean_inter_token_latency = std::chrono::duration_cast<Duration>(
        (last_token_at_ - first_token_at_) / (token_count_ - 1));
  }

  const EngineSink& sink_;
  event::AttemptFinished* result_;
  std::int64_t token_count_ = 0;
  std::chrono::steady_clock::time_point first_token_at_;
  std::chrono::steady_clock::time_point last_token_at_;
};

// Reads the rest of the body. Returns how the attempt ends; a body that is
// longer than `max_bytes` counts as a lost connection.
AttemptOutcome ReadBody(ResponseReader* response, std::size_t max_bytes,
                        const AttemptControl& control, std::string* body) {
  bool is_too_long = false;
  for (std::string part = response->ReadPart(); !part.empty() && !is_too_long;
       part = response->ReadPart()) {
    *body += part;
    is_too_long = body->size() > max_bytes;
  }
  const bool is_whole = response->complete() && !is_too_long;
  if (is_whole && !response->close_delimited())
    return AttemptOutcome::kCompleted;
  // An interruption ends the connection in order, too.
  if (control.interrupted()) return AttemptOutcome::kInterrupted;
  return is_whole ? AttemptOutcome::kCloseDelimited
                  : AttemptOutcome::kConnectionLost;
}

}  // namespace

AttemptControl::AttemptControl() = default;
AttemptControl::~AttemptControl() = default;

void AttemptControl::Interrupt(std::uint32_t attempt) {
  const std::lock_guard lock(mutex_);
  interrupted_attempt_ = std::max<std::uint32_t>(interrupted_attempt_, attempt);
  if (socket_ == nullptr || !interrupted()) return;
  try {
    socket_->shutdown();
  } catch (const Poco::Exception&) {
    // The connection is already closed.
  }
}

void AttemptControl::AttachSocket(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  socket_ = std::make_unique<Poco::Net::StreamSocket>(socket);
  if (interrupted()) socket_->shutdown();
}

void AttemptControl::DetachSocket() {
  const std::lock_guard lock(mutex_);
  socket_.reset();
}

event::AttemptFinished RunEngineAttempt(const EngineAttempt& attempt,
                                        const EngineSink& sink,
                                        AttemptControl* control) {
  event::AttemptFinished result;
  result.delivered_tokens = attempt.delivered_tokens;
  const auto socket = Connect(attempt.address, attempt.timeout);
  if (!socket.has_value() || control->interrupted()) {
    result.result = control->interrupted() ? AttemptOutcome::kInterrupted
                                           : AttemptOutcome::kNotSent;
    return result;
  }
  try {
    const SocketAttachment socket_attachment(control, *socket);
    Poco::Net::HTTPRequest request("POST", attempt.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(attempt.address);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(attempt.body.size()));
    request.set("X-Request-Id", attempt.request_id);
    request.set("X-Priority", std::to_string(static_cast<int>(attempt.rank)));
    SendRequest(*socket, request, attempt.body);
    ResponseReader response(*socket, request.getMethod(), kMaxStreamBytes);
    if (!response.ReadHead()) {
      result.result = control->interrupted() ? AttemptOutcome::kInterrupted
                                             : AttemptOutcome::kConnectionLost;
      return result;
    }
    const int status = response.head().status;
    result.http_status = status;
    if (IsRejectedBeforeExecution(status,
                                  HeaderValue(response.head(), "X-Executed"))) {
      result.result = AttemptOutcome::kRejected;
      return result;
    }
    const bool is_stream = status == Poco::Net::HTTPResponse::HTTP_OK;
    if (!is_stream && attempt.delivered_tokens > 0) {
      // The caller's stream has begun, so the response can't go there.
      result.result = AttemptOutcome::kConnectionLost;
      return result;
    }
    if (!is_stream) {
      const std::string content_type =
          HeaderValue(response.head(), "Content-Type");
      std::string body;
      result.result =
          ReadBody(&response, kMaxPlainResponseBytes, *control, &body);
      if (result.result == AttemptOutcome::kCompleted) {
        sink.on_plain_response({status, content_type, body});
      }
      return result;
    }
    EventForwarder(sink, &result).Run(&response, control);
  } catch (const std::exception&) {
    result.result = control->interrupted() ? AttemptOutcome::kInterrupted
                                           : AttemptOutcome::kConnectionLost;
  }
  return result;
}

event::AttemptFinished RunServiceAttempt(const ServiceAttempt& attempt,
                                         AttemptControl* control,
                                         HttpResponse* response) {
  event::AttemptFinished result;
  const auto socket = Connect(attempt.address, attempt.timeout);
  if (!socket.has_value()) {
    result.result = AttemptOutcome::kNotSent;
    return result;
  }
  try {
    const SocketAttachment socket_attachment(control, *socket);
    Poco::Net::HTTPRequest request(attempt.method, attempt.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(attempt.address);
    for (const auto& [name, value] : attempt.headers) request.set(name, value);
    request.setContentLength(static_cast<std::streamsize>(attempt.body.size()));
    SendRequest(*socket, request, attempt.body);
    ResponseReader reader(*socket, attempt.method, attempt.max_response_bytes);
    if (!reader.ReadHead()) {
      result.result = control->interrupted() ? AttemptOutcome::kInterrupted
                                             : AttemptOutcome::kConnectionLost;
      return result;
    }
    const HttpHead head = reader.head();
    result.http_status = head.status;
    if (IsRejectedBeforeExecution(head.status,
                                  HeaderValue(head, "X-Executed"))) {
      result.result = AttemptOutcome::kRejected;
      return result;
    }
    response->status = head.status;
    response->content_type = HeaderValue(head, "Content-Type");
    response->body.clear();
    result.result = ReadBody(&reader, attempt.max_response_bytes, *control,
                             &response->body);
  } catch (const std::exception&) {
    result.result = control->interrupted() ? AttemptOutcome::kInterrupted
                                           : AttemptOutcome::kConnectionLost;
  }
  return result;
}

bool IsRejectedBeforeExecution(int http_status, const std::string& x_executed) {
  return http_status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
         x_executed == "false";
}

}  // namespace pollenledge
