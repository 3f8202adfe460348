#include "pollenledge/request/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace pollenledge {
namespace {

constexpr std::string_view kIdField = "id:";
/// Capacity of the buffer of incomplete events that is kept between events.
constexpr std::size_t kMaxKeptBytes = std::size_t{64} * 1024;

/// Returns the position after the next blank line, which ends an event, in
/// `text` from `from` on; `npos` if there is none.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  const std::size_t lf_end = text.find("\n\n", from);
  const std::size_t crlf_end = text.find("\n\r\n", from);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf_end < crlf_end ? lf_end + 2 : crlf_end + 3;
}

/// Returns the number in the `id` field of `event`, or `nullopt` if there is
/// none.
std::optional<std::int64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::int64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

EventBatch EventSplitter::Append(std::string_view bytes) {
  partial_.append(bytes);
  EventBatch batch;
  const std::string_view text = partial_;
  std::size_t begin = 0;
  // The blank line may straddle two chunks, so the last two of the bytes
  // already scanned are searched again.
  std::size_t from = scanned_bytes_ > 2 ? scanned_bytes_ - 2 : 0;
  while (true) {
    const std::size_t end = FindEventEnd(text, std::max(from, begin));
    if (end == std::string_view::npos) break;
    const std::string_view event = text.substr(begin, end - begin);
    const std::optional<std::int64_t> id = ParseEventId(event);
    if (id.has_value() && last_event_id_.has_value()) {
      has_gap_ = has_gap_ || *id > *last_event_id_ + 1;
      if (has_gap_) break;
    }
    begin = end;
    received_event_ = true;
    if (id.has_value() && last_event_id_.has_value() &&
        *id <= *last_event_id_) {
      continue;
    }
    if (id.has_value()) last_event_id_ = id;
    batch.bytes.append(event);
    ++batch.event_count;
  }
  partial_.erase(0, begin);
  // The memory of a large event is not kept for the rest of the stream.
  if (partial_.empty() && partial_.capacity() > kMaxKeptBytes)
    partial_ = std::string();
  scanned_bytes_ = partial_.size();
  emitted_events_ += batch.event_count;
  return batch;
}

void EventSplitter::DropPartial() {
  partial_ = std::string();
  scanned_bytes_ = 0;
  has_gap_ = false;
  received_event_ = false;
}

}  // namespace pollenledge
