#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "pollenledge/connection/http.h"
#include "pollenledge/connection/http_client.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An idempotent call that is sent once more, on a new connection, if it is not
/// answered soon: the first connection may lead nowhere. The response that
/// comes first is taken (Dean and Barroso, "The Tail at Scale", 2013).
///
/// If both attempts time out, the call ends with an error. A response that
/// still comes is reported with the time at which it was asked for: it is as
/// new as that.
///
/// Not thread-safe: everything runs on the thread of the loop.
class HedgedCall : public std::enable_shared_from_this<HedgedCall> {
 public:
  /// Time after which a call that is not answered is sent once more.
  static constexpr Duration kHedgeDelay = std::chrono::milliseconds(200);

  /// Sends one attempt, as `HttpClient::Call` does.
  using Send = std::function<void(const HttpCall&, HttpClient::Callback,
                                  HttpClient::LateCallback)>;
  /// Receives a response that came after the call had ended with an error.
  using LateCallback =
      std::function<void(Result<HttpResponse>, TimePoint sent_at)>;

  /// Starts the call. Invokes `callback` exactly once, and later
  /// `late_callback` at most once, if it is not null.
  static void Start(boost::asio::io_context& loop, const HttpCall& call,
                    Send send, HttpClient::Callback callback,
                    LateCallback late_callback = nullptr);

 private:
  HedgedCall(boost::asio::io_context& loop, HttpCall call, Send send,
             HttpClient::Callback callback, LateCallback late_callback);

  void SendAttempt();
  void OnAttemptEnded(Result<HttpResponse> response);
  void OnLateResponse(HttpResponse response, TimePoint sent_at);
  void Finish(Result<HttpResponse> response);

  HttpCall call_;
  Send send_;
  HttpClient::Callback callback_;  ///< Empty once the call has ended.
  LateCallback late_callback_;     ///< Empty once a response has come.
  boost::asio::steady_timer hedge_timer_;
  int unanswered_ = 0;  ///< Attempts that have not ended.
};

}  // namespace pollenledge
