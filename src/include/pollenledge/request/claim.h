#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "pollenledge/request/request.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The record of one idempotency key in the platform's key-value service.
///
/// A request creates the record by compare-and-swap before it dispatches its
/// work, and becomes the owner of the claim. Only the owner may dispatch under
/// it. If the owner's process crashes, the record stays unchanged, because it
/// is unknown whether the owner had already dispatched.
struct ClaimRecord {
  enum class State : std::uint8_t {
    kClaimed,    ///< The owner may have dispatched, or may still do so.
    kCompleted,  ///< The work ran; its response is known.
    kNotRun,     ///< The owner ended before dispatch and never will.
    kUnknown,    ///< The owner dispatched and did not see the outcome.
  };

  State state = State::kClaimed;
  RequestId owner;
  std::string body_sha256;
  int http_status = 0;
  std::string content_type;
  std::string response;  ///< Empty if it was too large to store.
  bool response_stored = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Serializes the record to JSON, the form stored in the key-value service.
std::string ToJson(const ClaimRecord& record);
/// Parses the output of `ToJson`. An error states what is invalid.
Result<ClaimRecord> ParseClaimRecord(const std::string& json);

/// Returns the key under which the key-value service stores the claim of an
/// idempotency key. The caller's key is hashed, so that any length and any
/// characters are valid.
std::string ClaimKey(const std::string& customer, const std::string& route,
                     const std::string& idempotency_key);

/// A claim record with the revision at which it was read.
struct VersionedClaim {
  ClaimRecord record;
  std::int64_t mod_revision = 0;

  friend bool operator==(const VersionedClaim&,
                         const VersionedClaim&) = default;
};

/// The write succeeded at `mod_revision`.
struct ClaimWritten {
  std::int64_t mod_revision = 0;
  friend bool operator==(const ClaimWritten&, const ClaimWritten&) = default;
};
/// A read found a record, or a write failed because the record is not
/// at the expected revision.
struct ClaimExists {
  VersionedClaim current;
  friend bool operator==(const ClaimExists&, const ClaimExists&) = default;
};
/// The key has no record.
struct ClaimAbsent {
  friend bool operator==(const ClaimAbsent&, const ClaimAbsent&) = default;
};
/// The response was lost or timed out; a write may have taken effect.
struct ClaimNoResponse {
  friend bool operator==(const ClaimNoResponse&,
                         const ClaimNoResponse&) = default;
};
/// Result of reading or writing a claim record.
using ClaimReply =
    std::variant<ClaimWritten, ClaimExists, ClaimAbsent, ClaimNoResponse>;

/// Status of a claim as reported by the node that owns it.
enum class ClaimOwnerStatus : std::uint8_t {
  kRunning,             ///< The request is still in progress on that node.
  kNotRun,              ///< The request was not dispatched and never will be.
  kFinished,            ///< The request ended; its outcome is not yet recorded.
  kIncarnationChanged,  ///< The node restarted with another incarnation.
  kUnreachable,         ///< No response within the timeout.
};

/// The owner's status, with the outcome if it is known and not yet recorded.
struct ClaimOwnerResponse {
  ClaimOwnerStatus status = ClaimOwnerStatus::kUnreachable;
  std::optional<ClaimRecord> outcome;

  friend bool operator==(const ClaimOwnerResponse&,
                         const ClaimOwnerResponse&) = default;
};

/// Create the record if the key has none, or replace the record that exists at
/// `expected_revision`.
struct WriteClaim {
  ClaimRecord record;
  std::int64_t expected_revision = 0;  ///< 0: the key must not exist.
  friend bool operator==(const WriteClaim&, const WriteClaim&) = default;
};
/// Read the record.
struct ReadClaim {
  friend bool operator==(const ReadClaim&, const ReadClaim&) = default;
};
/// Query the owner of the claim for its status.
struct ClaimOwnerQuery {
  RequestId owner;
  friend bool operator==(const ClaimOwnerQuery&,
                         const ClaimOwnerQuery&) = default;
};
/// The request owns the claim and may dispatch.
struct ClaimGranted {
  std::int64_t mod_revision = 0;
  friend bool operator==(const ClaimGranted&, const ClaimGranted&) = default;
};
/// Return the recorded response instead of running the work again.
struct ReplayResponse {
  ClaimRecord record;
  friend bool operator==(const ReplayResponse&,
                         const ReplayResponse&) = default;
};
/// End the request without dispatching it.
struct ClaimDenied {
  Outcome outcome;
  friend bool operator==(const ClaimDenied&, const ClaimDenied&) = default;
};
/// Next step of a claim negotiation.
using ClaimStep = std::variant<WriteClaim, ReadClaim, ClaimOwnerQuery,
                               ClaimGranted, ReplayResponse, ClaimDenied>;

/// State machine by which one non-idempotent request acquires the claim that
/// allows it to run.
///
/// Each reply passed in yields the next step. The steps `ClaimGranted`,
/// `ReplayResponse` and `ClaimDenied` are final: no reply may be passed in
/// after them. Not thread-safe; lives as long as the request.
class ClaimNegotiation {
 public:
  /// `deadline` bounds the whole negotiation. Once it has passed, no claim is
  /// granted and no further read or write is issued; the request is denied as
  /// not run instead.
  ClaimNegotiation(RequestId request_id, std::string body_sha256,
                   TimePoint deadline);

  ClaimStep Start() const;
  ClaimStep OnReply(const ClaimReply& reply, TimePoint now);
  ClaimStep OnOwnerResponse(const ClaimOwnerResponse& response, TimePoint now);

  /// True if a write that was sent may have taken effect, so that this request
  /// may own the claim.
  bool may_own_claim() const { return may_own_claim_; }

 private:
  ClaimStep OnExistingClaim(const VersionedClaim& current, TimePoint now);
  ClaimStep OnRecordedOutcome(const ClaimRecord& record) const;
  ClaimStep MakeWrite(std::int64_t expected_revision);
  ClaimRecord MakeRecord() const;

  RequestId request_id_;
  std::string body_sha256_;
  TimePoint deadline_;
  VersionedClaim observed_claim_;
  bool read_pending_ = false;
  bool may_own_claim_ = true;
};

/// `Retry-After` for a request that could not acquire its claim because the
/// key-value service did not respond.
inline constexpr Duration kClaimRetryAfter = std::chrono::seconds(5);
/// `Retry-After` for a request whose idempotency key is still in progress.
inline constexpr Duration kInProgressRetryAfter = std::chrono::seconds(1);

/// Returns the timestamp in a UUID version 7 (RFC 9562, section 5.7), or
/// `nullopt` if `key` is not a UUID version 7.
std::optional<WallTime> ParseUuidV7Time(const std::string& key);

}  // namespace pollenledge
