#include "pollenledge/connection/http_client.h"

#include <memory>
#include <utility>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

/// Time until a call is looked at again whose response has arrived in time, but
/// waits for the event loop.
constexpr Duration kUnreadResponseRecheck = std::chrono::milliseconds(5);

/// A call in progress, or one that has timed out and may still be answered.
struct PendingCall {
  PendingCall(boost::asio::io_context& loop, HttpClient::Callback done,
              HttpClient::LateCallback late)
      : timer(loop),
        callback(std::move(done)),
        late_callback(std::move(late)) {}

  boost::asio::steady_timer timer;
  HttpClient::Callback callback;  ///< Empty once the call has ended.
  HttpClient::LateCallback late_callback;
  TimePoint started_at = BootClockNow();
  std::shared_ptr<ClientConnection> connection;
  HttpResponse response;
  std::string content_length;  ///< As the response's head states it.

  /// Describes for a log how far the call got.
  std::string DescribeProgress() const {
    if (connection == nullptr || !connection->may_have_sent())
      return "not connected";
    if (response.status == 0) return "no byte of the response";
    return std::to_string(response.body.size()) + " of " +
           (content_length.empty() ? "?" : content_length) +
           " bytes of the response's body";
  }

  /// Ends the call; its connection may go on.
  void End(Result<HttpResponse> result) {
    // The callback may own the object that owns this call.
    const HttpClient::Callback done = std::exchange(callback, nullptr);
    if (done) done(std::move(result));
  }

  /// The connection has ended the exchange.
  void Finish(Result<HttpResponse> result) {
    timer.cancel();
    connection.reset();
    const HttpClient::LateCallback late = std::exchange(late_callback, nullptr);
    if (callback != nullptr) {
      End(std::move(result));
    } else if (late != nullptr && Ok(result)) {
      late(std::move(Value(result)));
    }
  }
};

void OnTimeout(ClientConnectionPool* pool,
               const std::shared_ptr<PendingCall>& pending);

/// Calls `OnTimeout` after `timeout`, unless the response is being read then.
void ArmTimeout(ClientConnectionPool* pool,
                const std::shared_ptr<PendingCall>& pending, Duration timeout) {
  pending->timer.expires_after(timeout);
  pending->timer.async_wait(
      [pool, pending](const boost::system::error_code& error) {
        if (error || pending->connection == nullptr) return;
        if (pending->connection->HasUnhandledInput()) {
          ArmTimeout(pool, pending, kUnreadResponseRecheck);
        } else {
          OnTimeout(pool, pending);
        }
      });
}

void OnTimeout(ClientConnectionPool* pool,
               const std::shared_ptr<PendingCall>& pending) {
  const bool sent = pending->connection->may_have_sent();
  const Error timed_out = {
      sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
      "no response within the timeout: " + pending->DescribeProgress()};
  pool->CloseIdleTo(pending->connection->address(), pending->started_at);
  const bool waits_on =
      pending->callback != nullptr && pending->late_callback != nullptr;
  if (waits_on) {
    ArmTimeout(pool, pending, HttpClient::kLateResponseTime);
    pending->End(timed_out);
  } else {
    pending->connection->Abort();
    pending->Finish(timed_out);
  }
}

std::string RenderRequest(const HttpCall& call) {
  std::string text = call.method + ' ' + call.path +
                     " HTTP/1.1\r\nHost: " + call.address + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!call.body.empty() || call.method == "POST") {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

}  // namespace

void HttpClient::Call(const HttpCall& call, Callback callback,
                      LateCallback late_callback) {
  auto pending = std::make_shared<PendingCall>(loop_, std::move(callback),
                                               std::move(late_callback));
  const Duration max_idle =
      call.new_connection ? Duration::zero() : call.timeout;
  pending->connection = pool_.Acquire(call.address, max_idle, BootClockNow());
  ArmTimeout(&pool_, pending, call.timeout);
  ExchangeHandlers handlers;
  handlers.on_head = [pending](const HttpHead& head) {
    pending->response.status = head.status;
    if (const std::string* type = head.Find("Content-Type")) {
      pending->response.content_type = *type;
    }
    if (const std::string* length = head.Find("Content-Length")) {
      pending->content_length = *length;
    }
    pending->response.fields = head.fields;
    return true;
  };
  handlers.on_body = [pending](const std::string& part) {
    pending->response.body += part;
  };
  handlers.on_finished = [this, pending](ClientExchangeResult end) {
    const bool is_complete = end == ClientExchangeResult::kComplete ||
                             end == ClientExchangeResult::kCompleteAtClose;
    if (!is_complete && pending->connection != nullptr) {
      pool_.CloseIdleTo(pending->connection->address(), pending->started_at);
    }
    if (pending->connection != nullptr) pool_.Release(pending->connection);
    switch (end) {
      case ClientExchangeResult::kComplete:
      case ClientExchangeResult::kCompleteAtClose:
        pending->Finish(std::move(pending->response));
        return;
      case ClientExchangeResult::kNotSent:
        pending->Finish(Error{ErrorCode::kUnavailable, "failed to connect"});
        return;
      case ClientExchangeResult::kConnectionLost:
        pending->Finish(
            Error{ErrorCode::kUnknownOutcome,
                  "connection lost before the response was complete"});
        return;
      case ClientExchangeResult::kInvalid:
        pending->Finish(Error{ErrorCode::kUnknownOutcome,
                              "malformed or oversized response"});
        return;
    }
  };
  pending->connection->Start(RenderRequest(call), call.method, call.timeout,
                             std::move(handlers), call.send_before);
}

}  // namespace pollenledge
