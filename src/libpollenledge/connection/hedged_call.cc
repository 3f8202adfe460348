#include "pollenledge/connection/hedged_call.h"

#include <utility>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {

void HedgedCall::Start(boost::asio::io_context& loop, const HttpCall& call,
                       Send send, HttpClient::Callback callback,
                       LateCallback late_callback) {
  const std::shared_ptr<HedgedCall> hedged(
      new HedgedCall(loop, call, std::move(send), std::move(callback),
                     std::move(late_callback)));
  hedged->hedge_timer_.expires_after(kHedgeDelay);
  hedged->hedge_timer_.async_wait(
      [hedged](const boost::system::error_code& error) {
        if (error || hedged->callback_ == nullptr) return;
        hedged->call_.new_connection = true;
        hedged->SendAttempt();
      });
  hedged->SendAttempt();
}

HedgedCall::HedgedCall(boost::asio::io_context& loop, HttpCall call, Send send,
                       HttpClient::Callback callback,
                       LateCallback late_callback)
    : call_(std::move(call)),
      send_(std::move(send)),
      callback_(std::move(callback)),
      late_callback_(std::move(late_callback)),
      hedge_timer_(loop) {}

void HedgedCall::SendAttempt() {
  ++unanswered_;
  const TimePoint sent_at = BootClockNow();
  const auto self = shared_from_this();
  send_(
      call_,
      [self](Result<HttpResponse> response) {
        self->OnAttemptEnded(std::move(response));
      },
      [self, sent_at](HttpResponse response) {
        self->OnLateResponse(std::move(response), sent_at);
      });
}

void HedgedCall::OnAttemptEnded(Result<HttpResponse> response) {
  --unanswered_;
  if (callback_ == nullptr) return;
  if (!Ok(response) && unanswered_ > 0) return;
  Finish(std::move(response));
}

void HedgedCall::OnLateResponse(HttpResponse response, TimePoint sent_at) {
  if (callback_ != nullptr) {
    Finish(std::move(response));
    return;
  }
  const LateCallback late = std::exchange(late_callback_, nullptr);
  if (late != nullptr) late(std::move(response), sent_at);
}

void HedgedCall::Finish(Result<HttpResponse> response) {
  hedge_timer_.cancel();
  if (Ok(response)) late_callback_ = nullptr;
  const HttpClient::Callback done = std::exchange(callback_, nullptr);
  done(std::move(response));
}

}  // namespace pollenledge
