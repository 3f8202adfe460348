#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_service.h"

// Attempts at upstreams and other nodes, in `ForwardService`.

namespace pollenledge {
namespace {

/// A reachable upstream accepts a connection within one round trip. This is
/// several round trips and still leaves time to try another upstream.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Maximum size of a response that is not a stream; it is buffered until it is
/// complete.
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{4} * 1024 * 1024;
/// Maximum size of all incomplete responses and events together: a fifth of the
/// memory of the smallest machine.
constexpr std::size_t kMaxTotalHeldBytes = std::size_t{32} * 1024 * 1024;
/// Maximum size of a stream event that has been received only in part.
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
/// After reading was paused, what is read within this time may have been
/// received long before.
constexpr Duration kOldInputTime = std::chrono::seconds(1);
constexpr int kStatusOk = 200;
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

/// Returns the request up to its body.
std::string RenderRequestHead(const HttpHead& request,
                              const std::vector<HttpField>& fields,
                              std::size_t body_bytes) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  for (const HttpField& field : fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  const bool has_body = body_bytes > 0 || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

}  // namespace

void ForwardService::ResetResponse(Exchange* exchange, RouteKind kind) {
  exchange->response_head = HttpHead();
  exchange->response_info = ResponseInfo();
  exchange->evidence = ResponseEvidence();
  DiscardBufferedResponse(exchange);
  exchange->verifying_end = false;
  exchange->forwarding_events = false;
  exchange->is_relayed_on = false;
  exchange->expects_stream = kind == RouteKind::kStreaming;
  if (!exchange->event_splitter.has_value())
    exchange->event_splitter.emplace(exchange->spec.last_event_id);
}

std::shared_ptr<ClientConnection> ForwardService::AcquireConnection(
    const Exchange& exchange, const std::string& address,
    ConnectionReuse reuse) {
  if (exchange.spec.trace_id.empty()) return upstream_pool_.Open(address);
  const std::vector<std::int64_t>& kept = exchange.kept_connections;
  while (true) {
    std::shared_ptr<ClientConnection> connection =
        upstream_pool_.Acquire(address, reuse, BootClockNow());
    if (std::find(kept.begin(), kept.end(), connection->number()) ==
        kept.end()) {
      return connection;
    }
    connection->Abort();
  }
}

void ForwardService::Execute(const forward_action::SendAttempt& send) {
  Exchange* exchange = FindExchange(send.id);
  if (exchange == nullptr) return;
  ResetResponse(exchange, send.kind);
  exchange->upstream = send.upstream;
  exchange->upstream_connection =
      AcquireConnection(*exchange, send.address, send.connection_reuse);
  metrics_.IncrementCounter("attempts_total");
  if (send.previous_end.has_value()) {
    metrics_.IncrementCounter(
        "repeats_total",
        std::string("after=\"") + ToString(*send.previous_end) + "\"");
  }
  // A connection that is open already may have been opened after the upstream
  // had started again, for a request that any process may serve.
  const bool is_verified =
      exchange->upstream_connection->verified_incarnation ==
      send.upstream.incarnation;
  if (send.verify_incarnation && !is_verified) {
    VerifyUpstream(exchange, send);
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
  exchange->upstream_connection =
      AcquireConnection(*exchange, relay.address, relay.connection_reuse);
  metrics_.IncrementCounter("relays_total");
  const std::vector<HttpField> fields = codec_.encode_relay(
      exchange->request_head,
      {relay.deadline - now, relay.last_event_id, relay.first_attempt,
       relay.min_tables_version, relay.max_runs});
  StartExchange(relay.id, exchange, fields, relay.send_before, nullptr);
}

void ForwardService::Execute(const forward_action::ProbeUpstream& probe) {
  metrics_.IncrementCounter("upstream_probes_total");
  ProbeConnect(loop_, probe.address, kConnectTimeout,
               [this, upstream = probe.upstream](bool connected) {
                 Submit(forward_event::UpstreamProbed{upstream, connected});
               });
}

void ForwardService::Execute(const forward_action::PollPromptCache& poll) {
  prompt_cache_client_.Call(
      poll.address, poll.since, poll.wait,
      [this, upstream = poll.upstream](const PromptCachePollResult& result) {
        const bool is_success =
            std::holds_alternative<PromptCacheEvents>(result);
        metrics_.IncrementCounter(
            "prompt_cache_polls_total",
            is_success ? "result=\"events\"" : "result=\"none\"");
        Submit(forward_event::PromptCachePolled{upstream, result});
      });
}

void ForwardService::VerifyUpstream(Exchange* exchange,
                                    const forward_action::SendAttempt& send) {
  metrics_.IncrementCounter("upstream_verifications_total");
  if (exchange->upstream_connection->request_count() > 0) {
    exchange->upstream_connection->Abort();
    exchange->upstream_connection = upstream_pool_.Open(send.address);
  }
  upstream_reports_.Call(
      exchange->upstream_connection,
      [this, send, connection = exchange->upstream_connection](
          const UpstreamReport& report) {
        OnUpstreamReport(send, connection, report);
      });
}

void ForwardService::OnUpstreamReport(
    const forward_action::SendAttempt& send,
    const std::shared_ptr<ClientConnection>& connection,
    const UpstreamReport& report) {
  Exchange* exchange = FindExchange(send.id);
  // The request or this attempt may have ended meanwhile.
  if (exchange == nullptr || exchange->upstream_connection != connection)
    return;
  const std::optional<std::uint64_t> incarnation = report.incarnation;
  const bool is_other =
      incarnation.has_value() && *incarnation != send.upstream.incarnation;
  // If the connection has ended with the report, the next one may lead to
  // another process. What has been received by now can't be the response.
  const bool is_usable =
      connection->reusable() && !connection->HasUnhandledInput();
  if (is_other || !IsReport(report) || !is_usable ||
      BootClockNow() >= send.send_before) {
    Log(LogLevel::kInfo, "upstream_not_verified",
        {{"request", exchange->spec.trace_id},
         {"upstream", send.upstream.name},
         {"status", std::to_string(report.status)},
         {"names_request", report.names_request ? "yes" : "no"},
         {"incarnation", std::to_string(send.upstream.incarnation)},
         {"reported",
          incarnation.has_value() ? std::to_string(*incarnation) : "none"}});
    connection->Abort();
    OnAttemptEnd(send.id, ClientExchangeResult::kNotSent);
    return;
  }
  connection->verified_incarnation = incarnation;
  exchange->evidence.report_status = report.status;
  StartAttempt(exchange, send);
}

void ForwardService::StartAttempt(Exchange* exchange,
                                  const forward_action::SendAttempt& send) {
  const Duration remaining = send.deadline - BootClockNow();
  const std::vector<HttpField> fields = codec_.encode_attempt(
      exchange->request_head, {send.upstream, send.customer, send.priority,
                               remaining, send.last_event_id});
  // The upstream may leave while the connection is being opened.
  StartExchange(send.id, exchange, fields, send.send_before,
                [this, id = send.id] { return node_.MaySend(id); });
}

void ForwardService::StartExchange(ForwardId id, Exchange* exchange,
                                   const std::vector<HttpField>& fields,
                                   TimePoint send_before,
                                   std::function<bool()> may_send) {
  exchange->evidence.earlier_requests =
      exchange->upstream_connection->request_count();
  if (exchange->evidence.earlier_requests > 0) {
    exchange->connection_idle =
        BootClockNow() - exchange->upstream_connection->idle_since();
  } else {
    exchange->connection_idle.reset();
  }
  exchange->attempt_started_at = BootClockNow();
  ExchangeHandlers handlers;
  handlers.may_send = std::move(may_send);
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
      RenderRequestHead(exchange->request_head, fields,
                        exchange->request_body->size()),
      exchange->request_head.method, kConnectTimeout, std::move(handlers),
      send_before, exchange->request_body);
}

bool ForwardService::OnResponseHead(ForwardId id, const HttpHead& head) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return false;
  ResponseInfo info = codec_.decode_response(head);
  if (info.trace_id.has_value() && *info.trace_id != exchange->spec.trace_id) {
    metrics_.IncrementCounter("foreign_answers_total");
    Log(LogLevel::kWarn, "foreign_answer",
        {{"request", exchange->spec.trace_id},
         {"answer_to", *info.trace_id},
         {"status", std::to_string(head.status)},
         {"upstream", exchange->upstream_connection->address()}});
    return false;
  }
  ReportUnreadableSignals(*exchange, info.signals);
  exchange->response_head = head;
  exchange->response_info = std::move(info);
  exchange->evidence.names_request = exchange->response_info.names_request();
  exchange->evidence.framing = FramingOf(head);
  exchange->evidence.status = head.status;
  exchange->forwarding_events = exchange->expects_stream &&
                                head.status == kStatusOk &&
                                IsUpstreamsOwn(*exchange);
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
        kMaxBufferedResponseBytes) {
      RejectResponse(id, "response is too large");
      return;
    }
    exchange->response_body += bytes;
    if (!CountHeldBytes(exchange)) BoundHeldBytes();
    return;
  }
  const bool is_first = exchange->event_splitter->emitted_events() == 0;
  const EventBatch batch = exchange->event_splitter->Append(bytes);
  if (exchange->event_splitter->partial_bytes() > kMaxEventBytes) {
    RejectResponse(id, "event is too large");
    return;
  }
  const bool is_bounded = CountHeldBytes(exchange);
  if (batch.event_count == 0) {
    if (!is_bounded) BoundHeldBytes();
    return;
  }
  StartResponse(exchange);
  exchange->caller->SendChunk(batch.bytes);
  exchange = FindExchange(id);
  if (exchange == nullptr) return;  // The caller's connection was given up.
  if (exchange->caller->output_is_full() &&
      exchange->upstream_connection != nullptr) {
    exchange->upstream_connection->PauseReading();
  }
  if (is_first) {
    metrics_.Observe("first_event_seconds", "",
                     BootClockNow() - exchange->arrived_at);
  }
  const std::optional<std::int64_t> last_id =
      exchange->event_splitter->last_event_id();
  Submit(forward_event::FirstEventReceived{
      id, ConnectedAt(*exchange),
      exchange->upstream_connection != nullptr &&
          exchange->upstream_connection->verified_incarnation ==
              exchange->upstream.incarnation});
  Submit(forward_event::EventsForwarded{id, last_id});
}

