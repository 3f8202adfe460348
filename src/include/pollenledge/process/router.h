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

/// What the router needs to know of a request.
struct RoutingRequest {
  std::string pool;
  std::int64_t prompt_tokens = 0;
  const std::vector<std::uint64_t>* prefix_hashes = nullptr;
  RankPolicy policy;
  Duration waited{0};          ///< Time spent in the queue so far.
  bool cheapest_only = false;  ///< Wait rather than pay more than the least.
  bool isolate = false;        ///< The request may crash its upstream.
  /// With `isolate`: also on upstreams that are dealt out to other entries.
  bool isolate_anywhere = false;
  /// Chosen before all others if it may be given work; for streams that resume
  /// where their cache is.
  std::optional<UpstreamHandle> prefer;
  /// Never chosen: where an earlier attempt was refused or lost.
  std::vector<UpstreamHandle> exclude;
};

/// Where a request goes and what is expected there.
struct RoutingChoice {
  UpstreamHandle upstream;
  LatencyPrediction prediction;
  std::int64_t cached_tokens = 0;  ///< Prompt tokens expected to be cached.
  bool meets_target = true;

  friend bool operator==(const RoutingChoice&, const RoutingChoice&) = default;
};

/// Distances between failure domains, one way.
class DomainDistances {
 public:
  DomainDistances(std::string self, Duration fallback)
      : self_(std::move(self)), fallback_(fallback) {}
  void Set(const std::string& domain, Duration distance) {
    distances_[domain] = distance;
  }
  Duration To(const std::string& domain) const;

 private:
  std::string self_;
  Duration fallback_;
  std::map<std::string, Duration> distances_;
};

/// Chooses the cheapest upstream that is predicted to meet the rank's target,
/// and the fastest if none is.
///
/// Goes through the pool's price classes from the cheapest, looks at the
/// holders of the prompt's prefix and at `kSamples` upstreams drawn at random
/// from the class, and takes the best of the first class that has one meeting
/// the target. The time of a choice does not grow with the fleet, and drawing
/// at random keeps several entries apart that see the same report
/// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
///
/// A request that may crash its upstream goes only to an upstream that runs no
/// other such request. The upstreams of a pool are dealt out by ordinal among
/// the entries for this, so that two entries do not try two of them on one
/// upstream and cannot tell which it was.
///
/// Not thread-safe.
class Router {
 public:
  static constexpr std::size_t kSamples = 8;
  /// Prompt tokens that one prefix hash stands for.
  static constexpr std::int64_t kPrefixBlockTokens = 64;

  Router(DomainDistances distances, std::uint64_t seed)
      : distances_(std::move(distances)), random_(seed) {}

  /// Returns nothing if no upstream that may be used has a free slot.
  std::optional<RoutingChoice> Choose(const RoutingRequest& request,
                                      const UpstreamTable& upstreams,
                                      const PrefixIndex& prefixes,
                                      const EntryGroup& entries, TimePoint now);

 private:
  struct Candidate {
    RoutingChoice choice;
    Duration score{0};
  };

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
