#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "pollenledge/connection/http.h"
#include "pollenledge/process/entry_events.h"
#include "pollenledge/time.h"

namespace Poco::Net {
class StreamSocket;
}

namespace pollenledge {

/// Lets another thread stop an attempt that waits for its upstream.
/// Thread-safe.
class AttemptControl {
 public:
  AttemptControl();
  ~AttemptControl();

  /// Makes the connection of `attempt` fail, now or when it begins; later
  /// attempts are not concerned.
  void Interrupt(std::uint32_t attempt);
  /// True if the attempt that began last is interrupted.
  bool interrupted() const { return interrupted_ >= current_; }
  void Begin(std::uint32_t attempt) { current_ = attempt; }

  /// Names the connection to stop. Used by the attempt itself.
  void Attach(const Poco::Net::StreamSocket& socket);
  void Detach();

 private:
  std::atomic<std::uint32_t> interrupted_ = 0;
  std::atomic<std::uint32_t> current_ = 1;
  std::mutex mutex_;
  std::unique_ptr<Poco::Net::StreamSocket> socket_;
};

/// What an attempt at a model engine needs.
struct EngineAttempt {
  std::string address;
  std::string path;
  std::string body;
  std::string request_id;
  Rank rank = Rank::kStandard;
  Duration timeout{std::chrono::seconds(30)};
  std::int64_t delivered_tokens = 0;  ///< By earlier attempts.
};

/// Takes the events of an engine's answer.
struct EngineSink {
  /// The engine's answer that is not a stream of events: a status and body to
  /// hand to the caller as they are.
  std::function<void(const HttpAnswer&)> on_plain_answer;
  /// One whole server-sent event with `tokens` tokens, as it came. Returns
  /// false if the caller left.
  std::function<bool(const std::string& event, std::int64_t tokens)> on_event;
  std::function<void()> on_first_token;
};

/// Sends one request to an engine and passes its events on as they come. Blocks
/// until the attempt ends. Every end is told apart as `AttemptEnd` says; the
/// request's id and attempt number are the caller's to fill in.
event::AttemptEnded RunEngineAttempt(const EngineAttempt& attempt,
                                     const EngineSink& sink,
                                     AttemptControl* control);

/// A call of a plain service.
struct ServiceAttempt {
  std::string address;
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
  Duration timeout{std::chrono::seconds(30)};
  std::size_t max_answer_bytes = 16UL << 20;
};

/// Makes one call of a plain service. `answer` is set if the end is
/// `kCompleted`.
event::AttemptEnded RunServiceAttempt(const ServiceAttempt& attempt,
                                      AttemptControl* control,
                                      HttpAnswer* answer);

/// True if an upstream's answer means, by contract, that it did not execute
/// the request: status 429, or any status with `X-Executed: false`.
bool RefusedBeforeExecution(int http_status, const std::string& x_executed);

}  // namespace pollenledge