std::optional<TimePoint> ForwardService::ConnectedAt(const Exchange& exchange) {
  if (!exchange.connection_idle.has_value()) return std::nullopt;
  return exchange.attempt_started_at - *exchange.connection_idle;
}

void ForwardService::RejectResponse(ForwardId id, const char* reason) {
  Exchange* exchange = FindExchange(id);
  Log(LogLevel::kWarn, "answer_rejected",
      {{"request", exchange->spec.trace_id},
       {"upstream", exchange->upstream_connection->address()},
       {"reason", reason},
       {"bytes", std::to_string(exchange->held_bytes)},
       {"held_bytes", std::to_string(held_response_bytes_)}});
  metrics_.IncrementCounter("answers_rejected_total");
  exchange->upstream_connection->Abort();
  exchange->upstream_connection.reset();
  DiscardBufferedResponse(exchange);
  Submit(forward_event::AttemptEnded{
      id, ForwardOutcome::kInvalidResponse, exchange->response_head.status,
      exchange->response_info.signals.load, exchange->connection_idle,
      exchange->evidence});
}

void ForwardService::DiscardBufferedResponse(Exchange* exchange) {
  exchange->response_body = std::string();
  if (exchange->event_splitter.has_value())
    exchange->event_splitter->DropPartial();
  CountHeldBytes(exchange);
}

