#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/upstream_table.h"

namespace pollenledge {

/// Tracks which upstreams probably have the prefix of a prompt cached.
///
/// Learns from the responses that pass through this node, since an upstream
/// that responded has the prompt cached, and from the cache events of the
/// engines, which arrive late and incompletely. The index is only a hint: a
/// wrong entry costs recomputation, never correctness.
///
/// Holds at most `capacity` prefixes; the least recently used are evicted. Not
/// thread-safe.
class PrefixIndex {
 public:
  /// Maximum number of upstreams kept for each prefix.
  static constexpr std::size_t kMaxHoldersPerPrefix = 4;

  explicit PrefixIndex(std::size_t capacity) : capacity_(capacity) {}

  /// Records that `holder` has, or will soon have, the prefix cached.
  void Add(std::uint64_t prefix, UpstreamHandle holder);
  /// Records that `holder` does not have the prefix cached.
  void Remove(std::uint64_t prefix, UpstreamHandle holder);

  /// Finds the upstreams that hold the longest of `prefixes` that is in the
  /// index; `prefixes` go from shortest to longest. Returns the number of
  /// leading prefixes that these upstreams hold, or 0 if there is none.
  std::size_t Find(const std::vector<std::uint64_t>& prefixes,
                   std::array<UpstreamHandle, kMaxHoldersPerPrefix>* holders,
                   std::size_t* holder_count) const;

  std::size_t size() const { return entries_.size(); }

 private:
  /// One prefix and its holders, the newest first.
  struct Entry {
    std::uint64_t prefix = 0;
    std::array<UpstreamHandle, kMaxHoldersPerPrefix> holders{};
    std::size_t count = 0;
  };

  std::size_t capacity_;
  std::list<Entry> entries_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_prefix_;
};

}  // namespace pollenledge
