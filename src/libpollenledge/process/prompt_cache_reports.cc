#include "pollenledge/process/prompt_cache_reports.h"

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

constexpr int kHashBits = 32;

/// Removes what a report so far says about an upstream.
void RemoveUpstream(std::uint64_t upstream,
                    std::map<RetainedSegmentKey, bool>* segments) {
  std::erase_if(*segments, [upstream](const auto& entry) {
    return entry.first >> kHashBits == upstream;
  });
}

}  // namespace

void PromptCacheReports::Record(const PromptCacheChange& change,
                                const std::string& origin) {
  log_.push_back({change, origin});
  if (log_.size() <= kMaxChanges) return;
  log_.pop_front();
  ++first_;
}

PromptCacheReport PromptCacheReports::Next(
    const std::string& recipient, bool own_only,
    const std::vector<std::uint32_t>& followed, TimePoint now) {
  std::erase_if(recipients_, [now](const auto& entry) {
    return now - entry.second.last_sent_at > kRecipientTime;
  });
  const auto [found, is_new] =
      recipients_.try_emplace({recipient, own_only}, Recipient());
  Recipient& state = found->second;
  state.last_sent_at = now;
  state.next = std::max(state.next, first_);
  PromptCacheReport report;
  // Of several changes of a segment the last one counts.
  std::map<RetainedSegmentKey, bool> segments;
  const std::uint64_t end = first_ + log_.size();
  while (state.next < end &&
         segments.size() + report.reset.size() < kMaxChangesPerReport) {
    const Logged& logged = log_[state.next++ - first_];
    if (logged.origin == recipient || (own_only && !logged.origin.empty()))
      continue;
    const PromptCacheChange& change = logged.change;
    if (change.kind == PromptCacheChange::Kind::kReset) {
      RemoveUpstream(change.key >> kHashBits, &segments);
      report.reset.push_back(
          static_cast<std::uint32_t>(change.key >> kHashBits));
      continue;
    }
    segments[change.key] = change.kind == PromptCacheChange::Kind::kAdded;
  }
  for (const auto& [key, added] : segments) {
    (added ? report.added : report.evicted).push_back(key);
  }
  if (is_new || now - state.followed_told_at >= kFollowedInterval) {
    state.followed_told_at = now;
    report.followed = followed;
  }
  return report;
}

}  // namespace pollenledge
