#include "pollenledge/request/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace pollenledge {
namespace {

constexpr std::string_view kIdField = "id:";

/// Position after the blank line that ends the first event of `text`, from
/// `from` on; `npos` if it is not whole.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  const std::size_t plain = text.find("\n\n", from);
  const std::size_t with_returns = text.find("\n\r\n", from);
  if (plain == std::string_view::npos &&
      with_returns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < with_returns ? plain + 2 : with_returns + 3;
}

std::optional<std::int64_t> NumberOf(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::int64_t number = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (parsed.ec == std::errc()) return number;
  }
  return std::nullopt;
}

}  // namespace

EventBatch EventSplitter::Append(std::string_view bytes) {
  partial_.append(bytes);
  EventBatch batch;
  const std::string_view text = partial_;
  std::size_t begin = 0;
  // The end of an event may straddle two portions by up to two bytes.
  std::size_t from = scanned_ > 2 ? scanned_ - 2 : 0;
  while (true) {
    const std::size_t end = EndOfEvent(text, std::max(from, begin));
    if (end == std::string_view::npos) break;
    const std::string_view event = text.substr(begin, end - begin);
    const std::optional<std::int64_t> number = NumberOf(event);
    if (number.has_value() && last_id_.has_value()) {
      gap_ = gap_ || *number > *last_id_ + 1;
      if (gap_) break;
    }
    begin = end;
    if (number.has_value() && last_id_.has_value() && *number <= *last_id_) {
      continue;
    }
    if (number.has_value()) last_id_ = number;
    batch.bytes.append(event);
    ++batch.count;
  }
  partial_.erase(0, begin);
  scanned_ = partial_.size();
  passed_on_ += batch.count;
  return batch;
}

void EventSplitter::DropPartial() {
  partial_.clear();
  scanned_ = 0;
  gap_ = false;
}

}  // namespace pollenledge
