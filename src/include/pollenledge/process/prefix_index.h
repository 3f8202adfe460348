#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/upstream_table.h"

namespace pollenledge {

/// Remembers which upstreams are likely to hold the cached prefix of a prompt.
///
/// Learns from the answers that come through this node, since an upstream that
/// answered has the prompt cached, and from engines' cache events, late and
/// with gaps. It is a hint only: a wrong entry costs recomputation, never
/// correctness.
///
/// Least-recently-used bound of `capacity` prefixes. Not thread-safe.
class PrefixIndex {
 public:
  /// Upstreams remembered for each prefix.
  static constexpr std::size_t kHoldersPerPrefix = 4;

  explicit PrefixIndex(std::size_t capacity) : capacity_(capacity) {}

  /// `holder` has, or soon will have, the prefix cached.
  void Add(std::uint64_t prefix, UpstreamHandle holder);
  /// `holder` turned out not to have it.
  void Remove(std::uint64_t prefix, UpstreamHandle holder);

  /// The holders of the longest of `prefixes` that any upstream holds; they
  /// are given from shortest to longest. Returns how many of the prefixes, by
  /// position, the holders have: 0 for none.
  std::size_t Find(const std::vector<std::uint64_t>& prefixes,
                   std::array<UpstreamHandle, kHoldersPerPrefix>* holders,
                   std::size_t* holder_count) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t prefix = 0;
    std::array<UpstreamHandle, kHoldersPerPrefix> holders{};
    std::size_t count = 0;
  };

  std::size_t capacity_;
  std::list<Entry> entries_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_prefix_;
};

}  // namespace pollenledge
