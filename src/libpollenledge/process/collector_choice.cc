#include "pollenledge/process/collector_choice.h"

namespace pollenledge {

std::vector<const MemberRecord*> CollectorChoice::Choose(
    const std::vector<const MemberRecord*>& ranked, const std::string& self,
    TimePoint now) {
  std::vector<const MemberRecord*> chosen;
  std::map<std::string, Candidate> kept;
  for (const MemberRecord* record : ranked) {
    const std::string& name = record->id.name;
    const auto known = candidates_.find(name);
    if (known != candidates_.end()) kept[name] = known->second;
    const bool passed_over = name != self && now < kept[name].passed_over_until;
    if (!passed_over && chosen.size() < kCollectors) chosen.push_back(record);
  }
  candidates_ = std::move(kept);
  return chosen;
}

void CollectorChoice::OnAsked(const std::string& name, TimePoint now) {
  Candidate& candidate = candidates_[name];
  if (++candidate.unanswered <= kUnanswered) return;
  candidate.unanswered = 0;
  candidate.passed_over_until = now + kPassedOver;
}

void CollectorChoice::OnAnswered(const std::string& name) {
  const auto known = candidates_.find(name);
  if (known != candidates_.end()) known->second = Candidate();
}

}  // namespace pollenledge
