#pragma once

#include <cstdint>
#include <vector>

#include "pollenledge/request/request.h"

namespace pollenledge {

/// Names one segment at one incarnation of an upstream: the upstream's hash in
/// the upper half, the segment's hash in the lower half. A collision makes a
/// segment look retained where it is not, which costs reading it; with some
/// thousand segments at an upstream a lookup has a chance of 1e-6.
using RetainedSegmentKey = std::uint64_t;

std::uint32_t HashPromptSegment(std::uint64_t id);
std::uint32_t HashUpstream(const UpstreamId& id);
RetainedSegmentKey MakeSegmentKey(std::uint32_t upstream,
                                  std::uint32_t segment);

/// What became of a segment, or of all segments, at an upstream.
struct PromptCacheChange {
  enum class Kind : std::uint8_t { kAdded, kEvicted, kReset };

  Kind kind = Kind::kAdded;
  /// The lower half is unused if `kind` is `kReset`.
  RetainedSegmentKey key = 0;

  friend bool operator==(const PromptCacheChange&,
                         const PromptCacheChange&) = default;
};

/// Changes that a node reports to another one. Resets precede the others.
struct PromptCacheReport {
  std::vector<RetainedSegmentKey> added;
  std::vector<RetainedSegmentKey> evicted;
  /// Hashes of the upstreams whose cache events are being read.
  std::vector<std::uint32_t> followed;
  /// Hashes of the upstreams whose segments are unknown since.
  std::vector<std::uint32_t> reset;

  bool empty() const {
    return added.empty() && evicted.empty() && followed.empty() &&
           reset.empty();
  }

  friend bool operator==(const PromptCacheReport&,
                         const PromptCacheReport&) = default;
};

}  // namespace pollenledge
