#include "pollenledge/process/forward_service.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pollenledge {
namespace {

/// A reachable upstream accepts a connection within one round trip. This is
/// several round trips and still leaves time to try another upstream.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Maximum idle time of a connection that is reused: the first one for suspects
/// and for requests that may run only once, the second one for others. An
/// upstream may be closing a connection that has been idle longer; a request
/// sent at that moment is lost and cannot be retried if it may run only once.
constexpr Duration kMaxIdleForNonIdempotent = std::chrono::milliseconds(300);
constexpr Duration kMaxIdleForRetryable = std::chrono::seconds(30);
/// Time after which the load balancer has removed a draining node. It probes
/// readiness every second and removes a node after two failed probes.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(3200);
/// Requests still in progress this long before the end of the grace period are
/// aborted.
constexpr Duration kGracePeriodMargin = std::chrono::milliseconds(400);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kIdleCloseInterval = std::chrono::seconds(2);
/// Maximum size of a response that is not a stream; it is buffered until it is
/// complete.
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{4} * 1024 * 1024;
/// Maximum size of all buffered responses together: a fifth of the memory of
/// the smallest machine.
constexpr std::size_t kMaxTotalBufferedBytes = std::size_t{32} * 1024 * 1024;
/// Maximum size of an upstream's report about itself; the rest is ignored.
constexpr std::size_t kMaxReportBytes = std::size_t{64} * 1024;
/// Maximum size of a stream event that has been received only in part.
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
/// Path on the admin address, followed by the fingerprint of a suspect.
constexpr std::string_view kSuspectsPath = "/suspects/";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kMinStatusServerError = 500;

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusOk + 100;
}

/// Returns true for statuses from which a caller concludes that the request did
/// not run. Such a status must not be forwarded from an upstream whose response
/// does not say explicitly that the request did not run.
bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string RenderRequest(const HttpHead& request,
                          const std::vector<HttpField>& fields,
                          const std::string& body) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  for (const HttpField& field : fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  const bool has_body = !body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n";
  text += body;
  return text;
}

/// Returns the head of an upstream's response without its hop-by-hop fields.
HttpHead ForwardedHead(const HttpHead& response) {
  const std::string* connection = response.Find("Connection");
  HttpHead head;
  head.status = response.status;
  head.reason = response.reason;
  for (const HttpField& field : response.fields) {
    if (IsHopByHop(field.name, connection == nullptr ? "" : *connection)) {
      continue;
    }
    head.fields.push_back(field);
  }
  return head;
}

ForwardServiceOptions WithDrainTimeout(ForwardServiceOptions options) {
  options.node_options.drain_timeout =
      options.grace_period - kGracePeriodMargin;
  return options;
}

std::string StatusLabel(int status) {
  return "status=\"" + std::to_string(status) + "\"";
}

}  // namespace

ForwardService::ForwardService(boost::asio::io_context& loop,
                               ForwardServiceOptions options,
                               ForwardingCodec codec)
    : loop_(loop),
      options_(WithDrainTimeout(std::move(options))),
      codec_(std::move(codec)),
      node_(options_.node_options),
      upstream_pool_(loop),
      timer_(loop),
      heartbeat_link_(
          loop, options_.peer_address,
          [this](Heartbeat heartbeat) {
            Submit(forward_event::HeartbeatReceived{std::move(heartbeat)});
          }),
      readiness_server_(
          loop, options_.readiness_address,
          {[this](const auto& caller, const HttpHead&, const std::string&) {
             OnReadinessRequest(caller);
           },
           [](const auto&) {}, [] { return CallerLimits(); }}),
      admin_server_(loop, options_.admin_address, AdminHandlers()),
      caller_server_(loop, options_.caller_address, RequestHandlers(false)) {
  if (!options_.metrics_address.empty()) {
    metrics_server_.emplace(loop, options_.metrics_address, AdminHandlers());
  }
  StartRelayServer();
  // The first event gives the node the wall-clock time.
  Submit(forward_event::Ticked{});
}

