#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Scheduling by prediction in `ForwardNode`: learning the speeds of upstreams,
// exchanging them with other nodes, predicting requests, and finding upstreams
// that make no progress.

namespace pollenledge {
namespace {

/// Maximum number of reports in a collector's response and in a query. A node
/// queries two collectors four times a second, so it sends and receives less
/// than 2 KB a second.
constexpr std::size_t kMaxReports = 8;
/// In a small fleet each heartbeat goes to up to six nodes. A report each
/// second with so many entries to all of them takes less than 2 KB a second.
constexpr std::size_t kMaxBroadcastReports = 12;
constexpr Duration kBroadcastInterval = std::chrono::seconds(1);
/// Share of the entries of a report that stalls may take.
constexpr std::size_t kMaxStallReports = 4;
/// Share of a service's upstreams that may count as stalled. If more do, the
/// predictions are wrong, or this node's network is.
constexpr double kMaxStalledShare = 1.0 / 3;
/// A request makes no progress if its next event takes this many times the
/// predicted interval; fewer times if that is longer than half of the largest
/// pause of its route, after which there is little time to go on elsewhere.
constexpr double kMaxIntervals = 10;
constexpr double kMinIntervals = 4;
constexpr double kGapTargetShare = 0.5;
constexpr Duration kMinSilence = std::chrono::milliseconds(150);
/// The corresponding factor and minimum for a first event.
constexpr double kFirstEventFactor = 4;
constexpr Duration kMinFirstSilence = std::chrono::milliseconds(400);
/// If a check is done so much later than it was due, this process had no
/// processor time, and events may wait to be read.
constexpr Duration kMaxCheckDelay = std::chrono::milliseconds(40);
/// Weight of the newest response in the mean number of events of a route.
constexpr double kResponseWeight = 0.1;

}  // namespace

bool ForwardNode::IsAdaptive(const std::string& service) const {
  if (!options_.adaptive_scheduling || tables_index_ == nullptr) return false;
  const ForwardingService* known = tables_index_->tables().FindService(service);
  return known != nullptr && known->engine.has_value();
}

bool ForwardNode::IsPredictive(const std::string& service) const {
  return IsAdaptive(service) &&
         (options_.assume_uneven_upstreams || speeds_.IsUneven(service));
}

int ForwardNode::predictive_services() const {
  if (tables_index_ == nullptr) return 0;
  const auto& services = tables_index_->tables().services;
  return static_cast<int>(std::count_if(
      services.begin(), services.end(),
      [this](const auto& service) { return IsPredictive(service.name); }));
}

// Learning.

void ForwardNode::LearnLoad(Request* request, const UpstreamSignals& signals) {
  if (!signals.load.has_value() || !IsAdaptive(request->service)) return;
  speeds_.OnLoad({request->current_upstream, request->current_incarnation},
                 *signals.load, now());
  if (!IsPredictive(request->service)) return;
  ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream == nullptr ||
      upstream->info.id.incarnation != request->current_incarnation)
    return;
  upstreams_.OnLoadReport(upstream, *signals.load, now());
  request->load_is_applied = true;
}

void ForwardNode::LearnFirstEvent(Request* request) {
  if (!request->relay.empty() || !IsAdaptive(request->service)) return;
  const ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream == nullptr) return;
  const UpstreamId id{request->current_upstream, request->current_incarnation};
  speeds_.OnFirstEvent(id, request->expected_prompt_tokens,
                       upstream->EstimatedLoad(now()), now() - request->sent_at,
                       now());
}

void ForwardNode::LearnEvents(Request* request,
                              std::optional<std::int64_t> last_event_id) {
  if (!request->relay.empty() || !IsAdaptive(request->service)) return;
  const ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream == nullptr) return;
  // Several events may have come together.
  int events = 1;
  if (last_event_id.has_value() && request->last_event_id.has_value()) {
    constexpr std::int64_t kMaxEvents = 1000;
    events = static_cast<int>(std::clamp<std::int64_t>(
        *last_event_id - *request->last_event_id, 1, kMaxEvents));
  }
  request->events += events;
  const UpstreamId id{request->current_upstream, request->current_incarnation};
  speeds_.OnEvents(id, &request->event_window, events,
                   upstream->EstimatedLoad(now()), now());
  if (stalls_.OnProgress(id, now())) LogStall("upstream_progresses", *request);
}

void ForwardNode::LearnResponse(const Request& request) {
  if (request.events == 0 || !IsAdaptive(request.service)) return;
  const auto [mean, is_new] = response_events_.try_emplace(
      request.route->name, static_cast<double>(request.events));
  if (!is_new)
    mean->second += kResponseWeight * (request.events - mean->second);
}

void ForwardNode::ForgetAttemptProgress(Request* request) {
  request->event_window = {};
  request->load_is_applied = false;
  request->progress_due_at.reset();
}

