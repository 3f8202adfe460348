#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenledge {

/// Complete events of a stream, as received, and how many there are.
struct EventBatch {
  std::string bytes;
  std::int64_t event_count = 0;

  friend bool operator==(const EventBatch&, const EventBatch&) = default;
};

/// Splits the bytes of an event stream (`text/event-stream`) into complete
/// events, so that a stream that is aborted in the middle of an event can be
/// resumed on another upstream.
///
/// Drops events whose id is not above that of the last event emitted, because a
/// resumed stream may start with events that the caller already has. Lives as
/// long as the request. Not thread-safe.
class EventSplitter {
 public:
  /// The caller already has the events up to id `last_event_id`.
  explicit EventSplitter(std::optional<std::int64_t> last_event_id)
      : last_event_id_(last_event_id) {}

  /// Adds received bytes and returns the events that are complete now. Stops
  /// before an event whose id skips one or more ids, and sets `has_gap`.
  EventBatch Append(std::string_view bytes);
  /// Prepares for another attempt's stream: discards the buffered bytes of the
  /// aborted one and clears `has_gap`.
  void DropPartial();

  /// Id of the last emitted event, or the id passed to the constructor.
  std::optional<std::int64_t> last_event_id() const { return last_event_id_; }
  /// Number of events emitted.
  std::int64_t emitted_events() const { return emitted_events_; }
  /// True if bytes of an incomplete event are buffered.
  bool has_partial() const { return !partial_.empty(); }
  /// Returns true if a stream whose end only the end of its connection shows
  /// may be complete: it contains an event and does not end inside one. The
  /// connection also ends if the upstream crashes as it begins to respond.
  bool IsCompleteAtClose() const { return received_event_ && !has_partial(); }
  /// Size of the buffered incomplete event, in bytes.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// True after an event id skipped one or more ids, until `DropPartial`.
  bool has_gap() const { return has_gap_; }

 private:
  std::string partial_;
  std::size_t scanned_bytes_ = 0;
  bool received_event_ = false;  ///< In the current attempt's stream.
  std::optional<std::int64_t> last_event_id_;
  std::int64_t emitted_events_ = 0;
  bool has_gap_ = false;
};

}  // namespace pollenledge
