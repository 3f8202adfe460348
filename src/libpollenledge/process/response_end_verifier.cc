#include "pollenledge/process/response_end_verifier.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "pollenledge/connection/loop_clock.h"

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
/// Maximum size of a report; the rest is ignored.
constexpr std::size_t kMaxReportBytes = std::size_t{64} * 1024;
/// An incarnation that has not reported itself for so long is forgotten.
constexpr Duration kReportedIncarnationTime = std::chrono::minutes(10);
constexpr int kMinStatusServerError = 500;

}  // namespace

const char* ToString(ResponseEndProof proof) {
  switch (proof) {
    case ResponseEndProof::kSameIncarnation:
      return "same_incarnation";
    case ResponseEndProof::kLivingProcess:
      return "living_process";
    case ResponseEndProof::kOtherIncarnation:
      return "other_incarnation";
    case ResponseEndProof::kNoProcess:
      return "no_process";
    case ResponseEndProof::kNoAnswer:
      return "no_answer";
  }
  return "";
}

ResponseEndProof AssessReportCall(std::uint64_t expected_incarnation,
                                  const ReportCall& call) {
  if (expected_incarnation != 0 && call.incarnation.has_value()) {
    return *call.incarnation == expected_incarnation
               ? ResponseEndProof::kSameIncarnation
               : ResponseEndProof::kOtherIncarnation;
  }
  if (call.end == ClientExchangeResult::kNotSent)
    return ResponseEndProof::kNoProcess;
  // A report without a length may itself be broken off, and a failure need not
  // be the process's own.
  const bool is_response = call.end == ClientExchangeResult::kComplete &&
                           call.status < kMinStatusServerError;
  return is_response ? ResponseEndProof::kLivingProcess
                     : ResponseEndProof::kNoAnswer;
}

bool IsWholeAtClose(ResponseEndProof proof, bool may_be_old) {
  // A process that does not say which one it is can only be the earlier one if
  // there was no time to start another.
  if (proof == ResponseEndProof::kLivingProcess) return !may_be_old;
  return proof == ResponseEndProof::kSameIncarnation;
}

bool ShowsEndedProcess(ResponseEndProof proof) {
  return proof == ResponseEndProof::kOtherIncarnation ||
         proof == ResponseEndProof::kNoProcess;
}

struct ResponseEndVerifier::Call {
  Call(boost::asio::io_context& loop, const std::string& address,
       std::uint64_t listed, TimePoint sent, Callback done)
      : timer(loop),
        connection(std::make_shared<ClientConnection>(loop, address)),
        listed_incarnation(listed),
        sent_at(sent),
        callback(std::move(done)) {}

  boost::asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  std::uint64_t listed_incarnation;
  TimePoint sent_at;
  Callback callback;
  int status = 0;
  std::string report;
};

ResponseEndVerifier::ResponseEndVerifier(boost::asio::io_context& loop,
                                         const ForwardingCodec& codec)
    : loop_(loop), codec_(codec) {}

ResponseEndVerifier::~ResponseEndVerifier() {
  for (const std::shared_ptr<Call>& call : calls_) {
    call->timer.cancel();
    call->connection->Abort();
  }
}

void ResponseEndVerifier::Verify(const std::string& address,
                                 std::uint64_t listed_incarnation,
                                 TimePoint sent_at, Callback callback) {
  const auto call = std::make_shared<Call>(loop_, address, listed_incarnation,
                                           sent_at, std::move(callback));
  calls_.insert(call);
  ArmTimeout(call, kReportTimeout);
  call->connection->Start("GET " + codec_.report_path + " HTTP/1.1\r\nHost: " +
                              address + "\r\nConnection: close\r\n\r\n",
                          "GET", kConnectTimeout, HandlersOf(call));
}

ExchangeHandlers ResponseEndVerifier::HandlersOf(
    const std::shared_ptr<Call>& call) {
  const std::weak_ptr<Call> weak = call;
  ExchangeHandlers handlers;
  handlers.on_head = [weak](const HttpHead& head) {
    if (const auto current = weak.lock()) current->status = head.status;
    return true;
  };
  handlers.on_body = [weak](const std::string& bytes) {
    const auto current = weak.lock();
    if (current != nullptr &&
        current->report.size() + bytes.size() <= kMaxReportBytes)
      current->report += bytes;
  };
  handlers.on_finished = [this, weak](ClientExchangeResult end) {
    if (const auto current = weak.lock()) Finish(current, end);
  };
  return handlers;
}

void ResponseEndVerifier::ArmTimeout(const std::shared_ptr<Call>& call,
                                     Duration timeout) {
  call->timer.expires_after(timeout);
  call->timer.async_wait([this, weak = std::weak_ptr<Call>(call)](
                             const boost::system::error_code& error) {
    const auto current = weak.lock();
    if (error || current == nullptr || calls_.count(current) == 0) return;
    if (current->connection->HasUnhandledInput()) {
      ArmTimeout(current, kUnreadResponseRecheck);
      return;
    }
    Finish(current, ClientExchangeResult::kConnectionLost);
  });
}

void ResponseEndVerifier::Finish(const std::shared_ptr<Call>& call,
                                 ClientExchangeResult end) {
  if (calls_.erase(call) == 0) return;
  call->timer.cancel();
  call->connection->Abort();  // The upstream may keep it open.
  std::optional<std::uint64_t> incarnation;
  if (end == ClientExchangeResult::kComplete ||
      end == ClientExchangeResult::kCompleteAtClose)
    incarnation = codec_.decode_incarnation(call->report);
  const bool was_there =
      incarnation.has_value() && WasThere(*call, *incarnation);
  const ResponseEndProof proof =
      AssessReportCall(was_there ? *incarnation : call->listed_incarnation,
                       {end, call->status, incarnation});
  if (incarnation.has_value())
    RecordReport(call->connection->address(), *incarnation, BootClockNow());
  call->callback(proof);
}

bool ResponseEndVerifier::WasThere(const Call& call,
                                   std::uint64_t incarnation) const {
  const auto known = reported_.find(call.connection->address());
  return known != reported_.end() && known->second.incarnation == incarnation &&
         known->second.first_at <= call.sent_at;
}

void ResponseEndVerifier::RecordReport(const std::string& address,
                                       std::uint64_t incarnation,
                                       TimePoint now) {
  std::erase_if(reported_, [now](const auto& entry) {
    return now - entry.second.last_at > kReportedIncarnationTime;
  });
  Reported& known = reported_[address];
  if (known.incarnation != incarnation) known = {incarnation, now, now};
  known.last_at = now;
}

}  // namespace pollenledge
