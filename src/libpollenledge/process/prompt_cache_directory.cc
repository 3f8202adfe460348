#include "pollenledge/process/prompt_cache_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace pollenledge {
namespace {

/// The fleet is told again of a segment that is in use after this time, as
/// datagrams are lost and entries expire. While a node reads the upstream's
/// events it also reports evictions, so that less repetition is needed.
constexpr Duration kRepeatInterval = std::chrono::seconds(15);
constexpr Duration kFollowedRepeatInterval = std::chrono::seconds(60);
/// Maximum number of changes that wait to be reported.
constexpr std::size_t kMaxChanges = 4096;
/// Number of shared segments that are remembered apart from the entries, once
/// or twice: the older half is dropped when this number is reached.
constexpr std::size_t kMaxSharedSegments = 8192;
constexpr int kHashBits = 32;
/// Bound on what a caller states for one segment, so that sums don't overflow.
constexpr std::int64_t kMaxSegmentTokens = 100'000'000;

std::int64_t TokensOf(const PromptSegment& segment) {
  return std::clamp<std::int64_t>(segment.tokens, 0, kMaxSegmentTokens);
}

/// Returns true if other prompts may contain segment `index` of `prompt`: all
/// but the last one, or the only one. A prompt of three segments or more is a
/// session, whose next prompt contains the last one too.
bool IsSharedSegment(const std::vector<PromptSegment>& prompt,
                     std::size_t index) {
  return prompt.size() != 2 || index == 0;
}

std::uint32_t UpstreamOf(RetainedSegmentKey key) {
  return static_cast<std::uint32_t>(key >> kHashBits);
}

std::uint32_t SegmentOf(RetainedSegmentKey key) {
  return static_cast<std::uint32_t>(key);
}

}  // namespace

std::uint32_t HashPromptSegment(std::uint64_t id) {
  return static_cast<std::uint32_t>(XXH64(&id, sizeof(id), 0));
}

std::uint32_t HashUpstream(const UpstreamId& id) {
  return static_cast<std::uint32_t>(
      XXH64(id.name.data(), id.name.size(), id.incarnation));
}

RetainedSegmentKey MakeSegmentKey(std::uint32_t upstream,
                                  std::uint32_t segment) {
  return (static_cast<std::uint64_t>(upstream) << kHashBits) | segment;
}

void PromptCacheDirectory::SetUpstreams(
    const std::vector<PromptCacheUpstream>& upstreams) {
  std::map<std::string, Upstream> kept;
  names_by_hash_.clear();
  for (const PromptCacheUpstream& listed : upstreams) {
    const auto known = upstreams_.find(listed.id.name);
    Upstream& upstream = kept[listed.id.name];
    if (known != upstreams_.end() && known->second.id == listed.id)
      upstream = std::move(known->second);
    upstream.id = listed.id;
    upstream.hash = HashUpstream(listed.id);
    upstream.capacity_tokens = listed.capacity_tokens;
    names_by_hash_[upstream.hash] = listed.id.name;
  }
  upstreams_ = std::move(kept);
  for (auto& [name, upstream] : upstreams_) Trim(&upstream);
}

std::int64_t PromptCacheDirectory::CachedTokens(
    const UpstreamId& id, const std::vector<PromptSegment>& prompt,
    TimePoint now) const {
  const Upstream* upstream = Find(id);
  if (upstream == nullptr) return 0;
  std::int64_t tokens = 0;
  for (const PromptSegment& segment : prompt) {
    const auto found = upstream->by_segment.find(HashPromptSegment(segment.id));
    const bool is_retained = found != upstream->by_segment.end() &&
                             IsValid(*upstream, *found->second, now);
    if (!is_retained) break;
    tokens += TokensOf(segment);
  }
  return tokens;
}

std::int64_t PromptCacheDirectory::RetainedTokens(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  return upstream == nullptr ? 0 : upstream->tokens;
}

