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

/// Refers to one upstream in an `UpstreamTable`. A handle of an upstream that
/// was removed finds nothing, even when its place is used again.
struct UpstreamHandle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;

  friend auto operator<=>(const UpstreamHandle&,
                          const UpstreamHandle&) = default;
};

/// Whether an upstream may be given work. Moves only forwards for one
/// incarnation.
enum class UpstreamState : std::uint8_t { kLive, kLeaving, kGone };

/// The name of `state` as it stands in logs and the time line.
const char* ToString(UpstreamState state);

/// One upstream with everything that this node knows of it.
struct UpstreamEntry {
  UpstreamInfo info;
  UpstreamLoad load;
  UpstreamState state = UpstreamState::kLive;
  std::uint32_t generation = 0;
  bool present = false;
  TimePoint lost_at;        ///< When a connection to it last broke.
  TimePoint avoid_until;    ///< No work before this, after a failed connection.
  int failures = 0;         ///< Failed connections since the last success.
  int suspects = 0;         ///< Requests on it that may crash it.
  std::size_t ordinal = 0;  ///< Place in the pool, by name.
};

/// Every upstream that the platform's list names, and which of them may be
/// given work.
///
/// A state is kept for each incarnation even before the list names it, so that
/// a notice that comes first is not lost, and a list that lags behind a notice
/// does not bring a leaving upstream back.
///
/// Not thread-safe. Memory grows with the upstreams.
class UpstreamTable {
 public:
  /// Upstreams of one pool that cost the same, cheapest first in the pool.
  struct PriceClass {
    std::int64_t price_micros_per_slot_hour = 0;
    int slots = 0;  ///< Of all members together.
    std::vector<std::uint32_t> members;
  };

  /// Takes a newer list. Upstreams that it does not name any more stay while
  /// requests of this node run on them.
  void SetList(const std::vector<UpstreamInfo>& list, TimePoint now);

  /// Moves `id` forwards to `state`. Returns true if that was news.
  bool Advance(const UpstreamId& id, UpstreamState state, TimePoint now);

  /// A connection to the upstream failed: it gets no work for a time that
  /// doubles with each failure. Not final, since a network partition looks the
  /// same.
  void OnConnectionFailed(UpstreamHandle handle, TimePoint now);
  /// The upstream answered: it may be given work again.
  void OnConnectionWorked(UpstreamHandle handle);

  /// The state of `id`; live if nothing else was heard.
  UpstreamState StateOf(const UpstreamId& id) const;

  UpstreamEntry* Find(UpstreamHandle handle);
  const UpstreamEntry* Find(UpstreamHandle handle) const;
  std::optional<UpstreamHandle> FindById(const UpstreamId& id) const;
  UpstreamEntry& At(std::uint32_t index) { return entries_[index]; }
  const UpstreamEntry& At(std::uint32_t index) const { return entries_[index]; }
  UpstreamHandle HandleOf(std::uint32_t index) const {
    return {index, entries_[index].generation};
  }

  /// The price classes of `pool`, cheapest first; empty if it has none.
  const std::vector<PriceClass>& ClassesOf(const std::string& pool) const;

  /// The cheapest price of a slot-hour in `pool`; 0 if it has no upstream.
  std::int64_t CheapestPrice(const std::string& pool) const;

  /// Upstreams of `domain` whose connections broke at or after `since`.
  int LostInDomain(const std::string& domain, TimePoint since) const;
  /// Upstreams of `domain` on the list.
  int PresentInDomain(const std::string& domain) const;

  std::size_t size() const { return by_id_.size(); }
  /// Calls `visit(handle, entry)` for every upstream on the list.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].present) visit(HandleOf(i), entries_[i]);
    }
  }

 private:
  void Add(const UpstreamInfo& info);
  void RemoveAbsent(const std::vector<UpstreamInfo>& list);
  void RebuildClasses();
  void AssignOrdinals();
  void ForgetOldStates(TimePoint now);

  struct KnownState {
    UpstreamState state = UpstreamState::kLive;
    TimePoint heard_at;
  };

  std::vector<UpstreamEntry> entries_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<UpstreamId, std::uint32_t> by_id_;
  std::unordered_map<UpstreamId, KnownState> states_;
  std::map<std::string, std::vector<PriceClass>> classes_;
};

}  // namespace pollenledge
