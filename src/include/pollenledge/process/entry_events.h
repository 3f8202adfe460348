#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/connection/upstream.h"
#include "pollenledge/process/crash_suspects.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/process/upstream_table.h"
#include "pollenledge/request/claim.h"
#include "pollenledge/request/request.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Where a stream goes on after an earlier attempt was stopped.
struct ResumePoint {
  std::int64_t delivered_tokens = 0;  ///< Tokens the caller has already.
  /// Where the KV cache can be fetched from; empty if it is recomputed.
  std::string kv_source;

  friend bool operator==(const ResumePoint&, const ResumePoint&) = default;
};

/// The answer to non-idempotent work, kept so that a resend gets it again.
struct KeptAnswer {
  std::string content_type;
  std::string body;

  friend bool operator==(const KeptAnswer&, const KeptAnswer&) = default;
};

/// Everything a peer needs to go on with a request.
struct HandedOverRequest {
  RequestId id;
  RequestSpec spec;
  std::int64_t delivered_tokens = 0;
  std::uint32_t attempts = 0;
  std::string upstream_name;  ///< Where its cache is.
  std::uint64_t upstream_incarnation = 0;

  friend bool operator==(const HandedOverRequest&,
                         const HandedOverRequest&) = default;
};

/// What happens to an entry. The daemon makes these out of sockets and timers.
namespace event {

struct RequestArrived {
  RequestId id;
  RequestSpec spec;
};
struct CallerLeft {
  RequestId id;
};
struct ClaimReplied {
  RequestId id;
  ClaimReply reply;
};
struct HolderReplied {
  RequestId id;
  HolderAnswer answer;
};
/// The write of an outcome, or of a release, to the key-value service ended.
struct OutcomeWritten {
  RequestId id;
  bool ok = false;
};
struct FirstToken {
  RequestId id;
  std::uint32_t attempt = 0;
};
struct AttemptEnded {
  RequestId id;
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  int http_status = 0;
  std::int64_t delivered_tokens = 0;   ///< Over all attempts.
  std::int64_t cached_tokens = 0;      ///< Prompt tokens found in the cache.
  std::int64_t recomputed_tokens = 0;  ///< Tokens computed a second time.
  Duration between_tokens{0};          ///< Mean; 0 if unknown.
  std::optional<KeptAnswer> answer;    ///< Non-idempotent work only.
};
struct LoadReported {
  UpstreamId upstream;
  LoadReport report;
};
/// An engine's word that it cached or evicted a prompt prefix.
struct CacheChanged {
  UpstreamId upstream;
  std::uint64_t prefix = 0;
  bool cached = true;
};
struct UpstreamsListed {
  std::vector<UpstreamInfo> upstreams;
};
/// A notice that an upstream leaves or is gone. `remaining` is the time until
/// it stops, if that is known.
struct UpstreamNoticed {
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kLeaving;
  std::optional<Duration> remaining;
  std::string source;
};
struct TablesAdopted {
  std::shared_ptr<const Tables> tables;
};
struct HeartbeatReceived {
  Heartbeat heartbeat;
};
/// This entry is to stop. `remaining` is the time until it is taken away, if
/// that is known.
struct DrainStarted {
  std::optional<Duration> remaining;
};
struct HandOverReceived {
  HandedOverRequest request;
};
struct Ticked {};

}  // namespace event

using EntryEvent =
    std::variant<event::RequestArrived, event::CallerLeft, event::ClaimReplied,
                 event::HolderReplied, event::OutcomeWritten, event::FirstToken,
                 event::AttemptEnded, event::LoadReported, event::CacheChanged,
                 event::UpstreamsListed, event::UpstreamNoticed,
                 event::TablesAdopted, event::HeartbeatReceived,
                 event::DrainStarted, event::HandOverReceived, event::Ticked>;

/// What an entry wants done. The daemon carries these out.
namespace action {

/// Send the request to an upstream and report how the attempt ended.
struct Dispatch {
  RequestId id;
  std::uint32_t attempt = 0;
  UpstreamId upstream;
  std::string address;
  Rank rank = Rank::kStandard;
  WorkKind kind = WorkKind::kModel;
  bool idempotent = true;
  ResumePoint resume;
  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};
/// Stop an attempt; it ends as interrupted.
struct Interrupt {
  RequestId id;
  std::uint32_t attempt = 0;
  friend bool operator==(const Interrupt&, const Interrupt&) = default;
};
/// The request's final outcome, for its caller.
struct Answer {
  RequestId id;
  Outcome outcome;
  friend bool operator==(const Answer&, const Answer&) = default;
};
/// Give the recorded answer of an earlier request with the same key.
struct Replay {
  RequestId id;
  ClaimRecord record;
  friend bool operator==(const Replay&, const Replay&) = default;
};
struct WriteClaimRecord {
  RequestId id;
  std::string key;
  WriteClaim write;
  Duration retention{0};  ///< How long the record is to be kept.
  friend bool operator==(const WriteClaimRecord&,
                         const WriteClaimRecord&) = default;
};
struct ReadClaimRecord {
  RequestId id;
  std::string key;
  friend bool operator==(const ReadClaimRecord&,
                         const ReadClaimRecord&) = default;
};
struct AskClaimHolder {
  RequestId id;
  RequestId holder;
  std::string peer_address;  ///< Empty if the holder's address is not known.
  friend bool operator==(const AskClaimHolder&,
                         const AskClaimHolder&) = default;
};
/// Write the outcome of a claim that this entry holds. Done if the record
/// stands at `expected_revision`, or has this content already.
struct WriteOutcome {
  RequestId id;
  std::string key;
  WriteClaim write;
  Duration retention{0};
  friend bool operator==(const WriteOutcome&, const WriteOutcome&) = default;
};
struct SendHeartbeat {
  HeartbeatMessage message;
  friend bool operator==(const SendHeartbeat&, const SendHeartbeat&) = default;
};
/// Tell a peer at once that an upstream leaves.
struct SendUpstreamNotice {
  std::string address;
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kLeaving;
  std::optional<Duration> remaining;
  friend bool operator==(const SendUpstreamNotice&,
                         const SendUpstreamNotice&) = default;
};
/// Give the request to a peer, which goes on with it.
struct HandOver {
  std::string address;
  NodeId peer;
  HandedOverRequest request;
  friend bool operator==(const HandOver&, const HandOver&) = default;
};
/// Nothing is in progress any more; the process may stop.
struct DrainCompleted {
  friend bool operator==(const DrainCompleted&,
                         const DrainCompleted&) = default;
};

}  // namespace action

using EntryAction = std::variant<
    action::Dispatch, action::Interrupt, action::Answer, action::Replay,
    action::WriteClaimRecord, action::ReadClaimRecord, action::AskClaimHolder,
    action::WriteOutcome, action::SendHeartbeat, action::SendUpstreamNotice,
    action::HandOver, action::DrainCompleted>;

}  // namespace pollenledge
