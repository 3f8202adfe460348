#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/process/prefix_index.h"
#include "pollenledge/process/upstream_table.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// The properties of a request that routing depends on.
struct RoutingRequest {
  std::string pool;
  std::int64_t prompt_tokens = 0;
  const std::vector<std::uint64_t>* prefix_hashes = nullptr;
  RankPolicy policy;
  Duration time_in_queue{0};  ///< Time spent in the queue so far.
  /// Wait for the cheapest price class instead of paying more.
  bool cheapest_only = false;
  bool isolate = false;  ///< The request may crash its upstream.
  /// With `isolate`: may also use upstreams that are assigned to other entries.
  bool isolate_on_any_upstream = false;
  /// Chosen first if it is available. Set for a request that another entry
  /// handed over, to the upstream that has its prompt cached.
  std::optional<UpstreamHandle> preferred_upstream;
  /// Never chosen; upstreams where an earlier attempt was rejected or lost.
  std::vector<UpstreamHandle> excluded_upstreams;
};

/// The chosen upstream and its predicted latency.
struct RoutingChoice {
  UpstreamHandle upstream;
  LatencyPrediction prediction;
  std::int64_t cached_tokens = 0;  ///< Prompt tokens expected to be cached.
  bool meets_target = true;        ///< The rank's latency target.

  friend bool operator==(const RoutingChoice&, const RoutingChoice&) = default;
};

/// One-way network delays between failure domains.
class DomainDistances {
 public:
  DomainDistances(std::string self, Duration fallback)
      : self_(std::move(self)), default_distance_(fallback) {}
  void Set(const std::string& domain, Duration distance) {
    distances_[domain] = distance;
  }
  /// Returns the configured delay to `domain`, zero within `self`, else the
  /// default.
  Duration To(const std::string& domain) const;

 private:
  std::string self_;
  Duration default_distance_;
  std::map<std::string, Duration> distances_;
};

/// Chooses the cheapest upstream that is predicted to meet the rank's latency
/// target, or the fastest if none is.
///
/// Visits the price classes of the pool from the cheapest on. In each class it
/// evaluates the upstreams that hold the prompt's prefix and `kSampleCount`
/// upstreams drawn at random, and returns the best one of the first class that
/// meets the target. The cost of a choice does not grow with the fleet, and
/// random sampling keeps entries that see the same load report from all
/// choosing the same upstream (Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing").
///
/// A request that may crash its upstream goes only to an upstream that runs no
/// other such request. For this purpose the upstreams of a pool are assigned to
/// the entries by ordinal. Otherwise two entries could run two such requests on
/// one upstream, and neither could tell which of them crashed it.
///
/// Not thread-safe.
class Router {
 public:
  static constexpr std::size_t kSampleCount = 8;
  /// Number of prompt tokens covered by one prefix hash.
  static constexpr std::int64_t kPrefixBlockTokens = 64;

  Router(DomainDistances distances, std::uint64_t seed)
      : distances_(std::move(distances)), random_(seed) {}

  /// Returns nothing if no eligible upstream has a free slot.
  std::optional<RoutingChoice> Choose(const RoutingRequest& request,
                                      const UpstreamTable& upstreams,
                                      const PrefixIndex& prefixes,
                                      const EntryGroup& entries, TimePoint now);

 private:
  struct Candidate {
    RoutingChoice choice;
    Duration score{0};  ///< Lower is better.
  };

  /// Predicts the latency at one upstream. Returns nothing if it must not be
  /// used or has no free slot.
  std::optional<Candidate> Evaluate(const RoutingRequest& request,
                                    const UpstreamTable& upstreams,
                                    std::uint32_t index,
                                    std::int64_t cached_tokens,
                                    const EntryGroup& entries,
                                    TimePoint now) const;

  DomainDistances distances_;
  std::mt19937_64 random_;
};

}  // namespace pollenledge
