#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/http.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Makes HTTP calls on an event loop and reads each response as a whole. Owns a
/// pool of persistent connections. Not thread-safe.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;
  /// Receives a response that came after the call had timed out.
  using LateCallback = std::function<void(HttpResponse)>;
  /// Time after a call's timeout in which its response is still waited for, if
  /// the call has a `LateCallback`.
  static constexpr Duration kLateResponseTime = std::chrono::milliseconds(1600);

  explicit HttpClient(boost::asio::io_context& loop)
      : loop_(loop), pool_(loop) {}

  /// Makes the call and invokes `callback` exactly once with the response. The
  /// error `kUnavailable` means that nothing was sent, `kUnknownOutcome` that
  /// the call may have taken effect.
  ///
  /// With `late_callback` a timeout ends the call, but not its exchange: if the
  /// response comes within `kLateResponseTime`, `late_callback` receives it and
  /// the connection remains open. Where packets wait for longer than the
  /// timeout, connections that were closed then would never be established.
  void Call(const HttpCall& call, Callback callback,
            LateCallback late_callback = nullptr);

  /// Closes connections that have been idle beyond their keep-alive timeout.
  void CloseIdle(TimePoint now) { pool_.CloseIdle(now); }

 private:
  boost::asio::io_context& loop_;
  ClientConnectionPool pool_;
};

}  // namespace pollenledge
