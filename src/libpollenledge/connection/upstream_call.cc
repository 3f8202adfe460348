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
constexpr std::size_t kMaxPlainAnswer = 1 << 20;
constexpr char kDataField[] = "data: ";
constexpr char kDone[] = "data: [DONE]";

Poco::Timespan ToTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

// Opens the connection apart from sending, so that a failure to connect is
// known to have sent nothing.
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

// Attaches a socket to the control for as long as the scope lasts.
class Attachment {
 public:
  Attachment(AttemptControl* control, const Poco::Net::StreamSocket& socket)
      : control_(control) {
    control_->Attach(socket);
  }
  ~Attachment() { control_->Detach(); }
  Attachment(const Attachment&) = delete;
  Attachment& operator=(const Attachment&) = delete;

 private:
  AttemptControl* control_;
};

// Reads whole server-sent events. Keeps the bytes as they came.
class EventReader {
 public:
  explicit EventReader(std::istream* in) : in_(in) {}

  // False at the end of the stream, which cuts off an unfinished event.
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
  // False at the end of the stream, and if the line is longer than `most`.
  bool ReadLine(std::size_t most) {
    line_.clear();
    char next = 0;
    while (in_->get(next)) {
      if (next == '\n') return true;
      if (line_.size() == most) return false;
      line_ += next;
    }
    return false;
  }

  std::istream* in_;
  std::string line_;
};

// An event without a token has no choices; engines send such an event with
// the usage, as the last before the end. Only that one is parsed.
bool HasToken(const std::string& event) {
  return event.compare(0, sizeof kDataField - 1, kDataField) == 0 &&
         event.find("\"choices\":[]") == std::string::npos;
}

// Passes the events on and fills in how the attempt ended.
class EventPump {
 public:
  EventPump(const EngineSink& sink, event::AttemptEnded* ended)
      : sink_(sink), ended_(ended) {}

  void Run(std::istream* in, AttemptControl* control) {
    EventReader reader(in);
    std::string event;
    while (reader.Next(&event)) {
      if (control->interrupted()) break;
      if (event.compare(0, sizeof kDone - 1, kDone) == 0) {
        ended_->end = AttemptEnd::kCompleted;
        SetPace();
        if (!sink_.on_event(event, 0)) ended_->end = AttemptEnd::kCallerLeft;
        return;
      }
      if (!Pass(event)) return;
    }
    SetPace();
    ended_->end =
        control->interrupted() ? AttemptEnd::kInterrupted : AttemptEnd::kBroken;
  }

 private:
  bool Pass(const std::string& event) {
    const bool has_token = HasToken(event);
    if (!has_token) ReadUsage(event);
    if (has_token) {
      const auto now = std::chrono::steady_clock::now();
      if (tokens_ == 0) {
        first_token_at_ = now;
        sink_.on_first_token();
      }
      last_token_at_ = now;
      ++tokens_;
      ++ended_->delivered_tokens;
    }
    if (sink_.on_event(event, has_token ? 1 : 0)) return true;
    ended_->end = AttemptEnd::kCallerLeft;
    return false;
  }

  void ReadUsage(const std::string& event) {
    if (event.compare(0, sizeof kDataField - 1, kDataField) != 0) return;
    const Result<EngineEvent> parsed =
        ParseEngineEvent(event.substr(sizeof kDataField - 1));
    if (!Ok(parsed) || !Value(parsed).has_usage) return;
    ended_->cached_tokens = Value(parsed).cached_tokens;
    ended_->recomputed_tokens = Value(parsed).recomputed_tokens;
  }

  void SetPace() {
    if (tokens_ < 2) return;
    ended_->between_tokens = std::chrono::duration_cast<Duration>(
        (last_token_at_ - first_token_at_) / (tokens_ - 1));
  }

