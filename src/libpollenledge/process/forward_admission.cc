#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Fleet-wide admission in `ForwardNode`: requests to services that are
// scheduled by prediction are admitted by the level of the whole fleet.

namespace pollenledge {
namespace {

/// Load reports that this node received within this time tell whether slots
/// are free.
constexpr Duration kFreeSlotTtl = std::chrono::milliseconds(500);
/// Part of the slots up to which load leaves slots free. At full load some are
/// free for a moment between two requests, or at one upstream; if all nodes
/// that hear of them admitted more, the level would have no effect.
constexpr double kMaxFreeLoad = 0.9;

bool MayReceiveRequests(const ForwardUpstream& upstream,
                        const std::string& service, TimePoint now) {
  return upstream.info.service == service && upstream.listed &&
         !upstream.info.leaving && now >= upstream.paused_until;
}

}  // namespace

AdmissionRequest ForwardNode::ToAdmissionRequest(const Request& request) const {
  AdmissionRequest asked;
  asked.service = request.service;
  asked.key = {request.priority, request.route->name};
  if (request.customer != nullptr) asked.customer = request.customer->name;
  asked.fingerprint = request.fingerprint;
  asked.prompt_tokens = request.spec.prompt_tokens;
  asked.max_response_tokens = request.spec.max_response_tokens;
  asked.expected_response_tokens = request.spec.expected_response_tokens;
  asked.target = request.route->latency_target;
  return asked;
}

std::optional<NotRun> ForwardNode::CheckFleetAdmission(Request* request) {
  const bool was_admitted = request->spec.is_relayed ||
                            request->spec.last_event_id.has_value() ||
                            ResumesStream(*request);
  if (was_admitted || !IsPredictive(request->service)) return std::nullopt;
  request->counted_as_demand = true;
  const bool has_free_slot = admission_.IsRefusing(request->service, now()) &&
                             HasFreeSlots(request->service);
  std::optional<NotRun> not_run =
      admission_.Check(ToAdmissionRequest(*request), has_free_slot, now());
  if (!not_run.has_value()) return std::nullopt;
  const AdmissionLevel level =
      admission_.LevelOf(request->service, now()).value_or(AdmissionLevel());
  LogRequest(LogLevel::kInfo, "admission_refused", *request,
             {{"priority", std::to_string(request->priority)},
              {"level", std::to_string(level.level)},
              {"pressure", std::to_string(level.pressure)},
              {"level_version", std::to_string(level.version)},
              {"level_age_ms", FormatMilliseconds(level.age)}});
  return not_run;
}

bool ForwardNode::HasFreeSlots(const std::string& service) const {
  double used = 0;
  double slots = 0;
  for (const auto& [name, upstream] : upstreams_.all()) {
    const bool is_known = upstream.report_is_direct &&
                          now() - upstream.reported_at <= kFreeSlotTtl;
    if (!is_known || !MayReceiveRequests(upstream, service, now())) continue;
    // What waits at one upstream takes no slot of another.
    used +=
        std::min<double>(upstream.EstimatedLoad(now()), upstream.info.slots);
    slots += upstream.info.slots;
  }
  return used < kMaxFreeLoad * slots;
}

bool ForwardNode::IsPredictedLate(const Request& request) const {
  if (!request.counted_as_demand || request.attempts > 0) return false;
  if (!admission_.IsRefusing(request.service, now())) return false;
  const std::optional<Duration> predicted = admission_.PredictFirstEvent(
      request.service, {request.priority, request.route->name}, now());
  return predicted.has_value() && *predicted > request.route->latency_target &&
         !HasFreeSlots(request.service);
}

void ForwardNode::RecordAdmittedFirstEvent(const Request& request) {
  if (!request.counted_as_demand || !request.relay.empty()) return;
  admission_.OnFirstEvent(ToAdmissionRequest(request), now());
}

void ForwardNode::RecordAdmittedEnd(const Request& request) {
  const bool is_stream = request.route->kind == RouteKind::kStreaming;
  if (!request.counted_as_demand || request.attempts == 0 ||
      is_stream != request.first_event_received)
    return;
  AdmissionOutcome outcome;
  outcome.slot_time = now() - request.sent_at;
  if (is_stream) outcome.first_event = request.first_event_at - request.sent_at;
  const ForwardingService* service =
      request.tables_index->tables().FindService(request.service);
  if (is_stream && service != nullptr && service->engine.has_value()) {
    outcome.response_tokens =
        request.last_event_id.value_or(0) * service->engine->tokens_per_event;
  }
  admission_.OnEnd(ToAdmissionRequest(request), outcome, now());
}

double ForwardNode::SlotsOf(const std::string& service) const {
  double slots = 0;
  for (const auto& [name, upstream] : upstreams_.all()) {
    if (MayReceiveRequests(upstream, service, now()))
      slots += upstream.info.slots;
  }
  return slots;
}

void ForwardNode::UpdateAdmissionLevels() {
  if (!options_.adaptive_scheduling || tables_index_ == nullptr) return;
  if (now() - admission_updated_at_ < AdmissionController::kPeriod) return;
  const bool is_large = membership_.IsLargeFleet();
  if (is_large && !is_collector_) return;
  admission_updated_at_ = now();
  const std::string& self = membership_.self().id.name;
  const std::vector<const MemberRecord*> collectors = ChooseCollectors();
  const bool is_first =
      !is_large || (!collectors.empty() && collectors.front()->id.name == self);
  admission_.MergeDemands(ProcessName(membership_.self().id),
                          AdmissionDemands(), now());
  for (const ForwardingService& service : tables_index_->tables().services) {
    if (!IsPredictive(service.name)) continue;
    // Another collector computes the level unless it has fallen silent.
    if (!is_first && admission_.FollowsPeer(service.name, now())) continue;
    admission_.OnLoad(service.name, SlotsOf(service.name),
                      membership_.AliveCount(now()), now_);
  }
}

std::vector<AdmissionDemand> ForwardNode::AdmissionDemands() {
  if (!options_.adaptive_scheduling) return {};
  std::map<std::pair<std::string, AdmissionClass>, FleetAdmission::InProgress>
      counts;
  for (const auto& [id, request] : requests_) {
    if (!request.counted_as_demand) continue;
    FleetAdmission::InProgress& count =
        counts[{request.service, {request.priority, request.route->name}}];
    ++(request.first_event_received ? count.running : count.unanswered);
  }
  admission_.SetInProgress(counts);
  return admission_.Demands(now());
}

void ForwardNode::MergeAdmission(const Heartbeat& heartbeat) {
  if (!options_.adaptive_scheduling) return;
  // In a small fleet each node computes the levels itself.
  if (membership_.IsLargeFleet())
    admission_.Merge(heartbeat.admission_levels, now());
  if (membership_.IsLargeFleet() && !is_collector_) return;
  admission_.MergeDemands(ProcessName(heartbeat.records.front().id),
                          heartbeat.admission_demands, now());
}

}  // namespace pollenledge
