#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A timestamp of a hybrid logical clock. It orders the events of several
/// processes by causality even if their wall clocks disagree (Kulkarni et al.,
/// "Logical Physical Clocks", OPODIS 2014).
struct HybridTime {
  WallTime wall;
  std::uint32_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// A hybrid logical clock. The caller passes the wall-clock time. Not
/// thread-safe.
class HybridClock {
 public:
  /// Advances the clock for a local event or a message to send; returns its
  /// timestamp.
  HybridTime Tick(WallTime wall);
  /// Advances the clock for a received message that was sent at `remote`;
  /// returns the timestamp of its receipt.
  HybridTime Receive(const HybridTime& remote, WallTime wall);

 private:
  HybridTime last_;
};

/// Kind of an event. Its name is printed in logs and in the timeline.
enum class EventKind : std::uint8_t {
  kAdmitted,
  kRejected,
  kClaimed,  ///< The request acquired the claim of its idempotency key.
  kDispatched,
  kFirstToken,
  kAttemptEnded,
  kMoved,       ///< Queued again to resume on another upstream.
  kHandedOver,  ///< Handed off to a peer.
  kTakenOver,   ///< Received by hand-off from a peer.
  kAnswered,    ///< Finished: an outcome or a recorded response was reported.
  kUpstreamLeaving,  ///< A notice reported the upstream as leaving or gone.
  kUpstreamLost,     ///< The connection was lost without a notice.
  kQuarantined,      ///< A lost connection led to a quarantine.
  kTablesInForce,    ///< A version of the tables became active.
  kDraining,
  kStarted,
};

/// The name of `kind` as printed in logs and in the timeline.
const char* ToString(EventKind kind);

/// One event of the timeline. `request` has sequence 0 if the event belongs to
/// no request.
struct TimeLineEvent {
  HybridTime time;
  NodeId node;
  std::uint64_t sequence = 0;  ///< Increases by one per event of the node.
  EventKind kind = EventKind::kStarted;
  RequestId request;
  std::uint32_t attempt = 0;
  std::string customer;
  std::string detail;

  friend bool operator==(const TimeLineEvent&, const TimeLineEvent&) = default;
};

/// The latest `capacity` events of one process. Not thread-safe.
class TimeLine {
 public:
  TimeLine(NodeId node, std::size_t capacity)
      : node_(std::move(node)), capacity_(capacity) {}

  /// Sets the time, node and sequence of `event` and appends it. If the
  /// timeline is full, the oldest event is dropped.
  void Add(TimeLineEvent event, WallTime wall);
  /// Advances the clock for a received message that was sent at `remote`.
  void AdvanceForReceive(const HybridTime& remote, WallTime wall);
  /// Advances the clock for a message sent now and returns its timestamp.
  HybridTime AdvanceForSend(WallTime wall) { return clock_.Tick(wall); }

  const std::deque<TimeLineEvent>& events() const { return events_; }
  /// Number of events dropped because the timeline was full.
  std::uint64_t dropped() const { return dropped_; }

 private:
  NodeId node_;
  std::size_t capacity_;
  HybridClock clock_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t dropped_ = 0;
  std::deque<TimeLineEvent> events_;
};

/// Merges timelines of several processes: all events in causal order, without
/// duplicates.
std::vector<TimeLineEvent> MergeTimeLines(
    std::vector<std::vector<TimeLineEvent>> timelines);

/// The events as JSON, for the admin API.
std::string ToJson(const std::vector<TimeLineEvent>& events);
/// Parses the output of `ToJson`.
Result<std::vector<TimeLineEvent>> ParseTimeLine(const std::string& json);

/// The events in the Chrome trace-event format, which common trace viewers
/// open: one process per node, one row per request.
std::string ToChromeTrace(const std::vector<TimeLineEvent>& events);

/// The events as text, one per line.
std::string ToText(const std::vector<TimeLineEvent>& events);

}  // namespace pollenledge
