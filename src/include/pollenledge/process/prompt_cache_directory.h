#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pollenledge/connection/prompt_cache_events.h"
#include "pollenledge/process/prompt_cache_report.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An upstream whose retained prompts are tracked.
struct PromptCacheUpstream {
  UpstreamId id;
  std::int64_t capacity_tokens = 0;  ///< Of its KV cache; 0: unknown.

  friend bool operator==(const PromptCacheUpstream&,
                         const PromptCacheUpstream&) = default;
};

/// Tracks which prompt segments each upstream retains in its KV cache.
///
/// Sources are this node's own requests, the upstream's cache events where this
/// node reads them, and the reports of other nodes. Each entry is a hint: a
/// wrong one costs the reading of a prompt, never correctness. So entries that
/// nothing confirms expire, and an upstream's entries are dropped, least
/// recently used first, beyond the capacity of its cache.
///
/// Holds at most `kMaxSegments` segments, about 7 MB. Lookups take a hash
/// lookup for each segment. Not thread-safe.
class PromptCacheDirectory {
 public:
  /// Over all upstreams, each of which gets an equal part.
  static constexpr std::size_t kMaxSegments = 65'536;
  /// Time for which an entry counts after its last use or confirmation, while a
  /// node reads the upstream's events and while none does.
  static constexpr Duration kFollowedEntryAge = std::chrono::seconds(180);
  static constexpr Duration kUnfollowedEntryAge = std::chrono::seconds(30);
  /// Time for which older entries still count after the upstream has lost
  /// events, among which may be their evictions.
  static constexpr Duration kUncertainEntryAge = std::chrono::seconds(10);
  /// Time after the last successful read of an upstream's events, by any node,
  /// in which the upstream counts as followed.
  static constexpr Duration kFollowedTime = std::chrono::seconds(15);
  /// An eviction that is received so soon after this node has sent the segment
  /// is older than the request and thus ignored.
  static constexpr Duration kMaxReportDelay = std::chrono::seconds(1);

  /// Tracks these upstreams; forgets all others, and the entries of other
  /// incarnations.
  void SetUpstreams(const std::vector<PromptCacheUpstream>& upstreams);

  /// Returns the number of tokens at the start of the prompt that the upstream
  /// is expected to retain. A segment counts only if all before it do.
  std::int64_t CachedTokens(const UpstreamId& id,
                            const std::vector<PromptSegment>& prompt,
                            TimePoint now) const;
  /// Returns the known tokens of all segments at the upstream.
  std::int64_t RetainedTokens(const UpstreamId& id) const;

  /// Records that this node sent a request with `prompt` to the upstream.
  void OnSent(const UpstreamId& id, const std::vector<PromptSegment>& prompt,
              TimePoint now);
  /// Records that the upstream has read the prompt.
  void OnRead(const UpstreamId& id, const std::vector<PromptSegment>& prompt,
              TimePoint now);
  /// Takes back `OnSent` for the segments that only an unread prompt put there.
  void OnNotRun(const UpstreamId& id, const std::vector<PromptSegment>& prompt);
  /// Applies the response to a call for the events from `NextEvent` on. Returns
  /// true if the upstream's cache has restarted.
  bool OnEvents(const UpstreamId& id, const PromptCacheEvents& events,
                TimePoint now);
  /// Applies another node's report. Returns the changes that were news.
  std::vector<PromptCacheChange> Merge(const PromptCacheReport& report,
                                       TimePoint now);

  /// Returns the changes that this node was the first to learn since the last
  /// call, of segments that several requests may share.
  std::vector<PromptCacheChange> TakeChanges();
  /// Returns the event number from which to read the upstream's events.
  std::uint64_t NextEvent(const UpstreamId& id) const;
  /// Returns the hashes of the upstreams that are followed: by this node only,
  /// or by any.
  std::vector<std::uint32_t> FollowedUpstreams(bool by_this_node,
                                               TimePoint now) const;

  std::size_t segment_count() const;
  std::uint64_t missed_events() const { return missed_events_; }

 private:
  /// What is known about one segment at one upstream.
  struct Entry {
    std::uint32_t segment = 0;         ///< Hash of its id.
    std::int64_t tokens = 0;           ///< 0 if only a peer's report named it.
    TimePoint confirmed_at;            ///< Last use or report.
    std::optional<TimePoint> sent_at;  ///< Last request of this node.
    /// When the fleet was last told of it, or told this node.
    std::optional<TimePoint> told_at;
    /// Later than all events about it that were applied.
    std::uint64_t event_number = 0;
    bool is_shared = false;  ///< Other prompts may contain the segment.
    bool is_unread = false;  ///< Known only from a prompt that is not read yet.
  };

  /// One incarnation of an upstream.
  struct Upstream {
    UpstreamId id;
    std::uint32_t hash = 0;
    std::int64_t capacity_tokens = 0;
    std::int64_t tokens = 0;   ///< Sum over `entries`.
    std::list<Entry> entries;  ///< The most recently used first.
    std::unordered_map<std::uint32_t, std::list<Entry>::iterator> by_segment;
    std::optional<std::uint64_t> epoch;
    std::uint64_t next_event = 0;
    std::optional<std::uint64_t> last_event;
    std::optional<TimePoint> followed_at;       ///< By any node.
    std::optional<TimePoint> read_at;           ///< Events, by this node.
    std::optional<TimePoint> uncertain_before;  ///< Events were lost then.
  };

  Upstream* Find(const UpstreamId& id);
  const Upstream* Find(const UpstreamId& id) const;
  Upstream* FindByHash(std::uint32_t hash);
  static bool IsFollowed(const Upstream& upstream, TimePoint now);
  static bool IsReadHere(const Upstream& upstream, TimePoint now);
  static bool IsValid(const Upstream& upstream, const Entry& entry,
                      TimePoint now);
  static Entry* FindEntry(Upstream* upstream, std::uint32_t segment);
  /// Returns the entry of the segment, moved to the front; adds it if there is
  /// none. Returns whether it was added.
  std::pair<Entry*, bool> Touch(Upstream* upstream, std::uint32_t segment,
                                std::int64_t tokens, TimePoint now) const;
  /// Records that other prompts may contain the segment, at any upstream.
  void MarkShared(Entry* entry);
  static void Erase(Upstream* upstream, std::uint32_t segment);
  static void Clear(Upstream* upstream);
  /// Drops the least recently used entries beyond the upstream's capacity and
  /// its part of `kMaxSegments`.
  void Trim(Upstream* upstream) const;
  void ApplyEvent(Upstream* upstream, const PromptCacheEvent& event,
                  TimePoint now);
  /// Reports that the segment was added unless the fleet knows that.
  void TellAdded(const Upstream& upstream, Entry* entry, TimePoint now);
  /// Records a change that is to be reported, unless too many are waiting.
  void AddChange(PromptCacheChange::Kind kind, const Upstream& upstream,
                 std::uint32_t segment);

  std::map<std::string, Upstream> upstreams_;  ///< By name.
  std::unordered_map<std::uint32_t, std::string> names_by_hash_;
  /// Hashes of segments that several prompts may contain.
  std::unordered_set<std::uint32_t> shared_segments_;
  std::unordered_set<std::uint32_t> older_shared_segments_;
  std::vector<PromptCacheChange> changes_;
  std::uint64_t missed_events_ = 0;
};

}  // namespace pollenledge
