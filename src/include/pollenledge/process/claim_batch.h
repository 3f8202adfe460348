#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/request/claim.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// One claim write of a batch, and its reply once it is known.
struct BatchedClaim {
  std::string key;
  WriteClaim write;
  /// Lease whose expiry removes the key; 0: none.
  std::int64_t lease_id = 0;
  std::optional<ClaimReply> reply;

  friend bool operator==(const BatchedClaim&, const BatchedClaim&) = default;
};

/// Writes several claims in one transaction, so that the key-value service
/// counts a single call for all of them.
///
/// A transaction applies all of its writes or none. If a claim's key has
/// another revision than expected, the claim gets its reply from the response
/// of the failed transaction, and the other claims are retried without it. A
/// batch therefore needs at most one transaction more than it has conflicts.
/// Performs no I/O itself. Not thread-safe.
class ClaimBatch {
 public:
  /// Maximum number of claims in a batch. The etcd v3 API allows 128
  /// operations in a transaction by default.
  static constexpr std::size_t kMaxClaims = 100;

  /// Adds a claim. Returns false if the batch is full or already contains
  /// `key`.
  bool Add(const std::string& key, const WriteClaim& write,
           std::int64_t lease = 0);

  /// Returns the writes of the next transaction: those of all claims that have
  /// no reply yet. Empty once every claim has its reply.
  std::vector<KvWrite> NextTransaction() const;
  /// Applies the reply to the transaction that `NextTransaction` returned last.
  void OnReply(const Result<KvTxnReply>& reply);

  bool empty() const { return claims_.empty(); }
  const std::vector<BatchedClaim>& claims() const { return claims_; }

 private:
  std::vector<BatchedClaim> claims_;
};

/// Converts the result of reading a claim's key to a claim reply.
ClaimReply ToClaimReply(const Result<std::optional<KvEntry>>& read);

}  // namespace pollenledge