void PromptCacheDirectory::OnSent(const UpstreamId& id,
                                  const std::vector<PromptSegment>& prompt,
                                  TimePoint now) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) return;
  // The first segment ends up as the most recently used: engines evict the end
  // of a prompt first.
  for (std::size_t i = prompt.size(); i-- > 0;) {
    const auto [entry, is_new] = Touch(
        upstream, HashPromptSegment(prompt[i].id), TokensOf(prompt[i]), now);
    // A segment that occurs a second time is shared also if it is the last.
    if (!is_new || IsSharedSegment(prompt, i)) MarkShared(entry);
    entry->is_unread = entry->is_unread || is_new;
    entry->sent_at = now;
    entry->event_number =
        std::max(entry->event_number, upstream->last_event.value_or(0));
  }
  Trim(upstream);
}

void PromptCacheDirectory::OnRead(const UpstreamId& id,
                                  const std::vector<PromptSegment>& prompt,
                                  TimePoint now) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) return;
  for (std::size_t i = prompt.size(); i-- > 0;) {
    Entry* entry = Touch(upstream, HashPromptSegment(prompt[i].id),
                         TokensOf(prompt[i]), now)
                       .first;
    if (IsSharedSegment(prompt, i)) MarkShared(entry);
    entry->is_unread = false;
    TellAdded(*upstream, entry, now);
  }
  Trim(upstream);
}

void PromptCacheDirectory::OnNotRun(const UpstreamId& id,
                                    const std::vector<PromptSegment>& prompt) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) return;
  for (const PromptSegment& segment : prompt) {
    const std::uint32_t hash = HashPromptSegment(segment.id);
    const Entry* entry = FindEntry(upstream, hash);
    if (entry != nullptr && entry->is_unread) Erase(upstream, hash);
  }
}

bool PromptCacheDirectory::OnEvents(const UpstreamId& id,
                                    const PromptCacheEvents& events,
                                    TimePoint now) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) return false;
  upstream->followed_at = now;
  upstream->read_at = now;
  if (upstream->epoch.value_or(events.epoch) != events.epoch) {
    // The numbers begin again, so the response to the old number says nothing
    // about the first events of this epoch. They are read by the next call.
    Clear(upstream);
    upstream->epoch = events.epoch;
    upstream->next_event = 0;
    upstream->last_event.reset();
    upstream->uncertain_before.reset();
    AddChange(PromptCacheChange::Kind::kReset, *upstream, 0);
    return true;
  }
  upstream->epoch = events.epoch;
  if (events.lost > 0) {
    upstream->uncertain_before = now;
    missed_events_ += events.lost;
  }
  std::vector<PromptCacheEvent> ordered = events.events;
  std::sort(ordered.begin(), ordered.end(),
            [](const PromptCacheEvent& a, const PromptCacheEvent& b) {
              return a.number < b.number;
            });
  for (const PromptCacheEvent& event : ordered) {
    ApplyEvent(upstream, event, now);
  }
  upstream->next_event = events.next;
  Trim(upstream);
  return false;
}

void PromptCacheDirectory::ApplyEvent(Upstream* upstream,
                                      const PromptCacheEvent& event,
                                      TimePoint now) {
  const std::uint32_t segment = HashPromptSegment(event.segment);
  const bool is_late = event.number <= upstream->last_event.value_or(0) &&
                       upstream->last_event.has_value();
  if (!is_late) {
    if (upstream->last_event.has_value() && event.number > 0)
      missed_events_ += event.number - 1 - *upstream->last_event;
    upstream->last_event = event.number;
  }
  if (event.added) {
    // The segment may have been evicted since a late event.
    if (is_late) return;
    Entry* entry = Touch(upstream, segment, event.tokens, now).first;
    entry->is_unread = false;
    entry->event_number = event.number;
    TellAdded(*upstream, entry, now);
    return;
  }
  const Entry* entry = FindEntry(upstream, segment);
  if (entry == nullptr) return;
  if (is_late && entry->event_number >= event.number) return;
  if (entry->sent_at.has_value() && now - *entry->sent_at < kMaxReportDelay)
    return;
  if (entry->told_at.has_value())
    AddChange(PromptCacheChange::Kind::kEvicted, *upstream, segment);
  Erase(upstream, segment);
}

