#include "pollenledge/process/forward_service.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pollenledge {
namespace {

/// A reachable upstream accepts a connection within one round trip. This is
/// several round trips and still leaves time to try another upstream.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Maximum idle time of a connection that is reused, for requests that may run
/// only once and for others. An upstream may be closing a connection that has
/// been idle longer; a request sent at that moment is lost and cannot be
/// retried if it may run only once.
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
/// Maximum size of one stream event.
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
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
  options.node.drain_time = options.grace - kGracePeriodMargin;
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
      node_(options_.node),
      upstream_pool_(loop),
      timer_(loop),
      heartbeats_(
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
      caller_server_(
          loop, options_.caller_address,
          {[this](const auto& caller, const HttpHead& head,
                  const std::string& body) { OnRequest(caller, head, body); },
           [this](const auto& caller) { OnCallerLeft(caller); },
           [this] {
             return node_.index() == nullptr ? CallerLimits()
                                             : node_.index()->tables().limits;
           }}) {
  if (!options_.metrics_address.empty()) {
    metrics_server_.emplace(loop, options_.metrics_address, AdminHandlers());
  }
  // The first event gives the node the wall-clock time.
  Submit(forward_event::Ticked{});
}

CallerHandlers ForwardService::AdminHandlers() {
  return {[this](const auto& caller, const HttpHead&, const std::string&) {
            OnAdminRequest(caller);
          },
          [](const auto&) {}, [] { return CallerLimits(); }};
}

Instant ForwardService::Now() const {
  const TimePoint now = BootNow();
  return {now, node_.calendar().At(now)};
}

Instant ForwardService::OwnClocks() const {
  const TimePoint now = BootNow();
  return {now, calendar_.At(now)};
}

void ForwardService::Submit(ForwardEvent event) {
  pending_.push_back(std::move(event));
  if (handling_) return;
  handling_ = true;
  while (!pending_.empty()) {
    const ForwardEvent next = std::move(pending_.front());
    pending_.pop_front();
    for (const ForwardAction& action : node_.Handle(next, OwnClocks())) {
      std::visit([this](const auto& typed_action) { Do(typed_action); },
                 action);
    }
  }
  handling_ = false;
  ArmTimer();
}

// Callers.

void ForwardService::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                               const HttpHead& head, const std::string& body) {
  const ForwardId id = next_id_++;
  caller->request_id = id;
  Result<ForwardSpec> spec = codec_.decode_request(head);
  Exchange& exchange = exchanges_[id];
  exchange.caller = caller;
  exchange.request = head;
  exchange.body = body;
  exchange.arrived_at = BootNow();
  if (!Ok(spec)) {
    AnswerOwn(id, kStatusBadRequest, Duration::zero(), ErrorOf(spec).message);
    return;
  }
  Value(spec).content = FingerprintOf({head.target, body});
  exchange.spec = Value(spec);
  Submit(forward_event::Arrived{id, std::move(Value(spec))});
}

void ForwardService::OnCallerLeft(
    const std::shared_ptr<CallerConnection>& caller) {
  if (caller->request_id == 0) return;
  Submit(forward_event::CallerLeft{caller->request_id});
  Forget(caller->request_id);
  metrics_.Count("callers_left_total");
}

void ForwardService::OnReadinessRequest(
    const std::shared_ptr<CallerConnection>& caller) {
  HttpHead head;
  head.status = node_.Ready(BootNow()) ? kStatusOk : 503;
  caller->Answer(head, "");
}

void ForwardService::OnAdminRequest(
    const std::shared_ptr<CallerConnection>& caller) {
  const TimePoint now = BootNow();
  metrics_.SetGauge("active_requests",
                    static_cast<double>(node_.active_requests()));
  metrics_.SetGauge("queued_requests",
                    static_cast<double>(node_.queued_requests()));
  metrics_.SetGauge("live_nodes", node_.membership().AliveCount(now));
  metrics_.SetGauge("suspected_requests",
                    static_cast<double>(node_.suspects().size()));
  metrics_.SetGauge("known_nodes", node_.membership().ShareholderCount(now));
  metrics_.SetGauge("retry_share", node_.retry_share());
  metrics_.SetGauge("upstream_connections_opened",
                    static_cast<double>(upstream_pool_.opened()));
  metrics_.SetGauge("ready", node_.Ready(now) ? 1 : 0);
  if (const std::optional<Duration> age = node_.TablesAge(now)) {
    metrics_.SetGauge("tables_age_seconds", ToSeconds(*age));
  }
  HttpHead head;
  head.status = kStatusOk;
  head.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
  caller->Answer(head, metrics_.Render());
}

// Attempts.

void ForwardService::Do(const forward_action::SendAttempt& send) {
  Exchange* exchange = Find(send.id);
  if (exchange == nullptr) return;
  const TimePoint now = BootNow();
  const ForwardId id = send.id;
  exchange->answer = HttpHead();
  exchange->facts = AnswerFacts();
  DropHeldAnswer(exchange);
  exchange->passing_events = false;
  exchange->is_stream = send.kind == RouteKind::kStreaming;
  if (exchange->events.has_value()) {
    exchange->events->DropPartial();
  } else {
    exchange->events.emplace(exchange->spec.last_event_id);
  }
  const Duration remaining = send.deadline - now;
  const std::vector<HttpField> fields = codec_.encode_attempt(
      exchange->request, {send.upstream, send.customer, send.priority,
                          remaining, send.last_event_id});
  exchange->attempt = upstream_pool_.Take(
      send.address,
      send.reuse_connection ? kMaxIdleForRetryable : kMaxIdleForNonIdempotent,
      now);
  metrics_.Count("attempts_total");
  if (send.repeat_after.has_value()) {
    metrics_.Count("repeats_total", std::string("after=\"") +
                                        ToString(*send.repeat_after) + "\"");
  }
  ExchangeHandlers handlers;
  handlers.on_head = [this, id](const HttpHead& head) {
    return OnAnswerHead(id, head);
  };
  handlers.on_body = [this, id](const std::string& bytes) {
    OnAnswerBody(id, bytes);
  };
  handlers.on_end = [this, id](ExchangeEnd end) { OnAttemptEnd(id, end); };
  exchange->attempt->Start(
      RenderRequest(exchange->request, fields, exchange->body),
      exchange->request.method, kConnectTimeout, std::move(handlers),
      send.send_before);
}

bool ForwardService::OnAnswerHead(ForwardId id, const HttpHead& head) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return false;
  AnswerFacts facts = codec_.decode_answer(head);
  if (facts.trace_id.has_value() &&
      *facts.trace_id != exchange->spec.trace_id) {
    metrics_.Count("foreign_answers_total");
    Log(LogLevel::kWarn, "foreign_answer",
        {{"request", exchange->spec.trace_id}, {"answer_to", *facts.trace_id}});
    return false;
  }
  if (facts.load_is_unreadable) {
    metrics_.Count("loads_unreadable_total");
    Log(LogLevel::kWarn, "load_unreadable",
        {{"request", exchange->spec.trace_id},
         {"upstream", exchange->attempt->address()}});
  }
  exchange->answer = head;
  exchange->facts = std::move(facts);
  exchange->passing_events = exchange->is_stream && head.status == kStatusOk &&
                             exchange->facts.is_signed &&
                             exchange->facts.trace_id.has_value() &&
                             !exchange->facts.is_encoded;
  return true;
}

