#pragma once

#include <cstdint>
#include <variant>
#include <vector>

namespace pollenledge {

/// An upstream added a prompt segment to its KV cache or evicted it.
struct PromptCacheEvent {
  std::uint64_t number = 0;  ///< Grows with each event of one epoch.
  bool added = false;        ///< Otherwise evicted.
  std::uint64_t segment = 0;
  std::int64_t tokens = 0;

  friend bool operator==(const PromptCacheEvent&,
                         const PromptCacheEvent&) = default;
};

/// An upstream's response to a call for its cache events.
struct PromptCacheEvents {
  std::uint64_t epoch = 0;  ///< Differs after a restart of the cache.
  std::uint64_t next = 0;   ///< Number to ask for in the next call.
  /// Events since the requested number that the upstream no longer has.
  std::uint64_t lost = 0;
  std::vector<PromptCacheEvent> events;

  friend bool operator==(const PromptCacheEvents&,
                         const PromptCacheEvents&) = default;
};

/// Why a call for cache events returned none.
enum class PromptCachePollFailure : std::uint8_t {
  kRefused,  ///< The upstream holds enough such calls open.
  kFailed,   ///< No response in time, or a malformed one.
};

using PromptCachePollResult =
    std::variant<PromptCacheEvents, PromptCachePollFailure>;

}  // namespace pollenledge