void ForwardNode::UpdateSpeeds() {
  if (!options_.adaptive_scheduling ||
      now() - speeds_refreshed_at_ < UpstreamSpeeds::kRefreshInterval)
    return;
  speeds_refreshed_at_ = now();
  stalls_.Expire(now());
  if (tables_index_ == nullptr) return;
  std::vector<bool> modes;
  const auto& services = tables_index_->tables().services;
  modes.reserve(services.size());
  for (const ForwardingService& service : services)
    modes.push_back(speeds_.IsUneven(service.name));
  speeds_.Refresh(now());
  for (std::size_t i = 0; i < services.size(); ++i) {
    const std::string& name = services[i].name;
    if (!IsAdaptive(name) || speeds_.IsUneven(name) == modes[i]) continue;
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "scheduling_mode",
        {{"service", name},
         {"predictive", modes[i] ? "no" : "yes"},
         {"speed_ratio", std::to_string(speeds_.SpeedRatio(name))}}});
  }
}

// Exchange with other nodes.

void ForwardNode::AddSpeedReports(Heartbeat* heartbeat, std::size_t count) {
  if (!options_.adaptive_scheduling) return;
  heartbeat->speed_reports = stalls_.Reports(kMaxStallReports, now());
  const std::size_t rest =
      count - std::min(count, heartbeat->speed_reports.size());
  std::vector<SpeedReport> intervals = speeds_.TakeIntervals(rest, now());
  heartbeat->speed_reports.insert(heartbeat->speed_reports.end(),
                                  intervals.begin(), intervals.end());
}

void ForwardNode::AddSpeedQuery(Heartbeat* query) {
  AddSpeedReports(query, kMaxReports);
}

void ForwardNode::AddSpeedBroadcast(std::vector<HeartbeatMessage>* messages) {
  if (messages->empty() || membership_.IsLargeFleet() ||
      now() - speeds_told_at_ < kBroadcastInterval)
    return;
  speeds_told_at_ = now();
  AddSpeedReports(&messages->front().heartbeat, kMaxBroadcastReports);
  for (HeartbeatMessage& message : *messages)
    message.heartbeat.speed_reports = messages->front().heartbeat.speed_reports;
}

void ForwardNode::AddSpeedResponse(const std::string& node,
                                   Heartbeat* response) {
  if (!options_.adaptive_scheduling || !is_collector_) return;
  response->speed_reports = stalls_.Reports(kMaxStallReports, now());
  // Each node is told the upstreams in turn, and the two collectors begin at
  // different ones.
  const auto [cursor, is_new] = speed_cursors_.try_emplace(node, random_());
  const std::vector<SpeedReport> speeds = speeds_.NextSpeeds(
      kMaxReports - response->speed_reports.size(), &cursor->second, now());
  response->speed_reports.insert(response->speed_reports.end(), speeds.begin(),
                                 speeds.end());
}

void ForwardNode::ApplySpeedReports(const Heartbeat& heartbeat) {
  if (!options_.adaptive_scheduling) return;
  speeds_.Merge(heartbeat.speed_reports, now());
  stalls_.Merge(heartbeat.speed_reports, now());
}

void ForwardNode::BroadcastStalls() {
  Heartbeat heartbeat;
  heartbeat.records = {membership_.self().WithoutCounters()};
  heartbeat.speed_reports = stalls_.Reports(kMaxStallReports, now());
  std::vector<std::string> targets;
  if (membership_.IsLargeFleet()) {
    for (const MemberRecord* collector : ChooseCollectors()) {
      if (collector->id.name != membership_.self().id.name)
        targets.push_back(collector->peer_address);
    }
  } else {
    targets = membership_.BroadcastTargets(now());
  }
  for (const std::string& address : targets)
    Emit(forward_action::SendHeartbeat{{address, heartbeat}});
}

// Predictions.

double ForwardNode::ExpectedEvents(const Request& request) const {
  const auto known = response_events_.find(request.route->name);
  const ForwardingService* service =
      tables_index_->tables().FindService(request.service);
  double most = std::numeric_limits<double>::max();
  if (request.spec.max_response_tokens > 0 && service != nullptr &&
      service->engine.has_value()) {
    most = std::ceil(static_cast<double>(request.spec.max_response_tokens) /
                     std::max(1, service->engine->tokens_per_event));
  }
  if (known != response_events_.end()) return std::min(most, known->second);
  return most < std::numeric_limits<double>::max() ? most : 1;
}

std::optional<PredictedRequest> ForwardNode::PredictedBy(
    const Request& request, const UpstreamCriteria& criteria) const {
  const bool is_predictable = request.route->kind == RouteKind::kStreaming &&
                              IsPredictive(request.service) &&
                              speeds_.CanPredict(request.service);
  if (!is_predictable) return std::nullopt;
  PredictedRequest predicted;
  predicted.speeds = &speeds_;
  predicted.prompt_tokens = request.spec.prompt_tokens;
  predicted.cached_tokens =
      cached_tokens_
          ? cached_tokens_
          : CachedTokensSource([this](const UpstreamId& upstream,
                                      const auto& segments, TimePoint time) {
              return prompt_caches_.CachedTokens(upstream, segments, time);
            });
  predicted.prompt_segments = request.spec.prompt_segments;
  predicted.affinity = criteria.affinity;
  predicted.shared_prompt_tokens = criteria.shared_prompt_tokens;
  predicted.response_events = ExpectedEvents(request);
  predicted.first_event_target = std::max<Duration>(
      std::chrono::milliseconds(1),
      request.route->latency_target - (now() - request.arrived_at));
  predicted.event_gap_target = request.route->event_gap_target;
  predicted.time_left = request.deadline - now();
  return predicted;
}

