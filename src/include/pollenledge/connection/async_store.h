#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/connection/store_position.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The result of a linearizable read of one key.
struct StoreItem {
  std::optional<KvEntry> entry;     ///< Empty if the key does not exist.
  std::int64_t store_revision = 0;  ///< Revision of the whole store.

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

/// All entries whose keys start with a given prefix.
struct StoreListing {
  std::vector<KvEntry> entries;
  std::int64_t store_revision = 0;

  friend bool operator==(const StoreListing&, const StoreListing&) = default;
};

/// One change reported by a watch.
struct StoreChange {
  KvEntry entry;  ///< Has no value if the key was removed.
  bool removed = false;

  friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// The result of one watch call. `changes` may be empty.
struct StoreChanges {
  std::vector<StoreChange> changes;
  std::int64_t store_revision = 0;  ///< Pass this to the next watch call.

  friend bool operator==(const StoreChanges&, const StoreChanges&) = default;
};

/// A lease and its time to live, counted from the arrival of the call.
struct StoreLease {
  std::int64_t id = 0;
  Duration time_to_live{0};

  friend bool operator==(const StoreLease&, const StoreLease&) = default;
};

/// Writes and removals that the store applies atomically.
struct StoreTransaction {
  std::vector<KvWrite> writes;
  std::vector<std::string> removals;

  friend bool operator==(const StoreTransaction&,
                         const StoreTransaction&) = default;
};

/// Asynchronous interface to the platform's key-value store, for use on an
/// event loop.
///
/// All revisions, in results and in arguments, are positions (see
/// `store_position`). Those of an earlier era than the store's are out of date:
/// a watch from there has lost its history, and a transaction that expects one
/// fails. Results of an earlier era that arrive late are errors. When the store
/// begins a new era, what the system wrote since the copy was made is lost, and
/// so are its leases; an id of such a lease may be given out again.
///
/// Each call returns immediately and invokes its callback exactly once, on the
/// event loop's thread. Errors:
///  - `kUnavailable`: the call had no effect.
///  - `kUnknownOutcome`: the call may have taken effect or may still do so.
///  - `kNotFound`: the requested lease or revision history no longer exists.
///
/// Not thread-safe.
class AsyncStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~AsyncStore() = default;

  /// Returns the newest era that the store named; 0 if it named none.
  virtual std::int64_t era() const { return 0; }

  /// Receives the outcome of a call that is not a watch: whether the store
  /// answered it, and when it was sent.
  using ContactCallback =
      std::function<void(bool responded, TimePoint sent_at)>;

  /// Adds a callback for the outcome of each call that is not a watch. It is
  /// called before the callback of the call itself. A call that the store turns
  /// away counts as not answered.
  void OnContact(ContactCallback callback) {
    contact_callbacks_.push_back(std::move(callback));
  }

  /// Adds a callback for each time that the store is found to have been
  /// restored from an older copy. It is called before the callback of the call
  /// that found it.
  void OnRestored(std::function<void()> callback) {
    restore_callbacks_.push_back(std::move(callback));
  }

  /// Receives the result of a read whose callback had been given an error
  /// before. The result is as of `sent_at` or later.
  using LateReadCallback = std::function<void(
      const std::string& key, const StoreItem& item, TimePoint sent_at)>;
  using LateListingCallback = std::function<void(
      const std::string& prefix, const StoreListing&, TimePoint sent_at)>;

  /// Adds a callback for the late results of reads.
  void OnLateRead(LateReadCallback callback) {
    late_read_callbacks_.push_back(std::move(callback));
  }
  /// Adds a callback for the late results of listings.
  void OnLateListing(LateListingCallback callback) {
    late_listing_callbacks_.push_back(std::move(callback));
  }

  /// Reads one key. The read is linearizable.
  virtual void Read(const std::string& key, Callback<StoreItem> callback) = 0;
  /// Reads all entries under `prefix`, page by page. Each page is a
  /// linearizable read, but the pages together are not a snapshot.
  virtual void List(const std::string& prefix,
                    Callback<StoreListing> callback) = 0;
  /// Returns the changes made after `after_revision` as soon as there is at
  /// least one, or no changes once `wait` has elapsed.
  virtual void Watch(const std::string& prefix, std::int64_t after_revision,
                     Duration wait, Callback<StoreChanges> callback) = 0;
  /// Applies the transaction if the expectations of all its writes hold.
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<KvTxnReply> callback) = 0;
  /// Creates a lease. The store removes the lease's keys when it expires.
  virtual void GrantLease(Duration time_to_live,
                          Callback<StoreLease> callback) = 0;
  /// Renews the lease for another time to live.
  virtual void RenewLease(std::int64_t lease,
                          Callback<StoreLease> callback) = 0;
  /// Revokes the lease. Nothing reports whether the call succeeded.
  virtual void RevokeLease(std::int64_t lease) = 0;

 protected:
  void NotifyRestored() {
    for (const std::function<void()>& callback : restore_callbacks_) callback();
  }
  void NotifyContact(bool responded, TimePoint sent_at) {
    for (const ContactCallback& callback : contact_callbacks_) {
      callback(responded, sent_at);
    }
  }
  void NotifyLateRead(const std::string& key, const StoreItem& item,
                      TimePoint sent_at) {
    for (const LateReadCallback& callback : late_read_callbacks_) {
      callback(key, item, sent_at);
    }
  }
  void NotifyLateListing(const std::string& prefix, const StoreListing& listing,
                         TimePoint sent_at) {
    for (const LateListingCallback& callback : late_listing_callbacks_) {
      callback(prefix, listing, sent_at);
    }
  }

 private:
  std::vector<ContactCallback> contact_callbacks_;
  std::vector<std::function<void()>> restore_callbacks_;
  std::vector<LateReadCallback> late_read_callbacks_;
  std::vector<LateListingCallback> late_listing_callbacks_;
};

}  // namespace pollenledge
