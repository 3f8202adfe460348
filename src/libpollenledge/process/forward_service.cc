#include "pollenledge/process/forward_service.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pollenledge {
namespace {

/// Time after which the load balancer has removed a draining node. It probes
/// readiness every second and removes a node after two failed probes.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(3200);
/// Requests still in progress this long before the end of the grace period are
/// aborted.
constexpr Duration kGracePeriodMargin = std::chrono::milliseconds(400);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kIdleCloseInterval = std::chrono::seconds(2);
/// A late loop is logged at most once per interval.
constexpr Duration kLoopDelayLogInterval = std::chrono::seconds(1);
/// Path on the admin address, followed by the fingerprint of a suspect.
constexpr std::string_view kSuspectsPath = "/suspects/";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
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
      byte_budget_(std::make_shared<ByteBudget>(options_.byte_limits)),
      upstream_pool_(loop),
      prompt_cache_client_(loop, codec_),
      upstream_reports_(loop, codec_),
      response_end_verifier_(loop, codec_),
      timer_(loop),
      heartbeat_link_(
          loop, options_.peer_address,
          [this](Heartbeat heartbeat) {
            Submit(forward_event::HeartbeatReceived{std::move(heartbeat)});
          }),
      readiness_server_(loop, options_.readiness_address, ReadinessHandlers()),
      admin_server_(loop, options_.admin_address, AdminHandlers()),
      caller_server_(loop, options_.caller_address, RequestHandlers(false)) {
  if (!options_.metrics_address.empty()) {
    metrics_server_.emplace(loop, options_.metrics_address, AdminHandlers());
  }
  StartRelayServer();
  node_.SetUnreadResponseSource([this](ForwardId id) {
    const Exchange* exchange = FindExchange(id);
    return exchange != nullptr && exchange->upstream_connection != nullptr &&
           (exchange->verifying_end ||
            exchange->upstream_connection->HasUnhandledInput());
  });
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
  loop_delay_.OnEvent(BootClockNow());
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
                               const HttpHead& head, std::string body,
                               bool is_relayed) {
  const ForwardId id = next_id_++;
  caller->request_id = id;
  Result<ForwardSpec> spec = codec_.decode_request(head);
  Exchange& exchange = exchanges_[id];
  exchange.caller = caller;
  exchange.request_head = head;
  exchange.request_body = std::make_shared<const std::string>(std::move(body));
  exchange.arrived_at = BootClockNow();
  if (!Ok(spec)) {
    SendOwnResponse(id, kStatusBadRequest, Duration::zero(),
                    ErrorOf(spec).message);
    return;
  }
  Value(spec).is_relayed = is_relayed;
  if (!is_relayed) {
    // Only other nodes may state these.
    Value(spec).min_tables_version = 0;
    Value(spec).max_runs.reset();
  }
  SetContentFingerprints(head.target, *exchange.request_body, &Value(spec));
  if (const ForwardingIndex* index = node_.tables_index().get()) {
    const ForwardingCustomer* customer =
        index->FindCustomer(Value(spec).api_key);
    if (customer != nullptr) caller->SetCustomer(customer->name);
  }
  if (Value(spec).expected_tokens_unreadable)
    metrics_.IncrementCounter("response_hints_unreadable_total");
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
  metrics_.SetGauge("predictive_services", node_.predictive_services());
  metrics_.SetGauge("stalled_upstreams", node_.stalls().stalled_count());
  metrics_.SetGauge("known_nodes", node_.membership().KnownNodeCount(now));
  metrics_.SetGauge("retry_share", node_.max_saved_retries());
  metrics_.SetGauge("upstream_connections_opened",
                    static_cast<double>(upstream_pool_.opened_count()));
  metrics_.SetGauge("prompt_cache_segments",
                    static_cast<double>(node_.prompt_caches().segment_count()));
  metrics_.SetGauge("prompt_cache_events_missed",
                    static_cast<double>(node_.prompt_caches().missed_events()));
  metrics_.SetGauge(
      "prompt_cache_watched_upstreams",
      static_cast<double>(node_.prompt_cache_watch().watched_count()));
  SetMemoryGauges();
  SetHeartbeatGauges();
  // The lowest level and the highest pressure of the services.
  double admission_level = 1;
  double admission_pressure = 0;
  for (const AdmissionLevel& level : node_.admission().Levels(now)) {
    admission_level = std::min(admission_level, level.level);
    admission_pressure = std::max(admission_pressure, level.pressure);
  }
  metrics_.SetGauge("admission_level", admission_level);
  metrics_.SetGauge("admission_pressure", admission_pressure);
  metrics_.SetGauge("ready", node_.IsReady(now) ? 1 : 0);
  if (const std::optional<Duration> age = node_.TablesAge(now)) {
    metrics_.SetGauge("tables_age_seconds", ToSeconds(*age));
  }
  HttpHead head;
  head.status = kStatusOk;
  head.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
  caller->SendResponse(head, metrics_.Render());
}

void ForwardService::SetHeartbeatGauges() {
  const HeartbeatTraffic& traffic = heartbeat_link_.traffic();
  metrics_.SetGauge("heartbeat_sent_bytes",
                    static_cast<double>(traffic.sent_bytes));
  metrics_.SetGauge("heartbeat_received_bytes",
                    static_cast<double>(traffic.received_bytes));
  metrics_.SetGauge("heartbeat_send_failures",
                    static_cast<double>(traffic.send_failures));
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

// Responses to callers.

void ForwardService::StartResponse(Exchange* exchange) {
  if (exchange->response_started) return;
  exchange->response_started = true;
  exchange->caller->StartChunkedResponse(
      ForwardedHead(exchange->response_head));
}

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
    std::string body = std::move(exchange->response_body);
    DiscardBufferedResponse(exchange);
    exchange->caller->SendResponse(ForwardedHead(exchange->response_head),
                                   std::move(body));
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
    head.fields =
        codec_.encode_local_response(exchange->request_head, retry_after);
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

void ForwardService::Execute(const forward_action::ParseTables& parse) {
  if (!options_.parse_tables) return;
  Result<ForwardingTables> tables = options_.parse_tables(parse.document);
  if (!Ok(tables)) {
    Log(LogLevel::kError, "tables_rejected",
        {{"peer", parse.peer}, {"error", ErrorOf(tables).message}});
    return;
  }
  Submit(forward_event::TablesFromPeer{
      std::make_shared<const ForwardingIndex>(std::move(Value(tables)),
                                              parse.document),
      parse.peer, parse.confirmed_at});
}

void ForwardService::Execute(const forward_action::ReadSuspects&) {
  if (options_.read_suspects) options_.read_suspects();
}

void ForwardService::Execute(const forward_action::ReadUpstreams&) {
  if (options_.read_upstreams) options_.read_upstreams();
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

void ForwardService::Execute(const forward_action::Count& count) {
  metrics_.IncrementCounter(count.counter, count.labels);
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
  const std::optional<TimePoint>& armed = loop_delay_.timer_due();
  if (armed.has_value() && *armed <= due) return;
  loop_delay_.OnTimerArmed(std::max(due, now));
  timer_.expires_after(
      std::max<Duration>(due - now, std::chrono::milliseconds(1)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;  // Cancelled because the timer was armed again.
    OnTimer();
  });
}

void ForwardService::RecordLoopDelay(TimePoint now, Duration delay) {
  metrics_.Observe("loop_delay_seconds", "",
                   std::max<Duration>(delay, Duration::zero()));
  if (delay < LoopDelayMonitor::kMinDelay ||
      now - loop_delay_logged_at_ < kLoopDelayLogInterval)
    return;
  loop_delay_logged_at_ = now;
  Log(LogLevel::kWarn, "loop_delayed",
      {{"delay_ms", FormatMilliseconds(delay)},
       {"requests", std::to_string(exchanges_.size())}});
}

void ForwardService::OnTimer() {
  const TimePoint now = BootClockNow();
  RecordLoopDelay(now, loop_delay_.OnTimer(now));
  if (now - idle_connections_closed_at_ > kIdleCloseInterval) {
    idle_connections_closed_at_ = now;
    upstream_pool_.CloseIdle(now);
  }
  Submit(forward_event::Ticked{});
  FlushLog();
}

void ForwardService::Drain(std::function<void()> on_drained) {
  if (drain_started_.has_value()) return;
  const TimePoint now = BootClockNow();
  drain_started_ = now;
  loop_delay_.OnEvent(now);
  grace_started_ = loop_delay_.EarliestArrival(now);
  on_drained_ = std::move(on_drained);
  Submit(forward_event::DrainStarted{now - grace_started_});
  prompt_cache_client_.Stop();
  caller_server_.CloseAfterResponses();
  if (relay_server_.has_value()) relay_server_->CloseAfterResponses();
  ContinueDrain();
}

void ForwardService::LogDrainEnd(Duration elapsed, bool timed_out) {
  Log(exchanges_.empty() ? LogLevel::kInfo : LogLevel::kWarn, "drained",
      {{"after_ms", FormatMilliseconds(elapsed)},
       {"timed_out", timed_out ? "yes" : "no"},
       {"requests", std::to_string(exchanges_.size())},
       {"connections", std::to_string(caller_server_.CountOpenConnections())}});
}

void ForwardService::ContinueDrain() {
  const TimePoint now = BootClockNow();
  const Duration elapsed = now - *drain_started_;
  const bool timed_out =
      now - grace_started_ >= options_.node_options.drain_timeout;
  const bool balancer_noticed = elapsed >= kBalancerRemovalTime;
  if (balancer_noticed || timed_out) {
    caller_server_.StopAccepting();
    caller_server_.CloseIdleConnections();
    if (relay_server_.has_value()) {
      relay_server_->StopAccepting();
      relay_server_->CloseIdleConnections();
    }
  }
  const std::size_t relay_connections =
      relay_server_.has_value() ? relay_server_->CountOpenConnections() : 0;
  if (timed_out ||
      (balancer_noticed && exchanges_.empty() &&
       caller_server_.CountOpenConnections() == 0 && relay_connections == 0)) {
    LogDrainEnd(elapsed, timed_out);
    if (timed_out) Submit(forward_event::DrainTimedOut{});
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
