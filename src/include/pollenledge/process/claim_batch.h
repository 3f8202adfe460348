#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/request/claim.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// One claim write inside a batch, with its reply once there is one.
struct BatchedClaim {
  std::string key;
  WriteClaim write;
  std::int64_t lease = 0;
  std::optional<ClaimReply> reply;

  friend bool operator==(const BatchedClaim&, const BatchedClaim&) = default;
};

/// Writes several claims in one transaction, so that the key-value service
/// counts one call for all of them.
///
/// A transaction makes all its writes or none. When one claim of the batch
/// finds its key taken, it gets its reply from the same answer and the others
/// are tried again without it, so a batch ends after at most one transaction
/// more than it has conflicts. Not thread-safe.
class ClaimBatch {
 public:
  /// The etcd v3 API allows 128 operations in a transaction by default.
  static constexpr std::size_t kMaxClaims = 100;

  /// Adds a claim. False if the batch is full or has this key already.
  bool Add(const std::string& key, const WriteClaim& write,
           std::int64_t lease = 0);

  /// The writes to try next; empty once every claim has its reply.
  std::vector<KvWrite> NextTransaction() const;
  void OnReply(const Result<KvTxnReply>& reply);

  bool empty() const { return claims_.empty(); }
  const std::vector<BatchedClaim>& claims() const { return claims_; }

 private:
  std::vector<BatchedClaim> claims_;
};

/// The reply to a read of one claim.
ClaimReply ToClaimReply(const Result<std::optional<KvEntry>>& read);

}  // namespace pollenledge
