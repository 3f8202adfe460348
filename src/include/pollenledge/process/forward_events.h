#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/connection/connection_reuse.h"
#include "pollenledge/connection/prompt_cache_events.h"
#include "pollenledge/connection/response_evidence.h"
#include "pollenledge/process/log.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/rollout.h"
#include "pollenledge/request/stream_binding.h"
#include "pollenledge/request/upstream_signals.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

/// Input events of a forwarding node, see `ForwardNode::Handle`.
namespace forward_event {

/// A complete request was read from a caller.
struct RequestArrived {
  ForwardId id = 0;
  ForwardSpec spec;
};
/// The caller closed its connection.
struct CallerDisconnected {
  ForwardId id = 0;
};
/// The current attempt received the head of its response.
struct ResponseHeadReceived {
  ForwardId id = 0;
  UpstreamSignals signals;
};
/// The current attempt received its first stream event.
struct FirstEventReceived {
  ForwardId id = 0;
  /// When an earlier exchange on the attempt's connection had ended; empty if
  /// the connection was new. It led to the same process then.
  std::optional<TimePoint> connected_at;
  /// The process has said on this connection that it is the incarnation which
  /// the attempt was sent to.
  bool process_verified = false;
};
/// More events of the stream were forwarded to the caller.
struct EventsForwarded {
  ForwardId id = 0;
  std::optional<std::int64_t> last_event_id;
};
/// The current attempt ended.
struct AttemptEnded {
  ForwardId id = 0;
  ForwardOutcome end = ForwardOutcome::kCompleted;
  int status = 0;  ///< HTTP status of the response; 0 if there is none.
  std::optional<ReportedLoad> load;
  /// How long its connection had been idle before; empty for a new one.
  std::optional<Duration> connection_idle;
  ResponseEvidence evidence;
};
/// The tables were read from the store with a linearizable read.
struct TablesRead {
  std::shared_ptr<const ForwardingIndex> tables;
  TimePoint read_started;
  /// The store was restored from an older copy just now, and this process
  /// cannot know whether newer tables are still to be written again.
  bool may_be_outdated = false;
};
/// A read of the tables failed, or returned none that can be used. Its result
/// may still come late, as a `TablesRead`.
struct TablesReadFailed {
  TimePoint read_started;
};
/// A store watch delivered new tables. A watch may lag behind the store, so
/// this does not confirm that the tables are current.
struct TablesWatchUpdate {
  std::shared_ptr<const ForwardingIndex> tables;
};
/// The document of `ParseTables` was parsed.
struct TablesFromPeer {
  std::shared_ptr<const ForwardingIndex> tables;
  std::string peer;  ///< Name of the node that sent the last part of it.
  /// When that node's tables were last confirmed current, by this node's clock.
  std::optional<TimePoint> confirmed_at;
};
/// The list of upstreams was read from the store, or changed by a store watch.
struct UpstreamsListed {
  std::vector<ForwardUpstreamInfo> upstreams;
  std::int64_t revision = 0;  ///< Store revision that the list reflects.
  /// Start time of the linearizable listing that returned the list; the list
  /// was current at that time. Empty if the list was received from a watch.
  std::optional<TimePoint> read_at;
};
/// The versions that the store has a record of were read, after the start and
/// after each change of this node's.
struct VersionRecordsRead {
  std::vector<StreamBinding> versions;
  /// The store has lost what was written, because it was restored from an older
  /// copy.
  bool streams_lost = false;
};
/// The store was searched for the record of a stream to resume.
struct StreamLookedUp {
  ForwardId id = 0;
  /// Empty if there is none, or if the store did not respond.
  std::optional<StreamBinding> binding;
  bool store_responded = false;
  /// The versions that had a record when they were read, after the search was
  /// asked for. Empty if the search did not ask for them.
  std::optional<std::vector<StreamBinding>> versions;
};
/// The result of `ProbeUpstream`.
struct UpstreamProbed {
  UpstreamId upstream;
  bool reached = false;  ///< It accepted the connection.
};
/// The result of `PollPromptCache`.
struct PromptCachePolled {
  UpstreamId upstream;
  PromptCachePollResult result;
};
/// A heartbeat message was received from another node.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};
/// Reports on crash-causing requests were read from the store. Submitted once,
/// and again whenever more reports are found.
struct SuspectsRead {
  std::vector<SuspectReport> reports;
};
/// An operator lifts the rejection of a suspect.
struct SuspectLifted {
  Fingerprint fingerprint;
};
/// The fleet size, a number of nodes, was read from the store.
struct FleetSizeRead {
  int nodes = 0;
};
/// This node holds the duties and confirms the shares of all roll-outs.
struct RolloutSharesConfirmed {
  std::vector<RolloutShare> shares;
};
/// The process was told to stop; the node starts to drain.
struct DrainStarted {
  /// Longest time for which the stop signal may have waited to be handled.
  Duration signal_age{0};
};
/// The grace period is over; the process ends once what is submitted was sent.
struct DrainTimedOut {};
/// The tick timer expired.
struct Ticked {};

}  // namespace forward_event

using ForwardEvent = std::variant<
    forward_event::RequestArrived, forward_event::CallerDisconnected,
    forward_event::ResponseHeadReceived, forward_event::FirstEventReceived,
    forward_event::EventsForwarded, forward_event::AttemptEnded,
    forward_event::TablesRead, forward_event::TablesReadFailed,
    forward_event::TablesWatchUpdate, forward_event::TablesFromPeer,
    forward_event::UpstreamsListed, forward_event::HeartbeatReceived,
    forward_event::SuspectsRead, forward_event::SuspectLifted,
    forward_event::FleetSizeRead, forward_event::VersionRecordsRead,
    forward_event::StreamLookedUp, forward_event::UpstreamProbed,
    forward_event::RolloutSharesConfirmed, forward_event::PromptCachePolled,
    forward_event::DrainStarted, forward_event::DrainTimedOut,
    forward_event::Ticked>;

