#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One stream that runs on a leaving upstream.
struct FailoverStream {
  RequestId id;
  std::int64_t computed_tokens = 0;   ///< In the upstream's KV cache.
  std::int64_t remaining_tokens = 0;  ///< Expected until the response ends.
  Duration inter_token_time{0};       ///< Mean time between two tokens.
  Rank rank = Rank::kStandard;

  friend bool operator==(const FailoverStream&,
                         const FailoverStream&) = default;
};

/// Cost parameters for transferring a KV cache or recomputing it.
struct FailoverCosts {
  double kv_bytes_per_token = 131'072;
  double network_bytes_per_s = 1.25e9;  ///< Bandwidth of the leaving upstream.
  Duration transfer_setup_time{std::chrono::milliseconds(20)};
  /// Time before the upstream stops that the plan leaves unused.
  Duration safety_margin{std::chrono::milliseconds(500)};
  /// Caches with fewer tokens are recomputed, which is as fast as a transfer.
  std::int64_t min_tokens_to_transfer = 64;
};

/// How a stream of a leaving upstream continues.
enum class FailoverKind : std::uint8_t {
  kFinishInPlace,  ///< Ends before the upstream stops.
  kTransferCache,  ///< Resumes elsewhere from the exported KV cache.
  kRecompute,      ///< Resumes elsewhere from prompt and delivered tokens.
};

/// The decision for one stream.
struct StreamFailover {
  RequestId id;
  FailoverKind kind = FailoverKind::kRecompute;

  friend bool operator==(const StreamFailover&,
                         const StreamFailover&) = default;
};

/// Decides for each stream of a leaving upstream whether it finishes in place,
/// fails over with its KV cache, or is recomputed on another upstream.
///
/// Caches are exported one after another over one network link. The remaining
/// time therefore goes to urgent ranks first, and within a rank to the streams
/// that save the most recomputation per second of transfer. If `remaining` is
/// unknown, nothing can be exported safely and all streams are recomputed.
/// Returns the decisions in the order in which they should start.
std::vector<StreamFailover> PlanFailovers(std::vector<FailoverStream> streams,
                                          std::optional<Duration> remaining,
                                          const FailoverCosts& costs);

}  // namespace pollenledge
