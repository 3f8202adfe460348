#include "pollenledge/process/collector_selector.h"

namespace pollenledge {

std::vector<const MemberRecord*> CollectorSelector::Choose(
    const std::vector<const MemberRecord*>& ranked, const std::string& self,
    TimePoint now) {
  std::vector<const MemberRecord*> chosen;
  std::map<std::string, Candidate> retained;
  for (const MemberRecord* record : ranked) {
    const std::string& name = record->id.name;
    const auto found = candidates_.find(name);
    if (found != candidates_.end()) retained[name] = found->second;
    const bool in_backoff = name != self && now < retained[name].backoff_until;
    if (!in_backoff && chosen.size() < kMaxCollectors) chosen.push_back(record);
  }
  candidates_ = std::move(retained);
  return chosen;
}

void CollectorSelector::OnQuerySent(const std::string& name, TimePoint now) {
  Candidate& candidate = candidates_[name];
  if (++candidate.unanswered_queries <= kMaxUnansweredQueries) return;
  candidate.unanswered_queries = 0;
  candidate.backoff_until = now + kBackoffTime;
}

void CollectorSelector::OnResponse(const std::string& name) {
  const auto found = candidates_.find(name);
  if (found != candidates_.end()) found->second = Candidate();
}

}  // namespace pollenledge
