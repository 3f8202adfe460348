#include "pollenledge/request/claim.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 4> kStateNames = {"claimed", "completed",
                                                    "not_run", "unknown"};
constexpr std::size_t kUuidLength = 36;

NotRun NotRunBecause(int status, std::string type, std::string detail,
                     Duration retry_after) {
  return NotRun{status, std::move(type), std::move(detail), retry_after};
}

ClaimDenied DenyInProgress() {
  return {NotRunBecause(409, "in-progress",
                        "another request with this Idempotency-Key is still "
                        "in progress; this one was not run",
                        kInProgressRetryAfter)};
}

ClaimDenied DenyNoStore() {
  return {NotRunBecause(503, "claim-unavailable",
                        "the key-value service did not confirm the "
                        "Idempotency-Key; the request was not run",
                        kClaimRetryAfter)};
}

}  // namespace

std::string ToJson(const ClaimRecord& record) {
  Json json = {
      {"state", kStateNames[static_cast<std::size_t>(record.state)]},
      {"holder", ToString(record.holder)},
      {"body_sha256", record.body_sha256},
  };
  if (record.state == ClaimRecord::State::kCompleted) {
    json["http_status"] = record.http_status;
    json["content_type"] = record.content_type;
    json["answer_kept"] = record.answer_kept;
    if (record.answer_kept) json["answer"] = record.answer;
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
  const Result<RequestId> holder = ParseRequestId(json.value("holder", ""));
  if (!Ok(holder)) return ErrorOf(holder);
  record.holder = Value(holder);
  record.body_sha256 = json.value("body_sha256", "");
  record.http_status = json.value("http_status", 0);
  record.content_type = json.value("content_type", "");
  record.answer_kept = json.value("answer_kept", false);
  record.answer = json.value("answer", "");
  return record;
}

std::string ClaimKey(const std::string& customer, const std::string& route,
                     const std::string& idempotency_key) {
  return "claims/" + customer + "/" + route + "/" + Sha256Hex(idempotency_key);
}

ClaimNegotiation::ClaimNegotiation(RequestId self, std::string body_sha256,
                                   TimePoint deadline)
    : self_(std::move(self)),
      body_sha256_(std::move(body_sha256)),
      deadline_(deadline) {}

ClaimStep ClaimNegotiation::Start() const { return WriteClaim{OwnRecord(), 0}; }

ClaimStep ClaimNegotiation::OnReply(const ClaimReply& reply, TimePoint now) {
  return std::visit(Overloaded{
                        [&](const ClaimWritten& written) -> ClaimStep {
                          // A frozen process may read a grant long after it was
                          // given. The caller was told to come back by then, so
                          // nothing may run.
                          if (now >= deadline_) return DenyNoStore();
                          return ClaimGranted{written.mod_revision};
                        },
                        [&](const ClaimExists& exists) -> ClaimStep {
                          return OnExisting(exists.current, now);
                        },
                        [&](const ClaimAbsent&) -> ClaimStep {
                          // A read may lag behind a write that took effect. The
                          // write is compare-and-swap, so repeating it settles
                          // the matter.
                          if (now >= deadline_) return DenyNoStore();
                          return Write(0);
                        },
                        [&](const ClaimNoAnswer&) -> ClaimStep {
                          if (now >= deadline_) return DenyNoStore();
                          awaiting_read_ = !awaiting_read_;
                          if (awaiting_read_) return ReadClaim{};
                          return Write(seen_.mod_revision);
                        },
                    },
                    reply);
}

ClaimStep ClaimNegotiation::OnHolderAnswer(const HolderAnswer& answer,
                                           TimePoint now) {
  switch (answer.word) {
    case HolderWord::kRan:
      if (answer.outcome.has_value()) return OnOutcome(*answer.outcome);
      return DenyInProgress();
    case HolderWord::kRunning:
      return DenyInProgress();
    case HolderWord::kNeverRuns:
      if (now >= deadline_) return DenyNoStore();
      return Write(seen_.mod_revision);
    case HolderWord::kNotMine:
      return ClaimDenied{UnknownOutcome{
          "the entry that took this Idempotency-Key stopped before it "
          "recorded an outcome; the work may or may not have run",
          Duration(0)}};
    case HolderWord::kUnreachable:
      break;
  }
  return ClaimDenied{UnknownOutcome{
      "the entry that took this Idempotency-Key cannot be reached; the work "
      "may or may not have run",
      kClaimRetryAfter}};
}

ClaimStep ClaimNegotiation::OnExisting(const VersionedClaim& current,
                                       TimePoint now) {
  awaiting_read_ = false;
  if (current.record.holder == self_) {
    // An earlier write of this request took effect and its answer was lost.
    if (now >= deadline_) return DenyNoStore();
    return ClaimGranted{current.mod_revision};
  }
  seen_ = current;
  may_hold_ = false;
  if (current.record.body_sha256 != body_sha256_) {
    return ClaimDenied{NotRunBecause(
        422, "key-reused",
        "this Idempotency-Key was used before with another body; the request "
        "was not run",
        Duration(0))};
  }
  switch (current.record.state) {
    case ClaimRecord::State::kCompleted:
    case ClaimRecord::State::kUnknown:
      return OnOutcome(current.record);
    case ClaimRecord::State::kNotRun:
      if (now >= deadline_) return DenyNoStore();
      return Write(current.mod_revision);
    case ClaimRecord::State::kClaimed:
      break;
  }
  return AskHolder{current.record.holder};
}

ClaimStep ClaimNegotiation::OnOutcome(const ClaimRecord& record) const {
  if (record.state == ClaimRecord::State::kCompleted) {
    return ReplayAnswer{record};
  }
  return ClaimDenied{UnknownOutcome{
      "the upstream was lost while it ran the work of this Idempotency-Key; "
      "it may or may not have run",
      Duration(0)}};
}

ClaimStep ClaimNegotiation::Write(std::int64_t expected_revision) {
  may_hold_ = true;
  awaiting_read_ = false;
  return WriteClaim{OwnRecord(), expected_revision};
}

ClaimRecord ClaimNegotiation::OwnRecord() const {
  ClaimRecord record;
  record.holder = self_;
  record.body_sha256 = body_sha256_;
  return record;
}

std::optional<WallTime> UuidV7Time(const std::string& key) {
  if (key.size() != kUuidLength) return std::nullopt;
  std::string digits;
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash != (key[i] == '-')) return std::nullopt;
    if (dash) continue;
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
