#include "pollenledge/process/upstream_table.h"

#include <algorithm>
#include <unordered_set>

namespace pollenledge {
namespace {

// Time for which the state of an unlisted upstream is kept. Longer than the
// platform's list may lag.
constexpr Duration kUnlistedStateTtl = std::chrono::minutes(30);

// Backoff after a failed connection. Doubles with each further failure, at most
// `kMaxBackoffDoublings` times.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr int kMaxBackoffDoublings = 4;

std::int64_t PricePerSlot(const UpstreamInfo& info) {
  return info.price_micros_per_hour / std::max(1, info.slots);
}

}  // namespace

const char* ToString(UpstreamState state) {
  switch (state) {
    case UpstreamState::kLive:
      return "live";
    case UpstreamState::kLeaving:
      return "leaving";
    case UpstreamState::kGone:
      return "gone";
  }
  return "?";
}

void UpstreamTable::SetList(const std::vector<UpstreamInfo>& list,
                            TimePoint now) {
  for (const UpstreamInfo& info : list) {
    const auto found = by_id_.find(info.id);
    if (found == by_id_.end()) {
      Add(info);
    } else {
      entries_[found->second].info = info;
    }
  }
  RemoveUnlisted(list);
  ExpireStates(now);
  RebuildPriceClasses();
}

bool UpstreamTable::AdvanceState(const UpstreamId& id, UpstreamState state,
                                 TimePoint now) {
  KnownState& known = states_[id];
  if (state <= known.state) return false;
  known = {state, now};
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return true;
  entries_[found->second].state = state;
  return true;
}

void UpstreamTable::OnConnectionFailed(UpstreamHandle handle, TimePoint now) {
  UpstreamEntry* entry = Find(handle);
  if (entry == nullptr) return;
  entry->connection_lost_at = now;
  if (entry->consecutive_failures == 0) entry->failing_since = now;
  const int doublings =
      std::min(entry->consecutive_failures, kMaxBackoffDoublings);
  entry->backoff_until = now + kInitialBackoff * (1 << doublings);
  ++entry->consecutive_failures;
}

void UpstreamTable::OnConnectionSucceeded(UpstreamHandle handle) {
  UpstreamEntry* entry = Find(handle);
  if (entry == nullptr) return;
  entry->consecutive_failures = 0;
  entry->backoff_until = TimePoint();
}

UpstreamState UpstreamTable::StateOf(const UpstreamId& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? UpstreamState::kLive : found->second.state;
}

UpstreamEntry* UpstreamTable::Find(UpstreamHandle handle) {
  if (handle.index >= entries_.size()) return nullptr;
  UpstreamEntry& entry = entries_[handle.index];
  return entry.present && entry.generation == handle.generation ? &entry
                                                                : nullptr;
}

const UpstreamEntry* UpstreamTable::Find(UpstreamHandle handle) const {
  return const_cast<UpstreamTable*>(this)->Find(handle);
}

std::optional<UpstreamHandle> UpstreamTable::FindById(
    const UpstreamId& id) const {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return std::nullopt;
  return HandleOf(found->second);
}

const std::vector<UpstreamTable::PriceClass>& UpstreamTable::PriceClassesOf(
    const std::string& pool) const {
  static const std::vector<PriceClass> kNone;
  const auto found = price_classes_.find(pool);
  return found == price_classes_.end() ? kNone : found->second;
}

std::int64_t UpstreamTable::CheapestPrice(const std::string& pool) const {
  const std::vector<PriceClass>& classes = PriceClassesOf(pool);
  return classes.empty() ? 0 : classes.front().price_micros_per_slot_hour;
}

int UpstreamTable::CountDisconnectedInDomain(const std::string& domain,
                                             TimePoint since) const {
  int count = 0;
  ForEach([&](UpstreamHandle, const UpstreamEntry& entry) {
    if (entry.info.domain == domain && entry.consecutive_failures > 0 &&
        entry.failing_since >= since) {
      ++count;
    }
  });
  return count;
}

int UpstreamTable::CountInDomain(const std::string& domain) const {
  int count = 0;
  ForEach([&](UpstreamHandle, const UpstreamEntry& entry) {
    if (entry.info.domain == domain) ++count;
  });
  return count;
}

void UpstreamTable::Add(const UpstreamInfo& info) {
  std::uint32_t index = 0;
  if (free_indices_.empty()) {
    index = static_cast<std::uint32_t>(entries_.size());
    entries_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  const std::uint32_t generation = entries_[index].generation + 1;
  entries_[index] = UpstreamEntry{};
  entries_[index].generation = generation;
  entries_[index].info = info;
  entries_[index].present = true;
  entries_[index].state = StateOf(info.id);
  by_id_[info.id] = index;
}

void UpstreamTable::RemoveUnlisted(const std::vector<UpstreamInfo>& list) {
  std::unordered_set<UpstreamId> listed_ids;
  for (const UpstreamInfo& info : list) listed_ids.insert(info.id);
  for (auto it = by_id_.begin(); it != by_id_.end();) {
    UpstreamEntry& entry = entries_[it->second];
    if (listed_ids.count(it->first) > 0 || entry.load.local_requests() > 0) {
      ++it;
      continue;
    }
    entry.present = false;
    free_indices_.push_back(it->second);
    it = by_id_.erase(it);
  }
}

void UpstreamTable::RebuildPriceClasses() {
  price_classes_.clear();
  std::map<std::string, std::map<std::int64_t, std::vector<std::uint32_t>>>
      members_by_price;
  for (std::uint32_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].present) continue;
    const UpstreamInfo& info = entries_[i].info;
    members_by_price[info.pool][PricePerSlot(info)].push_back(i);
  }
  AssignOrdinals();
  for (auto& [pool, by_price] : members_by_price) {
    for (auto& [price, members] : by_price) {
      int slots = 0;
      for (const std::uint32_t index : members) {
        slots += entries_[index].info.slots;
      }
      price_classes_[pool].push_back({price, slots, std::move(members)});
    }
  }
}

void UpstreamTable::AssignOrdinals() {
  std::map<std::pair<std::string, std::string>, std::uint32_t> by_name;
  for (std::uint32_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].present) continue;
    by_name[{entries_[i].info.pool, entries_[i].info.id.name}] = i;
  }
  std::map<std::string, std::size_t> next;
  for (const auto& [key, index] : by_name) {
    entries_[index].ordinal = next[key.first]++;
  }
}

void UpstreamTable::ExpireStates(TimePoint now) {
  for (auto it = states_.begin(); it != states_.end();) {
    const bool listed = by_id_.count(it->first) > 0;
    if (!listed && now - it->second.received_at > kUnlistedStateTtl) {
      it = states_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pollenledge
