#include "pollenledge/connection/http_client.h"

#include <memory>
#include <utility>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

/// One call in progress.
struct OpenCall {
  OpenCall(boost::asio::io_context& loop, HttpClient::Callback done)
      : timer(loop), callback(std::move(done)) {}

  boost::asio::steady_timer timer;
  HttpClient::Callback callback;
  std::shared_ptr<ClientConnection> connection;
  HttpAnswer answer;

  void Finish(Result<HttpAnswer> result) {
    timer.cancel();
    connection.reset();
    // The callback may hold what owns this call.
    const HttpClient::Callback done = std::exchange(callback, nullptr);
    if (done) done(std::move(result));
  }
};

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

void HttpClient::Call(const HttpCall& call, Callback callback) {
  auto open = std::make_shared<OpenCall>(loop_, std::move(callback));
  open->connection = pool_.Take(call.address, call.timeout, BootNow());
  open->timer.expires_after(call.timeout);
  open->timer.async_wait([this, open](const boost::system::error_code& error) {
    if (error || open->connection == nullptr) return;
    pool_.CloseIdleTo(open->connection->address());
    const bool sent = open->connection->sent();
    open->connection->Abort();
    open->Finish(
        Error{sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
              "no answer within the timeout"});
  });
  ExchangeHandlers handlers;
  handlers.on_head = [open](const HttpHead& head) {
    open->answer.status = head.status;
    if (const std::string* type = head.Find("Content-Type")) {
      open->answer.content_type = *type;
    }
    return true;
  };
  handlers.on_body = [open](const std::string& part) {
    open->answer.body += part;
  };
  handlers.on_end = [this, open](ExchangeEnd end) {
    if (end != ExchangeEnd::kComplete && open->connection != nullptr) {
      pool_.CloseIdleTo(open->connection->address());
    }
    if (open->connection != nullptr) pool_.Return(open->connection);
    switch (end) {
      case ExchangeEnd::kComplete:
        open->Finish(std::move(open->answer));
        return;
      case ExchangeEnd::kNotSent:
        open->Finish(Error{ErrorCode::kUnavailable, "cannot connect"});
        return;
      case ExchangeEnd::kBroken:
        open->Finish(Error{ErrorCode::kUnknownOutcome, "connection broken"});
        return;
      case ExchangeEnd::kInvalid:
        open->Finish(Error{ErrorCode::kUnknownOutcome, "no valid answer"});
        return;
    }
  };
  open->connection->Start(RenderRequest(call), call.method, call.timeout,
                          std::move(handlers), call.send_before);
}

}  // namespace pollenledge
