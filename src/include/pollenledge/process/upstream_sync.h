#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/forward_events.h"
#include "pollenledge/process/store_watch.h"

namespace pollenledge {

/// Tracks the entries that upstreams write to the store about themselves.
///
/// If entries expire while the store is failing, the upstreams write them again
/// after it recovers. An upstream whose entry is missing is therefore kept
/// while the store fails. It is also kept for `kReregistrationTimeout` after
/// the first listing that succeeds again, if most entries of its service are
/// missing or the store was restored from an older copy. At any other time it
/// is removed at once. A restored store may also list an upstream as it was
/// earlier; one incarnation that was leaving stays so, and one that was removed
/// stays removed until its entry is written at a later revision than its
/// removal.
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

  explicit UpstreamDirectory(Decode decode) : decode_(std::move(decode)) {}

  /// Applies a complete listing.
  void OnListed(const StoreListing& listing, TimePoint now);
  /// Applies a change that a watch reported.
  void OnChanged(const StoreChange& change);
  /// Records that a call to the store failed.
  void OnStoreError();
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
    bool missing = false;  ///< The entry was removed or not listed.
  };

  /// An upstream that was removed from the list.
  struct RemovedEntry {
    std::uint64_t incarnation = 0;
    std::int64_t last_revision = 0;  ///< Of its entry.
  };
  /// Number of removed upstreams that are remembered.
  static constexpr std::size_t kMaxRemovedEntries = 1024;

  void ApplyEntry(const KvEntry& entry);
  /// Returns true if the entry is the copy of one that was removed before the
  /// store was restored.
  bool IsCopyOfRemoved(const KvEntry& entry,
                       const ForwardUpstreamInfo& info) const;
  void RememberRemoval(const std::string& key, const KnownEntry& known);

  Decode decode_;
  std::map<std::string, KnownEntry> known_entries_;      ///< By key.
  std::map<std::string, RemovedEntry> removed_entries_;  ///< By key.
  bool store_failing_ = false;
  /// The store was restored, and upstreams may not yet have written again what
  /// it lost.
  bool store_restored_ = false;
  /// When the store last recovered from a failure.
  std::optional<TimePoint> store_recovered_at_;
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

  /// Follows the entries below `prefix`. They are listed each `list_period`
  /// unless `read_policy` reports that a peer confirmed the list.
  UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
               std::string prefix, Duration list_period,
               UpstreamDirectory::Decode decode, StoreReadPolicy read_policy,
               Submit submit);

  /// Starts with a listing, which then starts the watch.
  void Start();

 private:
  /// Lists the entries if a listing is due, else checks again later.
  void ListIfDue();
  void ScheduleCheck(Duration delay);
  /// Returns the time between two listings: half of `list_period` if this node
  /// publishes what it reads, else `list_period`.
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
  Duration list_period_;
  UpstreamDirectory directory_;
  StoreReadPolicy read_policy_;
  Submit submit_;
  boost::asio::steady_timer list_timer_;
  boost::asio::steady_timer republish_timer_;
  StoreWatch watch_;
  std::int64_t revision_ = 0;  ///< Newest known revision of the store.
  std::vector<ForwardUpstreamInfo> published_;  ///< The last list submitted.
};

}  // namespace pollenledge
