#include "pollenledge/process/outcome_keeper.h"

#include <algorithm>

namespace pollenledge {

action::WriteOutcome OutcomeKeeper::Keep(const RequestId& id,
                                         const std::string& key,
                                         const ClaimRecord& record,
                                         std::int64_t revision,
                                         Duration retention, TimePoint now) {
  Kept pending;
  pending.write = {id, key, {record, revision}, retention};
  pending.due_at = now;
  return kept_.insert_or_assign(id, pending).first->second.write;
}

void OutcomeKeeper::OnWritten(const RequestId& id, bool ok, TimePoint now) {
  const auto found = kept_.find(id);
  if (found == kept_.end()) return;
  if (ok) {
    kept_.erase(found);
    return;
  }
  Kept& pending = found->second;
  pending.in_flight = false;
  pending.due_at = now + pending.next_delay;
  pending.next_delay = std::min(kMaxRetry, pending.next_delay * 2);
}

std::vector<action::WriteOutcome> OutcomeKeeper::Due(TimePoint now) {
  std::vector<action::WriteOutcome> due;
  for (auto& [id, pending] : kept_) {
    if (pending.in_flight || now < pending.due_at) continue;
    pending.in_flight = true;
    due.push_back(pending.write);
  }
  return due;
}

const ClaimRecord* OutcomeKeeper::Find(const RequestId& id) const {
  const auto found = kept_.find(id);
  return found == kept_.end() ? nullptr : &found->second.write.write.record;
}

}  // namespace pollenledge
