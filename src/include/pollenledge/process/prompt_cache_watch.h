#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "pollenledge/connection/prompt_cache_events.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An upstream whose cache events may be read.
struct WatchableUpstream {
  UpstreamId id;
  std::string address;

  friend bool operator==(const WatchableUpstream&,
                         const WatchableUpstream&) = default;
};

/// Returns the upstreams whose events `self` reads. Each upstream is read by
/// `watchers` of the `nodes`, those with the highest rendezvous weight, so that
/// a node that comes or goes changes only its own part. A node reads at most
/// `max_upstreams`, those for which its weight is highest.
std::vector<WatchableUpstream> SelectWatched(
    const std::string& self, const std::vector<std::string>& nodes,
    const std::vector<WatchableUpstream>& upstreams, std::size_t watchers,
    std::size_t max_upstreams);

/// Decides when the cache events of the watched upstreams are called for. At
/// most one call is open for each. Not thread-safe.
class PromptCacheWatch {
 public:
  /// Two, so that the events of no upstream go unread when a node stops.
  static constexpr std::size_t kWatchersPerUpstream = 2;
  /// Maximum number of calls that a node holds open. With 60 nodes and 90
  /// upstreams a node watches three on average.
  static constexpr std::size_t kMaxOpenCalls = 6;
  /// Time that the upstream is asked to wait for events. Calls that wait less
  /// than 200 ms are charged, and upstreams wait at most 1 s.
  static constexpr Duration kCallWait = std::chrono::milliseconds(1000);
  /// Minimum time between the starts of two calls to one upstream. An upstream
  /// with constant events responds at once.
  static constexpr Duration kMinCallInterval = std::chrono::milliseconds(250);
  /// After failed calls: doubles with each one in a row.
  static constexpr Duration kInitialBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);

  /// Sets the upstreams to watch. Calls to others that are open just end.
  void SetWatched(const std::vector<WatchableUpstream>& watched);
  /// Returns the upstreams to call now, and counts the calls as open.
  std::vector<WatchableUpstream> TakeDue(TimePoint now);
  /// Records that a call ended. Returns the time until the next one.
  Duration OnCallEnded(const UpstreamId& id,
                       const PromptCachePollResult& result, TimePoint now);
  /// Returns true if the upstream is watched.
  bool IsWatched(const UpstreamId& id) const;

  std::size_t watched_count() const { return watched_count_; }
  std::size_t open_count() const;

 private:
  struct Watched {
    std::string address;
    bool is_watched = true;  ///< Otherwise kept until its call has ended.
    bool is_open = false;    ///< A call is open.
    TimePoint called_at;
    TimePoint next_call_at;
    int failures = 0;  ///< In a row.
  };

  std::map<UpstreamId, Watched> upstreams_;
  std::size_t watched_count_ = 0;
};

}  // namespace pollenledge
