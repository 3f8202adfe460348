#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/connection/upstream.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Refers to one upstream in an `UpstreamTable`. The handle of a removed
/// upstream is invalid even after its index is used again.
struct UpstreamHandle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;

  friend auto operator<=>(const UpstreamHandle&,
                          const UpstreamHandle&) = default;
};

/// Tells whether an upstream may be sent requests; only a live one may. For one
/// incarnation the state only advances.
enum class UpstreamState : std::uint8_t { kLive, kLeaving, kGone };

/// Returns the name of `state` as used in logs and the time line.
const char* ToString(UpstreamState state);

/// The state that this node keeps of one upstream.
struct UpstreamEntry {
  UpstreamInfo info;
  UpstreamLoad load;
  UpstreamState state = UpstreamState::kLive;
  std::uint32_t generation = 0;  ///< Incremented when the index is reused.
  bool present = false;          ///< False for an unused index.
  TimePoint connection_lost_at;  ///< When a connection to it was last lost.
  /// When the first of `consecutive_failures` occurred.
  TimePoint failing_since;
  /// Not chosen before this time, after a failed connection.
  TimePoint backoff_until;
  int consecutive_failures = 0;  ///< Failed connections since the last success.
  int suspect_requests = 0;      ///< Running requests that may crash it.
  std::size_t ordinal = 0;       ///< Position in the pool, sorted by name.
};

/// Holds the upstreams of the platform's list and tells which of them may be
/// sent requests.
///
/// The state of an incarnation is kept even before the list names it. A notice
/// that an upstream is leaving or gone is thus not lost if it arrives first,
/// and an outdated list does not make a leaving upstream available again.
///
/// Not thread-safe. Memory grows with the number of upstreams.
class UpstreamTable {
 public:
  /// Upstreams of one pool that have the same price per slot. A pool's classes
  /// are sorted by price, cheapest first.
  struct PriceClass {
    /// In millionths of the currency.
    std::int64_t price_micros_per_slot_hour = 0;
    int slots = 0;  ///< Total over all members.
    std::vector<std::uint32_t> members;
  };

  /// Applies a newer list. Upstreams that are no longer listed stay while
  /// requests of this node run on them.
  void SetList(const std::vector<UpstreamInfo>& list, TimePoint now);

  /// Advances `id` to `state`. Returns true if its state changed.
  bool AdvanceState(const UpstreamId& id, UpstreamState state, TimePoint now);

  /// Records that a connection to the upstream failed. It is not chosen for a
  /// backoff period that doubles with each failure. The upstream is not
  /// removed, since a network partition looks the same as a crash.
  void OnConnectionFailed(UpstreamHandle handle, TimePoint now);
  /// Records that the upstream responded, which ends its backoff period.
  void OnConnectionSucceeded(UpstreamHandle handle);

  /// Returns the state of `id`, or `kLive` if no notice of it was received.
  UpstreamState StateOf(const UpstreamId& id) const;

  /// Returns null if the upstream was removed.
  UpstreamEntry* Find(UpstreamHandle handle);
  const UpstreamEntry* Find(UpstreamHandle handle) const;
  std::optional<UpstreamHandle> FindById(const UpstreamId& id) const;
  UpstreamEntry& At(std::uint32_t index) { return entries_[index]; }
  const UpstreamEntry& At(std::uint32_t index) const { return entries_[index]; }
  UpstreamHandle HandleOf(std::uint32_t index) const {
    return {index, entries_[index].generation};
  }

  /// Returns the price classes of `pool`, cheapest first; empty if it has none.
  const std::vector<PriceClass>& PriceClassesOf(const std::string& pool) const;

  /// Returns the lowest price of a slot-hour in `pool`, in millionths of the
  /// currency; 0 if the pool has no upstream.
  std::int64_t CheapestPrice(const std::string& pool) const;

  /// Returns the number of upstreams of `domain` whose connections were lost at
  /// or after `since`.
  int CountDisconnectedInDomain(const std::string& domain,
                                TimePoint since) const;
  /// Returns the number of upstreams of `domain` in the table.
  int CountInDomain(const std::string& domain) const;

  std::size_t size() const { return by_id_.size(); }
  /// Calls `visit(handle, entry)` for every upstream in the table.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].present) visit(HandleOf(i), entries_[i]);
    }
  }

 private:
  void Add(const UpstreamInfo& info);
  void RemoveUnlisted(const std::vector<UpstreamInfo>& list);
  void RebuildPriceClasses();
  void AssignOrdinals();
  /// Discards states of unlisted upstreams that were received long ago.
  void ExpireStates(TimePoint now);

  struct KnownState {
    UpstreamState state = UpstreamState::kLive;
    TimePoint received_at;
  };

  std::vector<UpstreamEntry> entries_;
  std::vector<std::uint32_t> free_indices_;  ///< Indices of removed upstreams.
  std::unordered_map<UpstreamId, std::uint32_t> by_id_;
  std::unordered_map<UpstreamId, KnownState> states_;
  /// By pool.
  std::map<std::string, std::vector<PriceClass>> price_classes_;
};

}  // namespace pollenledge