bool ForwardService::CountHeldBytes(Exchange* exchange) {
  const std::size_t partial_event_bytes =
      exchange->event_splitter.has_value()
          ? exchange->event_splitter->partial_bytes()
          : 0;
  held_response_bytes_ -= exchange->held_bytes;
  exchange->held_bytes = exchange->response_body.size() + partial_event_bytes;
  held_response_bytes_ += exchange->held_bytes;
  return exchange->caller->HoldAnswer(exchange->held_bytes) &&
         held_response_bytes_ <= kMaxTotalHeldBytes;
}

void ForwardService::BoundHeldBytes() {
  // Small responses of other callers are not lost to large ones.
  const auto largest = std::max_element(
      exchanges_.begin(), exchanges_.end(), [](const auto& a, const auto& b) {
        return a.second.held_bytes < b.second.held_bytes;
      });
  if (largest == exchanges_.end() || largest->second.held_bytes == 0) return;
  if (largest->second.upstream_connection == nullptr) {
    // A stream that waits for an upstream: its last response isn't used.
    DiscardBufferedResponse(&largest->second);
    return;
  }
  RejectResponse(largest->first, "responses hold too much memory");
}

void ForwardService::OnAttemptEnd(ForwardId id, ClientExchangeResult end) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr) return;
  // Another node always states where its response ends.
  if (exchange->is_relayed_on && end == ClientExchangeResult::kCompleteAtClose)
    end = ClientExchangeResult::kConnectionLost;
  if (RestsOnClose(*exchange, end)) {
    VerifyEnd(id, exchange);
    return;
  }
  FinishAttempt(id, exchange, ClassifyEnd(*exchange, end));
}