void ForwardService::StartRelayServer() {
  // A node that can't relay still serves its own callers.
  try {
    relay_server_.emplace(loop_, options_.peer_address, RequestHandlers(true));
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "relay_address_unavailable",
        {{"address", options_.peer_address}, {"error", error.what()}});
  }
}

CallerHandlers ForwardService::RequestHandlers(bool is_relayed) {
  return {[this, is_relayed](const auto& caller, const HttpHead& head,
                             const std::string& body) {
            OnRequest(caller, head, body, is_relayed);
          },
          [this](const auto& caller) { OnCallerDisconnected(caller); },
          [this] {
            return node_.tables_index() == nullptr
                       ? CallerLimits()
                       : node_.tables_index()->tables().limits;
          }};
}

CallerHandlers ForwardService::AdminHandlers() {
  return {[this](const auto& caller, const HttpHead& head, const std::string&) {
            OnAdminRequest(caller, head);
          },
          [](const auto&) {}, [] { return CallerLimits(); }};
}

Instant ForwardService::Now() const {
  const TimePoint now = BootClockNow();
  return {now, node_.wall_clock().At(now)};
}

Instant ForwardService::LocalNow() const {
  const TimePoint now = BootClockNow();
  return {now, wall_clock_.At(now)};
}

void ForwardService::Submit(ForwardEvent event) {
  pending_events_.push_back(std::move(event));
  if (handling_events_) return;
  handling_events_ = true;
  while (!pending_events_.empty()) {
    const ForwardEvent next = std::move(pending_events_.front());
    pending_events_.pop_front();
    for (const ForwardAction& action : node_.Handle(next, LocalNow())) {
      std::visit([this](const auto& typed_action) { Execute(typed_action); },
                 action);
    }
  }
  handling_events_ = false;
  ArmTimer();
}

// Callers.

void ForwardService::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                               const HttpHead& head, const std::string& body,
                               bool is_relayed) {
  const ForwardId id = next_id_++;
  caller->request_id = id;
  Result<ForwardSpec> spec = codec_.decode_request(head);
  Exchange& exchange = exchanges_[id];
  exchange.caller = caller;
  exchange.request_head = head;
  exchange.request_body = body;
  exchange.arrived_at = BootClockNow();
  if (!Ok(spec)) {
    SendOwnResponse(id, kStatusBadRequest, Duration::zero(),
                    ErrorOf(spec).message);
    return;
  }
  Value(spec).is_relayed = is_relayed;
  Value(spec).content_fingerprint = ComputeFingerprint({head.target, body});
  exchange.spec = Value(spec);
  Submit(forward_event::RequestArrived{id, std::move(Value(spec))});
}

void ForwardService::OnCallerDisconnected(
    const std::shared_ptr<CallerConnection>& caller) {
  if (caller->request_id == 0) return;
  Submit(forward_event::CallerDisconnected{caller->request_id});
  RemoveExchange(caller->request_id);
  metrics_.IncrementCounter("callers_left_total");
}

void ForwardService::OnReadinessRequest(
    const std::shared_ptr<CallerConnection>& caller) {
  HttpHead head;
  head.status = node_.IsReady(BootClockNow()) ? kStatusOk : 503;
  caller->SendResponse(head, "");
}

void ForwardService::OnAdminRequest(
    const std::shared_ptr<CallerConnection>& caller, const HttpHead& request) {
  if (request.method == "DELETE") {
    LiftSuspect(caller, request.target);
    return;
  }
  const TimePoint now = BootClockNow();
  metrics_.SetGauge("active_requests",
                    static_cast<double>(node_.active_requests()));
  metrics_.SetGauge("queued_requests",
                    static_cast<double>(node_.queued_requests()));
  metrics_.SetGauge("live_nodes", node_.membership().AliveCount(now));
  metrics_.SetGauge("suspected_requests",
                    static_cast<double>(node_.suspects().size()));
  metrics_.SetGauge("rejected_suspects",
                    static_cast<double>(node_.suspects().CountRejected(now)));
  metrics_.SetGauge("limited_upstreams",
                    static_cast<double>(node_.rate_limits().Limited().size()));
  metrics_.SetGauge("permits_granted",
                    static_cast<double>(node_.permits().granted_total()));
  metrics_.SetGauge("known_nodes", node_.membership().KnownNodeCount(now));
  metrics_.SetGauge("retry_share", node_.max_saved_retries());
  metrics_.SetGauge("upstream_connections_opened",
                    static_cast<double>(upstream_pool_.opened_count()));
  metrics_.SetGauge("ready", node_.IsReady(now) ? 1 : 0);
  if (const std::optional<Duration> age = node_.TablesAge(now)) {
    metrics_.SetGauge("tables_age_seconds", ToSeconds(*age));
  }
  HttpHead head;
  head.status = kStatusOk;
  head.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
  caller->SendResponse(head, metrics_.Render());
}