std::vector<PromptCacheChange> PromptCacheDirectory::Merge(
    const PromptCacheReport& report, TimePoint now) {
  using Kind = PromptCacheChange::Kind;
  std::vector<PromptCacheChange> news;
  for (const std::uint32_t hash : report.reset) {
    Upstream* upstream = FindByHash(hash);
    if (upstream == nullptr || IsReadHere(*upstream, now)) continue;
    if (upstream->entries.empty()) continue;
    Clear(upstream);
    news.push_back({Kind::kReset, MakeSegmentKey(hash, 0)});
  }
  for (const RetainedSegmentKey key : report.evicted) {
    Upstream* upstream = FindByHash(UpstreamOf(key));
    // This node's own reading of the events is at least as recent.
    if (upstream == nullptr || IsReadHere(*upstream, now)) continue;
    const Entry* entry = FindEntry(upstream, SegmentOf(key));
    if (entry == nullptr) continue;
    if (entry->sent_at.has_value() && now - *entry->sent_at < kMaxReportDelay)
      continue;
    Erase(upstream, SegmentOf(key));
    news.push_back({Kind::kEvicted, key});
  }
  for (const RetainedSegmentKey key : report.added) {
    Upstream* upstream = FindByHash(UpstreamOf(key));
    if (upstream == nullptr) continue;
    Entry* entry = Touch(upstream, SegmentOf(key), 0, now).first;
    const bool is_news = !entry->told_at.has_value() ||
                         now - *entry->told_at > kRepeatInterval / 2;
    MarkShared(entry);
    entry->is_unread = false;
    if (is_news) {
      entry->told_at = now;
      news.push_back({Kind::kAdded, key});
    }
    Trim(upstream);
  }
  for (const std::uint32_t hash : report.followed) {
    if (Upstream* upstream = FindByHash(hash)) upstream->followed_at = now;
  }
  return news;
}

std::vector<PromptCacheChange> PromptCacheDirectory::TakeChanges() {
  return std::exchange(changes_, {});
}

std::uint64_t PromptCacheDirectory::NextEvent(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  return upstream == nullptr ? 0 : upstream->next_event;
}

std::vector<std::uint32_t> PromptCacheDirectory::FollowedUpstreams(
    bool by_this_node, TimePoint now) const {
  std::vector<std::uint32_t> hashes;
  for (const auto& [name, upstream] : upstreams_) {
    if (by_this_node ? IsReadHere(upstream, now) : IsFollowed(upstream, now))
      hashes.push_back(upstream.hash);
  }
  return hashes;
}

std::size_t PromptCacheDirectory::segment_count() const {
  std::size_t count = 0;
  for (const auto& [name, upstream] : upstreams_)
    count += upstream.by_segment.size();
  return count;
}

PromptCacheDirectory::Upstream* PromptCacheDirectory::Find(
    const UpstreamId& id) {
  const auto found = upstreams_.find(id.name);
  const bool is_known = found != upstreams_.end() &&
                        found->second.id.incarnation == id.incarnation;
  return is_known ? &found->second : nullptr;
}

const PromptCacheDirectory::Upstream* PromptCacheDirectory::Find(
    const UpstreamId& id) const {
  const auto found = upstreams_.find(id.name);
  const bool is_known = found != upstreams_.end() &&
                        found->second.id.incarnation == id.incarnation;
  return is_known ? &found->second : nullptr;
}

PromptCacheDirectory::Upstream* PromptCacheDirectory::FindByHash(
    std::uint32_t hash) {
  const auto found = names_by_hash_.find(hash);
  return found == names_by_hash_.end() ? nullptr
                                       : &upstreams_.at(found->second);
}

bool PromptCacheDirectory::IsFollowed(const Upstream& upstream, TimePoint now) {
  return upstream.followed_at.has_value() &&
         now - *upstream.followed_at < kFollowedTime;
}

bool PromptCacheDirectory::IsReadHere(const Upstream& upstream, TimePoint now) {
  return upstream.read_at.has_value() &&
         now - *upstream.read_at < kFollowedTime;
}