/// Actions that a forwarding node requests in response to an event.
namespace forward_action {

/// Send an attempt of the request to an upstream.
struct SendAttempt {
  ForwardId id = 0;
  UpstreamId upstream;
  std::string address;
  std::string customer;  ///< Empty if the route is public.
  int priority = 5;      ///< 0 is the most urgent.
  TimePoint deadline;    ///< The upstream may stop processing then.
  /// No byte may be sent at or after this time: either the deadline has passed,
  /// or the confirmation that the customer's key is valid has expired.
  TimePoint send_before;
  RouteKind kind = RouteKind::kIdempotent;
  ConnectionReuse connection_reuse = ConnectionReuse::kAny;
  /// Last event forwarded from an earlier stream of this request.
  std::optional<std::int64_t> last_event_id;
  /// How the previous attempt ended; empty for the first attempt.
  std::optional<ForwardOutcome> previous_end;
  /// True if nothing may be sent to another incarnation of the upstream than
  /// the given one. A new connection is then asked which one it leads to.
  bool verify_incarnation = false;
};
/// Send the request to another node, which forwards it to an upstream.
/// `AttemptEnded` follows; its end is `kRejected` if the other node's response
/// says that the request did not run.
struct RelayRequest {
  ForwardId id = 0;
  std::string address;  ///< The other node's peer address.
  TimePoint deadline;
  TimePoint send_before;  ///< As in `SendAttempt`.
  RouteKind kind = RouteKind::kIdempotent;
  ConnectionReuse connection_reuse = ConnectionReuse::kAny;
  std::optional<std::int64_t> last_event_id;
  /// The caller's request that began the stream to resume; empty if none is.
  std::string first_attempt;
  /// The other node must have tables of this version or a later one.
  std::uint64_t min_tables_version = 0;
  int max_runs = 1;  ///< How often the other node may run the request.
};
/// Connect to an upstream and send nothing. `UpstreamProbed` follows.
struct ProbeUpstream {
  UpstreamId upstream;
  std::string address;
};
/// Ask an upstream for the events of its KV cache. `PromptCachePolled` follows.
struct PollPromptCache {
  UpstreamId upstream;
  std::string address;
  std::uint64_t since = 0;  ///< Number of the first event asked for.
  Duration wait{0};         ///< Time that the upstream waits for events.
};
/// Reject the request: respond that it did not run and will not run.
struct Reject {
  ForwardId id = 0;
  NotRun not_run;
};
/// Fail the request: respond that it may have run, or, if the response was
/// already started, abort it.
struct Fail {
  ForwardId id = 0;
  int status = 502;
  std::string reason;
};
/// Forward the upstream's completely read response to the caller.
struct DeliverResponse {
  ForwardId id = 0;
};
/// Cancel the current attempt.
struct CancelAttempt {
  ForwardId id = 0;
};
/// Send a heartbeat message to one peer.
struct SendHeartbeat {
  HeartbeatMessage message;
};
/// Read the tables from the store now, because a newer version exists.
struct ReadTables {};
/// Parse the document of tables that came from another node. `TablesFromPeer`
/// follows unless it is malformed.
struct ParseTables {
  std::string document;
  std::string peer;
  std::optional<TimePoint> confirmed_at;  ///< As in `TablesFromPeer`.
};
/// Read the list of upstreams from the store soon, because it may have changed.
struct ReadUpstreams {};
/// Read the crash reports from the store now, because nodes that this one does
/// not know may have written some. `SuspectsRead` follows if there are new
/// ones.
struct ReadSuspects {};
/// Write the crash reports of suspects to the store, so that they survive this
/// process and reach nodes that do not know it.
struct PersistSuspects {
  std::vector<CrashReport> crash_reports;
};
/// Write records of versions to the store, or remove them. `VersionRecordsRead`
/// follows.
struct UpdateVersionRecords {
  std::vector<StreamBinding> added;
  std::vector<StreamBinding> removed;
};
/// Write the records of streams to the store.
struct RecordStreams {
  std::vector<StreamRecord> records;
};
/// Search the store for the record of a stream that the request resumes.
struct LookUpStream {
  ForwardId id = 0;
  Fingerprint stream;
  /// Read the records of versions first. If this service has only one, there is
  /// no need to search for the stream. Empty: search at once.
  std::string versions_of;
};
/// Increment a counter.
struct Count {
  std::string counter;
  std::string labels;  ///< As in the text of the metrics, without braces.
};
/// Write a line to the log.
struct WriteLogLine {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::vector<LogField> fields;
};

}  // namespace forward_action

using ForwardAction =
    std::variant<forward_action::SendAttempt, forward_action::RelayRequest,
                 forward_action::ProbeUpstream, forward_action::PollPromptCache,
                 forward_action::Reject, forward_action::Fail,
                 forward_action::DeliverResponse, forward_action::CancelAttempt,
                 forward_action::SendHeartbeat, forward_action::ReadTables,
                 forward_action::ParseTables, forward_action::ReadUpstreams,
                 forward_action::ReadSuspects, forward_action::PersistSuspects,
                 forward_action::UpdateVersionRecords,
                 forward_action::RecordStreams, forward_action::LookUpStream,
                 forward_action::Count, forward_action::WriteLogLine>;

}  // namespace pollenledge
