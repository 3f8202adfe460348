#include "pollenledge/process/claim_batch.h"

#include <algorithm>

namespace pollenledge {
namespace {

ClaimReply ParseExistingClaim(const KvEntry& entry) {
  Result<ClaimRecord> record = ParseClaimRecord(entry.value);
  // An unreadable record does not show that the key is free, so the request
  // must not run.
  if (!Ok(record)) return ClaimNoResponse{};
  return ClaimExists{{Value(record), entry.mod_revision}};
}

}  // namespace

bool ClaimBatch::Add(const std::string& key, const WriteClaim& write,
                     std::int64_t lease) {
  if (claims_.size() >= kMaxClaims) return false;
  for (const BatchedClaim& claim : claims_) {
    if (claim.key == key) return false;
  }
  claims_.push_back({key, write, lease, std::nullopt});
  return true;
}

std::vector<KvWrite> ClaimBatch::NextTransaction() const {
  std::vector<KvWrite> writes;
  for (const BatchedClaim& claim : claims_) {
    if (claim.reply.has_value()) continue;
    writes.push_back({claim.key, ToJson(claim.write.record),
                      claim.write.expected_revision, claim.lease_id});
  }
  return writes;
}

void ClaimBatch::OnReply(const Result<KvTxnReply>& reply) {
  bool made_progress = false;
  for (BatchedClaim& claim : claims_) {
    if (claim.reply.has_value()) continue;
    if (!Ok(reply)) {
      claim.reply = ClaimNoResponse{};
      made_progress = true;
      continue;
    }
    const KvTxnReply& txn = Value(reply);
    if (txn.succeeded) {
      claim.reply = ClaimWritten{txn.revision};
      made_progress = true;
      continue;
    }
    const auto current = std::find_if(
        txn.current.begin(), txn.current.end(),
        [&](const KvEntry& entry) { return entry.key == claim.key; });
    const std::int64_t revision =
        current == txn.current.end() ? 0 : current->mod_revision;
    if (revision == claim.write.expected_revision) continue;
    claim.reply = current == txn.current.end() ? ClaimReply(ClaimAbsent{})
                                               : ParseExistingClaim(*current);
    made_progress = true;
  }
  if (made_progress) return;
  // The service rejected the transaction without reporting a conflict, so
  // retrying the same writes might never finish.
  for (BatchedClaim& claim : claims_) {
    if (!claim.reply.has_value()) claim.reply = ClaimNoResponse{};
  }
}

ClaimReply ToClaimReply(const Result<std::optional<KvEntry>>& read) {
  if (!Ok(read)) return ClaimNoResponse{};
  if (!Value(read).has_value()) return ClaimAbsent{};
  return ParseExistingClaim(*Value(read));
}

}  // namespace pollenledge
