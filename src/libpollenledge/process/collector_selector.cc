#include "pollenledge/process/collector_selector.h"

namespace pollenledge {

std::vector<const MemberRecord*> CollectorSelector::Choose(
    const std::vector<const MemberRecord*>& ranked, const std::string& self,
    TimePoint now) {
  std::vector<const MemberRecord*> chosen;
  const MemberRecord* other_ready = nullptr;
  bool any_is_ready = false;
  std::map<std::string, Candidate> retained;
  for (const MemberRecord* record : ranked) {
    const std::string& name = record->id.name;
    const auto found = candidates_.find(name);
    if (found != candidates_.end()) retained[name] = found->second;
    const bool in_backoff = name != self && now < retained[name].backoff_until;
    if (in_backoff) continue;
    const bool is_ready = now < retained[name].ready_until;
    if (chosen.size() < kMaxCollectors) {
      chosen.push_back(record);
      any_is_ready = any_is_ready || is_ready;
    } else if (is_ready && other_ready == nullptr) {
      other_ready = record;
    }
  }
  if (!any_is_ready && other_ready != nullptr) chosen.push_back(other_ready);
  candidates_ = std::move(retained);
  return chosen;
}

void CollectorSelector::OnQuerySent(const std::string& name, TimePoint now) {
  Candidate& candidate = candidates_[name];
  if (++candidate.unanswered_queries <= kMaxUnansweredQueries) return;
  candidate.unanswered_queries = 0;
  candidate.backoff_until = now + kBackoffTime;
}

void CollectorSelector::OnResponse(const std::string& name, bool is_ready,
                                   TimePoint now) {
  const auto found = candidates_.find(name);
  if (found == candidates_.end()) return;
  found->second = Candidate();
  if (is_ready) found->second.ready_until = now + kReadyTime;
}

}  // namespace pollenledge
