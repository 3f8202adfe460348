#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/process/log.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

/// What a forwarding node is told.
namespace forward_event {

/// A whole request was read.
struct Arrived {
  ForwardId id = 0;
  ForwardSpec spec;
};
/// The caller closed its connection.
struct CallerLeft {
  ForwardId id = 0;
};
/// The present attempt's first event was received.
struct FirstEvent {
  ForwardId id = 0;
};
/// More events of the stream were passed on.
struct EventsPassed {
  ForwardId id = 0;
  std::optional<std::int64_t> last_event_id;
};
/// The present attempt is over.
struct AttemptEnded {
  ForwardId id = 0;
  ForwardEnd end = ForwardEnd::kCompleted;
  int status = 0;  ///< Of the upstream's answer; 0 without one.
  std::optional<ReportedLoad> load;
};
/// The operators' tables were read from the store, linearizably.
struct TablesRead {
  std::shared_ptr<const ForwardingIndex> tables;
  TimePoint read_started;
};
/// Tables came with a watch, which proves nothing of how new they are.
struct TablesHeard {
  std::shared_ptr<const ForwardingIndex> tables;
};
/// The platform's list of upstreams.
struct UpstreamsListed {
  std::vector<ForwardUpstreamInfo> upstreams;
  std::int64_t revision = 0;  ///< Of the store, that the list shows.
  /// When it was surely the store's: a linearizable listing began. Nothing if
  /// it came with a watch.
  std::optional<TimePoint> read_at;
};
struct HeartbeatReceived {
  Heartbeat heartbeat;
};
/// What the store holds of requests that end upstreams. Told once, or more
/// often if more was found.
struct SuspectsRead {
  std::vector<SuspectReport> reports;
};
/// What the store says of the number of nodes in the fleet.
struct FleetSizeRead {
  int nodes = 0;
};
/// This process has to stop.
struct DrainStarted {};
/// Time passed.
struct Ticked {};

}  // namespace forward_event

using ForwardEvent =
    std::variant<forward_event::Arrived, forward_event::CallerLeft,
                 forward_event::FirstEvent, forward_event::EventsPassed,
                 forward_event::AttemptEnded, forward_event::TablesRead,
                 forward_event::TablesHeard, forward_event::UpstreamsListed,
                 forward_event::HeartbeatReceived, forward_event::SuspectsRead,
                 forward_event::FleetSizeRead, forward_event::DrainStarted,
                 forward_event::Ticked>;

/// What a forwarding node wants done.
namespace forward_action {

/// Send the request to an upstream.
struct SendAttempt {
  ForwardId id = 0;
  UpstreamId upstream;
  std::string address;
  std::string customer;  ///< Empty if the route is public.
  int priority = 5;      ///< 0 is the most urgent.
  TimePoint deadline;    ///< When the upstream may stop working on it.
  /// No byte may go out at this time or later: the time is up, or the proof
  /// that the customer's key holds.
  TimePoint send_before;
  RouteKind kind = RouteKind::kIdempotent;
  /// An idle connection may be used; else a new one is opened.
  bool reuse_connection = true;
  /// Where an earlier stream of this request stopped.
  std::optional<std::int64_t> last_event_id;
  /// How the attempt before ended; nothing for the first one.
  std::optional<ForwardEnd> repeat_after;
};
/// Answer that the request did not run and never will.
struct Refuse {
  ForwardId id = 0;
  NotRun not_run;
};
/// Answer that the request may have run, or end a stream as incomplete.
struct Fail {
  ForwardId id = 0;
  int status = 502;
  std::string reason;
};
/// Pass on the upstream's answer that was read.
struct Deliver {
  ForwardId id = 0;
};
/// Stop the present attempt.
struct CancelAttempt {
  ForwardId id = 0;
};
struct SendHeartbeat {
  HeartbeatMessage message;
};
/// Read the operators' tables from the store now: there are newer ones.
struct ReadTables {};
/// Keep what is known of refused requests beyond this process.
struct KeepSuspects {
  std::vector<CrashReport> refused;
};
/// Write a line to the log.
struct LogDecision {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::vector<LogField> fields;
};

}  // namespace forward_action

using ForwardAction =
    std::variant<forward_action::SendAttempt, forward_action::Refuse,
                 forward_action::Fail, forward_action::Deliver,
                 forward_action::CancelAttempt, forward_action::SendHeartbeat,
                 forward_action::ReadTables, forward_action::KeepSuspects,
                 forward_action::LogDecision>;

}  // namespace pollenledge