void ForwardService::LiftSuspect(
    const std::shared_ptr<CallerConnection>& caller, std::string_view target) {
  std::optional<Fingerprint> fingerprint;
  if (target.substr(0, kSuspectsPath.size()) == kSuspectsPath) {
    fingerprint = ParseFingerprint(target.substr(kSuspectsPath.size()));
  }
  HttpHead head;
  head.status = fingerprint.has_value() ? kStatusOk : kStatusBadRequest;
  if (!fingerprint.has_value()) {
    caller->SendResponse(head,
                         "expected DELETE /suspects/ and the 32 hexadecimal "
                         "digits of a suspect\n");
    return;
  }
  Submit(forward_event::SuspectLifted{*fingerprint});
  caller->SendResponse(head, "");
}

// Attempts.

void ForwardService::ResetResponse(Exchange* exchange, RouteKind kind) {
  exchange->response_head = HttpHead();
  exchange->response_info = ResponseInfo();
  DiscardBufferedResponse(exchange);
  exchange->forwarding_events = false;
  exchange->is_relayed_on = false;
  exchange->expects_stream = kind == RouteKind::kStreaming;
  if (exchange->event_splitter.has_value()) {
    exchange->event_splitter->DropPartial();
  } else {
    exchange->event_splitter.emplace(exchange->spec.last_event_id);
  }
}

void ForwardService::Execute(const forward_action::SendAttempt& send) {
  Exchange* exchange = FindExchange(send.id);
  if (exchange == nullptr) return;
  ResetResponse(exchange, send.kind);
  exchange->upstream_connection = upstream_pool_.Acquire(
      send.address,
      send.reuse_connection ? kMaxIdleForRetryable : kMaxIdleForNonIdempotent,
      BootClockNow());
  metrics_.IncrementCounter("attempts_total");
  if (send.previous_end.has_value()) {
    metrics_.IncrementCounter(
        "repeats_total",
        std::string("after=\"") + ToString(*send.previous_end) + "\"");
  }
  // An open connection leads to the process that it was opened to.
  const bool is_new = exchange->upstream_connection->request_count() == 0;
  if (send.verify_incarnation && is_new) {
    VerifyUpstream(*exchange, send);
  } else {
    StartAttempt(exchange, send);
  }
}

void ForwardService::Execute(const forward_action::RelayRequest& relay) {
  Exchange* exchange = FindExchange(relay.id);
  if (exchange == nullptr) return;
  const TimePoint now = BootClockNow();
  ResetResponse(exchange, relay.kind);
  exchange->is_relayed_on = true;
  exchange->upstream_connection = upstream_pool_.Acquire(
      relay.address,
      relay.reuse_connection ? kMaxIdleForRetryable : kMaxIdleForNonIdempotent,
      now);
  metrics_.IncrementCounter("relays_total");
  const std::vector<HttpField> fields = codec_.encode_relay(
      exchange->request_head,
      {relay.deadline - now, relay.last_event_id, relay.first_attempt});
  StartExchange(relay.id, exchange, fields, relay.send_before);
}

void ForwardService::Execute(const forward_action::ProbeUpstream& probe) {
  metrics_.IncrementCounter("upstream_probes_total");
  ProbeConnect(loop_, probe.address, kConnectTimeout,
               [this, upstream = probe.upstream](bool connected) {
                 Submit(forward_event::UpstreamProbed{upstream, connected});
               });
}

