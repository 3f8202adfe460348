#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/connection/store_contact.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/store_watch.h"
#include "pollenledge/process/upstream_list_times.h"

namespace pollenledge {

/// Tracks the entries that upstreams write to the store about themselves.
///
/// Entries can expire while their upstreams live only if the store was away for
/// longer than it takes an entry to expire. The upstreams write them again
/// after it recovers. So an upstream whose entry is missing is kept while the
/// store may have been away that long, and for `kReregistrationTimeout` after
/// it recovered if most entries of its service are missing. After the store was
/// restored from an older copy each missing one is kept for that time. At any
/// other time it is removed at once, also while calls to the store fail.
///
/// An upstream that was removed stays removed until its entry is written again:
/// later errors do not bring it back. A restored store may also list an
/// upstream as it was earlier; one incarnation that was leaving stays so, and
/// one that was removed stays removed until its entry is written at a later
/// revision than its removal.
///
/// Deterministic: a function of the listings and changes that it is given. Not
/// thread-safe.
class UpstreamDirectory {
 public:
  /// Time after the store recovers within which upstreams write entries again
  /// that expired while it was failing.
  static constexpr Duration kReregistrationTimeout =
      std::chrono::milliseconds(2200);

  /// Decodes one entry; an error marks it as malformed.
  using Decode = std::function<Result<ForwardUpstreamInfo>(const KvEntry&)>;

  /// An entry expires no sooner than `min_expiry` after the store went away.
  UpstreamDirectory(Decode decode, Duration min_expiry)
      : decode_(std::move(decode)), contact_(min_expiry) {}

  /// Records that the store answered a call that was sent at `sent_at`.
  void OnStoreResponded(TimePoint sent_at, TimePoint now);
  /// Records that a call to the store failed.
  void OnStoreError();
  /// Applies a complete listing. `OnStoreResponded` must have been called.
  void OnListed(const StoreListing& listing, TimePoint now);
  /// Applies a change that a watch reported.
  void OnChanged(const StoreChange& change, TimePoint now);
  /// Records that the store was restored from an older copy. Upstreams write
  /// again what it lost, as after a failure.
  void OnRestored();

  /// Returns the current upstreams. Call it after each event and at `NextDue`.
  std::vector<ForwardUpstreamInfo> Upstreams(TimePoint now);
  /// Returns when `Upstreams` may change without an event, if it may.
  std::optional<TimePoint> NextDue(TimePoint now) const;

 private:
  struct KnownEntry {
    std::int64_t revision = 0;
    /// Not set if the entry is malformed.
    std::optional<ForwardUpstreamInfo> info;
    /// The entry was removed or not listed, but may be written again.
    bool missing = false;
  };
  using KnownEntries = std::map<std::string, KnownEntry>;  ///< By key.

  /// An upstream that was removed from the list.
  struct RemovedEntry {
    std::uint64_t incarnation = 0;
    std::int64_t last_revision = 0;  ///< Of its entry.
  };
  /// Number of removed upstreams that are remembered.
  static constexpr std::size_t kMaxRemovedEntries = 1024;

  /// Returns true if entries may have expired although their upstreams live,
  /// and may not have been written again yet.
  bool MayHaveExpired(TimePoint now) const;
  /// Returns the end of the time in which upstreams write again what the store
  /// lost when it was last away; empty if it never was.
  std::optional<TimePoint> ReregistrationEnd() const;
  /// Marks the entry as missing and records that its service lost it.
  void MarkMissing(const std::string& key, KnownEntry* known);
  /// Removes those missing entries that will not be written again.
  void RemoveGone(TimePoint now);
  /// Returns the services of which the store lost more entries than it kept: it
  /// was away, and these upstreams did not leave.
  std::set<std::string> ServicesThatLostMost() const;
  void ApplyEntry(const KvEntry& entry);
  /// Returns true if the entry is the copy of one that was removed before the
  /// store was restored.
  bool IsCopyOfRemoved(const KvEntry& entry,
                       const ForwardUpstreamInfo& info) const;
  void RememberRemoval(const std::string& key, const KnownEntry& known);

  Decode decode_;
  StoreContact contact_;
  KnownEntries known_entries_;
  std::map<std::string, RemovedEntry> removed_entries_;  ///< By key.
  /// Keys of the entries that went missing since the store may have been away,
  /// also of those that were written again, by service.
  std::map<std::string, std::set<std::string>> lost_entries_;
  /// The store was restored and not listed since.
  bool restored_unlisted_ = false;
  /// When the store was first listed after it was restored. Upstreams may not
  /// yet have written again what it lost.
  std::optional<TimePoint> restored_listed_at_;
};

/// Keeps a node's list of upstreams up to date with the store, by a watch and
/// by a linearizable listing each period.
///
/// Uses the event loop of its constructor. Not thread-safe; `store` must
/// outlive it.
class UpstreamSync {
 public:
  /// Receives each new list of upstreams.
  using Submit = std::function<void(ForwardEvent)>;

  /// Follows the entries below `prefix`. They are listed each
  /// `times.list_period` unless `read_policy` reports that a peer confirmed the
  /// list.
  UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
               std::string prefix, UpstreamListTimes times,
               UpstreamDirectory::Decode decode, StoreReadPolicy read_policy,
               Submit submit);

  /// Starts with a listing, which then starts the watch.
  void Start();
  /// Lists now, or once `times_.retry_delay` has passed since the last listing
  /// began. Does nothing while a listing is in progress.
  void ListSoon();

 private:
  /// Lists the entries if a listing is due, else checks again later.
  void ListIfDue();
  void ScheduleCheck(Duration delay);
  /// Returns the time between two listings: half of the period if this node
  /// publishes what it reads, else the whole one.
  Duration ListPeriod() const;
  void List();
  void OnListed(TimePoint started, const Result<StoreListing>& listing);
  void OnChanges(const StoreChanges& changes);
  void OnRestored();
  void OnWatchError(const Error& error);
  /// Submits the upstreams if they changed or if a listing just completed.
  /// `read_at` is when that listing started; not set for changes from the
  /// watch.
  void Publish(std::optional<TimePoint> read_at);

  AsyncStore* store_;
  std::string prefix_;
  UpstreamListTimes times_;
  UpstreamDirectory directory_;
  StoreReadPolicy read_policy_;
  Submit submit_;
  boost::asio::steady_timer list_timer_;
  boost::asio::steady_timer republish_timer_;
  StoreWatch watch_;
  TimePoint list_started_at_;
  bool listing_ = false;       ///< A listing is in progress.
  std::int64_t revision_ = 0;  ///< Newest known revision of the store.
  std::vector<ForwardUpstreamInfo> published_;  ///< The last list submitted.
};

}  // namespace pollenledge
