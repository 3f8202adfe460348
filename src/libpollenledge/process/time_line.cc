#include "pollenledge/process/time_line.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tuple>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

// Indexed by `EventKind`.
constexpr std::array<const char*, 16> kEventNames = {
    "admitted",    "rejected",         "claimed",
    "dispatched",  "first_token",      "attempt_ended",
    "moved",       "handed_over",      "taken_over",
    "answered",    "upstream_leaving", "upstream_lost",
    "quarantined", "tables_in_force",  "draining",
    "started"};

std::int64_t Microseconds(WallTime time) {
  return time.time_since_epoch().count();
}

Json EventToJson(const TimeLineEvent& event) {
  Json json = {{"wall_us", Microseconds(event.time.wall)},
               {"logical", event.time.logical},
               {"node", event.node.name},
               {"incarnation", event.node.incarnation},
               {"sequence", event.sequence},
               {"event", ToString(event.kind)}};
  if (event.request.sequence != 0) json["request"] = ToString(event.request);
  if (event.attempt != 0) json["attempt"] = event.attempt;
  if (!event.customer.empty()) json["customer"] = event.customer;
  if (!event.detail.empty()) json["detail"] = event.detail;
  return json;
}

Result<TimeLineEvent> EventFromJson(const Json& json) {
  TimeLineEvent event;
  event.time.wall = WallTime(Duration(json.value("wall_us", std::int64_t{0})));
  event.time.logical = json.value("logical", 0U);
  event.node = {json.value("node", ""),
                json.value("incarnation", std::uint64_t{0})};
  event.sequence = json.value("sequence", std::uint64_t{0});
  const std::string kind = json.value("event", "");
  const auto found = std::find(kEventNames.begin(), kEventNames.end(), kind);
  if (found == kEventNames.end()) {
    return Error{ErrorCode::kInvalidArgument,
                 "unknown timeline event \"" + kind + "\""};
  }
  event.kind = static_cast<EventKind>(found - kEventNames.begin());
  if (json.contains("request")) {
    const auto id = ParseRequestId(json.value("request", ""));
    if (!Ok(id)) return ErrorOf(id);
    event.request = Value(id);
  }
  event.attempt = json.value("attempt", 0U);
  event.customer = json.value("customer", "");
  event.detail = json.value("detail", "");
  return event;
}

}  // namespace

HybridTime HybridClock::Tick(WallTime wall) {
  if (wall > last_.wall) {
    last_ = {wall, 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

HybridTime HybridClock::Receive(const HybridTime& remote, WallTime wall) {
  if (wall > last_.wall && wall > remote.wall) {
    last_ = {wall, 0};
  } else if (remote > last_) {
    last_ = {remote.wall, remote.logical + 1};
  } else {
    ++last_.logical;
  }
  return last_;
}

const char* ToString(EventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

void TimeLine::Add(TimeLineEvent event, WallTime wall) {
  event.time = clock_.Tick(wall);
  event.node = node_;
  event.sequence = next_sequence_++;
  if (events_.size() >= capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back(std::move(event));
}

void TimeLine::AdvanceForReceive(const HybridTime& remote, WallTime wall) {
  clock_.Receive(remote, wall);
}

std::vector<TimeLineEvent> MergeTimeLines(
    std::vector<std::vector<TimeLineEvent>> timelines) {
  std::vector<TimeLineEvent> merged;
  for (std::vector<TimeLineEvent>& timeline : timelines) {
    std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
  }
  const auto order = [](const TimeLineEvent& event) {
    return std::tie(event.time, event.node, event.sequence);
  };
  std::sort(merged.begin(), merged.end(),
            [&](const TimeLineEvent& a, const TimeLineEvent& b) {
              return order(a) < order(b);
            });
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  return merged;
}

std::string ToJson(const std::vector<TimeLineEvent>& events) {
  Json json = Json::array();
  for (const TimeLineEvent& event : events) json.push_back(EventToJson(event));
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<TimeLineEvent>> ParseTimeLine(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) {
    return Error{ErrorCode::kInvalidArgument, "timeline is not a JSON array"};
  }
  std::vector<TimeLineEvent> events;
  for (const Json& item : json) {
    if (!item.is_object()) {
      return Error{ErrorCode::kInvalidArgument,
                   "timeline event is not a JSON object"};
    }
    Result<TimeLineEvent> event = EventFromJson(item);
    if (!Ok(event)) return ErrorOf(event);
    events.push_back(std::move(Value(event)));
  }
  return events;
}

std::string ToChromeTrace(const std::vector<TimeLineEvent>& events) {
  std::map<NodeId, int> processes;
  std::map<RequestId, int> rows;
  Json trace = Json::array();
  for (const TimeLineEvent& event : events) {
    const auto [process, is_new] = processes.try_emplace(
        event.node, static_cast<int>(processes.size()) + 1);
    if (is_new) {
      trace.push_back({{"name", "process_name"},
                       {"ph", "M"},
                       {"pid", process->second},
                       {"args", {{"name", event.node.name}}}});
    }
    const int row =
        event.request.sequence == 0
            ? 0
            : rows.try_emplace(event.request, static_cast<int>(rows.size()) + 1)
                  .first->second;
    trace.push_back({{"name", ToString(event.kind)},
                     {"ph", "i"},
                     {"s", "t"},
                     {"ts", Microseconds(event.time.wall)},
                     {"pid", process->second},
                     {"tid", row},
                     {"args", EventToJson(event)}});
  }
  return Json{{"traceEvents", trace}}.dump(1, ' ', false,
                                           Json::error_handler_t::replace);
}

std::string ToText(const std::vector<TimeLineEvent>& events) {
  std::ostringstream out;
  for (const TimeLineEvent& event : events) {
    const std::int64_t us = Microseconds(event.time.wall);
    out << us / 1'000'000 << '.'
        << std::to_string(1'000'000 + us % 1'000'000).substr(1) << ' '
        << event.node.name << ' ' << ToString(event.kind);
    if (event.request.sequence != 0) out << ' ' << ToString(event.request);
    if (event.attempt != 0) out << " attempt " << event.attempt;
    if (!event.customer.empty()) out << " customer " << event.customer;
    if (!event.detail.empty()) out << ' ' << event.detail;
    out << '\n';
  }
  return out.str();
}

}  // namespace pollenledge
