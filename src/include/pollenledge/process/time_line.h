#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A hybrid logical clock reading: orders events of several processes by cause
/// even where their wall clocks disagree (Kulkarni et al., "Logical Physical
/// Clocks", OPODIS 2014).
struct HybridTime {
  WallTime wall;
  std::uint32_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// Advances a hybrid logical clock. Not thread-safe.
class HybridClock {
 public:
  /// The time of a local event or of sending a message.
  HybridTime Tick(WallTime wall);
  /// The time of receiving a message that was sent at `remote`.
  HybridTime Receive(const HybridTime& remote, WallTime wall);

 private:
  HybridTime last_;
};

/// What happened. The names stand in logs and in the time line.
enum class EventKind : std::uint8_t {
  kAdmitted,
  kRejected,
  kClaimed,
  kDispatched,
  kFirstToken,
  kAttemptEnded,
  kMoved,
  kHandedOver,
  kTakenOver,
  kAnswered,
  kUpstreamLeaving,
  kUpstreamLost,
  kQuarantined,
  kTablesInForce,
  kDraining,
  kStarted,
};

/// The name of `kind`.
const char* ToString(EventKind kind);

/// One event on the time line. `request` has sequence 0 where the event is
/// about no request.
struct TimeLineEvent {
  HybridTime time;
  NodeId node;
  std::uint64_t sequence = 0;  ///< Grows by one for each event of the node.
  EventKind kind = EventKind::kStarted;
  RequestId request;
  std::uint32_t attempt = 0;
  std::string customer;
  std::string detail;

  friend bool operator==(const TimeLineEvent&, const TimeLineEvent&) = default;
};

/// The latest events of one process, bounded. Not thread-safe.
class TimeLine {
 public:
  TimeLine(NodeId node, std::size_t capacity)
      : node_(std::move(node)), capacity_(capacity) {}

  /// Fills in time, node and sequence and keeps the event.
  void Add(TimeLineEvent event, WallTime wall);
  /// Notes that a message came from a process whose clock read `remote`.
  void Receive(const HybridTime& remote, WallTime wall);
  /// The clock's reading for a message that is sent now.
  HybridTime Send(WallTime wall) { return clock_.Tick(wall); }

  const std::deque<TimeLineEvent>& events() const { return events_; }
  /// Events that no longer fitted.
  std::uint64_t dropped() const { return dropped_; }

 private:
  NodeId node_;
  std::size_t capacity_;
  HybridClock clock_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t dropped_ = 0;
  std::deque<TimeLineEvent> events_;
};

/// All events in causal order, each once.
std::vector<TimeLineEvent> MergeTimeLines(
    std::vector<std::vector<TimeLineEvent>> lines);

/// The events as JSON, for the admin API.
std::string ToJson(const std::vector<TimeLineEvent>& events);
/// Reads what `ToJson` writes.
Result<std::vector<TimeLineEvent>> ParseTimeLine(const std::string& json);

/// The events in the Chrome trace-event format, which ordinary viewers open:
/// a process for each node, a row for each request.
std::string ToChromeTrace(const std::vector<TimeLineEvent>& events);

/// The events as text, one a line.
std::string ToText(const std::vector<TimeLineEvent>& events);

}  // namespace pollenledge
