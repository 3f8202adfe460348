#include "pollenledge/process/entry_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/process/clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

constexpr std::size_t kWorkerThreads = 8;
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
constexpr Duration kMinClaimInterval = std::chrono::milliseconds(20);
// Number of tokens of a response that is not streamed between two checks
// whether its caller is still connected.
constexpr std::int64_t kTokensPerCallerCheck = 16;

Duration ClaimInterval(int entries) {
  return std::max(kMinClaimInterval,
                  FromSeconds(entries / kMaxClaimWritesPerSecond));
}

std::string OutcomeName(const Outcome& outcome) {
  return std::visit(
      Overloaded{[](const Completed&) { return std::string("completed"); },
                 [](const NotRun& not_run) { return not_run.type; },
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
  options.distances =
      DomainDistances(settings.domain, settings.domain_distance);
  for (const DomainDistance& distance : settings.distances) {
    options.distances.Set(distance.domain, distance.one_way);
  }
  options.random_seed = HashText(node.name) ^ node.incarnation;
  options.max_requests = static_cast<std::size_t>(settings.max_requests);
  options.time_line_events =
      static_cast<std::size_t>(settings.time_line_events);
  return options;
}

}  // namespace

void Exchange::Order(ExchangeOrder command) {
  {
    const std::lock_guard lock(mutex_);
    orders_.push_back(std::move(command));
  }
  changed_.notify_all();
}

std::optional<ExchangeOrder> Exchange::NextOrder(Duration timeout) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout, [this] { return !orders_.empty(); });
  if (orders_.empty()) return std::nullopt;
  ExchangeOrder command = std::move(orders_.front());
  orders_.pop_front();
  return command;
}

EntryService::EntryService(const Settings& settings, NodeId node)
    : settings_(settings),
      node_id_(std::move(node)),
      node_(MakeOptions(settings, node_id_)),
      claims_(KvClient(settings.kv_address, settings.kv_timeout),
              ClaimInterval(settings.expected_entries)),
      workers_(kWorkerThreads, kMaxQueuedJobs),
      taken_over_(kHandOverThreads, kMaxQueuedJobs),
      pollers_(kLoadPollThreads, kMaxQueuedJobs) {}

EntryService::~EntryService() {
  {
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
  }
  stop_changed_.notify_all();
  if (ticker_.joinable()) ticker_.join();
  // The jobs use the peer link and the other pools, so each pool is stopped
  // before what its jobs use is destroyed.
  pollers_.Stop();
  taken_over_.Stop();
  workers_.Stop();
  link_.reset();
}

void EntryService::Start() {
  PeerLink::Options options;
  options.listen_address = settings_.peer_address;
  options.token = settings_.peer_token;
  link_ = std::make_unique<PeerLink>(options, this);
  ticker_ = std::thread([this] { TickUntilStopped(); });
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
  Submit(event::DrainStarted{remaining});
}

std::string EntryService::Metrics() const {
  const std::lock_guard lock(node_mutex_);
  return RenderMetrics(node_.stats(), node_.cost_ledger(),
                       node_.active_requests(),
                       node_.membership().AliveCount(ReadClocks().monotonic));
}

