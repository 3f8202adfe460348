#include "pollenledge/process/response_end_verifier.h"

#include <memory>
#include <utility>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

/// An incarnation that has not reported itself for so long is forgotten.
constexpr Duration kReportedIncarnationTime = std::chrono::minutes(10);
constexpr int kMinStatusServerError = 500;

/// Returns true if a process has responded, also if that is no report. A
/// failure need not be the process's own.
bool HasResponded(const UpstreamReport& report) {
  return report.end == ClientExchangeResult::kComplete &&
         !report.names_request && report.status < kMinStatusServerError;
}

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

ResponseEndProof AssessReport(std::uint64_t expected_incarnation,
                              const UpstreamReport& report) {
  if (report.end == ClientExchangeResult::kNotSent)
    return ResponseEndProof::kNoProcess;
  if (!IsReport(report)) {
    return HasResponded(report) ? ResponseEndProof::kLivingProcess
                                : ResponseEndProof::kNoAnswer;
  }
  if (expected_incarnation == 0 || !report.incarnation.has_value())
    return ResponseEndProof::kLivingProcess;
  return *report.incarnation == expected_incarnation
             ? ResponseEndProof::kSameIncarnation
             : ResponseEndProof::kOtherIncarnation;
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

ResponseEndVerifier::ResponseEndVerifier(boost::asio::io_context& loop,
                                         const ForwardingCodec& codec)
    : loop_(loop), reports_(loop, codec) {}

void ResponseEndVerifier::Verify(const std::string& address,
                                 std::uint64_t listed_incarnation,
                                 TimePoint sent_at, Callback callback) {
  const auto connection = std::make_shared<ClientConnection>(loop_, address);
  reports_.Call(connection,
                [this, connection,
                 response = Response{address, listed_incarnation, sent_at},
                 callback = std::move(callback)](const UpstreamReport& report) {
                  connection->Abort();  // The upstream may keep it open.
                  callback(OnReport(response, report, BootClockNow()));
                });
}

ResponseEndProof ResponseEndVerifier::OnReport(const Response& response,
                                               const UpstreamReport& report,
                                               TimePoint now) {
  if (!report.incarnation.has_value() || !IsReport(report))
    return AssessReport(response.listed_incarnation, report);
  const std::uint64_t incarnation = *report.incarnation;
  ResponseEndProof proof = AssessReport(response.listed_incarnation, report);
  if (WasThere(response, incarnation)) {
    proof = ResponseEndProof::kSameIncarnation;
  } else if (response.listed_incarnation == 0 &&
             MayHaveReplaced(response, incarnation)) {
    proof = ResponseEndProof::kOtherIncarnation;
  }
  RecordReport(response.address, incarnation, now);
  return proof;
}

bool ResponseEndVerifier::WasThere(const Response& response,
                                   std::uint64_t incarnation) const {
  const auto known = reported_.find(response.address);
  return known != reported_.end() && known->second.incarnation == incarnation &&
         known->second.first_at <= response.sent_at;
}

bool ResponseEndVerifier::MayHaveReplaced(const Response& response,
                                          std::uint64_t incarnation) const {
  const auto known = reported_.find(response.address);
  if (known == reported_.end()) return false;
  const Reported& last = known->second;
  return last.incarnation != incarnation ||
         (last.follows_another && last.first_at > response.sent_at);
}

void ResponseEndVerifier::RecordReport(const std::string& address,
                                       std::uint64_t incarnation,
                                       TimePoint now) {
  std::erase_if(reported_, [now](const auto& entry) {
    return now - entry.second.last_at > kReportedIncarnationTime;
  });
  Reported& known = reported_[address];
  if (known.incarnation != incarnation)
    known = {incarnation, now, now, known.incarnation != 0};
  known.last_at = now;
}

}  // namespace pollenledge
