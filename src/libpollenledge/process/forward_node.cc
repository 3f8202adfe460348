#include "pollenledge/process/forward_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenledge {
namespace {

/// Minimum number of nodes among which limits are shared, even if fewer are
/// known. It is the size of the larger current fleet, so that a node that
/// starts without known peers uses no more than its share.
constexpr int kMinNodeCount = 8;
/// A request with a key is sent only if its key remains confirmed for at least
/// this long, to cover the transit time to the upstream.
constexpr Duration kKeySendMargin = std::chrono::milliseconds(400);
/// Heartbeats carry the usage counts by which limits are shared, so several are
/// sent within the time in which a limit may be exceeded.
constexpr HeartbeatOptions kHeartbeatOptions{
    .period = ForwardNode::kHeartbeatPeriod,
    .fanout = 6,
    .records_per_message = 8,
    .large_fleet_period = std::chrono::seconds(1),
    .large_fleet_fanout = 2};
/// Crashes after which a request is rejected. When many upstreams are lost at
/// once, an innocent request may be affected twice by chance; three crashes
/// without a complete response in between are not explained by chance.
constexpr std::size_t kCrashesToReject = 3;
/// When many upstreams are lost together, requests are sent on from one to the
/// next while they fail.
constexpr Duration kMinCrashInterval = std::chrono::milliseconds(100);
/// A draining node admits all requests for this long. In this time the load
/// balancer probes readiness twice and stops sending new connections.
/// Afterwards the node admits only requests whose deadline is before it stops.
constexpr Duration kDrainAdmitAllTime = std::chrono::seconds(2);
/// Retry-After of a request that other nodes can serve.
constexpr Duration kOtherNodeRetryAfter = std::chrono::milliseconds(100);
/// Maximum Retry-After as a share of the caller's remaining time, so that the
/// response to the retry can still arrive in time.
constexpr double kMaxRetryAfterShare = 1.0 / 3.0;
/// Maps a stream's key to [0, 1), so that all nodes choose the same service for
/// it.
double ToUnitInterval(const Fingerprint& stream) {
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(stream.high >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

ForwardNodeOptions WithCapabilities(ForwardNodeOptions options) {
  options.self.checks_tables_version = true;
  return options;
}

double RequestUnits(const ForwardSpec& spec,
                    const ForwardingCustomer& customer) {
  if (!customer.limit_counts_tokens) return 1;
  if (!spec.has_token_counts) return customer.default_cost;
  return static_cast<double>(spec.prompt_tokens + spec.max_response_tokens);
}

}  // namespace

ForwardNode::ForwardNode(ForwardNodeOptions options)
    : options_(WithCapabilities(std::move(options))),
      random_(options_.random_seed),
      upstreams_(options_.random_seed + 1, options_.self.id.name),
      membership_(options_.self, options_.seeds, options_.random_seed + 2,
                  kHeartbeatOptions),
      limits_({.min_nodes = kMinNodeCount}),
      min_node_count_(kMinNodeCount),
      retry_budget_(RetryBudgetOptions{
          .retries_per_attempt = options_.retries_per_request,
          .max_balance = options_.retry_slack / kMinNodeCount,
          .initial_balance = 0}),
      usage_(options_.usage_window),
      suspects_({.crashes_to_reject = kCrashesToReject,
                 .min_crash_interval = kMinCrashInterval}),
      suspects_loaded_(!options_.wait_for_suspects),
      rollouts_(options_.rollout_limits) {}

std::vector<ForwardAction> ForwardNode::Handle(const ForwardEvent& event,
                                               const Instant& now) {
  wall_clock_.Start(now);
  now_ = {now.monotonic, wall_clock_.At(now.monotonic)};
  actions_.clear();
  std::visit([this](const auto& known) { On(known); }, event);
  return std::move(actions_);
}

// Admission.

void ForwardNode::On(const forward_event::RequestArrived& arrived) {
  if (MustConfirmTables()) {
    HoldRequest(arrived);
  } else {
    BeginRequest(arrived, now());
  }
}

void ForwardNode::BeginRequest(const forward_event::RequestArrived& arrived,
                               TimePoint arrived_at) {
  Request& request = requests_[arrived.id];
  request.id = arrived.id;
  request.spec = arrived.spec;
  request.tables_index = TablesFor(arrived.spec);
  request.arrived_at = arrived_at;
  request.last_event_id = arrived.spec.last_event_id;
  if (std::optional<NotRun> not_run = Admit(&request)) {
    Reject(&request, std::move(*not_run));
    return;
  }
  if (std::optional<NotRun> not_run = BindResumedStream(&request)) {
    Reject(&request, std::move(*not_run));
    return;
  }
  ScheduleCheck(&request);
  if (!request.next_lookup_at.has_value()) Dispatch(&request);
}

std::optional<NotRun> ForwardNode::Admit(Request* request) {
  if (request->tables_index == nullptr) {
    return NotRun{503, "no-configuration",
                  "no configuration has been loaded yet", kDefaultRetryAfter};
  }
  if (AreTablesOutdated(now())) {
    return NotRun{503, "outdated-tables",
                  "another node has later tables than this one",
                  kOtherNodeRetryAfter};
  }
  if (std::optional<NotRun> not_run = CheckTablesVersion(*request))
    return not_run;
  request->route =
      request->tables_index->FindRoute(request->spec.host, request->spec.path);
  if (request->route == nullptr) {
    return Deny(
        {404, "no-route", "no route matches the request's host and path", {}});
  }
  if (std::optional<NotRun> not_run = CheckKey(request)) return not_run;
  SetFingerprints(request);
  const ForwardingRoute& route = *request->route;
  request->priority = request->customer != nullptr
                          ? request->customer->priority.value_or(route.priority)
                          : route.priority;
  Duration timeout = route.timeout;
  if (request->spec.time_left.has_value()) {
    timeout = std::min(timeout, *request->spec.time_left);
  }
  request->deadline = request->arrived_at + timeout;
  if (request->deadline <= now()) {
    return NotRun{
        503, "no-time-left", "no time remains before the deadline", {}};
  }
  if (std::optional<NotRun> not_run = CheckDrain(*request)) return not_run;
  IdentifyStream(request);
  request->service = PickService(*request);
  request->suspect_fingerprints = SuspectFingerprints(
      request->own_fingerprints,
      request->spec.model.empty() ? request->service : request->spec.model,
      SharedSegmentIds(request->spec));
  if (std::optional<NotRun> not_run = CheckSuspect(request)) return not_run;
  if (std::optional<NotRun> not_run = AcquireLimit(request)) return not_run;
  return CheckFleetAdmission(request);
}

std::optional<NotRun> ForwardNode::CheckKey(Request* request) {
  const ForwardingIndex& index = *request->tables_index;
  if (!index.tables().requires_api_key() || request->route->is_public)
    return std::nullopt;
  request->customer = index.FindCustomer(request->spec.api_key);
  if (request->customer == nullptr) {
    return Deny({401, "unknown-key", "unknown API key", {}});
  }
  if (!AreKeysFresh(now())) {
    return NotRun{503, "stale-configuration",
                  "the API keys were not confirmed current recently enough",
                  kDefaultRetryAfter};
  }
  return std::nullopt;
}

void ForwardNode::SetFingerprints(Request* request) {
  const std::string customer =
      request->customer == nullptr ? "" : request->customer->name;
  const auto of_customer = [&customer](const Fingerprint& content) {
    return ComputeFingerprint({customer, ToHex(content)});
  };
  request->fingerprint = of_customer(request->spec.content_fingerprint);
  request->own_fingerprints = {request->fingerprint};
  if (request->spec.path_fingerprint.has_value()) {
    request->own_fingerprints.push_back(
        of_customer(*request->spec.path_fingerprint));
  }
}

std::optional<NotRun> ForwardNode::CheckDrain(const Request& request) const {
  if (!draining()) return std::nullopt;
  const bool balancer_noticed =
      now() - *drain_started_at_ >= kDrainAdmitAllTime;
  if (!balancer_noticed || request.deadline <= drain_ends_at_)
    return std::nullopt;
  return NotRun{503, "stopping",
                "this node may stop before the response is complete",
                kOtherNodeRetryAfter};
}

bool ForwardNode::AreKeysFresh(TimePoint now) const {
  if (options_.key_freshness == Duration::zero()) return true;
  return tables_confirmed_at_.has_value() && now < KeysValidUntil();
}

TimePoint ForwardNode::KeysValidUntil() const {
  return *tables_confirmed_at_ + options_.key_freshness - kKeySendMargin;
}

std::optional<NotRun> ForwardNode::AcquireLimit(Request* request) {
  if (request->customer == nullptr || request->customer->limit_per_s <= 0) {
    return std::nullopt;
  }
  const double units = RequestUnits(request->spec, *request->customer);
  const std::optional<Duration> wait =
      limits_.Acquire(request->customer->name, units, now());
  if (wait.has_value()) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "limit_reached",
        {{"request", request->spec.trace_id},
         {"customer", request->customer->name},
         {"units", std::to_string(std::llround(units))},
         {"common_level", std::to_string(std::llround(
                              limits_.GlobalLevel(request->customer->name)))},
         {"limit_per_s",
          std::to_string(std::llround(request->customer->limit_per_s))}}});
    return NotRun{429, "over-limit", "the customer's limit is exhausted",
                  *wait};
  }
  request->acquired_units = units;
  ReportLowLevelUse(request->customer->name);
  return std::nullopt;
}

