#include "pollenledge/request/claim.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 4> kStateNames = {"claimed", "completed",
                                                    "not_run", "unknown"};
constexpr std::size_t kUuidTextLength = 36;

NotRun MakeNotRun(int status, std::string type, std::string detail,
                  Duration retry_after) {
  return NotRun{status, std::move(type), std::move(detail), retry_after};
}

ClaimDenied DenyInProgress() {
  return {MakeNotRun(409, "in-progress",
                     "another request with this Idempotency-Key is still "
                     "in progress; this request was not run",
                     kInProgressRetryAfter)};
}

ClaimDenied DenyStoreUnavailable() {
  return {MakeNotRun(503, "claim-unavailable",
                     "the key-value service did not confirm the "
                     "Idempotency-Key; the request was not run",
                     kClaimRetryAfter)};
}

}  // namespace

std::string ToJson(const ClaimRecord& record) {
  Json json = {
      {"state", kStateNames[static_cast<std::size_t>(record.state)]},
      {"holder", ToString(record.owner)},
      {"body_sha256", record.body_sha256},
  };
  if (record.state == ClaimRecord::State::kCompleted) {
    json["http_status"] = record.http_status;
    json["content_type"] = record.content_type;
    json["answer_kept"] = record.response_stored;
    if (record.response_stored) json["answer"] = record.response;
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRecord> ParseClaimRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidArgument,
                 "claim record is not a JSON object"};
  }
  ClaimRecord record;
  const std::string state = json.value("state", "");
  std::size_t index = 0;
  while (index < kStateNames.size() && state != kStateNames[index]) ++index;
  if (index == kStateNames.size()) {
    return Error{ErrorCode::kInvalidArgument,
                 "claim record has unknown state \"" + state + "\""};
  }
  record.state = static_cast<ClaimRecord::State>(index);
  const Result<RequestId> owner = ParseRequestId(json.value("holder", ""));
  if (!Ok(owner)) return ErrorOf(owner);
  record.owner = Value(owner);
  record.body_sha256 = json.value("body_sha256", "");
  record.http_status = json.value("http_status", 0);
  record.content_type = json.value("content_type", "");
  record.response_stored = json.value("answer_kept", false);
  record.response = json.value("answer", "");
  return record;
}

std::string ClaimKey(const std::string& customer, const std::string& route,
                     const std::string& idempotency_key) {
  return "claims/" + customer + "/" + route + "/" + Sha256Hex(idempotency_key);
}

ClaimNegotiation::ClaimNegotiation(RequestId request_id,
                                   std::string body_sha256, TimePoint deadline)
    : request_id_(std::move(request_id)),
      body_sha256_(std::move(body_sha256)),
      deadline_(deadline) {}

ClaimStep ClaimNegotiation::Start() const {
  return WriteClaim{MakeRecord(), 0};
}

ClaimStep ClaimNegotiation::OnReply(const ClaimReply& reply, TimePoint now) {
  return std::visit(Overloaded{
                        [&](const ClaimWritten& written) -> ClaimStep {
                          // A suspended process may read the reply long after
                          // the write succeeded. By then its caller was told to
                          // retry, so nothing may run.
                          if (now >= deadline_) return DenyStoreUnavailable();
                          return ClaimGranted{written.mod_revision};
                        },
                        [&](const ClaimExists& exists) -> ClaimStep {
                          return OnExistingClaim(exists.current, now);
                        },
                        [&](const ClaimAbsent&) -> ClaimStep {
                          // A read may be stale and miss a write that took
                          // effect. The write is a compare-and-swap, so
                          // retrying it gives a definite result.
                          if (now >= deadline_) return DenyStoreUnavailable();
                          return MakeWrite(0);
                        },
                        [&](const ClaimNoResponse&) -> ClaimStep {
                          if (now >= deadline_) return DenyStoreUnavailable();
                          read_pending_ = !read_pending_;
                          if (read_pending_) return ReadClaim{};
                          return MakeWrite(observed_claim_.mod_revision);
                        },
                    },
                    reply);
}

ClaimStep ClaimNegotiation::OnOwnerResponse(const ClaimOwnerResponse& response,
                                            TimePoint now) {
  switch (response.status) {
    case ClaimOwnerStatus::kFinished:
      if (response.outcome.has_value())
        return OnRecordedOutcome(*response.outcome);
      return DenyInProgress();
    case ClaimOwnerStatus::kRunning:
      return DenyInProgress();
    case ClaimOwnerStatus::kNotRun:
      if (now >= deadline_) return DenyStoreUnavailable();
      return MakeWrite(observed_claim_.mod_revision);
    case ClaimOwnerStatus::kIncarnationChanged:
      return ClaimDenied{UnknownOutcome{
          "the entry that claimed this Idempotency-Key stopped before it "
          "recorded an outcome; the request may or may not have run",
          Duration(0)}};
    case ClaimOwnerStatus::kUnreachable:
      break;
  }
  return ClaimDenied{UnknownOutcome{
      "the entry that claimed this Idempotency-Key cannot be reached; the "
      "request may or may not have run",
      kClaimRetryAfter}};
}

ClaimStep ClaimNegotiation::OnExistingClaim(const VersionedClaim& current,
                                            TimePoint now) {
  read_pending_ = false;
  if (current.record.owner == request_id_) {
    // An earlier write of this request took effect and its response was lost.
    if (now >= deadline_) return DenyStoreUnavailable();
    return ClaimGranted{current.mod_revision};
  }
  observed_claim_ = current;
  may_own_claim_ = false;
  if (current.record.body_sha256 != body_sha256_) {
    return ClaimDenied{MakeNotRun(
        422, "key-reused",
        "this Idempotency-Key was already used with a different body; the "
        "request was not run",
        Duration(0))};
  }
  switch (current.record.state) {
    case ClaimRecord::State::kCompleted:
    case ClaimRecord::State::kUnknown:
      return OnRecordedOutcome(current.record);
    case ClaimRecord::State::kNotRun:
      if (now >= deadline_) return DenyStoreUnavailable();
      return MakeWrite(current.mod_revision);
    case ClaimRecord::State::kClaimed:
      break;
  }
  return ClaimOwnerQuery{current.record.owner};
}

ClaimStep ClaimNegotiation::OnRecordedOutcome(const ClaimRecord& record) const {
  if (record.state == ClaimRecord::State::kCompleted) {
    return ReplayResponse{record};
  }
  return ClaimDenied{UnknownOutcome{
      "the connection to the upstream was lost while it ran the request of "
      "this Idempotency-Key; the request may or may not have run",
      Duration(0)}};
}

ClaimStep ClaimNegotiation::MakeWrite(std::int64_t expected_revision) {
  may_own_claim_ = true;
  read_pending_ = false;
  return WriteClaim{MakeRecord(), expected_revision};
}

ClaimRecord ClaimNegotiation::MakeRecord() const {
  ClaimRecord record;
  record.owner = request_id_;
  record.body_sha256 = body_sha256_;
  return record;
}

std::optional<WallTime> ParseUuidV7Time(const std::string& key) {
  if (key.size() != kUuidTextLength) return std::nullopt;
  std::string digits;
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (is_dash != (key[i] == '-')) return std::nullopt;
    if (is_dash) continue;
    if (std::isxdigit(static_cast<unsigned char>(key[i])) == 0) {
      return std::nullopt;
    }
    digits += key[i];
  }
  if (digits[12] != '7') return std::nullopt;
  const std::int64_t milliseconds =
      std::stoll(digits.substr(0, 12), nullptr, 16);
  return WallTime(std::chrono::milliseconds(milliseconds));
}

}  // namespace pollenledge
