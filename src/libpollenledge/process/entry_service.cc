#include "pollenledge/process/entry_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/process/clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

constexpr std::size_t kWorkerThreads = 8;
// Maximum number of jobs that wait in one thread pool.
constexpr std::size_t kMaxQueuedJobs = 65536;
constexpr std::size_t kHandOverThreads = 32;
constexpr std::size_t kLoadPollThreads = 4;
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Interval between checks for a disconnected caller while no command arrives.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kLoadPollTimeout = std::chrono::milliseconds(500);
// Maximum rate of claim writes of all entries together, per second. The
// key-value service sustains several hundred.
constexpr double kMaxClaimWritesPerSecond = 300;
// Minimum time between the starts of two batches of claim writes.
constexpr Duration kMinClaimInterval = std::chrono::milliseconds(20);
// Number of tokens between two checks whether the caller of a response that is
// not streamed is still connected.
constexpr std::int64_t kTokensPerCallerCheck = 16;

// Returns the minimum time between two batches of claim writes of one entry.
Duration ClaimInterval(int entries) {
  return std::max(kMinClaimInterval,
                  FromSeconds(entries / kMaxClaimWritesPerSecond));
}

std::string OutcomeName(const Outcome& outcome) {
  return std::visit(
      Overloaded{[](const Completed&) { return std::string("completed"); },
                 [](const NotRun& not_run) { return not_run.problem_type; },
                 [](const UnknownOutcome&) { return std::string("unknown"); }},
      outcome);
}

EntryOptions MakeOptions(const Settings& settings, const NodeId& node) {
  EntryOptions options;
  options.self.id = node;
  options.self.domain = settings.domain;
  options.self.peer_address = settings.peer_address;
  options.self.admin_address = settings.admin_address;
  options.seeds = settings.peers;
  options.expected_entries = settings.expected_entries;
  options.domain_distances =
      DomainDistances(settings.domain, settings.domain_distance);
  for (const DomainDistance& distance : settings.distances) {
    options.domain_distances.Set(distance.domain, distance.one_way);
  }
  options.random_seed = HashText(node.name) ^ node.incarnation;
  options.max_active_requests = static_cast<std::size_t>(settings.max_requests);
  options.time_line_capacity =
      static_cast<std::size_t>(settings.time_line_events);
  return options;
}

}  // namespace

void Exchange::PostCommand(ExchangeCommand command) {
  {
    const std::lock_guard lock(mutex_);
    commands_.push_back(std::move(command));
  }
  command_posted_.notify_all();
}

std::optional<ExchangeCommand> Exchange::WaitForCommand(Duration timeout) {
  std::unique_lock lock(mutex_);
  command_posted_.wait_for(lock, timeout,
                           [this] { return !commands_.empty(); });
  if (commands_.empty()) return std::nullopt;
  ExchangeCommand command = std::move(commands_.front());
  commands_.pop_front();
  return command;
}

EntryService::EntryService(const Settings& settings, NodeId node)
    : settings_(settings),
      node_id_(std::move(node)),
      node_(MakeOptions(settings, node_id_)),
      claim_store_(KvClient(settings.kv_address, settings.kv_timeout),
                   ClaimInterval(settings.expected_entries)),
      workers_(kWorkerThreads, kMaxQueuedJobs),
      hand_over_workers_(kHandOverThreads, kMaxQueuedJobs),
      load_pollers_(kLoadPollThreads, kMaxQueuedJobs) {}