std::string ForwardNode::PickService(const Request& request) {
  const ForwardingRoute& route = *request.route;
  if (request.binding.has_value()) return request.binding->service;
  double total = 0;
  for (const WeightedService& service : route.services) total += service.weight;
  double remaining =
      request.stream.has_value()
          ? total * ToUnitInterval(*request.stream)
          : std::uniform_real_distribution<double>(0, total)(random_);
  for (const WeightedService& service : route.services) {
    remaining -= service.weight;
    if (remaining < 0) return service.service;
  }
  return route.services.empty() ? "" : route.services.back().service;
}

// Upstreams, fleet size and drain.

void ForwardNode::On(const forward_event::UpstreamsListed& listed) {
  if (upstream_list_.Replace(listed.upstreams, listed.revision,
                             listed.read_at)) {
    ApplyUpstreamList();
  }
}

void ForwardNode::ApplyUpstreamList() {
  MarkReplacedAttempts(upstream_list_.upstreams());
  for (const std::string& name :
       upstreams_.SetList(upstream_list_.upstreams())) {
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo, "upstream_leaving", {{"upstream", name}}});
  }
  if (options_.adaptive_scheduling)
    speeds_.SetUpstreams(upstream_list_.upstreams());
  LogMixedServices(
      stream_versions_.OnListed(upstream_list_.upstreams(), now()));
  rollouts_.OnListed(upstream_list_.upstreams());
  UpdateVersionRecords();
  CheckOrigins();
  DispatchAllQueued();
}

