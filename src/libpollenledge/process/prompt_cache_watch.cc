#include "pollenledge/process/prompt_cache_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>

namespace pollenledge {
namespace {

constexpr int kMaxDoublings = 5;

std::uint64_t WatchWeight(const std::string& node, const UpstreamId& upstream) {
  // Without the incarnation, so that a restart changes no watcher.
  const std::uint64_t seed =
      XXH64(upstream.name.data(), upstream.name.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

}  // namespace

std::vector<WatchableUpstream> SelectWatched(
    const std::string& self, const std::vector<std::string>& nodes,
    const std::vector<WatchableUpstream>& upstreams, std::size_t watchers,
    std::size_t max_upstreams) {
  std::vector<std::pair<std::uint64_t, const WatchableUpstream*>> selected;
  for (const WatchableUpstream& upstream : upstreams) {
    const std::uint64_t own = WatchWeight(self, upstream.id);
    const auto ahead =
        std::count_if(nodes.begin(), nodes.end(), [&](const std::string& node) {
          return node != self && WatchWeight(node, upstream.id) > own;
        });
    if (static_cast<std::size_t>(ahead) < watchers)
      selected.emplace_back(own, &upstream);
  }
  std::sort(selected.begin(), selected.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  selected.resize(std::min(selected.size(), max_upstreams));
  std::vector<WatchableUpstream> watched;
  watched.reserve(selected.size());
  for (const auto& [weight, upstream] : selected) watched.push_back(*upstream);
  return watched;
}

void PromptCacheWatch::SetWatched(
    const std::vector<WatchableUpstream>& watched) {
  for (auto& [id, upstream] : upstreams_) upstream.is_watched = false;
  for (const WatchableUpstream& listed : watched) {
    Watched& upstream = upstreams_[listed.id];
    upstream.is_watched = true;
    upstream.address = listed.address;
  }
  watched_count_ = watched.size();
  std::erase_if(upstreams_, [](const auto& entry) {
    return !entry.second.is_watched && !entry.second.is_open;
  });
}

std::vector<WatchableUpstream> PromptCacheWatch::TakeDue(TimePoint now) {
  std::vector<WatchableUpstream> due;
  std::size_t open = open_count();
  for (auto& [id, upstream] : upstreams_) {
    if (open >= kMaxOpenCalls) break;
    if (!upstream.is_watched || upstream.is_open || now < upstream.next_call_at)
      continue;
    upstream.is_open = true;
    upstream.called_at = now;
    ++open;
    due.push_back({id, upstream.address});
  }
  return due;
}

Duration PromptCacheWatch::OnCallEnded(const UpstreamId& id,
                                       const PromptCachePollResult& result,
                                       TimePoint now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return Duration::zero();
  Watched& upstream = found->second;
  upstream.is_open = false;
  if (!upstream.is_watched) {
    upstreams_.erase(found);
    return Duration::zero();
  }
  if (std::holds_alternative<PromptCacheEvents>(result)) {
    upstream.failures = 0;
    upstream.next_call_at = upstream.called_at + kMinCallInterval;
  } else {
    const int doublings = std::min(upstream.failures++, kMaxDoublings);
    upstream.next_call_at =
        now +
        std::min<Duration>(kInitialBackoff * (1 << doublings), kMaxBackoff);
  }
  return std::max<Duration>(Duration::zero(), upstream.next_call_at - now);
}

bool PromptCacheWatch::IsWatched(const UpstreamId& id) const {
  const auto found = upstreams_.find(id);
  return found != upstreams_.end() && found->second.is_watched;
}

std::size_t PromptCacheWatch::open_count() const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(),
                    [](const auto& entry) { return entry.second.is_open; }));
}

}  // namespace pollenledge