void ForwardService::VerifyUpstream(const Exchange& exchange,
                                    const forward_action::SendAttempt& send) {
  metrics_.IncrementCounter("upstream_verifications_total");
  const auto report = std::make_shared<std::string>();
  ExchangeHandlers handlers;
  handlers.on_head = [](const HttpHead&) { return true; };
  handlers.on_body = [report](const std::string& bytes) {
    if (report->size() + bytes.size() <= kMaxReportBytes) *report += bytes;
  };
  handlers.on_finished = [this, send, report](ClientExchangeResult end) {
    OnUpstreamReport(send, end, *report);
  };
  exchange.upstream_connection->Start(
      "GET " + codec_.report_path + " HTTP/1.1\r\nHost: " + send.address +
          "\r\n\r\n",
      "GET", kConnectTimeout, std::move(handlers), send.send_before);
}

void ForwardService::OnUpstreamReport(const forward_action::SendAttempt& send,
                                      ClientExchangeResult end,
                                      const std::string& report) {
  Exchange* exchange = FindExchange(send.id);
  if (exchange == nullptr) return;
  const std::optional<std::uint64_t> incarnation =
      codec_.decode_incarnation(report);
  const bool is_other =
      incarnation.has_value() && *incarnation != send.upstream.incarnation;
  const bool is_complete = end == ClientExchangeResult::kComplete ||
                           end == ClientExchangeResult::kCompleteAtClose;
  if (is_other || !is_complete || BootClockNow() >= send.send_before) {
    Log(LogLevel::kInfo, "upstream_not_verified",
        {{"request", exchange->spec.trace_id},
         {"upstream", send.upstream.name},
         {"incarnation", std::to_string(send.upstream.incarnation)},
         {"reported",
          incarnation.has_value() ? std::to_string(*incarnation) : "none"}});
    OnAttemptEnd(send.id, ClientExchangeResult::kNotSent);
    return;
  }
  if (!exchange->upstream_connection->reusable()) {
    exchange->upstream_connection = upstream_pool_.Acquire(
        send.address, kMaxIdleForNonIdempotent, BootClockNow());
  }
  StartAttempt(exchange, send);
}

void ForwardService::StartAttempt(Exchange* exchange,
                                  const forward_action::SendAttempt& send) {
  const Duration remaining = send.deadline - BootClockNow();
  const std::vector<HttpField> fields = codec_.encode_attempt(
      exchange->request_head, {send.upstream, send.customer, send.priority,
                               remaining, send.last_event_id});
  StartExchange(send.id, exchange, fields, send.send_before);
}

void ForwardService::StartExchange(ForwardId id, Exchange* exchange,
                                   const std::vector<HttpField>& fields,
                                   TimePoint send_before) {
  exchange->connection_was_used =
      exchange->upstream_connection->request_count() > 0;
  ExchangeHandlers handlers;
  handlers.on_head = [this, id](const HttpHead& head) {
    return OnResponseHead(id, head);
  };
  handlers.on_body = [this, id](const std::string& bytes) {
    OnResponseBody(id, bytes);
  };
  handlers.on_finished = [this, id](ClientExchangeResult end) {
    OnAttemptEnd(id, end);
  };
  exchange->upstream_connection->Start(
      RenderRequest(exchange->request_head, fields, exchange->request_body),
      exchange->request_head.method, kConnectTimeout, std::move(handlers),
      send_before);
}

bool ForwardService::OnResponseHead(ForwardId id, const HttpHead& head) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return false;
  ResponseInfo info = codec_.decode_response(head);
  if (info.trace_id.has_value() && *info.trace_id != exchange->spec.trace_id) {
    metrics_.IncrementCounter("foreign_answers_total");
    Log(LogLevel::kWarn, "foreign_answer",
        {{"request", exchange->spec.trace_id}, {"answer_to", *info.trace_id}});
    return false;
  }
  ReportUnreadableSignals(*exchange, info.signals);
  exchange->response_head = head;
  exchange->response_info = std::move(info);
  exchange->forwarding_events = exchange->expects_stream &&
                                head.status == kStatusOk &&
                                exchange->response_info.is_signed &&
                                exchange->response_info.trace_id.has_value() &&
                                !exchange->response_info.is_encoded;
  Submit(
      forward_event::ResponseHeadReceived{id, exchange->response_info.signals});
  return FindExchange(id) != nullptr;
}

