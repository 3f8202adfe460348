#include "pollenledge/process/outcome_writer.h"

#include <algorithm>

namespace pollenledge {

action::WriteOutcome OutcomeWriter::Add(const RequestId& id,
                                        const std::string& key,
                                        const ClaimRecord& record,
                                        std::int64_t revision,
                                        Duration retention, TimePoint now) {
  PendingWrite pending;
  pending.write = {id, key, {record, revision}, retention};
  pending.retry_at = now;
  return pending_.insert_or_assign(id, pending).first->second.write;
}

void OutcomeWriter::OnWritten(const RequestId& id, bool ok, TimePoint now) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  if (ok) {
    pending_.erase(found);
    return;
  }
  PendingWrite& pending = found->second;
  pending.in_flight = false;
  pending.retry_at = now + pending.retry_delay;
  pending.retry_delay = std::min(kMaxRetryDelay, pending.retry_delay * 2);
}

std::vector<action::WriteOutcome> OutcomeWriter::StartDueRetries(
    TimePoint now) {
  std::vector<action::WriteOutcome> due;
  for (auto& [id, pending] : pending_) {
    if (pending.in_flight || now < pending.retry_at) continue;
    pending.in_flight = true;
    due.push_back(pending.write);
  }
  return due;
}

const ClaimRecord* OutcomeWriter::Find(const RequestId& id) const {
  const auto found = pending_.find(id);
  return found == pending_.end() ? nullptr : &found->second.write.write.record;
}

}  // namespace pollenledge