void ForwardService::OnAnswerBody(ForwardId id, const std::string& bytes) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  if (!exchange->passing_events) {
    if (exchange->answer_body.size() + bytes.size() >
            kMaxBufferedResponseBytes ||
        held_answer_bytes_ + bytes.size() > kMaxTotalBufferedBytes) {
      RejectAnswer(id, "response is too large");
      return;
    }
    held_answer_bytes_ += bytes.size();
    exchange->answer_body += bytes;
    return;
  }
  const bool is_first = exchange->events->passed_on() == 0;
  const EventBatch batch = exchange->events->Append(bytes);
  if (exchange->events->partial_bytes() > kMaxEventBytes) {
    RejectAnswer(id, "event is too large");
    return;
  }
  if (batch.count == 0) return;
  BeginAnswer(exchange);
  exchange->caller->Part(batch.bytes);
  if (is_first) {
    metrics_.Observe("first_event_seconds", "",
                     BootNow() - exchange->arrived_at);
  }
  const std::optional<std::int64_t> last_id = exchange->events->last_id();
  Submit(forward_event::FirstEvent{id});
  Submit(forward_event::EventsPassed{id, last_id});
}

void ForwardService::RejectAnswer(ForwardId id, const char* reason) {
  Exchange* exchange = Find(id);
  Log(LogLevel::kWarn, "answer_rejected",
      {{"request", exchange->spec.trace_id},
       {"upstream", exchange->attempt->address()},
       {"reason", reason},
       {"held_bytes", std::to_string(held_answer_bytes_)}});
  metrics_.Count("answers_rejected_total");
  exchange->attempt->Abort();
  exchange->attempt.reset();
  DropHeldAnswer(exchange);
  Submit(forward_event::AttemptEnded{
      id, ForwardEnd::kInvalid, exchange->answer.status, exchange->facts.load});
}

void ForwardService::DropHeldAnswer(Exchange* exchange) {
  held_answer_bytes_ -= exchange->answer_body.size();
  exchange->answer_body = std::string();
}

void ForwardService::BeginAnswer(Exchange* exchange) {
  if (exchange->answer_begun) return;
  exchange->answer_begun = true;
  exchange->caller->BeginParts(ForwardedHead(exchange->answer));
}

void ForwardService::OnAttemptEnd(ForwardId id, ExchangeEnd end) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  upstream_pool_.Return(exchange->attempt);
  exchange->attempt.reset();
  const ForwardEnd forward_end = Classify(*exchange, end);
  Submit(forward_event::AttemptEnded{id, forward_end, exchange->answer.status,
                                     exchange->facts.load});
}

