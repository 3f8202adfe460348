#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One stream that runs on an upstream which leaves.
struct StreamToMove {
  RequestId id;
  std::int64_t computed_tokens = 0;   ///< Held in the upstream's KV cache.
  std::int64_t remaining_tokens = 0;  ///< Expected until the answer ends.
  Duration between_tokens{0};
  Rank rank = Rank::kStandard;

  friend bool operator==(const StreamToMove&, const StreamToMove&) = default;
};

/// What moving and recomputing cost.
struct MoveCosts {
  double kv_bytes_per_token = 131'072;
  double bytes_per_s = 1.25e9;  ///< Of the leaving upstream's network.
  Duration transfer_setup{std::chrono::milliseconds(20)};
  /// Time kept free before the upstream stops.
  Duration margin{std::chrono::milliseconds(500)};
  /// Caches of fewer tokens are recomputed: that is as quick as a transfer.
  std::int64_t min_tokens_worth_moving = 64;
};

/// What becomes of a stream.
enum class MoveKind : std::uint8_t {
  kStay,       ///< It ends before the upstream stops.
  kMoveCache,  ///< Goes on elsewhere from the exported KV cache.
  kRecompute,  ///< Goes on elsewhere from prompt and delivered tokens.
};

struct StreamMove {
  RequestId id;
  MoveKind kind = MoveKind::kRecompute;

  friend bool operator==(const StreamMove&, const StreamMove&) = default;
};

/// Decides for each stream of a leaving upstream whether it stays until its
/// end, moves with its cache, or is recomputed elsewhere.
///
/// Caches are exported one after another through one network link, so the
/// time left is given first to the streams whose recomputation would cost most
/// for each second of transfer, urgent ranks before others. Without a known
/// `remaining` nothing can be exported safely and all are recomputed. Returns
/// the moves in the order in which they should begin.
std::vector<StreamMove> PlanMoves(std::vector<StreamToMove> streams,
                                  std::optional<Duration> remaining,
                                  const MoveCosts& costs);

}  // namespace pollenledge
