#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A key with its value and the revision of its last modification.
struct KvEntry {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;

  friend bool operator==(const KvEntry&, const KvEntry&) = default;
};

/// One write of a transaction and its precondition.
struct KvWrite {
  std::string key;
  std::string value;
  std::int64_t expected_revision = 0;  ///< 0: the key must not exist.
  /// Lease whose expiry removes the key; 0: none.
  std::int64_t lease = 0;

  friend bool operator==(const KvWrite&, const KvWrite&) = default;
};

/// The result of a transaction. Either all writes took effect or none did. In
/// the latter case `current` holds the existing entries of the written keys.
struct KvTxnReply {
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<KvEntry> current;

  friend bool operator==(const KvTxnReply&, const KvTxnReply&) = default;
};

/// A blocking client of the platform's key-value service. Uses the JSON gateway
/// of the etcd v3 API.
///
/// Each call opens one connection and blocks for at most the timeout. The error
/// `kUnavailable` means that nothing was sent, `kUnknownOutcome` that the call
/// may have taken effect. Thread-safe.
class KvClient {
 public:
  KvClient(std::string address, Duration timeout);

  /// Returns the entry of `key`, or nothing if the key does not exist.
  Result<std::optional<KvEntry>> Read(const std::string& key) const;

  /// Applies all `writes` atomically if each has its expected revision.
  Result<KvTxnReply> Write(const std::vector<KvWrite>& writes) const;

  /// Creates a lease and returns its id. The lease's keys are removed after
  /// `time_to_live`, which is truncated to whole seconds.
  Result<std::int64_t> GrantLease(Duration time_to_live) const;

  /// Watches `key` and calls `on_change` for each change after
  /// `after_revision`, until the connection is lost, nothing is received for
  /// `idle_timeout`, or `on_change` returns false. Returns the reason. The
  /// service counts the whole watch as one call.
  Error Watch(const std::string& key, std::int64_t after_revision,
              Duration idle_timeout,
              const std::function<bool(const KvEntry&)>& on_change) const;

 private:
  Result<std::string> Post(const std::string& path,
                           const std::string& body) const;

  std::string address_;
  Duration timeout_;
};

}  // namespace pollenledge
