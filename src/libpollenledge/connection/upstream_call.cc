#include "pollenledge/connection/upstream_call.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <istream>

#include "pollenledge/request/completion.h"

namespace pollenledge {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxPlainResponseBytes = 1 << 20;
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

// Reads whole server-sent events without modifying their bytes.
class EventReader {
 public:
  explicit EventReader(std::istream* in) : in_(in) {}

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
    char next = 0;
    while (in_->get(next)) {
      if (next == '\n') return true;
      if (line_.size() == max_bytes) return false;
      line_ += next;
    }
    return false;
  }

  std::istream* in_;
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

  void Run(std::istream* in, AttemptControl* control) {
    EventReader reader(in);
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

std::string ReadAll(std::istream& in, std::size_t max_bytes) {
  std::string body;
  char buffer[16 * 1024];
  while (in.good() && body.size() < max_bytes) {
    in.read(buffer, sizeof buffer);
    body.append(buffer, static_cast<std::size_t>(in.gcount()));
  }
  return body;
}

bool IsComplete(const Poco::Net::HTTPResponse& response,
                const std::string& body) {
  return !response.hasContentLength() ||
         static_cast<std::int64_t>(body.size()) ==
             response.getContentLength64();
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
    Poco::Net::HTTPClientSession session(*socket);
    Poco::Net::HTTPRequest request("POST", attempt.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(attempt.body.size()));
    request.set("X-Request-Id", attempt.request_id);
    request.set("X-Priority", std::to_string(static_cast<int>(attempt.rank)));
    session.sendRequest(request) << attempt.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    const int status = response.getStatus();
    result.http_status = status;
    if (IsRejectedBeforeExecution(status, response.get("X-Executed", ""))) {
      result.result = AttemptOutcome::kRejected;
      return result;
    }
    if (status != Poco::Net::HTTPResponse::HTTP_OK) {
      const std::string body = ReadAll(in, kMaxPlainResponseBytes);
      result.result = IsComplete(response, body)
                          ? AttemptOutcome::kCompleted
                          : AttemptOutcome::kConnectionLost;
      if (result.result == AttemptOutcome::kCompleted) {
        sink.on_plain_response({status, response.getContentType(), body});
      }
      return result;
    }
    EventForwarder(sink, &result).Run(&in, control);
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
    Poco::Net::HTTPClientSession session(*socket);
    Poco::Net::HTTPRequest request(attempt.method, attempt.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : attempt.headers) request.set(name, value);
    request.setContentLength(static_cast<std::streamsize>(attempt.body.size()));
    session.sendRequest(request) << attempt.body << std::flush;
    Poco::Net::HTTPResponse http_response;
    std::istream& in = session.receiveResponse(http_response);
    result.http_status = http_response.getStatus();
    if (IsRejectedBeforeExecution(http_response.getStatus(),
                                  http_response.get("X-Executed", ""))) {
      result.result = AttemptOutcome::kRejected;
      return result;
    }
    response->status = http_response.getStatus();
    response->content_type = http_response.getContentType();
    response->body = ReadAll(in, attempt.max_response_bytes);
    result.result = IsComplete(http_response, response->body)
                        ? AttemptOutcome::kCompleted
                        : AttemptOutcome::kConnectionLost;
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
