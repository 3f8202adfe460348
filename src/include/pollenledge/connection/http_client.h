#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/http.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Makes whole HTTP calls to one address on an event loop, over connections
/// that are kept open. Not thread-safe.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpAnswer>)>;

  explicit HttpClient(boost::asio::io_context& loop)
      : loop_(loop), pool_(loop) {}

  /// Makes the call and hands the answer to `callback` once. An error with
  /// `kUnavailable` means that no byte was sent, `kUnknownOutcome` that the
  /// call may have taken effect.
  void Call(const HttpCall& call, Callback callback);

  /// Closes connections that were idle for too long.
  void CloseIdle(TimePoint now) { pool_.CloseIdle(now); }

 private:
  boost::asio::io_context& loop_;
  ClientConnectionPool pool_;
};

}  // namespace pollenledge
