#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenledge {

/// Whole events of a stream, as they came, with the number of the last one.
struct EventBatch {
  std::string bytes;
  std::int64_t count = 0;

  friend bool operator==(const EventBatch&, const EventBatch&) = default;
};

/// Cuts the bytes of an event stream (`text/event-stream`) into whole events,
/// so that a stream that breaks in the middle of an event can go on elsewhere.
///
/// Events whose number is not above the last one passed on are dropped: a
/// resumed stream may begin with events that the caller already has. Lives as
/// long as the request. Not thread-safe.
class EventSplitter {
 public:
  /// The caller already has the events up to `last_id`.
  explicit EventSplitter(std::optional<std::int64_t> last_id)
      : last_id_(last_id) {}

  /// Takes received bytes and returns the events that are whole now. Stops
  /// before an event whose number leaves one out, and sets `gap`.
  EventBatch Append(std::string_view bytes);
  /// Drops what a broken stream left and that was not passed on.
  void DropPartial();

  /// Number of the last whole event, or what the caller already had.
  std::optional<std::int64_t> last_id() const { return last_id_; }
  /// Whole events passed on.
  std::int64_t passed_on() const { return passed_on_; }
  /// True if bytes of an unfinished event are held.
  bool has_partial() const { return !partial_.empty(); }
  /// Bytes of it.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// True once an event's number did not follow the one before it.
  bool gap() const { return gap_; }

 private:
  std::string partial_;
  std::size_t scanned_ = 0;
  std::optional<std::int64_t> last_id_;
  std::int64_t passed_on_ = 0;
  bool gap_ = false;
};

}  // namespace pollenledge
