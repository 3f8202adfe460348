#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One key with its value and the revision that last changed it.
struct KvEntry {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;

  friend bool operator==(const KvEntry&, const KvEntry&) = default;
};

/// One write of a transaction, and what must hold for it.
struct KvWrite {
  std::string key;
  std::string value;
  std::int64_t expected_revision = 0;  ///< 0: the key must not exist.
  std::int64_t lease = 0;              ///< Removes the key at its end; 0: none.

  friend bool operator==(const KvWrite&, const KvWrite&) = default;
};

/// What a transaction brought back. All writes took effect or none did; if
/// none, `current` holds the keys that exist, as they are.
struct KvTxnReply {
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<KvEntry> current;

  friend bool operator==(const KvTxnReply&, const KvTxnReply&) = default;
};

/// A client of the platform's key-value service, by the JSON gateway of the
/// etcd v3 API.
///
/// Each call makes one connection and blocks for at most the timeout. An error
/// with `kUnavailable` means that nothing was sent; `kUnknownOutcome` that the
/// call may have taken effect. Thread-safe.
class KvClient {
 public:
  KvClient(std::string address, Duration timeout);

  /// The value of `key`; nothing if it does not exist.
  Result<std::optional<KvEntry>> Read(const std::string& key) const;

  /// Makes all `writes` if every expectation holds.
  Result<KvTxnReply> Write(const std::vector<KvWrite>& writes) const;

  /// A lease that removes its keys after `time_to_live`.
  Result<std::int64_t> GrantLease(Duration time_to_live) const;

  /// Watches `key` and calls `on_change` for each change after
  /// `after_revision`, until the connection ends or `on_change` returns false.
  /// Returns why it ended. Counts as one call of the service while it waits.
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