std::shared_ptr<Exchange> EntryService::Open(const std::string& customer,
                                             const std::string& path,
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

ExchangeEnd EntryService::RunCompletion(
    const std::shared_ptr<Exchange>& exchange, const CompletionRequest& request,
    const CallerSink& sink) {
  Submit(event::RequestArrived{exchange->id(), request.spec});
  ExchangeEnd result = RunOrders(exchange, request, sink);
  Retire(exchange, result);
  return result;
}

ExchangeEnd EntryService::RunOrders(const std::shared_ptr<Exchange>& exchange,
                                    const CompletionRequest& request,
                                    const CallerSink& sink) {
  bool reported_disconnect = false;
  while (true) {
    std::optional<ExchangeOrder> command =
        exchange->NextOrder(kCallerCheckInterval);
    if (!command.has_value()) {
      if (reported_disconnect) {
        const std::lock_guard lock(node_mutex_);
        if (node_.HasRequest(exchange->id())) continue;
        return Outcome(UnknownOutcome{"the caller disconnected", Duration(0)});
      }
      if (!sink.still_there()) {
        reported_disconnect = true;
        Submit(event::CallerLeft{exchange->id()});
      }
      continue;
    }
    if (const auto* dispatch = std::get_if<action::Dispatch>(&*command)) {
      RunAttempt(exchange, *dispatch, request, sink);
    } else if (const auto* report = std::get_if<action::Answer>(&*command)) {
      return report->outcome;
    } else if (const auto* replay = std::get_if<action::Replay>(&*command)) {
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
  AnswerBuffer& buffer = exchange->answer();
  exchange->control().Begin(dispatch.attempt);
  ResumePoint resume = dispatch.resume;
  resume.delivered_tokens = buffer.tokens();
  EngineAttempt attempt;
  attempt.address = dispatch.address;
  attempt.path = exchange->path();
  attempt.body = MakeEngineBody(
      exchange->body(), exchange->id(), resume,
      resume.delivered_tokens > 0 ? JoinText(buffer.Events()) : "");
  attempt.request_id = ToString(exchange->id());
  attempt.rank = dispatch.rank;
  attempt.timeout = settings_.upstream_timeout;
  attempt.delivered_tokens = resume.delivered_tokens;
  bool caller_disconnected = false;
  EngineSink engine_sink;
  engine_sink.on_plain_answer = [&](const HttpAnswer& response) {
    buffer.Start(response.status, response.content_type);
    buffer.SetWholeBody(response.body);
  };
  engine_sink.on_first_token = [&] {
    buffer.Start(
        200, request.spec.stream ? "text/event-stream" : "application/json");
    Submit(event::FirstToken{exchange->id(), dispatch.attempt});
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
  event::AttemptEnded finished =
      RunEngineAttempt(attempt, engine_sink, &exchange->control());
  finished.id = exchange->id();
  finished.attempt = dispatch.attempt;
  if (finished.end == AttemptEnd::kCompleted) {
    if (!request.spec.stream && finished.http_status == 200) {
      buffer.SetWholeBody(
          MakeWholeAnswer(request, exchange->id(), buffer.Events()));
    }
    if (!dispatch.idempotent) {
      const AnswerPart response = buffer.Read(0, Duration(0));
      finished.answer = KeptAnswer{response.content_type, response.data};
    }
  }
  Submit(finished);
}

ExchangeEnd EntryService::RunService(const std::shared_ptr<Exchange>& exchange,
                                     const RequestSpec& spec,
                                     const ServiceAttempt& call,
                                     HttpAnswer* response) {
  Submit(event::RequestArrived{exchange->id(), spec});
  while (true) {
    std::optional<ExchangeOrder> command =
        exchange->NextOrder(kCallerCheckInterval);
    if (!command.has_value()) continue;
    if (const auto* dispatch = std::get_if<action::Dispatch>(&*command)) {
      exchange->control().Begin(dispatch->attempt);
      ServiceAttempt attempt = call;
      attempt.address = dispatch->address;
      attempt.timeout = settings_.upstream_timeout;
      attempt.headers["X-Request-Id"] = ToString(exchange->id());
      event::AttemptEnded finished =
          RunServiceAttempt(attempt, &exchange->control(), response);
      finished.id = exchange->id();
      finished.attempt = dispatch->attempt;
      if (finished.end == AttemptEnd::kCompleted) {
        exchange->answer().Start(response->status, response->content_type);
        exchange->answer().SetWholeBody(response->body);
        finished.answer = KeptAnswer{response->content_type, response->body};
      }
      Submit(finished);
    } else if (const auto* report = std::get_if<action::Answer>(&*command)) {
      Retire(exchange, report->outcome);
      return report->outcome;
    } else if (const auto* replay = std::get_if<action::Replay>(&*command)) {
      Retire(exchange, replay->record);
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
  for (EntryAction& action : actions) CarryOut(std::move(action));
}

void EntryService::CarryOut(EntryAction action) {
  std::visit([this](const auto& concrete) { Do(concrete); }, action);
}

void EntryService::Do(const action::Dispatch& dispatch) {
  const auto exchange = FindExchange(dispatch.id);
  if (exchange == nullptr) return;
  Log(LogLevel::kDebug, "dispatched",
      {{"request", ToString(dispatch.id)},
       {"attempt", std::to_string(dispatch.attempt)},
       {"customer", exchange->customer()},
       {"upstream", dispatch.upstream.name}});
  exchange->Order(dispatch);
}

void EntryService::Do(const action::Interrupt& interrupt) {
  const auto exchange = FindExchange(interrupt.id);
  if (exchange != nullptr) exchange->control().Interrupt(interrupt.attempt);
}

void EntryService::Do(const action::Answer& report) {
  const auto exchange = FindExchange(report.id);
  if (exchange == nullptr) return;
  const bool unknown = std::holds_alternative<UnknownOutcome>(report.outcome);
  Log(unknown ? LogLevel::kWarn : LogLevel::kDebug, "answered",
      {{"request", ToString(report.id)},
       {"customer", exchange->customer()},
       {"outcome", OutcomeName(report.outcome)}});
  exchange->Order(report);
}

void EntryService::Do(const action::Replay& replay) {
  const auto exchange = FindExchange(replay.id);
  if (exchange != nullptr) exchange->Order(replay);
}

void EntryService::Do(const action::HandOver& hand_over) {
  const auto exchange = FindExchange(hand_over.request.id);
  if (exchange == nullptr) return;
  exchange->Order(hand_over);
  exchange->control().Interrupt(hand_over.request.attempts);
}

void EntryService::Do(const action::WriteClaimRecord& write) {
  claims_.Write(write.key, write.write, write.retention,
                [this, id = write.id](const ClaimReply& reply) {
                  Submit(event::ClaimReplied{id, reply});
                });
}

void EntryService::Do(const action::ReadClaimRecord& read) {
  claims_.Read(read.key, [this, id = read.id](const ClaimReply& reply) {
    Submit(event::ClaimReplied{id, reply});
  });
}

void EntryService::Do(const action::AskClaimHolder& query) {
  workers_.Run([this, query] {
    const HolderAnswer reply =
        query.peer_address.empty()
            ? HolderAnswer{}
            : link_->QueryHolder(query.peer_address, query.holder);
    Submit(event::HolderReplied{query.id, reply});
  });
}

void EntryService::Do(const action::WriteOutcome& write) {
  claims_.Write(
      write.key, write.write, write.retention,
      [this, id = write.id,
       record = write.write.record](const ClaimReply& reply) {
        Submit(event::OutcomeWritten{id, OutcomeIsRecorded(reply, record)});
      });
}

void EntryService::Do(const action::SendHeartbeat& send) {
  workers_.Run([this, send] { link_->SendHeartbeat(send.message); });
}

void EntryService::Do(const action::SendUpstreamNotice& send) {
  workers_.Run([this, send] {
    link_->SendUpstreamNotice(
        send.address, {send.upstream, send.state, send.remaining, "peer"});
  });
}

void EntryService::Do(const action::DrainCompleted&) { drained_ = true; }

std::shared_ptr<Exchange> EntryService::FindExchange(
    const RequestId& id) const {
  const std::lock_guard lock(exchanges_mutex_);
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second;
}

void EntryService::Retire(const std::shared_ptr<Exchange>& exchange,
                          const ExchangeEnd& result) {
  exchange->answer().Finish();
  const auto* outcome = std::get_if<Outcome>(&result);
  const bool has_response =
      outcome != nullptr && !std::holds_alternative<NotRun>(*outcome);
  const std::lock_guard lock(exchanges_mutex_);
  if (has_response) {
    retired_.push_back({std::chrono::steady_clock::now(), exchange->id()});
  } else {
    exchanges_.erase(exchange->id());
  }
}

void EntryService::ForgetOldExchanges() {
  const auto expired_before =
      std::chrono::steady_clock::now() - settings_.answer_retention;
  const std::lock_guard lock(exchanges_mutex_);
  while (!retired_.empty() && retired_.front().first < expired_before) {
    exchanges_.erase(retired_.front().second);
    retired_.pop_front();
  }
}

void EntryService::TickUntilStopped() {
  auto next_poll = std::chrono::steady_clock::now();
  while (true) {
    Submit(event::Ticked{});
    ForgetOldExchanges();
    if (std::chrono::steady_clock::now() >= next_poll) {
      next_poll = std::chrono::steady_clock::now() + settings_.load_interval;
      PollLoads();
    }
    std::unique_lock lock(stop_mutex_);
    stop_changed_.wait_for(lock, kTickInterval, [this] { return stopping_; });
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
    pollers_.Run([this, id = id, address = address] {
      HttpCall call;
      call.address = address;
      call.path = "/v1/load";
      call.timeout = kLoadPollTimeout;
      const Result<HttpAnswer> response = Call(call);
      if (!Ok(response) || Value(response).status != 200) return;
      const auto json =
          nlohmann::json::parse(Value(response).body, nullptr, false);
      if (!json.is_object()) return;
      if (json.value("leaving", false)) {
        Submit(event::UpstreamNoticed{id, UpstreamState::kLeaving, std::nullopt,
                                      "upstream"});
      }
      LoadReport report;
      report.running = json.value("running", 0);
      report.waiting = json.value("waiting", 0);
      report.prefill_tokens_per_s = json.value("prefill_tokens_per_s", 0.0);
      report.between_tokens_ms = json.value("between_tokens_ms", 0.0);
      report.lag = settings_.report_lag;
      Submit(event::LoadReported{id, report});
    });
  }
}

}  // namespace pollenledge