void ForwardNode::On(const forward_event::FleetSizeRead& read) {
  fleet_size_ = read.nodes;
  min_node_count_ = std::max(kMinNodeCount, read.nodes);
  limits_.SetMinNodes(min_node_count_);
  UpdateLimits();
}

void ForwardNode::On(const forward_event::DrainStarted& drain) {
  if (draining()) return;
  drain_started_at_ = now();
  drain_ends_at_ = now() - drain.signal_age + options_.drain_timeout;
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "draining",
      {{"requests", std::to_string(requests_.size())},
       {"signal_age_ms", FormatMilliseconds(drain.signal_age)}}});
}

void ForwardNode::On(const forward_event::DrainTimedOut&) {
  ReleaseHeldRequests(held_requests_.TakeAll());
  std::vector<ForwardId> unanswered;
  for (const auto& [id, request] : requests_) {
    // Begun responses go on until the process ends, and so do those that only
    // wait to be read.
    const bool is_answered =
        request.response_started ||
        (has_unread_response_ != nullptr && has_unread_response_(id));
    if (!is_answered) unanswered.push_back(id);
  }
  for (const ForwardId id : unanswered) {
    EndUnanswered(FindRequest(id), ForwardOutcome::kCancelled, "stopped",
                  NotRun{503, "stopped",
                         "this node stopped before an upstream had capacity",
                         kOtherNodeRetryAfter});
  }
}

// Readiness, ages and log lines.

bool ForwardNode::IsReady(TimePoint now) const {
  if (draining() || tables_index_ == nullptr || !suspects_loaded_) return false;
  if (tables_index_->tables().requires_api_key() && !AreKeysFresh(now))
    return false;
  if (AreTablesOutdated(now)) return false;
  return !upstreams_.all().empty();
}

double ForwardNode::LateStreamShare(const std::string& service, TimePoint now) {
  return fleet_stream_counts_.LateShare(service, now).value_or(0);
}

void ForwardNode::CountStream(const std::string& service, bool late) {
  auto count = std::find_if(
      stream_counts_.begin(), stream_counts_.end(),
      [&](const LateStreamCount& known) { return known.service == service; });
  if (count == stream_counts_.end()) {
    stream_counts_.push_back({service, 0, 0});
    count = std::prev(stream_counts_.end());
  }
  ++count->streams;
  if (late) ++count->late;
}

std::size_t ForwardNode::queued_requests() const {
  std::size_t queued = held_requests_.size();
  for (const auto& [key, queue] : queues_) queued += queue.size();
  return queued;
}

void ForwardNode::LogRequest(LogLevel level, const char* event,
                             const Request& request,
                             std::vector<LogField> fields) {
  fields.insert(fields.begin(),
                {{"request", request.spec.trace_id},
                 {"fingerprint", ToHex(request.fingerprint)},
                 {"route", request.route == nullptr ? "" : request.route->name},
                 {"service", request.service},
                 {"customer",
                  request.customer == nullptr ? "" : request.customer->name}});
  Emit(forward_action::WriteLogLine{level, event, std::move(fields)});
}

Duration ForwardNode::JitterRetryAfter(Duration base, const Request& request) {
  // Randomize the delay so that callers that were rejected together do not
  // retry together.
  const double factor =
      std::uniform_real_distribution<double>(0.75, 1.5)(random_);
  Duration wait = FromSeconds(ToSeconds(base) * factor);
  if (request.spec.time_left.has_value()) {
    const Duration remaining =
        *request.spec.time_left - (now() - request.arrived_at);
    wait = std::min<Duration>(
        wait,
        FromSeconds(kMaxRetryAfterShare * std::max(0.0, ToSeconds(remaining))));
  }
  return wait;
}

ForwardNode::Request* ForwardNode::FindRequest(ForwardId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace pollenledge
