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

  explicit HttpClient(boost::asio::io_context& loop)
      : loop_(loop), pool_(loop) {}

  /// Makes the call and invokes `callback` exactly once with the response. The
  /// error `kUnavailable` means that nothing was sent, `kUnknownOutcome` that
  /// the call may have taken effect.
  void Call(const HttpCall& call, Callback callback);

  /// Closes connections that have been idle beyond their keep-alive timeout.
  void CloseIdle(TimePoint now) { pool_.CloseIdle(now); }

 private:
  boost::asio::io_context& loop_;
  ClientConnectionPool pool_;
};

}  // namespace pollenledge
