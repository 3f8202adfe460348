#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One item as a linearizable read found it.
struct StoreItem {
  std::optional<KvEntry> entry;     ///< Nothing if the key does not exist.
  std::int64_t store_revision = 0;  ///< Of the whole store.

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

/// All items with a prefix.
struct StoreListing {
  std::vector<KvEntry> entries;
  std::int64_t store_revision = 0;

  friend bool operator==(const StoreListing&, const StoreListing&) = default;
};

/// One change that a watch reported.
struct StoreChange {
  KvEntry entry;  ///< Without a value if it was removed.
  bool removed = false;

  friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// What a watch brought back. May hold no change.
struct StoreChanges {
  std::vector<StoreChange> changes;
  std::int64_t store_revision = 0;  ///< Where to go on from.

  friend bool operator==(const StoreChanges&, const StoreChanges&) = default;
};

/// A lease and how long it holds from the call's arrival.
struct StoreLease {
  std::int64_t id = 0;
  Duration time_to_live{0};

  friend bool operator==(const StoreLease&, const StoreLease&) = default;
};

/// Writes and removals that take effect together or not at all.
struct StoreTransaction {
  std::vector<KvWrite> writes;
  std::vector<std::string> removals;

  friend bool operator==(const StoreTransaction&,
                         const StoreTransaction&) = default;
};

/// The platform's key-value store as the system's event loops use it.
///
/// Each call returns at once and hands its result to the callback once, on the
/// loop's thread. An error with `kUnavailable` means that nothing was done,
/// `kUnknownOutcome` that the call may have taken effect or still may,
/// `kNotFound` that the lease or the history asked for is gone. Not
/// thread-safe.
class AsyncStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~AsyncStore() = default;

  /// A linearizable read.
  virtual void Read(const std::string& key, Callback<StoreItem> callback) = 0;
  /// Linearizable reads of all pages; the pages are no snapshot.
  virtual void List(const std::string& prefix,
                    Callback<StoreListing> callback) = 0;
  /// The changes after `after_revision`, as soon as there is one, or none
  /// after `wait`.
  virtual void Watch(const std::string& prefix, std::int64_t after_revision,
                     Duration wait, Callback<StoreChanges> callback) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<KvTxnReply> callback) = 0;
  virtual void GrantLease(Duration time_to_live,
                          Callback<StoreLease> callback) = 0;
  virtual void KeepLease(std::int64_t lease, Callback<StoreLease> callback) = 0;
  virtual void EndLease(std::int64_t lease) = 0;
};

}  // namespace pollenledge