EntryService::~EntryService() {
  {
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (timer_thread_.joinable()) timer_thread_.join();
  // The jobs use the peer link and the other pools, so each pool is stopped
  // before what its jobs use is destroyed.
  load_pollers_.Stop();
  hand_over_workers_.Stop();
  workers_.Stop();
  peer_link_.reset();
}

void EntryService::Start() {
  PeerLink::Options options;
  options.listen_address = settings_.peer_address;
  options.token = settings_.peer_token;
  peer_link_ = std::make_unique<PeerLink>(options, this);
  timer_thread_ = std::thread([this] { RunTimerLoop(); });
}

std::shared_ptr<const Tables> EntryService::tables() const {
  const std::lock_guard lock(node_mutex_);
  return node_.tables();
}

bool EntryService::ready() const {
  const std::lock_guard lock(node_mutex_);
  return node_.ready();
}

void EntryService::Drain(std::optional<Duration> remaining) {
  Submit(event::DrainRequested{remaining});
}

std::string EntryService::Metrics() const {
  const std::lock_guard lock(node_mutex_);
  return RenderMetrics(node_.stats(), node_.cost_ledger(),
                       node_.active_requests(),
                       node_.membership().AliveCount(ReadClocks().monotonic));
}

std::shared_ptr<Exchange> EntryService::OpenExchange(
    const std::string& customer, const std::string& path,
    const std::string& body) {
  RequestId id;
  {
    const std::lock_guard lock(node_mutex_);
    id = node_.NextRequestId();
  }
  auto exchange = std::make_shared<Exchange>(id, customer, path, body);
  const std::lock_guard lock(exchanges_mutex_);
  exchanges_[id] = exchange;
  return exchange;
}

ExchangeResult EntryService::RunCompletion(
    const std::shared_ptr<Exchange>& exchange, const CompletionRequest& request,
    const CallerSink& sink) {
  Submit(event::RequestArrived{exchange->id(), request.spec});
  ExchangeResult result = RunCommands(exchange, request, sink);
  FinishExchange(exchange, result);
  return result;
}

ExchangeResult EntryService::RunCommands(
    const std::shared_ptr<Exchange>& exchange, const CompletionRequest& request,
    const CallerSink& sink) {
  bool reported_disconnect = false;
  while (true) {
    std::optional<ExchangeCommand> command =
        exchange->WaitForCommand(kCallerCheckInterval);
    if (!command.has_value()) {
      if (reported_disconnect) {
        const std::lock_guard lock(node_mutex_);
        if (node_.HasRequest(exchange->id())) continue;
        return Outcome(UnknownOutcome{"the caller disconnected", Duration(0)});
      }
      if (!sink.is_connected()) {
        reported_disconnect = true;
        Submit(event::CallerDisconnected{exchange->id()});
      }
      continue;
    }
    if (const auto* dispatch = std::get_if<action::Dispatch>(&*command)) {
      RunAttempt(exchange, *dispatch, request, sink);
    } else if (const auto* report =
                   std::get_if<action::ReportOutcome>(&*command)) {
      return report->outcome;
    } else if (const auto* replay =
                   std::get_if<action::ReplayResponse>(&*command)) {
      return replay->record;
    } else if (TryHandOver(exchange, std::get<action::HandOver>(*command))) {
      return HandedOverTo{std::get<action::HandOver>(*command).peer};
    }
  }
}

void EntryService::RunAttempt(const std::shared_ptr<Exchange>& exchange,
                              const action::Dispatch& dispatch,
                              const CompletionRequest& request,
                              const CallerSink& sink) {
  ResponseBuffer& buffer = exchange->response();
  exchange->attempt_control().BeginAttempt(dispatch.attempt);
  ResumePoint resume = dispatch.resume;
  resume.delivered_tokens = buffer.tokens();
  EngineAttempt attempt;
  attempt.address = dispatch.address;
  attempt.path = exchange->path();
  attempt.body = MakeEngineRequestBody(
      exchange->body(), exchange->id(), resume,
      resume.delivered_tokens > 0 ? ExtractText(buffer.Events()) : "");
  attempt.request_id = ToString(exchange->id());
  attempt.rank = dispatch.rank;
  attempt.timeout = settings_.upstream_timeout;
  attempt.delivered_tokens = resume.delivered_tokens;
  bool caller_disconnected = false;
  EngineSink engine_sink;
  engine_sink.on_plain_response = [&](const HttpResponse& response) {
    buffer.Start(response.status, response.content_type);
    buffer.SetWholeBody(response.body);
  };
  engine_sink.on_first_token = [&] {
    buffer.Start(
        200, request.spec.stream ? "text/event-stream" : "application/json");
    Submit(event::FirstTokenReceived{exchange->id(), dispatch.attempt});
  };
  engine_sink.on_event = [&](const std::string& event, std::int64_t tokens) {
    const bool is_end = event.compare(0, 12, "data: [DONE]") == 0;
    const bool is_usage = tokens == 0 && !is_end;
    if (is_usage && !request.include_usage) return true;
    if (!request.spec.stream && tokens == 0) return true;
    buffer.AppendEvent(event, tokens);
    const bool check_caller =
        request.spec.stream || buffer.tokens() % kTokensPerCallerCheck == 0;
    if (!check_caller || caller_disconnected) return true;
    caller_disconnected =
        !sink.on_event(request.spec.stream ? event : "", tokens);
    // A non-idempotent request continues without its caller.
    return !caller_disconnected || !dispatch.idempotent;
  };
  event::AttemptFinished finished =
      RunEngineAttempt(attempt, engine_sink, &exchange->attempt_control());
  finished.id = exchange->id();
  finished.attempt = dispatch.attempt;
  if (finished.result == AttemptOutcome::kCompleted) {
    if (!request.spec.stream && finished.http_status == 200) {
      buffer.SetWholeBody(
          MakeNonStreamingResponse(request, exchange->id(), buffer.Events()));
    }
    if (!dispatch.idempotent) {
      const ResponseChunk response = buffer.Read(0, Duration(0));
      finished.response = StoredResponse{response.content_type, response.data};
    }
  }
  Submit(finished);
}

ExchangeResult EntryService::RunServiceCall(
    const std::shared_ptr<Exchange>& exchange, const RequestSpec& spec,
    const ServiceAttempt& call, HttpResponse* response) {
  Submit(event::RequestArrived{exchange->id(), spec});
  while (true) {
    std::optional<ExchangeCommand> command =
        exchange->WaitForCommand(kCallerCheckInterval);
    if (!command.has_value()) continue;
    if (const auto* dispatch = std::get_if<action::Dispatch>(&*command)) {
      exchange->attempt_control().BeginAttempt(dispatch->attempt);
      ServiceAttempt attempt = call;
      attempt.address = dispatch->address;
      attempt.timeout = settings_.upstream_timeout;
      attempt.headers["X-Request-Id"] = ToString(exchange->id());
      event::AttemptFinished finished =
          RunServiceAttempt(attempt, &exchange->attempt_control(), response);
      finished.id = exchange->id();
      finished.attempt = dispatch->attempt;
      if (finished.result == AttemptOutcome::kCompleted) {
        exchange->response().Start(response->status, response->content_type);
        exchange->response().SetWholeBody(response->body);
        finished.response =
            StoredResponse{response->content_type, response->body};
      }
      Submit(finished);
    } else if (const auto* report =
                   std::get_if<action::ReportOutcome>(&*command)) {
      FinishExchange(exchange, report->outcome);
      return report->outcome;
    } else if (const auto* replay =
                   std::get_if<action::ReplayResponse>(&*command)) {
      FinishExchange(exchange, replay->record);
      return replay->record;
    }
  }
}

void EntryService::Submit(const EntryEvent& event) {
  std::vector<EntryAction> actions;
  {
    const std::lock_guard lock(node_mutex_);
    actions = node_.Handle(event, ReadClocks());
  }
  for (EntryAction& action : actions) ExecuteAction(std::move(action));
}

void EntryService::ExecuteAction(EntryAction action) {
  std::visit([this](const auto& concrete) { Execute(concrete); }, action);
}

void EntryService::Execute(const action::Dispatch& dispatch) {
  const auto exchange = FindExchange(dispatch.id);
  if (exchange == nullptr) return;
  Log(LogLevel::kDebug, "dispatched",
      {{"request", ToString(dispatch.id)},
       {"attempt", std::to_string(dispatch.attempt)},
       {"customer", exchange->customer()},
       {"upstream", dispatch.upstream.name}});
  exchange->PostCommand(dispatch);
}

void EntryService::Execute(const action::Interrupt& interrupt) {
  const auto exchange = FindExchange(interrupt.id);
  if (exchange != nullptr)
    exchange->attempt_control().Interrupt(interrupt.attempt);
}

void EntryService::Execute(const action::ReportOutcome& report) {
  const auto exchange = FindExchange(report.id);
  if (exchange == nullptr) return;
  const bool unknown = std::holds_alternative<UnknownOutcome>(report.outcome);
  Log(unknown ? LogLevel::kWarn : LogLevel::kDebug, "answered",
      {{"request", ToString(report.id)},
       {"customer", exchange->customer()},
       {"outcome", OutcomeName(report.outcome)}});
  exchange->PostCommand(report);
}

void EntryService::Execute(const action::ReplayResponse& replay) {
  const auto exchange = FindExchange(replay.id);
  if (exchange != nullptr) exchange->PostCommand(replay);
}

void EntryService::Execute(const action::HandOver& hand_over) {
  const auto exchange = FindExchange(hand_over.request.id);
  if (exchange == nullptr) return;
  exchange->PostCommand(hand_over);
  exchange->attempt_control().Interrupt(hand_over.request.attempts);
}

void EntryService::Execute(const action::WriteClaimRecord& write) {
  claim_store_.Write(write.key, write.write, write.retention,
                     [this, id = write.id](const ClaimReply& reply) {
                       Submit(event::ClaimReplyReceived{id, reply});
                     });
}

void EntryService::Execute(const action::ReadClaimRecord& read) {
  claim_store_.Read(read.key, [this, id = read.id](const ClaimReply& reply) {
    Submit(event::ClaimReplyReceived{id, reply});
  });
}

void EntryService::Execute(const action::QueryClaimOwner& query) {
  workers_.Submit([this, query] {
    const ClaimOwnerResponse reply =
        query.peer_address.empty()
            ? ClaimOwnerResponse{}
            : peer_link_->QueryClaimOwner(query.peer_address, query.owner);
    Submit(event::ClaimOwnerReplied{query.id, reply});
  });
}

void EntryService::Execute(const action::WriteOutcome& write) {
  claim_store_.Write(
      write.key, write.write, write.retention,
      [this, id = write.id,
       record = write.write.record](const ClaimReply& reply) {
        Submit(event::OutcomeWritten{id, OutcomeIsRecorded(reply, record)});
      });
}

void EntryService::Execute(const action::SendHeartbeat& send) {
  workers_.Submit([this, send] { peer_link_->SendHeartbeat(send.message); });
}

void EntryService::Execute(const action::SendUpstreamNotice& send) {
  workers_.Submit([this, send] {
    peer_link_->SendUpstreamNotice(
        send.address, {send.upstream, send.state, send.remaining, "peer"});
  });
}

void EntryService::Execute(const action::DrainCompleted&) { drained_ = true; }

std::shared_ptr<Exchange> EntryService::FindExchange(
    const RequestId& id) const {
  const std::lock_guard lock(exchanges_mutex_);
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second;
}

void EntryService::FinishExchange(const std::shared_ptr<Exchange>& exchange,
                                  const ExchangeResult& result) {
  exchange->response().Finish();
  const auto* outcome = std::get_if<Outcome>(&result);
  const bool has_response =
      outcome != nullptr && !std::holds_alternative<NotRun>(*outcome);
  const std::lock_guard lock(exchanges_mutex_);
  if (has_response) {
    finished_exchanges_.push_back(
        {std::chrono::steady_clock::now(), exchange->id()});
  } else {
    exchanges_.erase(exchange->id());
  }
}

void EntryService::RemoveExpiredExchanges() {
  const auto expired_before =
      std::chrono::steady_clock::now() - settings_.answer_retention;
  const std::lock_guard lock(exchanges_mutex_);
  while (!finished_exchanges_.empty() &&
         finished_exchanges_.front().first < expired_before) {
    exchanges_.erase(finished_exchanges_.front().second);
    finished_exchanges_.pop_front();
  }
}

void EntryService::RunTimerLoop() {
  auto next_poll = std::chrono::steady_clock::now();
  while (true) {
    Submit(event::TimerTicked{});
    RemoveExpiredExchanges();
    if (std::chrono::steady_clock::now() >= next_poll) {
      next_poll = std::chrono::steady_clock::now() + settings_.load_interval;
      PollLoads();
    }
    std::unique_lock lock(stop_mutex_);
    stop_requested_.wait_for(lock, kTickInterval, [this] { return stopping_; });
    if (stopping_) return;
  }
}

void EntryService::PollLoads() {
  std::vector<std::pair<UpstreamId, std::string>> targets;
  {
    const std::lock_guard lock(node_mutex_);
    node_.upstreams().ForEach([&](UpstreamHandle, const UpstreamEntry& entry) {
      if (entry.state == UpstreamState::kGone) return;
      targets.push_back({entry.info.id, entry.info.address});
    });
  }
  for (const auto& [id, address] : targets) {
    load_pollers_.Submit([this, id = id, address = address] {
      HttpCall call;
      call.address = address;
      call.path = "/v1/load";
      call.timeout = kLoadPollTimeout;
      const Result<HttpResponse> response = MakeHttpCall(call);
      if (!Ok(response) || Value(response).status != 200) return;
      const auto json =
          nlohmann::json::parse(Value(response).body, nullptr, false);
      if (!json.is_object()) return;
      if (json.value("leaving", false)) {
        Submit(event::UpstreamNoticeReceived{id, UpstreamState::kLeaving,
                                             std::nullopt, "upstream"});
      }
      LoadReport report;
      report.running = json.value("running", 0);
      report.waiting = json.value("waiting", 0);
      report.prefill_tokens_per_s = json.value("prefill_tokens_per_s", 0.0);
      report.inter_token_latency_ms = json.value("between_tokens_ms", 0.0);
      report.lag = settings_.report_lag;
      Submit(event::LoadReported{id, report});
    });
  }
}

}  // namespace pollenledge