ForwardEnd ForwardService::Classify(const Exchange& exchange,
                                    ExchangeEnd end) const {
  if (end == ExchangeEnd::kNotSent) return ForwardEnd::kNotSent;
  if (exchange.facts.not_run) return ForwardEnd::kRefused;
  if (end == ExchangeEnd::kBroken) return ForwardEnd::kBroken;
  if (end == ExchangeEnd::kInvalid) return ForwardEnd::kInvalid;
  const int status = exchange.answer.status;
  if (exchange.passing_events) {
    const bool is_complete =
        !exchange.events->has_partial() && !exchange.events->gap();
    return is_complete ? ForwardEnd::kCompleted : ForwardEnd::kInvalid;
  }
  if (IsSuccess(status)) {
    const bool is_verified =
        exchange.facts.is_signed && exchange.facts.trace_id.has_value() &&
        !exchange.facts.is_encoded && !exchange.answer_begun;
    return is_verified ? ForwardEnd::kCompleted : ForwardEnd::kInvalid;
  }
  if (ImpliesNotRun(status)) return ForwardEnd::kInvalid;
  return status >= kMinStatusServerError ? ForwardEnd::kFailed
                                         : ForwardEnd::kCompleted;
}

void ForwardService::Do(const forward_action::CancelAttempt& cancel) {
  Exchange* exchange = Find(cancel.id);
  if (exchange == nullptr || exchange->attempt == nullptr) return;
  exchange->attempt->Abort();
  exchange->attempt.reset();
  metrics_.Count("attempts_cancelled_total");
}

// Responses to callers.

void ForwardService::Do(const forward_action::Deliver& deliver) {
  Exchange* exchange = Find(deliver.id);
  if (exchange == nullptr) return;
  metrics_.Count("answers_total", StatusLabel(exchange->answer.status));
  metrics_.Observe("answer_seconds",
                   exchange->is_stream ? "kind=\"stream\"" : "kind=\"plain\"",
                   BootNow() - exchange->arrived_at);
  if (exchange->passing_events) {
    BeginAnswer(exchange);  // Not started yet if the stream had no events.
    exchange->caller->EndParts();
  } else {
    exchange->caller->Answer(ForwardedHead(exchange->answer),
                             exchange->answer_body);
  }
  Forget(deliver.id);
}

void ForwardService::Do(const forward_action::Refuse& reject) {
  AnswerOwn(reject.id, reject.not_run.http_status, reject.not_run.retry_after,
            reject.not_run.detail);
}

void ForwardService::Do(const forward_action::Fail& fail) {
  AnswerOwn(fail.id, fail.status, Duration::zero(), fail.reason);
}

void ForwardService::AnswerOwn(ForwardId id, int status, Duration retry_after,
                               const std::string& detail) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  metrics_.Count("own_answers_total", StatusLabel(status));
  if (exchange->answer_begun) {
    exchange->caller->Abort();
  } else {
    HttpHead head;
    head.status = status;
    head.fields = codec_.encode_own_answer(exchange->spec, retry_after);
    exchange->caller->Answer(head, detail + "\n");
  }
  Forget(id);
}

void ForwardService::Do(const forward_action::SendHeartbeat& send) {
  heartbeats_.Send(send.message);
  metrics_.Count("heartbeats_sent_total");
}

void ForwardService::Do(const forward_action::ReadTables&) {
  if (options_.read_tables) options_.read_tables();
}

void ForwardService::Do(const forward_action::KeepSuspects& persist) {
  if (options_.keep_suspects) options_.keep_suspects(persist.refused);
}

void ForwardService::Do(const forward_action::LogDecision& line) {
  Log(line.level, line.event, line.fields);
}

void ForwardService::Forget(ForwardId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  if (found->second.attempt != nullptr) found->second.attempt->Abort();
  DropHeldAnswer(&found->second);
  found->second.caller->request_id = 0;
  exchanges_.erase(found);
}

ForwardService::Exchange* ForwardService::Find(ForwardId id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

// Timer and drain.

void ForwardService::ArmTimer() {
  const TimePoint now = BootNow();
  const TimePoint due = node_.NextDue(now);
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
  const TimePoint now = BootNow();
  if (now - idle_swept_at_ > kIdleCloseInterval) {
    idle_swept_at_ = now;
    upstream_pool_.CloseIdle(now);
  }
  Submit(forward_event::Ticked{});
  FlushLog();
}

void ForwardService::Drain(std::function<void()> on_drained) {
  if (drain_started_.has_value()) return;
  drain_started_ = BootNow();
  on_drained_ = std::move(on_drained);
  Submit(forward_event::DrainStarted{});
  caller_server_.CloseAfterAnswers();
  ContinueDrain();
}

void ForwardService::ContinueDrain() {
  const Duration elapsed = BootNow() - *drain_started_;
  const bool balancer_noticed = elapsed >= kBalancerRemovalTime;
  if (balancer_noticed) {
    caller_server_.StopAccepting();
    caller_server_.CloseIdleConnections();
  }
  const bool timed_out = elapsed >= options_.node.drain_time;
  if (timed_out || (balancer_noticed && exchanges_.empty() &&
                    caller_server_.connection_count() == 0)) {
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