bool PromptCacheDirectory::IsValid(const Upstream& upstream, const Entry& entry,
                                   TimePoint now) {
  const Duration max_age =
      IsFollowed(upstream, now) ? kFollowedEntryAge : kUnfollowedEntryAge;
  if (now - entry.confirmed_at > max_age) return false;
  const bool is_uncertain = upstream.uncertain_before.has_value() &&
                            entry.confirmed_at < *upstream.uncertain_before;
  return !is_uncertain || now - *upstream.uncertain_before < kUncertainEntryAge;
}

PromptCacheDirectory::Entry* PromptCacheDirectory::FindEntry(
    Upstream* upstream, std::uint32_t segment) {
  const auto found = upstream->by_segment.find(segment);
  return found == upstream->by_segment.end() ? nullptr : &*found->second;
}

std::pair<PromptCacheDirectory::Entry*, bool> PromptCacheDirectory::Touch(
    Upstream* upstream, std::uint32_t segment, std::int64_t tokens,
    TimePoint now) const {
  const auto [found, is_new] =
      upstream->by_segment.try_emplace(segment, upstream->entries.end());
  if (is_new) {
    upstream->entries.emplace_front();
    upstream->entries.front().segment = segment;
    // The fleet has to be told if a shared segment that was evicted returns.
    upstream->entries.front().is_shared =
        shared_segments_.count(segment) +
            older_shared_segments_.count(segment) >
        0;
  } else {
    upstream->entries.splice(upstream->entries.begin(), upstream->entries,
                             found->second);
  }
  found->second = upstream->entries.begin();
  Entry* entry = &upstream->entries.front();
  if (tokens > 0) {
    upstream->tokens += tokens - entry->tokens;
    entry->tokens = tokens;
  }
  entry->confirmed_at = now;
  return {entry, is_new};
}

void PromptCacheDirectory::MarkShared(Entry* entry) {
  if (entry->is_shared) return;
  entry->is_shared = true;
  shared_segments_.insert(entry->segment);
  if (shared_segments_.size() < kMaxSharedSegments) return;
  older_shared_segments_ = std::exchange(shared_segments_, {});
}

void PromptCacheDirectory::Erase(Upstream* upstream, std::uint32_t segment) {
  const auto found = upstream->by_segment.find(segment);
  if (found == upstream->by_segment.end()) return;
  upstream->tokens -= found->second->tokens;
  upstream->entries.erase(found->second);
  upstream->by_segment.erase(found);
}

void PromptCacheDirectory::Clear(Upstream* upstream) {
  upstream->entries.clear();
  upstream->by_segment.clear();
  upstream->tokens = 0;
}

void PromptCacheDirectory::Trim(Upstream* upstream) const {
  const std::size_t max_segments =
      kMaxSegments / std::max<std::size_t>(1, upstreams_.size());
  while (!upstream->entries.empty()) {
    const bool is_over_capacity = upstream->capacity_tokens > 0 &&
                                  upstream->tokens > upstream->capacity_tokens;
    if (upstream->entries.size() <= max_segments && !is_over_capacity) return;
    Erase(upstream, upstream->entries.back().segment);
  }
}

void PromptCacheDirectory::TellAdded(const Upstream& upstream, Entry* entry,
                                     TimePoint now) {
  const Duration interval =
      IsFollowed(upstream, now) ? kFollowedRepeatInterval : kRepeatInterval;
  const bool is_known =
      entry->told_at.has_value() && now - *entry->told_at < interval;
  if (!entry->is_shared || is_known) return;
  entry->told_at = now;
  AddChange(PromptCacheChange::Kind::kAdded, upstream, entry->segment);
}

void PromptCacheDirectory::AddChange(PromptCacheChange::Kind kind,
                                     const Upstream& upstream,
                                     std::uint32_t segment) {
  if (changes_.size() >= kMaxChanges) return;
  changes_.push_back({kind, MakeSegmentKey(upstream.hash, segment)});
}

}  // namespace pollenledge
