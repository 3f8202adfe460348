#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "pollenledge/request/request.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// What the platform's key-value service keeps of one idempotency key.
///
/// A record is created by compare-and-swap before the work is dispatched, by
/// the request that is to run it. Only that request may ever dispatch under
/// it; a record whose holder died stays as it is, because nobody can know
/// whether the holder had dispatched.
struct ClaimRecord {
  enum class State : std::uint8_t {
    kClaimed,    ///< The holder may have dispatched, or may yet.
    kCompleted,  ///< The work ran; its answer is known.
    kNotRun,     ///< The holder gave up before dispatch and never will.
    kUnknown,    ///< The holder dispatched and did not see the end.
  };

  State state = State::kClaimed;
  RequestId holder;
  std::string body_sha256;
  int http_status = 0;
  std::string content_type;
  std::string answer;  ///< Empty if it was too large to keep.
  bool answer_kept = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// The record as JSON, the form kept in the key-value service.
std::string ToJson(const ClaimRecord& record);
/// Reads what `ToJson` writes; an error names what is wrong.
Result<ClaimRecord> ParseClaimRecord(const std::string& json);

/// The key-value service's key for an idempotency key of a customer's route.
/// The caller's key is hashed, so that its length and characters do not
/// matter.
std::string ClaimKey(const std::string& customer, const std::string& route,
                     const std::string& idempotency_key);

/// A record with the revision at which it was read.
struct VersionedClaim {
  ClaimRecord record;
  std::int64_t mod_revision = 0;

  friend bool operator==(const VersionedClaim&,
                         const VersionedClaim&) = default;
};

/// What a write or read of a claim brought back.
struct ClaimWritten {
  std::int64_t mod_revision = 0;
  friend bool operator==(const ClaimWritten&, const ClaimWritten&) = default;
};
struct ClaimExists {
  VersionedClaim current;
  friend bool operator==(const ClaimExists&, const ClaimExists&) = default;
};
struct ClaimAbsent {
  friend bool operator==(const ClaimAbsent&, const ClaimAbsent&) = default;
};
/// The answer was lost or not given in time; a write may have taken effect.
struct ClaimNoAnswer {
  friend bool operator==(const ClaimNoAnswer&, const ClaimNoAnswer&) = default;
};
using ClaimReply =
    std::variant<ClaimWritten, ClaimExists, ClaimAbsent, ClaimNoAnswer>;

/// What the node that holds a claim says of it.
enum class HolderWord : std::uint8_t {
  kRunning,      ///< The request is still in progress there.
  kNeverRuns,    ///< It was not dispatched and never will be.
  kRan,          ///< It ended; the outcome is not yet recorded.
  kNotMine,      ///< The node has another incarnation now.
  kUnreachable,  ///< No answer in time.
};

/// The holder's word, with the outcome if it is known and not yet recorded.
struct HolderAnswer {
  HolderWord word = HolderWord::kUnreachable;
  std::optional<ClaimRecord> outcome;

  friend bool operator==(const HolderAnswer&, const HolderAnswer&) = default;
};

/// Create the record if the key has none, or replace the one at
/// `expected_revision`.
struct WriteClaim {
  ClaimRecord record;
  std::int64_t expected_revision = 0;  ///< 0: the key must not exist.
  friend bool operator==(const WriteClaim&, const WriteClaim&) = default;
};
struct ReadClaim {
  friend bool operator==(const ReadClaim&, const ReadClaim&) = default;
};
struct AskHolder {
  RequestId holder;
  friend bool operator==(const AskHolder&, const AskHolder&) = default;
};
/// The request holds the claim and may dispatch.
struct ClaimGranted {
  std::int64_t mod_revision = 0;
  friend bool operator==(const ClaimGranted&, const ClaimGranted&) = default;
};
/// Give the first outcome again instead of running.
struct ReplayAnswer {
  ClaimRecord record;
  friend bool operator==(const ReplayAnswer&, const ReplayAnswer&) = default;
};
/// End the request without dispatch.
struct ClaimDenied {
  Outcome outcome;
  friend bool operator==(const ClaimDenied&, const ClaimDenied&) = default;
};
using ClaimStep = std::variant<WriteClaim, ReadClaim, AskHolder, ClaimGranted,
                               ReplayAnswer, ClaimDenied>;

/// Decides how one non-idempotent request obtains the right to run.
///
/// Feed it each reply; it returns the one next step. After `ClaimGranted`,
/// `ReplayAnswer` or `ClaimDenied` it is finished and must not be fed again.
/// Not thread-safe; lives as long as the request.
class ClaimNegotiation {
 public:
  /// `deadline` bounds the whole negotiation; past it the request is denied
  /// as not run.
  ClaimNegotiation(RequestId self, std::string body_sha256, TimePoint deadline);

  ClaimStep Start() const;
  ClaimStep OnReply(const ClaimReply& reply, TimePoint now);
  ClaimStep OnHolderAnswer(const HolderAnswer& answer, TimePoint now);

  /// True once a write was sent whose effect is not known to be absent: the
  /// claim may stand in this request's name.
  bool may_hold() const { return may_hold_; }

 private:
  ClaimStep OnExisting(const VersionedClaim& current, TimePoint now);
  ClaimStep OnOutcome(const ClaimRecord& record) const;
  ClaimStep Write(std::int64_t expected_revision);
  ClaimRecord OwnRecord() const;

  RequestId self_;
  std::string body_sha256_;
  TimePoint deadline_;
  VersionedClaim seen_;
  bool awaiting_read_ = false;
  bool may_hold_ = true;
};

/// When a caller should resend a request that could not obtain its claim
/// because the key-value service gave no answer.
inline constexpr Duration kClaimRetryAfter = std::chrono::seconds(5);
/// When a caller should ask again for a request that is still in progress.
inline constexpr Duration kInProgressRetryAfter = std::chrono::seconds(1);

/// The time inside a UUID version 7 key (RFC 9562, section 5.7), or nothing if
/// `key` is not one.
std::optional<WallTime> UuidV7Time(const std::string& key);

}  // namespace pollenledge