void ForwardNode::AvoidStalled(const Request& request,
                               UpstreamCriteria* query) const {
  if (stalls_.empty() || !IsPredictive(request.service)) return;
  std::vector<std::string> stalled;
  std::optional<std::string> probe;
  for (const ForwardUpstreamInfo& info : upstreams_.Usable(request.service)) {
    if (!stalls_.IsStalled(info.id, now())) continue;
    const bool is_due =
        !probe.has_value() && request.attempts == 0 &&
        stalls_.IsProbeDue(info.id, request.route->IsRetrySafe(), now());
    if (is_due) {
      probe = info.id.name;
    } else {
      stalled.push_back(info.id.name);
    }
  }
  if (static_cast<double>(stalled.size()) >
      kMaxStalledShare * upstreams_.UsableCount(request.service))
    return;
  query->exclude.insert(query->exclude.end(), stalled.begin(), stalled.end());
  if (probe.has_value()) query->prefer.push_back(*probe);
}

void ForwardNode::ExpectProgress(Request* request,
                                 const ForwardUpstream& upstream) {
  ForgetAttemptProgress(request);
  request->expected_prompt_tokens =
      static_cast<double>(upstream.pending_prompt_tokens);
  if (stalls_.IsStalled(upstream.info.id, now()))
    stalls_.OnProbeSent(upstream.info.id, now());
  if (request->route->kind != RouteKind::kStreaming ||
      !IsPredictive(request->service) || !speeds_.CanPredict(request->service))
    return;
  UpstreamWork work;
  work.running = upstream.EstimatedLoad(now());
  work.slowdown = std::max(1.0, upstream.SlowdownFactor(now()));
  const Duration predicted = speeds_.PredictFirstEvent(
      upstream.info.id, request->expected_prompt_tokens, work);
  request->allowed_silence = std::max<Duration>(
      kMinFirstSilence, FromSeconds(kFirstEventFactor * ToSeconds(predicted)));
  request->progress_due_at = now() + request->allowed_silence;
}

void ForwardNode::ExpectNextEvent(Request* request) {
  request->progress_due_at.reset();
  const ForwardUpstream* upstream = upstreams_.Find(request->current_upstream);
  if (upstream == nullptr || !IsPredictive(request->service) ||
      !speeds_.CanPredict(request->service))
    return;
  UpstreamWork work;
  work.running = upstream->EstimatedLoad(now());
  const double interval_s =
      ToSeconds(speeds_.PredictInterval(upstream->info.id, work));
  const double silence_s =
      std::clamp(kGapTargetShare * ToSeconds(request->route->event_gap_target),
                 kMinIntervals * interval_s, kMaxIntervals * interval_s);
  request->allowed_silence =
      std::max<Duration>(kMinSilence, FromSeconds(silence_s));
  request->progress_due_at = now() + request->allowed_silence;
}

// Missing progress.

bool ForwardNode::OnMissingProgress(Request* request) {
  const TimePoint due_at = *request->progress_due_at;
  if (now() - due_at > kMaxCheckDelay) {
    request->progress_due_at = now() + kMaxCheckDelay / 2;
    return false;
  }
  request->progress_due_at.reset();
  const UpstreamId id{request->current_upstream, request->current_incarnation};
  // A long prompt may be read slowly while the upstream makes progress with
  // other requests.
  TimePoint progressed_at;
  for (const auto& [other_id, other] : requests_) {
    if (other_id != request->id && other.current_upstream == id.name &&
        other.first_event_received)
      progressed_at = std::max(progressed_at, other.last_event_at);
  }
  if (progressed_at + request->allowed_silence > now()) {
    request->progress_due_at = progressed_at + request->allowed_silence;
    return false;
  }
  if (stalls_.OnStalled(id, now())) {
    LogStall("upstream_stalled", *request);
    BroadcastStalls();
  }
  return request->route->IsRetrySafe();
}

void ForwardNode::LogStall(const char* event, const Request& request) {
  LogRequest(
      LogLevel::kWarn, event, request,
      {{"upstream", request.current_upstream},
       {"incarnation", std::to_string(request.current_incarnation)},
       {"speed", std::to_string(speeds_.SpeedOf(
                     {request.current_upstream, request.current_incarnation}))},
       {"silent_ms", FormatMilliseconds(now() - request.last_event_at)}});
}

}  // namespace pollenledge
