#include "pollenledge/process/prefix_index.h"

#include <algorithm>

namespace pollenledge {

void PrefixIndex::Add(std::uint64_t prefix, UpstreamHandle holder) {
  const auto found = by_prefix_.find(prefix);
  if (found == by_prefix_.end()) {
    if (entries_.size() >= capacity_) {
      by_prefix_.erase(entries_.back().prefix);
      entries_.pop_back();
    }
    entries_.push_front(Entry{prefix, {holder}, 1});
    by_prefix_[prefix] = entries_.begin();
    return;
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  Entry& entry = entries_.front();
  const auto end =
      entry.holders.begin() + static_cast<std::ptrdiff_t>(entry.count);
  auto place = std::find(entry.holders.begin(), end, holder);
  if (place == end) {
    if (entry.count < kMaxHoldersPerPrefix) ++entry.count;
    place =
        entry.holders.begin() + static_cast<std::ptrdiff_t>(entry.count) - 1;
    *place = holder;
  }
  // The newest holder comes first; the last one is evicted.
  std::rotate(entry.holders.begin(), place, place + 1);
}

void PrefixIndex::Remove(std::uint64_t prefix, UpstreamHandle holder) {
  const auto found = by_prefix_.find(prefix);
  if (found == by_prefix_.end()) return;
  Entry& entry = *found->second;
  const auto end =
      entry.holders.begin() + static_cast<std::ptrdiff_t>(entry.count);
  const auto place = std::find(entry.holders.begin(), end, holder);
  if (place == end) return;
  std::move(place + 1, end, place);
  --entry.count;
  if (entry.count > 0) return;
  entries_.erase(found->second);
  by_prefix_.erase(found);
}

std::size_t PrefixIndex::Find(
    const std::vector<std::uint64_t>& prefixes,
    std::array<UpstreamHandle, kMaxHoldersPerPrefix>* holders,
    std::size_t* holder_count) const {
  *holder_count = 0;
  for (std::size_t i = prefixes.size(); i > 0; --i) {
    const auto found = by_prefix_.find(prefixes[i - 1]);
    if (found == by_prefix_.end()) continue;
    *holders = found->second->holders;
    *holder_count = found->second->count;
    return i;
  }
  return 0;
}

}  // namespace pollenledge