void ForwardService::ReportUnreadableSignals(const Exchange& exchange,
                                             const UpstreamSignals& signals) {
  const auto report = [&](const char* counter, const char* event) {
    metrics_.IncrementCounter(counter);
    Log(LogLevel::kWarn, event,
        {{"request", exchange.spec.trace_id},
         {"upstream", exchange.upstream_connection->address()}});
  };
  if (signals.load_is_unreadable)
    report("loads_unreadable_total", "load_unreadable");
  if (signals.limit_is_unreadable)
    report("upstream_limits_unreadable_total", "upstream_limit_unreadable");
  if (signals.max_rejections_is_unreadable)
    report("upstream_rejections_unreadable_total",
           "upstream_max_rejections_unreadable");
  if (signals.retry_after_is_unreadable)
    report("upstream_pauses_unreadable_total", "upstream_pause_unreadable");
}

void ForwardService::OnResponseBody(ForwardId id, const std::string& bytes) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return;
  if (!exchange->forwarding_events) {
    if (exchange->response_body.size() + bytes.size() >
            kMaxBufferedResponseBytes ||
        buffered_response_bytes_ + bytes.size() > kMaxTotalBufferedBytes) {
      RejectResponse(id, "response is too large");
      return;
    }
    buffered_response_bytes_ += bytes.size();
    exchange->response_body += bytes;
    return;
  }
  const bool is_first = exchange->event_splitter->emitted_events() == 0;
  const EventBatch batch = exchange->event_splitter->Append(bytes);
  if (exchange->event_splitter->partial_bytes() > kMaxEventBytes) {
    RejectResponse(id, "event is too large");
    return;
  }
  if (batch.event_count == 0) return;
  StartResponse(exchange);
  exchange->caller->SendChunk(batch.bytes);
  if (is_first) {
    metrics_.Observe("first_event_seconds", "",
                     BootClockNow() - exchange->arrived_at);
  }
  const std::optional<std::int64_t> last_id =
      exchange->event_splitter->last_event_id();
  Submit(forward_event::FirstEventReceived{id});
  Submit(forward_event::EventsForwarded{id, last_id});
}

void ForwardService::RejectResponse(ForwardId id, const char* reason) {
  Exchange* exchange = FindExchange(id);
  Log(LogLevel::kWarn, "answer_rejected",
      {{"request", exchange->spec.trace_id},
       {"upstream", exchange->upstream_connection->address()},
       {"reason", reason},
       {"held_bytes", std::to_string(buffered_response_bytes_)}});
  metrics_.IncrementCounter("answers_rejected_total");
  exchange->upstream_connection->Abort();
  exchange->upstream_connection.reset();
  DiscardBufferedResponse(exchange);
  Submit(forward_event::AttemptEnded{id, ForwardOutcome::kInvalidResponse,
                                     exchange->response_head.status,
                                     exchange->response_info.signals.load});
}

void ForwardService::DiscardBufferedResponse(Exchange* exchange) {
  buffered_response_bytes_ -= exchange->response_body.size();
  exchange->response_body = std::string();
}

void ForwardService::StartResponse(Exchange* exchange) {
  if (exchange->response_started) return;
  exchange->response_started = true;
  exchange->caller->StartChunkedResponse(
      ForwardedHead(exchange->response_head));
}

void ForwardService::OnAttemptEnd(ForwardId id, ClientExchangeResult end) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return;
  upstream_pool_.Release(exchange->upstream_connection);
  exchange->upstream_connection.reset();
  const ForwardOutcome forward_end = ClassifyEnd(*exchange, end);
  Submit(forward_event::AttemptEnded{id, forward_end,
                                     exchange->response_head.status,
                                     exchange->response_info.signals.load});
}

