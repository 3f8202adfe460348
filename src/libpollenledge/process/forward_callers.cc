#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_service.h"

// The handlers of callers' connections and the memory that they hold, in
// `ForwardService`.

namespace pollenledge {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
/// Stalled bodies can be evicted after a second, so there is room again then.
constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);
/// A flood of refusals must not become a flood of log lines.
constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);

}  // namespace

CallerHandlers ForwardService::RequestHandlers(bool is_relayed) {
  CallerHandlers handlers;
  handlers.on_request = [this, is_relayed](
                            const std::shared_ptr<CallerConnection>& caller,
                            const HttpHead& head, std::string body) {
    OnRequest(caller, head, std::move(body), is_relayed);
  };
  handlers.on_disconnect = [this](const auto& caller) {
    OnCallerDisconnected(caller);
  };
  handlers.limits = [this] {
    return node_.tables_index() == nullptr
               ? CallerLimits()
               : node_.tables_index()->tables().limits;
  };
  handlers.limits_delay = options_.node_options.tables_bound;
  handlers.on_head = [this](const HttpHead& head) { return TermsOfBody(head); };
  handlers.on_drained = [this](const auto& caller) { OnCallerDrained(caller); };
  handlers.on_refused = [this, is_relayed](const HttpHead& request,
                                           int status) {
    return OnRefusedEarly(request, status, is_relayed);
  };
  handlers.on_closed = [this, is_relayed](const CallerConnection& caller,
                                          const CallerClose& close) {
    OnCallerClosed(caller, close, is_relayed);
  };
  handlers.budget = byte_budget_;
  handlers.group = is_relayed ? ClientGroup::kPeers : ClientGroup::kCallers;
  return handlers;
}

CallerHandlers ForwardService::AdminHandlers() {
  CallerHandlers handlers;
  handlers.on_request = [this](const auto& caller, const HttpHead& head,
                               const std::string&) {
    OnAdminRequest(caller, head);
  };
  handlers.on_disconnect = [](const auto&) {};
  handlers.limits = [] { return CallerLimits(); };
  handlers.budget = byte_budget_;
  handlers.group = ClientGroup::kOperators;
  return handlers;
}

CallerHandlers ForwardService::ReadinessHandlers() {
  CallerHandlers handlers = AdminHandlers();
  handlers.on_request = [this](const auto& caller, const HttpHead&,
                               const std::string&) {
    HttpHead head;
    head.status =
        node_.IsReady(BootClockNow()) ? kStatusOk : kStatusUnavailable;
    caller->SendResponse(head, "");
  };
  return handlers;
}

BodyTerms ForwardService::TermsOfBody(const HttpHead& head) const {
  const Result<ForwardSpec> decoded = codec_.decode_request(head);
  const ForwardingIndex* index = node_.tables_index().get();
  if (!Ok(decoded) || index == nullptr) return {};
  const ForwardSpec& spec = Value(decoded);
  BodyTerms terms;
  terms.time_left = spec.time_left;
  const ForwardingRoute* route = index->FindRoute(spec.host, spec.path);
  if (route != nullptr && route->timeout > Duration::zero()) {
    terms.time_left =
        std::min(route->timeout, terms.time_left.value_or(route->timeout));
  }
  const ForwardingCustomer* customer = index->FindCustomer(spec.api_key);
  // All requests without a known key share the limit of one customer.
  terms.customer = customer != nullptr ? customer->name : "?";
  return terms;
}

std::vector<HttpField> ForwardService::OnRefusedEarly(const HttpHead& request,
                                                      int status,
                                                      bool is_relayed) {
  const std::string label = "status=\"" + std::to_string(status) + "\"";
  metrics_.IncrementCounter("early_refusals_total", label);
  const TimePoint now = BootClockNow();
  if (status == kStatusUnavailable &&
      now - refusal_logged_at_ >= kRefusalLogInterval) {
    refusal_logged_at_ = now;
    Log(LogLevel::kWarn, "caller_memory_exhausted",
        {{"held_bytes", std::to_string(byte_budget_->held_bytes())},
         {"large_request_bytes",
          std::to_string(byte_budget_->large_request_bytes())},
         {"callers",
          std::to_string(byte_budget_->connections(ClientGroup::kCallers))}});
  }
  if (refusal_log_limit_.TryWrite(now)) {
    const Result<ForwardSpec> decoded = codec_.decode_request(request);
    // A request without a whole head has no id that could be read.
    Log(LogLevel::kInfo, "refused_early",
        {{"request", Ok(decoded) ? Value(decoded).trace_id : ""},
         {"by", is_relayed ? "peer" : "caller"},
         {"status", std::to_string(status)},
         {"left_out", std::to_string(refusal_log_limit_.TakeLeftOut())}});
  }
  return codec_.encode_local_response(request, status == kStatusUnavailable
                                                   ? kRefusalRetryAfter
                                                   : Duration::zero());
}

void ForwardService::OnCallerDrained(
    const std::shared_ptr<CallerConnection>& caller) {
  const Exchange* exchange = FindExchange(caller->request_id);
  if (exchange != nullptr && exchange->upstream_connection != nullptr)
    exchange->upstream_connection->ResumeReading();
}

void ForwardService::OnCallerClosed(const CallerConnection& caller,
                                    const CallerClose& close, bool is_relayed) {
  metrics_.IncrementCounter("caller_connections_closed_total",
                            std::string("cause=\"") + ToString(close.cause) +
                                "\",by=\"" + (is_relayed ? "peer" : "caller") +
                                "\"");
  if (!close.LosesRequest()) return;
  const Exchange* exchange = FindExchange(caller.request_id);
  const TimePoint now = BootClockNow();
  const ForwardingIndex* index = node_.tables_index().get();
  Log(LogLevel::kWarn, "caller_connection_cut",
      {{"request", exchange == nullptr ? "" : exchange->spec.trace_id},
       {"by", is_relayed ? "peer" : "caller"},
       {"cause", ToString(close.cause)},
       {"response_pending", close.response_pending ? "yes" : "no"},
       {"unread_bytes", std::to_string(close.unread_bytes)},
       {"buffered_bytes", std::to_string(close.buffered_bytes)},
       {"since_read_ms", FormatMilliseconds(close.since_read)},
       {"overdue_ms", FormatMilliseconds(close.overdue)},
       {"idle_timeout_ms", FormatMilliseconds(close.idle_timeout)},
       {"limit_in_force_ms",
        index == nullptr
            ? "none"
            : FormatMilliseconds(index->tables().limits.idle_timeout)},
       {"tables_version",
        index == nullptr ? "none" : std::to_string(index->tables().version)},
       {"in_force_ms", FormatMilliseconds(now - node_.tables_activated_at())}});
}

void ForwardService::SetMemoryGauges() {
  metrics_.SetGauge("caller_held_bytes",
                    static_cast<double>(byte_budget_->held_bytes()));
  metrics_.SetGauge("caller_large_request_bytes",
                    static_cast<double>(byte_budget_->large_request_bytes()));
  metrics_.SetGauge(
      "caller_connections",
      static_cast<double>(byte_budget_->connections(ClientGroup::kCallers)));
  metrics_.SetGauge("callers_evicted",
                    static_cast<double>(byte_budget_->evicted_count()));
}

}  // namespace pollenledge
