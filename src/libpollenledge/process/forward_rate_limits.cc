#include "pollenledge/process/forward_node.h"

// Rate limits that upstreams state, in `ForwardNode`.

namespace pollenledge {

void ForwardNode::On(const forward_event::ResponseHeadReceived& received) {
  Request* request = FindRequest(received.id);
  if (request == nullptr || request->current_upstream.empty()) return;
  if (received.signals.limit_is_unreadable) return;
  const UpstreamId upstream{request->current_upstream,
                            request->current_incarnation};
  const RateLimitChange change = rate_limits_.OnResponse(
      upstream, received.signals.max_requests_per_s, request->sent_at, now());
  LogRateLimit(upstream, change, request->spec.trace_id);
}

void ForwardNode::LogRateLimit(const UpstreamId& upstream,
                               RateLimitChange change,
                               const std::string& source) {
  if (change == RateLimitChange::kNone) return;
  const std::optional<double> limit = rate_limits_.LimitOf(upstream);
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "upstream_limit",
      {{"upstream", upstream.name},
       {"incarnation", std::to_string(upstream.incarnation)},
       {"change", ToString(change)},
       {"requests_per_s", limit.has_value() ? std::to_string(*limit) : "none"},
       {"source", source}}});
}

}  // namespace pollenledge
