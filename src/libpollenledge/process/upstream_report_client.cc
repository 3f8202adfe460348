#include "pollenledge/process/upstream_report_client.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace pollenledge {
namespace {

/// As for attempts: several round trips.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Time until the whole report is there. A living process responds within a few
/// milliseconds; a silent one holds up the request's next attempt this long.
constexpr Duration kReportTimeout = std::chrono::milliseconds(600);
/// Time until a call is looked at again whose response has arrived in time, but
/// waits for the event loop.
constexpr Duration kUnreadResponseRecheck = std::chrono::milliseconds(5);
/// A timer that is handled later than this shows a loop that was late itself,
/// so that the upstream may have had less than its time.
constexpr Duration kLateTimer = std::chrono::milliseconds(100);
/// A longer response is no report.
constexpr std::size_t kMaxReportBytes = std::size_t{64} * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

}  // namespace

bool IsReport(const UpstreamReport& report) {
  if (report.names_request) return false;
  if (report.status != kStatusOk && report.status != kStatusNotFound)
    return false;
  // A response without a length may be broken off, unless it holds what it is
  // read for.
  return report.end == ClientExchangeResult::kComplete ||
         (report.end == ClientExchangeResult::kCompleteAtClose &&
          report.incarnation.has_value());
}

struct UpstreamReportClient::PendingCall {
  PendingCall(boost::asio::io_context& loop,
              std::shared_ptr<ClientConnection> on, Callback done)
      : timer(loop), connection(std::move(on)), callback(std::move(done)) {}

  boost::asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  Callback callback;
  UpstreamReport report;
  std::string body;
};

UpstreamReportClient::UpstreamReportClient(boost::asio::io_context& loop,
                                           const ForwardingCodec& codec)
    : loop_(loop), codec_(codec) {}

UpstreamReportClient::~UpstreamReportClient() {
  for (const std::shared_ptr<PendingCall>& call : calls_) {
    call->timer.cancel();
    call->connection->Abort();
  }
}

void UpstreamReportClient::Call(
    const std::shared_ptr<ClientConnection>& connection, Callback callback) {
  const auto call =
      std::make_shared<PendingCall>(loop_, connection, std::move(callback));
  calls_.insert(call);
  ArmTimeout(call, kReportTimeout);
  connection->Start("GET " + codec_.report_path + " HTTP/1.1\r\nHost: " +
                        connection->address() + "\r\n\r\n",
                    "GET", kConnectTimeout, HandlersOf(call));
}

ExchangeHandlers UpstreamReportClient::HandlersOf(
    const std::shared_ptr<PendingCall>& call) {
  const std::weak_ptr<PendingCall> weak = call;
  ExchangeHandlers handlers;
  handlers.on_head = [this, weak](const HttpHead& head) {
    const auto current = weak.lock();
    if (current == nullptr) return false;
    current->report.status = head.status;
    current->report.names_request =
        codec_.decode_response(head).names_request();
    return true;
  };
  handlers.on_body = [this, weak](const std::string& bytes) {
    const auto current = weak.lock();
    if (current == nullptr) return;
    if (current->body.size() + bytes.size() > kMaxReportBytes) {
      Abandon(current, ClientExchangeResult::kInvalid);
      return;
    }
    current->body += bytes;
  };
  handlers.on_finished = [this, weak](ClientExchangeResult end) {
    if (const auto current = weak.lock()) Finish(current, end);
  };
  return handlers;
}

void UpstreamReportClient::ArmTimeout(const std::shared_ptr<PendingCall>& call,
                                      Duration timeout) {
  call->timer.expires_after(timeout);
  call->timer.async_wait([this, weak = std::weak_ptr<PendingCall>(call)](
                             const boost::system::error_code& error) {
    const auto current = weak.lock();
    if (error || current == nullptr || calls_.count(current) == 0) return;
    const auto delay =
        std::chrono::steady_clock::now() - current->timer.expiry();
    if (delay >= kLateTimer) {
      ArmTimeout(current, kReportTimeout);
      return;
    }
    if (current->connection->HasUnhandledInput()) {
      ArmTimeout(current, kUnreadResponseRecheck);
      return;
    }
    Abandon(current, ClientExchangeResult::kConnectionLost);
  });
}

void UpstreamReportClient::Abandon(const std::shared_ptr<PendingCall>& call,
                                   ClientExchangeResult end) {
  call->connection->Abort();
  Finish(call, end);
}

void UpstreamReportClient::Finish(const std::shared_ptr<PendingCall>& call,
                                  ClientExchangeResult end) {
  if (calls_.erase(call) == 0) return;
  call->timer.cancel();
  call->report.end = end;
  const bool is_whole = end == ClientExchangeResult::kComplete ||
                        end == ClientExchangeResult::kCompleteAtClose;
  if (is_whole && call->report.status == kStatusOk)
    call->report.incarnation = codec_.decode_incarnation(call->body);
  call->callback(call->report);
}

}  // namespace pollenledge
