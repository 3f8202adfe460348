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

/// The point at which a new attempt resumes a stream that an earlier attempt
/// left unfinished.
struct ResumePoint {
  std::int64_t delivered_tokens = 0;  ///< Already sent to the caller.
  /// Address of the upstream that exports the KV cache; empty if the new
  /// upstream recomputes the cache.
  std::string kv_source;

  friend bool operator==(const ResumePoint&, const ResumePoint&) = default;
};

/// The response to a non-idempotent request. It is stored with the claim so
/// that a retry with the same idempotency key receives the same response.
struct StoredResponse {
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredResponse&,
                         const StoredResponse&) = default;
};

/// The state that a peer entry needs to continue a request of this entry.
struct HandedOverRequest {
  RequestId id;
  RequestSpec spec;
  std::int64_t delivered_tokens = 0;  ///< Already sent to the caller.
  std::uint32_t attempts = 0;         ///< Attempts made so far.
  /// The upstream that ran the last attempt and holds its KV cache; empty if
  /// the request was not running.
  std::string upstream_name;
  std::uint64_t upstream_incarnation = 0;

  friend bool operator==(const HandedOverRequest&,
                         const HandedOverRequest&) = default;
};

/// Inputs of an `EntryNode`. `EntryService` creates them from network messages,
/// completed I/O and timers.
namespace event {

/// A new request, parsed and authenticated.
struct RequestArrived {
  RequestId id;
  RequestSpec spec;
};
/// The caller closed its connection before the request finished.
struct CallerDisconnected {
  RequestId id;
};
/// The result of a `WriteClaimRecord` or `ReadClaimRecord` action.
struct ClaimReplyReceived {
  RequestId id;
  ClaimReply reply;
};
/// The result of a `QueryClaimOwner` action.
struct ClaimOwnerReplied {
  RequestId id;
  ClaimOwnerResponse reply;
};
/// The write of an outcome to the key-value service finished. "Not run", which
/// releases a claim, is written in the same way.
struct OutcomeWritten {
  RequestId id;
  bool ok = false;
};
/// An attempt delivered its first token.
struct FirstTokenReceived {
  RequestId id;
  std::uint32_t attempt = 0;
};
/// An attempt finished, with or without a response.
struct AttemptFinished {
  RequestId id;
  std::uint32_t attempt = 0;
  AttemptOutcome result = AttemptOutcome::kConnectionLost;
  int http_status = 0;
  std::int64_t delivered_tokens = 0;  ///< Sum over all attempts.
  std::int64_t cached_tokens = 0;     ///< Prompt tokens found in the KV cache.
  /// Tokens that an earlier attempt had already computed.
  std::int64_t recomputed_tokens = 0;
  Duration mean_inter_token_latency{0};  ///< 0 if unknown.
  /// Used only for non-idempotent requests, if the attempt completed.
  std::optional<StoredResponse> response;
};
/// An upstream reported its load.
struct LoadReported {
  UpstreamId upstream;
  LoadReport report;
};
/// An engine reported that it cached or evicted a prompt prefix.
struct PrefixCacheChanged {
  UpstreamId upstream;
  std::uint64_t prefix_hash = 0;
  bool cached = true;  ///< False if the prefix was evicted.
};
/// The current list of upstreams, joined with the pools of the tables.
struct UpstreamListReceived {
  std::vector<UpstreamInfo> upstreams;
};
/// A notice that an upstream is leaving or gone.
struct UpstreamNoticeReceived {
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kLeaving;
  std::optional<Duration> remaining;  ///< Until it stops, if known.
  /// Who sent the notice. "peer" means that another entry forwarded it; such a
  /// notice is not forwarded again.
  std::string source;
};
/// A version of the tables was validated and can become active.
struct TablesActivated {
  std::shared_ptr<const Tables> tables;
};
/// A peer's heartbeat arrived.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};
/// This entry must drain and stop. `remaining` is the time until its instance
/// is reclaimed, if known.
struct DrainRequested {
  std::optional<Duration> remaining;
};
/// A peer handed off a request to this entry. `EntryService` also submits this
/// event when its own hand-off to a peer failed, so that the request continues
/// here.
struct HandOverReceived {
  HandedOverRequest request;
  /// The peer may have accepted the request although the hand-off failed.
  bool may_run_at_peer = false;
};
/// The periodic timer fired.
struct TimerTicked {};

}  // namespace event

