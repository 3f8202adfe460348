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

/// Lets another thread stop an attempt that is waiting for its upstream. One
/// control serves the successive attempts of a request. Thread-safe.
class AttemptControl {
 public:
  AttemptControl();
  ~AttemptControl();

  /// Makes the connection of `attempt` fail, either now or when the attempt
  /// starts. Later attempts are not affected.
  void Interrupt(std::uint32_t attempt);
  /// True if the most recently started attempt is interrupted.
  bool interrupted() const { return interrupted_attempt_ >= current_attempt_; }
  /// Marks `attempt` as the current one.
  void BeginAttempt(std::uint32_t attempt) { current_attempt_ = attempt; }

  /// Sets the connection that `Interrupt` shuts down. Called by the attempt.
  void AttachSocket(const Poco::Net::StreamSocket& socket);
  void DetachSocket();

 private:
  std::atomic<std::uint32_t> interrupted_attempt_ = 0;
  std::atomic<std::uint32_t> current_attempt_ = 1;
  std::mutex mutex_;
  std::unique_ptr<Poco::Net::StreamSocket> socket_;
};

/// The parameters of an attempt to run a request on a model engine.
struct EngineAttempt {
  std::string address;
  std::string path;
  std::string body;
  std::string request_id;
  Rank rank = Rank::kStandard;
  Duration timeout{std::chrono::seconds(30)};
  std::int64_t delivered_tokens = 0;  ///< In earlier attempts.
};

/// Callbacks for an engine's response.
struct EngineSink {
  /// Receives a response that is not an event stream. Its status and body go to
  /// the caller unchanged.
  std::function<void(const HttpResponse&)> on_plain_response;
  /// Receives the unmodified bytes of one whole server-sent event that carries
  /// `tokens` tokens. Returns false if the caller has disconnected.
  std::function<bool(const std::string& event, std::int64_t tokens)> on_event;
  /// Called before the event with the attempt's first token.
  std::function<void()> on_first_token;
};

/// Sends one request to an engine and passes the response's events to `sink` as
/// they arrive. Blocks until the attempt has finished and reports how. The
/// caller must fill in the request's id and the attempt number of the result.
event::AttemptFinished RunEngineAttempt(const EngineAttempt& attempt,
                                        const EngineSink& sink,
                                        AttemptControl* control);

/// The parameters of a call to a plain service.
struct ServiceAttempt {
  std::string address;
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
  Duration timeout{std::chrono::seconds(30)};
  std::size_t max_response_bytes = 16UL << 20;
};

/// Makes one call to a plain service. Blocks until it has finished. `response`
/// is valid only if the attempt completed.
event::AttemptFinished RunServiceAttempt(const ServiceAttempt& attempt,
                                         AttemptControl* control,
                                         HttpResponse* response);

/// Returns true if an upstream's response means, by contract, that it did not
/// execute the request: status 429, or any status with `X-Executed: false`.
bool IsRejectedBeforeExecution(int http_status, const std::string& x_executed);

}  // namespace pollenledge
