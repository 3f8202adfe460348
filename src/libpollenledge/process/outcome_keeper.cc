#include "pollenledge/process/outcome_keeper.h"

#include <algorithm>

namespace pollenledge {

action::WriteOutcome OutcomeKeeper::Keep(const RequestId& id,
                                         const std::string& key,
                                         const ClaimRecord& record,
                                         std::int64_t revision,
                                         Duration retention, TimePoint now) {
  Kept kept;
  kept.write = {id, key, {record, revision}, retention};
  kept.due_at = now;
  return kept_.insert_or_assign(id, kept).first->second.write;
}

void OutcomeKeeper::OnWritten(const RequestId& id, bool ok, TimePoint now) {
  const auto found = kept_.find(id);
  if (found == kept_.end()) return;
  if (ok) {
    kept_.erase(found);
    return;
  }
  Kept& kept = found->second;
  kept.in_flight = false;
  kept.due_at = now + kept.next_delay;
  kept.next_delay = std::min(kMaxRetry, kept.next_delay * 2);
}

std::vector<action::WriteOutcome> OutcomeKeeper::Due(TimePoint now) {
  std::vector<action::WriteOutcome> due;
  for (auto& [id, kept] : kept_) {
    if (kept.in_flight || now < kept.due_at) continue;
    kept.in_flight = true;
    due.push_back(kept.write);
  }
  return due;
}

const ClaimRecord* OutcomeKeeper::Find(const RequestId& id) const {
  const auto found = kept_.find(id);
  return found == kept_.end() ? nullptr : &found->second.write.write.record;
}

}  // namespace pollenledge