bool ForwardService::IsRefusal(const Exchange& exchange) {
  // A refusal that names no request may be that of an earlier request on the
  // same connection, sent once more.
  const bool is_of_this_request = exchange.response_info.trace_id.has_value() ||
                                  !exchange.connection_was_used;
  return exchange.response_info.not_run && is_of_this_request;
}

ForwardOutcome ForwardService::ClassifyEnd(const Exchange& exchange,
                                           ClientExchangeResult end) const {
  if (end == ClientExchangeResult::kNotSent) return ForwardOutcome::kNotSent;
  if (IsRefusal(exchange)) return ForwardOutcome::kRejected;
  // Another node's own response says so by its status.
  const bool is_complete_response =
      end == ClientExchangeResult::kComplete ||
      end == ClientExchangeResult::kCompleteAtClose;
  if (exchange.is_relayed_on && is_complete_response &&
      !exchange.response_info.is_signed &&
      ImpliesNotRun(exchange.response_head.status)) {
    return ForwardOutcome::kRejected;
  }
  if (end == ClientExchangeResult::kConnectionLost)
    return ForwardOutcome::kConnectionLost;
  if (end == ClientExchangeResult::kInvalid)
    return ForwardOutcome::kInvalidResponse;
  const int status = exchange.response_head.status;
  const bool ended_at_close = end == ClientExchangeResult::kCompleteAtClose;
  if (exchange.forwarding_events && ended_at_close &&
      !exchange.event_splitter->IsCompleteAtClose()) {
    return ForwardOutcome::kConnectionLost;
  }
  if (exchange.forwarding_events) {
    const bool is_complete = !exchange.event_splitter->has_partial() &&
                             !exchange.event_splitter->has_gap();
    return is_complete ? ForwardOutcome::kCompleted
                       : ForwardOutcome::kInvalidResponse;
  }
  // The caller's stream has begun, so a response of another kind can't go
  // there.
  const bool is_failure = status >= kMinStatusServerError;
  if (exchange.response_started && !is_failure)
    return ForwardOutcome::kInvalidResponse;
  if (IsSuccess(status)) {
    const bool is_verified = exchange.response_info.is_signed &&
                             exchange.response_info.trace_id.has_value() &&
                             !exchange.response_info.is_encoded;
    return is_verified ? ForwardOutcome::kCompleted
                       : ForwardOutcome::kInvalidResponse;
  }
  if (ImpliesNotRun(status)) return ForwardOutcome::kInvalidResponse;
  return is_failure ? ForwardOutcome::kFailed : ForwardOutcome::kCompleted;
}

void ForwardService::Execute(const forward_action::CancelAttempt& cancel) {
  Exchange* exchange = FindExchange(cancel.id);
  if (exchange == nullptr || exchange->upstream_connection == nullptr) return;
  exchange->upstream_connection->Abort();
  exchange->upstream_connection.reset();
  metrics_.IncrementCounter("attempts_cancelled_total");
}

// Responses to callers.

void ForwardService::Execute(const forward_action::DeliverResponse& deliver) {
  Exchange* exchange = FindExchange(deliver.id);
  if (exchange == nullptr) return;
  metrics_.IncrementCounter("answers_total",
                            StatusLabel(exchange->response_head.status));
  metrics_.Observe(
      "answer_seconds",
      exchange->expects_stream ? "kind=\"stream\"" : "kind=\"plain\"",
      BootClockNow() - exchange->arrived_at);
  if (exchange->forwarding_events) {
    StartResponse(exchange);  // Not started yet if the stream had no events.
    exchange->caller->FinishChunkedResponse();
  } else {
    exchange->caller->SendResponse(ForwardedHead(exchange->response_head),
                                   exchange->response_body);
  }
  RemoveExchange(deliver.id);
}

void ForwardService::Execute(const forward_action::Reject& reject) {
  SendOwnResponse(reject.id, reject.not_run.http_status,
                  reject.not_run.retry_after, reject.not_run.detail);
}

void ForwardService::Execute(const forward_action::Fail& fail) {
  SendOwnResponse(fail.id, fail.status, Duration::zero(), fail.reason);
}

