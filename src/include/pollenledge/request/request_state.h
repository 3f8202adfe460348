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

/// Phase of a request between arrival and response.
enum class RequestPhase : std::uint8_t {
  kQueued,      ///< Waits for a free slot on an upstream.
  kClaiming,    ///< Negotiates the claim of its idempotency key.
  kRunning,     ///< An attempt is in progress on an upstream.
  kFinalizing,  ///< The outcome is known; not queued and not on an upstream.
};

/// State of one request in progress, from its arrival to its response.
struct RequestState {
  RequestId id;
  RequestSpec spec;
  /// The tables that were active when the request arrived at this entry. The
  /// request uses them until it ends.
  std::shared_ptr<const Tables> tables;
  const Route* route = nullptr;  ///< Points into `tables`.
  RequestPhase phase = RequestPhase::kQueued;
  TimePoint arrived_at;
  double predicted_cost = 0;  ///< In tokens of prompt and response.

  std::uint32_t attempt = 0;               ///< Number of the current attempt.
  std::optional<UpstreamHandle> upstream;  ///< Of the current attempt.
  LatencyPrediction latency_prediction;
  std::int64_t expected_cached_tokens = 0;
  TimePoint dispatched_at;
  std::optional<TimePoint> first_token_at;  ///< Of the whole request.
  bool attempt_has_token = false;
  TimePoint attempt_first_token_at;
  bool interrupt_requested = false;  ///< The attempt is being cancelled.
  /// The current attempt is counted as a crash suspect at its upstream.
  bool dispatched_as_suspect = false;
  bool caller_disconnected = false;
  /// An earlier attempt may have run, so the request can't end as not run.
  bool may_have_run = false;

  std::int64_t delivered_tokens = 0;  ///< Over all attempts.
  std::vector<UpstreamHandle> excluded_upstreams;
  std::optional<UpstreamHandle> preferred_upstream;
  /// Address to fetch the KV cache from; empty if it is recomputed.
  std::string kv_source;

  std::optional<ClaimNegotiation> claim_negotiation;
  std::string claim_key;
  bool claim_reply_pending = false;
  /// Revision of the claim record; set while this request owns the claim.
  std::optional<std::int64_t> claim_revision;

  bool is_service() const { return route->kind == WorkKind::kService; }
};

}  // namespace pollenledge