  const EngineSink& sink_;
  event::AttemptEnded* ended_;
  std::int64_t tokens_ = 0;
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

bool IsWhole(const Poco::Net::HTTPResponse& response, const std::string& body) {
  return !response.hasContentLength() ||
         static_cast<std::int64_t>(body.size()) ==
             response.getContentLength64();
}

}  // namespace

AttemptControl::AttemptControl() = default;
AttemptControl::~AttemptControl() = default;

void AttemptControl::Interrupt(std::uint32_t attempt) {
  const std::lock_guard lock(mutex_);
  interrupted_ = std::max<std::uint32_t>(interrupted_, attempt);
  if (socket_ == nullptr || !interrupted()) return;
  try {
    socket_->shutdown();
  } catch (const Poco::Exception&) {
    // The connection is gone already, which is what was wanted.
  }
}

void AttemptControl::Attach(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  socket_ = std::make_unique<Poco::Net::StreamSocket>(socket);
  if (interrupted()) socket_->shutdown();
}

void AttemptControl::Detach() {
  const std::lock_guard lock(mutex_);
  socket_.reset();
}

event::AttemptEnded RunEngineAttempt(const EngineAttempt& attempt,
                                     const EngineSink& sink,
                                     AttemptControl* control) {
  event::AttemptEnded ended;
  ended.delivered_tokens = attempt.delivered_tokens;
  const auto socket = Connect(attempt.address, attempt.timeout);
  if (!socket.has_value() || control->interrupted()) {
    ended.end = control->interrupted() ? AttemptEnd::kInterrupted
                                       : AttemptEnd::kNotSent;
    return ended;
  }
  try {
    const Attachment attachment(control, *socket);
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
    ended.http_status = status;
    if (RefusedBeforeExecution(status, response.get("X-Executed", ""))) {
      ended.end = AttemptEnd::kRefused;
      return ended;
    }
    if (status != Poco::Net::HTTPResponse::HTTP_OK) {
      const std::string body = ReadAll(in, kMaxPlainAnswer);
      ended.end = IsWhole(response, body) ? AttemptEnd::kCompleted
                                          : AttemptEnd::kBroken;
      if (ended.end == AttemptEnd::kCompleted) {
        sink.on_plain_answer({status, response.getContentType(), body});
      }
      return ended;
    }
    EventPump(sink, &ended).Run(&in, control);
  } catch (const std::exception&) {
    ended.end =
        control->interrupted() ? AttemptEnd::kInterrupted : AttemptEnd::kBroken;
  }
  return ended;
}

event::AttemptEnded RunServiceAttempt(const ServiceAttempt& attempt,
                                      AttemptControl* control,
                                      HttpAnswer* answer) {
  event::AttemptEnded ended;
  const auto socket = Connect(attempt.address, attempt.timeout);
  if (!socket.has_value()) {
    ended.end = AttemptEnd::kNotSent;
    return ended;
  }
  try {
    const Attachment attachment(control, *socket);
    Poco::Net::HTTPClientSession session(*socket);
    Poco::Net::HTTPRequest request(attempt.method, attempt.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : attempt.headers) request.set(name, value);
    request.setContentLength(static_cast<std::streamsize>(attempt.body.size()));
    session.sendRequest(request) << attempt.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    ended.http_status = response.getStatus();
    if (RefusedBeforeExecution(response.getStatus(),
                               response.get("X-Executed", ""))) {
      ended.end = AttemptEnd::kRefused;
      return ended;
    }
    answer->status = response.getStatus();
    answer->content_type = response.getContentType();
    answer->body = ReadAll(in, attempt.max_answer_bytes);
    ended.end = IsWhole(response, answer->body) ? AttemptEnd::kCompleted
                                                : AttemptEnd::kBroken;
  } catch (const std::exception&) {
    ended.end =
        control->interrupted() ? AttemptEnd::kInterrupted : AttemptEnd::kBroken;
  }
  return ended;
}

bool RefusedBeforeExecution(int http_status, const std::string& x_executed) {
  return http_status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
         x_executed == "false";
}

}  // namespace pollenledge