void ForwardService::FinishAttempt(ForwardId id, Exchange* exchange,
                                   ForwardOutcome end) {
  // The response to this request may still follow a copy of an earlier one, and
  // a late copy of one without an id would spoil the next exchange.
  if (!BelongsToRequest(exchange->evidence) || exchange->spec.trace_id.empty())
    exchange->upstream_connection->Abort();
  if (exchange->upstream_connection->reusable()) {
    exchange->kept_connections.push_back(
        exchange->upstream_connection->number());
  }
  upstream_pool_.Release(exchange->upstream_connection);
  exchange->upstream_connection.reset();
  exchange->verifying_end = false;
  Submit(forward_event::AttemptEnded{id, end, exchange->response_head.status,
                                     exchange->response_info.signals.load,
                                     exchange->connection_idle,
                                     exchange->evidence});
}

bool ForwardService::RestsOnClose(const Exchange& exchange,
                                  ClientExchangeResult end) const {
  if (end != ClientExchangeResult::kCompleteAtClose) return false;
  const ForwardOutcome outcome = ClassifyEnd(exchange, end);
  return outcome == ForwardOutcome::kCompleted ||
         outcome == ForwardOutcome::kFailed;
}

void ForwardService::VerifyEnd(ForwardId id, Exchange* exchange) {
  exchange->verifying_end = true;
  // The exchange keeps the connection, which has ended, until the attempt ends.
  const std::shared_ptr<ClientConnection> connection =
      exchange->upstream_connection;
  const TimePoint now = BootClockNow();
  const std::optional<TimePoint> resumed_at = connection->reading_resumed_at();
  const bool may_be_old =
      loop_delay_.IsBehind(exchange->attempt_started_at, now) ||
      (resumed_at.has_value() && now - *resumed_at < kOldInputTime);
  response_end_verifier_.Verify(
      connection->address(), exchange->upstream.incarnation,
      exchange->attempt_started_at,
      [this, id, connection, may_be_old, now](ResponseEndProof proof) {
        OnEndVerified(id, connection, may_be_old, now, proof);
      });
}

void ForwardService::OnEndVerified(
    ForwardId id, const std::shared_ptr<ClientConnection>& connection,
    bool may_be_old, TimePoint started, ResponseEndProof proof) {
  Exchange* exchange = FindExchange(id);
  // The request or this attempt may have ended meanwhile.
  if (exchange == nullptr || exchange->upstream_connection != connection)
    return;
  const bool is_whole = IsWholeAtClose(proof, may_be_old);
  metrics_.IncrementCounter(
      "response_ends_verified_total",
      std::string("outcome=\"") + (is_whole ? "whole" : "cut") + "\"");
  Log(is_whole ? LogLevel::kInfo : LogLevel::kWarn, "response_end_verified",
      {{"request", exchange->spec.trace_id},
       {"upstream", exchange->upstream.name},
       {"outcome", is_whole ? "whole" : "cut"},
       {"proof", ToString(proof)},
       {"may_be_old", may_be_old ? "yes" : "no"},
       {"took_ms", FormatMilliseconds(BootClockNow() - started)}});
  ClientExchangeResult end = ClientExchangeResult::kInvalid;
  if (is_whole) end = ClientExchangeResult::kCompleteAtClose;
  if (ShowsEndedProcess(proof)) end = ClientExchangeResult::kConnectionLost;
  FinishAttempt(id, exchange, ClassifyEnd(*exchange, end));
}

bool ForwardService::IsUpstreamsOwn(const Exchange& exchange) {
  const ResponseEvidence& evidence = exchange.evidence;
  const bool is_of_unnamed_request =
      exchange.spec.trace_id.empty() && evidence.earlier_requests == 0;
  return exchange.response_info.is_signed &&
         !exchange.response_info.is_encoded &&
         (evidence.names_request || is_of_unnamed_request);
}

ForwardOutcome ForwardService::ClassifyEnd(const Exchange& exchange,
                                           ClientExchangeResult end) const {
  if (end == ClientExchangeResult::kNotSent) return ForwardOutcome::kNotSent;
  const bool is_own = BelongsToRequest(exchange.evidence);
  if (is_own && exchange.response_info.not_run)
    return ForwardOutcome::kRejected;
  // Another node's own response says so by its status.
  const bool is_complete_response =
      end == ClientExchangeResult::kComplete ||
      end == ClientExchangeResult::kCompleteAtClose;
  if (is_own && exchange.is_relayed_on && is_complete_response &&
      !exchange.response_info.is_signed &&
      ImpliesNotRun(exchange.response_head.status)) {
    return ForwardOutcome::kRejected;
  }
  if (end == ClientExchangeResult::kConnectionLost)
    return ForwardOutcome::kConnectionLost;
  if (end == ClientExchangeResult::kInvalid || !is_own)
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
    return IsUpstreamsOwn(exchange) ? ForwardOutcome::kCompleted
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

}  // namespace pollenledge
