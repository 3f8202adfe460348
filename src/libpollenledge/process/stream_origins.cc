#include "pollenledge/process/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenledge {

void StreamOrigins::Add(StreamPart part) {
  if (parts_.size() >= kMaxParts) {
    parts_.erase(std::min_element(
        parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
          return a.second.connected_at < b.second.connected_at;
        }));
  }
  const Fingerprint stream = part.stream;
  parts_.emplace(stream, std::move(part));
}

std::vector<ReplacedPart> StreamOrigins::OnListed(
    const std::vector<ForwardUpstreamInfo>& list,
    const std::optional<TimePoint>& confirmed_at) {
  std::vector<ReplacedPart> replaced;
  if (parts_.empty()) return replaced;
  std::unordered_map<std::string, const ForwardUpstreamInfo*> by_name;
  for (const ForwardUpstreamInfo& info : list) by_name[info.id.name] = &info;
  for (auto it = parts_.begin(); it != parts_.end();) {
    StreamPart& part = it->second;
    const auto found = by_name.find(part.upstream.name);
    const bool is_restarted =
        found != by_name.end() && found->second->id != part.upstream;
    const bool is_replaced = is_restarted && found->second->software_version !=
                                                 part.software_version;
    if (is_replaced) replaced.push_back({part, *found->second});
    // Either of the two processes runs the version.
    if (is_restarted) part.upstream = found->second->id;
    const bool is_confirmed =
        confirmed_at.has_value() && *confirmed_at > part.connected_at;
    it = is_replaced || is_confirmed ? parts_.erase(it) : std::next(it);
  }
  return replaced;
}

}  // namespace pollenledge