using EntryEvent = std::variant<
    event::RequestArrived, event::CallerDisconnected, event::ClaimReplyReceived,
    event::ClaimOwnerReplied, event::OutcomeWritten, event::FirstTokenReceived,
    event::AttemptFinished, event::LoadReported, event::PrefixCacheChanged,
    event::UpstreamListReceived, event::UpstreamNoticeReceived,
    event::TablesActivated, event::HeartbeatReceived, event::DrainRequested,
    event::HandOverReceived, event::TimerTicked>;

/// Outputs of an `EntryNode`. `EntryService` executes them.
namespace action {

/// Sends the request to an upstream. The result comes back as an
/// `AttemptFinished` event.
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
/// Stops a running attempt; it finishes as interrupted.
struct Interrupt {
  RequestId id;
  std::uint32_t attempt = 0;
  friend bool operator==(const Interrupt&, const Interrupt&) = default;
};
/// Reports the final outcome of a request to its caller.
struct ReportOutcome {
  RequestId id;
  Outcome outcome;
  friend bool operator==(const ReportOutcome&, const ReportOutcome&) = default;
};
/// Sends the caller the recorded response of an earlier request with the same
/// idempotency key.
struct ReplayResponse {
  RequestId id;
  ClaimRecord record;
  friend bool operator==(const ReplayResponse&,
                         const ReplayResponse&) = default;
};
/// Creates or replaces a claim record in the key-value service.
struct WriteClaimRecord {
  RequestId id;
  std::string key;
  WriteClaim write;
  Duration retention{0};  ///< How long the record is stored.
  friend bool operator==(const WriteClaimRecord&,
                         const WriteClaimRecord&) = default;
};
/// Reads a claim record from the key-value service.
struct ReadClaimRecord {
  RequestId id;
  std::string key;
  friend bool operator==(const ReadClaimRecord&,
                         const ReadClaimRecord&) = default;
};
/// Queries the entry that owns a claim for the status of its request.
struct QueryClaimOwner {
  RequestId id;
  RequestId owner;           ///< The request that owns the claim.
  std::string peer_address;  ///< Of the owner's entry; empty if unknown.
  friend bool operator==(const QueryClaimOwner&,
                         const QueryClaimOwner&) = default;
};
/// Writes the outcome of a request whose claim this entry owns. The write takes
/// effect if the record is still at `expected_revision`; it also counts as done
/// if the record already has this content.
struct WriteOutcome {
  RequestId id;
  std::string key;
  WriteClaim write;
  Duration retention{0};
  friend bool operator==(const WriteOutcome&, const WriteOutcome&) = default;
};
/// Sends a heartbeat to one peer.
struct SendHeartbeat {
  HeartbeatMessage message;
  friend bool operator==(const SendHeartbeat&, const SendHeartbeat&) = default;
};
/// Notifies one peer without delay that an upstream is leaving or gone.
struct SendUpstreamNotice {
  std::string address;
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kLeaving;
  std::optional<Duration> remaining;
  friend bool operator==(const SendUpstreamNotice&,
                         const SendUpstreamNotice&) = default;
};
/// Hands off the request to a peer, which continues it.
struct HandOver {
  std::string address;
  NodeId peer;
  HandedOverRequest request;
  friend bool operator==(const HandOver&, const HandOver&) = default;
};
/// The drain is complete: no request and no unwritten outcome is left, and the
/// process may stop.
struct DrainCompleted {
  friend bool operator==(const DrainCompleted&,
                         const DrainCompleted&) = default;
};

}  // namespace action

using EntryAction = std::variant<
    action::Dispatch, action::Interrupt, action::ReportOutcome,
    action::ReplayResponse, action::WriteClaimRecord, action::ReadClaimRecord,
    action::QueryClaimOwner, action::WriteOutcome, action::SendHeartbeat,
    action::SendUpstreamNotice, action::HandOver, action::DrainCompleted>;

}  // namespace pollenledge
