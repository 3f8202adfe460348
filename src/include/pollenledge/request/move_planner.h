#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One stream that runs on a leaving upstream.
struct StreamToMove {
  RequestId id;
  std::int64_t computed_tokens = 0;   ///< In the upstream's KV cache.
  std::int64_t remaining_tokens = 0;  ///< Expected until the response ends.
  Duration between_tokens{0};         ///< Mean time between two tokens.
  Rank rank = Rank::kStandard;

  friend bool operator==(const StreamToMove&, const StreamToMove&) = default;
};

/// Cost parameters for transferring a KV cache or recomputing it.
struct MoveCosts {
  double kv_bytes_per_token = 131'072;
  double bytes_per_s = 1.25e9;  ///< Bandwidth of the leaving upstream.
  Duration transfer_setup{std::chrono::milliseconds(20)};
  /// Time before the upstream stops that the plan leaves unused.
  Duration margin{std::chrono::milliseconds(500)};
  /// Caches with fewer tokens are recomputed, which is as fast as a transfer.
  std::int64_t min_tokens_worth_moving = 64;
};

/// How a stream of a leaving upstream continues.
enum class MoveKind : std::uint8_t {
  kStay,       ///< Ends before the upstream stops.
  kMoveCache,  ///< Resumes elsewhere from the exported KV cache.
  kRecompute,  ///< Resumes elsewhere from prompt and delivered tokens.
};

/// The decision for one stream.
struct StreamMove {
  RequestId id;
  MoveKind kind = MoveKind::kRecompute;

  friend bool operator==(const StreamMove&, const StreamMove&) = default;
};

/// Decides for each stream of a leaving upstream whether it finishes in place,
/// fails over with its KV cache, or is recomputed on another upstream.
///
/// Caches are exported one after another over one network link. The remaining
/// time therefore goes to urgent ranks first, and within a rank to the streams
/// that save the most recomputation per second of transfer. If `remaining` is
/// unknown, nothing can be exported safely and all streams are recomputed.
/// Returns the decisions in the order in which they should start.
std::vector<StreamMove> PlanMoves(std::vector<StreamToMove> streams,
                                  std::optional<Duration> remaining,
                                  const MoveCosts& costs);

}  // namespace pollenledge