void ForwardService::SendOwnResponse(ForwardId id, int status,
                                     Duration retry_after,
                                     const std::string& detail) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return;
  metrics_.IncrementCounter("own_answers_total", StatusLabel(status));
  if (exchange->response_started) {
    exchange->caller->Abort();
  } else {
    HttpHead head;
    head.status = status;
    head.fields = codec_.encode_local_response(exchange->spec, retry_after);
    exchange->caller->SendResponse(head, detail + "\n");
  }
  RemoveExchange(id);
}

void ForwardService::Execute(const forward_action::SendHeartbeat& send) {
  heartbeat_link_.Send(send.message);
  metrics_.IncrementCounter("heartbeats_sent_total");
}

void ForwardService::Execute(const forward_action::ReadTables&) {
  if (options_.read_tables) options_.read_tables();
}

void ForwardService::Execute(const forward_action::PersistSuspects& persist) {
  if (options_.persist_suspects)
    options_.persist_suspects(persist.crash_reports);
}

void ForwardService::Execute(
    const forward_action::UpdateVersionRecords& update) {
  if (options_.update_version_records) options_.update_version_records(update);
}

void ForwardService::Execute(const forward_action::RecordStreams& record) {
  metrics_.IncrementCounter("streams_recorded_total");
  if (options_.record_streams) options_.record_streams(record.records);
}

void ForwardService::Execute(const forward_action::LookUpStream& look_up) {
  metrics_.IncrementCounter("stream_lookups_total");
  if (options_.look_up_stream) options_.look_up_stream(look_up);
}

void ForwardService::Execute(const forward_action::WriteLogLine& line) {
  Log(line.level, line.event, line.fields);
}

void ForwardService::RemoveExchange(ForwardId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  if (found->second.upstream_connection != nullptr)
    found->second.upstream_connection->Abort();
  DiscardBufferedResponse(&found->second);
  found->second.caller->request_id = 0;
  exchanges_.erase(found);
}

ForwardService::Exchange* ForwardService::FindExchange(ForwardId id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

// Timer and drain.

void ForwardService::ArmTimer() {
  const TimePoint now = BootClockNow();
  const TimePoint due = node_.NextTickTime(now);
  if (timer_at_.has_value() && *timer_at_ <= due) return;
  timer_at_ = due;
  timer_.expires_after(
      std::max<Duration>(due - now, std::chrono::milliseconds(1)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;  // Cancelled because the timer was armed again.
    timer_at_.reset();
    OnTimer();
  });
}

void ForwardService::OnTimer() {
  const TimePoint now = BootClockNow();
  if (now - idle_connections_closed_at_ > kIdleCloseInterval) {
    idle_connections_closed_at_ = now;
    upstream_pool_.CloseIdle(now);
  }
  Submit(forward_event::Ticked{});
  FlushLog();
}

void ForwardService::Drain(std::function<void()> on_drained) {
  if (drain_started_.has_value()) return;
  drain_started_ = BootClockNow();
  on_drained_ = std::move(on_drained);
  Submit(forward_event::DrainStarted{});
  caller_server_.CloseAfterResponses();
  if (relay_server_.has_value()) relay_server_->CloseAfterResponses();
  ContinueDrain();
}

void ForwardService::ContinueDrain() {
  const Duration elapsed = BootClockNow() - *drain_started_;
  const bool balancer_noticed = elapsed >= kBalancerRemovalTime;
  if (balancer_noticed) {
    caller_server_.StopAccepting();
    caller_server_.CloseIdleConnections();
    if (relay_server_.has_value()) {
      relay_server_->StopAccepting();
      relay_server_->CloseIdleConnections();
    }
  }
  const std::size_t relay_connections =
      relay_server_.has_value() ? relay_server_->CountOpenConnections() : 0;
  const bool timed_out = elapsed >= options_.node_options.drain_timeout;
  if (timed_out ||
      (balancer_noticed && exchanges_.empty() &&
       caller_server_.CountOpenConnections() == 0 && relay_connections == 0)) {
    on_drained_();
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_, kDrainPollInterval);
  timer->async_wait([this, timer](const boost::system::error_code& error) {
    if (!error) ContinueDrain();
  });
}

}  // namespace pollenledge
