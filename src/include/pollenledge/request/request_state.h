#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/upstream_table.h"
#include "pollenledge/request/claim.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Where a request stands between arrival and answer.
enum class RequestPhase : std::uint8_t {
  kQueued,
  kClaiming,
  kRunning,
  kEnding,  ///< Neither waiting nor on an upstream; its outcome is known.
};

/// One request in progress. Lives from arrival to answer.
struct RequestState {
  RequestId id;
  RequestSpec spec;
  /// The tables in force when the request came; it keeps to them.
  std::shared_ptr<const Tables> tables;
  const Route* route = nullptr;  ///< Points into `tables`.
  RequestPhase phase = RequestPhase::kQueued;
  TimePoint arrived_at;
  double predicted_cost = 0;  ///< Tokens, prompt and answer.

  std::uint32_t attempt = 0;
  std::optional<UpstreamHandle> upstream;  ///< Of the current attempt.
  LatencyPrediction prediction;
  std::int64_t expected_cached_tokens = 0;
  TimePoint dispatched_at;
  std::optional<TimePoint> first_token_at;  ///< Of the whole request.
  bool attempt_has_token = false;
  TimePoint attempt_first_token_at;
  bool interrupting = false;
  bool runs_as_suspect = false;
  bool caller_left = false;

  std::int64_t delivered_tokens = 0;
  std::vector<UpstreamHandle> exclude;
  std::optional<UpstreamHandle> prefer;
  std::string kv_source;

  std::optional<ClaimNegotiation> claim;
  std::string claim_key;
  bool claim_reply_pending = false;
  std::optional<std::int64_t> claim_revision;  ///< Set once granted.

  bool is_service() const { return route->kind == WorkKind::kService; }
};

}  // namespace pollenledge
