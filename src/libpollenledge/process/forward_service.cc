#include "pollenledge/process/forward_service.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pollenledge {
namespace {

/// An upstream in reach accepts within one round trip; several times that
/// still leaves time to go elsewhere.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// A request that may run only once goes out on a connection that was used
/// just now: on an older one it may cross the upstream's close.
constexpr Duration kFreshForOnce = std::chrono::milliseconds(300);
constexpr Duration kFreshForRepeatable = std::chrono::seconds(30);
/// The balancer asks each second and takes a node out after two misses.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(3200);
/// What is still in progress this long before the end of the grace is cut.
constexpr Duration kGraceMargin = std::chrono::milliseconds(400);
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
constexpr Duration kIdleSweep = std::chrono::seconds(2);
/// An answer that is no stream is held until it is whole, up to this size.
constexpr std::size_t kMaxHeldAnswer = std::size_t{4} * 1024 * 1024;
/// The same of all answers together: a fifth of the smallest machine's memory.
constexpr std::size_t kMaxHeldAnswers = std::size_t{32} * 1024 * 1024;
/// Longest event of a stream.
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusClientErrors = 400;
constexpr int kStatusServerErrors = 500;

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusOk + 100;
}

/// Statuses that promise that the request did not run. An upstream's own,
/// without its word that it did not run, must not be passed on as a promise.
bool PromisesNotRun(int status) {
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

/// The head of an upstream's answer as the caller gets it.
HttpHead ForwardedAnswer(const HttpHead& answer) {
  const std::string* connection = answer.Find("Connection");
  HttpHead head;
  head.status = answer.status;
  head.reason = answer.reason;
  for (const HttpField& field : answer.fields) {
    if (IsHopByHop(field.name, connection == nullptr ? "" : *connection)) {
      continue;
    }
    head.fields.push_back(field);
  }
  return head;
}

ForwardServiceOptions WithDrainTime(ForwardServiceOptions options) {
  options.node.drain_time = options.grace - kGraceMargin;
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
      options_(WithDrainTime(std::move(options))),
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
  // From now on the node knows the time of day.
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
      std::visit([this](const auto& known) { Do(known); }, action);
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
    AnswerOwn(id, kStatusClientErrors, Duration::zero(), ErrorOf(spec).message);
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
  const Duration left = send.deadline - now;
  const std::vector<HttpField> fields = codec_.encode_attempt(
      exchange->request,
      {send.upstream, send.customer, send.priority, left, send.last_event_id});
  exchange->attempt = upstream_pool_.Take(
      send.address, send.reuse_connection ? kFreshForRepeatable : kFreshForOnce,
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
  handlers.on_body = [this, id](const std::string& part) {
    OnAnswerBody(id, part);
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

void ForwardService::OnAnswerBody(ForwardId id, const std::string& part) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  if (!exchange->passing_events) {
    if (exchange->answer_body.size() + part.size() > kMaxHeldAnswer ||
        held_answer_bytes_ + part.size() > kMaxHeldAnswers) {
      RejectAnswer(id, "answer is too long");
      return;
    }
    held_answer_bytes_ += part.size();
    exchange->answer_body += part;
    return;
  }
  const bool first = exchange->events->passed_on() == 0;
  const EventBatch batch = exchange->events->Append(part);
  if (exchange->events->partial_bytes() > kMaxEventBytes) {
    RejectAnswer(id, "event is too long");
    return;
  }
  if (batch.count == 0) return;
  BeginAnswer(exchange);
  exchange->caller->Part(batch.bytes);
  if (first) {
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
  exchange->caller->BeginParts(ForwardedAnswer(exchange->answer));
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
    const bool whole =
        !exchange.events->has_partial() && !exchange.events->gap();
    return whole ? ForwardEnd::kCompleted : ForwardEnd::kInvalid;
  }
  if (IsSuccess(status)) {
    const bool proven = exchange.facts.is_signed &&
                        exchange.facts.trace_id.has_value() &&
                        !exchange.facts.is_encoded && !exchange.answer_begun;
    return proven ? ForwardEnd::kCompleted : ForwardEnd::kInvalid;
  }
  if (PromisesNotRun(status)) return ForwardEnd::kInvalid;
  return status >= kStatusServerErrors ? ForwardEnd::kFailed
                                       : ForwardEnd::kCompleted;
}

void ForwardService::Do(const forward_action::CancelAttempt& cancel) {
  Exchange* exchange = Find(cancel.id);
  if (exchange == nullptr || exchange->attempt == nullptr) return;
  exchange->attempt->Abort();
  exchange->attempt.reset();
  metrics_.Count("attempts_cancelled_total");
}

// Answers.

void ForwardService::Do(const forward_action::Deliver& deliver) {
  Exchange* exchange = Find(deliver.id);
  if (exchange == nullptr) return;
  metrics_.Count("answers_total", StatusLabel(exchange->answer.status));
  metrics_.Observe("answer_seconds",
                   exchange->is_stream ? "kind=\"stream\"" : "kind=\"plain\"",
                   BootNow() - exchange->arrived_at);
  if (exchange->passing_events) {
    BeginAnswer(exchange);  // A stream without events.
    exchange->caller->EndParts();
  } else {
    exchange->caller->Answer(ForwardedAnswer(exchange->answer),
                             exchange->answer_body);
  }
  Forget(deliver.id);
}

void ForwardService::Do(const forward_action::Refuse& refuse) {
  AnswerOwn(refuse.id, refuse.not_run.http_status, refuse.not_run.retry_after,
            refuse.not_run.detail);
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

void ForwardService::Do(const forward_action::KeepSuspects& keep) {
  if (options_.keep_suspects) options_.keep_suspects(keep.refused);
}

void ForwardService::Do(const forward_action::LogDecision& decision) {
  Log(decision.level, decision.event, decision.fields);
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

// Time.

void ForwardService::ArmTimer() {
  const TimePoint now = BootNow();
  const TimePoint due = node_.NextDue(now);
  if (timer_at_.has_value() && *timer_at_ <= due) return;
  timer_at_ = due;
  timer_.expires_after(
      std::max<Duration>(due - now, std::chrono::milliseconds(1)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;  // Armed anew.
    timer_at_.reset();
    OnTimer();
  });
}

void ForwardService::OnTimer() {
  const TimePoint now = BootNow();
  if (now - idle_swept_at_ > kIdleSweep) {
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
  const Duration since = BootNow() - *drain_started_;
  const bool balancer_knows = since >= kBalancerDelay;
  if (balancer_knows) {
    caller_server_.StopAccepting();
    caller_server_.CloseIdleConnections();
  }
  const bool over = since >= options_.node.drain_time;
  if (over || (balancer_knows && exchanges_.empty() &&
               caller_server_.connection_count() == 0)) {
    on_drained_();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kDrainPoll);
  timer->async_wait([this, timer](const boost::system::error_code& error) {
    if (!error) ContinueDrain();
  });
}

}  // namespace pollenledge
