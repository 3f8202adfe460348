#include "pollenledge/process/collector_choice.h"

namespace pollenledge {

std::vector<const MemberRecord*> CollectorChoice::Choose(
    const std::vector<const MemberRecord*>& ranked, const std::string& self,
    TimePoint now) {
  std::vector<const MemberRecord*> chosen;
  std::map<std::string, Candidate> retained;
  for (const MemberRecord* record : ranked) {
    const std::string& name = record->id.name;
    const auto found = candidates_.find(name);
    if (found != candidates_.end()) retained[name] = found->second;
    const bool in_backoff =
        name != self && now < retained[name].passed_over_until;
    if (!in_backoff && chosen.size() < kCollectors) chosen.push_back(record);
  }
  candidates_ = std::move(retained);
  return chosen;
}

void CollectorChoice::OnAsked(const std::string& name, TimePoint now) {
  Candidate& candidate = candidates_[name];
  if (++candidate.unanswered <= kUnanswered) return;
  candidate.unanswered = 0;
  candidate.passed_over_until = now + kPassedOver;
}

void CollectorChoice::OnAnswered(const std::string& name) {
  const auto found = candidates_.find(name);
  if (found != candidates_.end()) found->second = Candidate();
}

}  // namespace pollenledge
