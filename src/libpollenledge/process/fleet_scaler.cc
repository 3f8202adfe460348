#include "pollenledge/process/fleet_scaler.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

/// Upstreams register one after the other when a system starts. After this
/// time, several heartbeat intervals, all running ones have registered. None of
/// them can have been released by then, because their replacements take longer
/// to boot.
constexpr Duration kRegistrationTime = std::chrono::milliseconds(4000);

ScaleRequestOutcome OutcomeOf(const Status& status) {
  if (Ok(status)) return ScaleRequestOutcome::kAccepted;
  return ErrorOf(status).code == ErrorCode::kConflict
             ? ScaleRequestOutcome::kNoCapacity
             : ScaleRequestOutcome::kUnknown;
}

}  // namespace

FleetScaler::FleetScaler(boost::asio::io_context& loop, AsyncStore* store,
                         AsyncCloud* cloud, const DutyLease* lease,
                         ForwardNode* node, std::string prefix)
    : store_(store),
      cloud_(cloud),
      lease_(lease),
      node_(node),
      prefix_(std::move(prefix)),
      timer_(loop) {}

void FleetScaler::Start() { Tick(); }

void FleetScaler::Tick() {
  if (!lease_->held()) {
    services_.clear();  // Other lease holders' scale requests are unknown.
  } else if (lease_->MayAct(BootClockNow()) &&
             node_->tables_index() != nullptr) {
    for (const ForwardingService& service :
         node_->tables_index()->tables().services) {
      if (service.scaling.has_value()) PlanService(service);
    }
  }
  timer_.expires_after(kPlanInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

DomainCounts FleetScaler::CountReadyOnDemand(const std::string& service) const {
  DomainCounts counts;
  for (const ForwardUpstreamInfo& upstream : ListedUpstreams()) {
    if (upstream.service == service && !upstream.leaving &&
        !upstream.reclaimable) {
      ++counts[upstream.domain];
    }
  }
  return counts;
}

std::vector<ForwardUpstreamInfo> FleetScaler::ListedUpstreams() const {
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [name, upstream] : node_->upstreams().all()) {
    if (upstream.listed) upstreams.push_back(upstream.info);
  }
  return upstreams;
}

void FleetScaler::PlanService(const ForwardingService& service) {
  ServiceState& state = services_[service.name];
  if (!state.baseline_is_stored && !state.baseline_call_in_progress)
    ReadBaseline(service.name);
  if (!state.planner.has_value()) return;
  if (!state.baseline_is_stored)
    state.planner->RaiseBaseline(CountReadyOnDemand(service.name));
  const double late_share =
      node_->LateStreamShare(service.name, BootClockNow());
  const std::vector<ScaleRequest> requests = state.planner->Plan(
      service, ListedUpstreams(), late_share, BootClockNow());
  for (const ScaleRequest& request : requests) SendScaleRequest(request);
}

void FleetScaler::ReadBaseline(const std::string& service) {
  services_[service].baseline_call_in_progress = true;
  store_->Read(prefix_ + service,
               [this, service](const Result<StoreItem>& item) {
                 services_[service].baseline_call_in_progress = false;
                 if (!Ok(item)) return;
                 if (Value(item).entry.has_value()) {
                   ApplyStoredBaseline(service, *Value(item).entry);
                 } else {
                   WriteBaseline(service);
                 }
               });
}

void FleetScaler::WriteBaseline(const std::string& service) {
  const DomainCounts counts = CountReadyOnDemand(service);
  if (counts.empty()) return;
  ServiceState& state = services_[service];
  // Plan with the upstreams that have registered so far.
  if (!state.planner.has_value()) {
    state.planner.emplace(counts);
    state.first_seen_at = BootClockNow();
  }
  if (BootClockNow() - state.first_seen_at < kRegistrationTime) return;
  state.baseline_call_in_progress = true;
  StoreTransaction transaction;
  const std::string text = Json(state.planner->baseline()).dump();
  transaction.writes.push_back({prefix_ + service, text, 0, 0});
  store_->Commit(transaction, [this, service](const Result<KvTxnReply>&) {
    // The baseline is read back: another lease holder may have written it
    // first, and the response may have been lost.
    services_[service].baseline_call_in_progress = false;
  });
}

void FleetScaler::ApplyStoredBaseline(const std::string& service,
                                      const KvEntry& entry) {
  try {
    const auto baseline = Json::parse(entry.value).get<DomainCounts>();
    ServiceState& state = services_[service];
    state.baseline_is_stored = true;
    if (!state.planner.has_value()) state.planner.emplace(baseline);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "fleet_reference_malformed",
        {{"key", entry.key}, {"error", error.what()}});
  }
}

void FleetScaler::SendScaleRequest(const ScaleRequest& request) {
  // Checked immediately before the call because the machine may have been
  // suspended since the last check.
  if (!lease_->MayAct(BootClockNow())) return;
  cloud_->RequestScale(
      request, lease_->stamp(), [this, request](const Status& status) {
        Log(LogLevel::kInfo, "upstreams_ordered",
            {{"service", request.service},
             {"domain", request.domain},
             {"count", std::to_string(request.count)},
             {"reclaimable", request.reclaimable ? "yes" : "no"},
             {"late_share", std::to_string(node_->LateStreamShare(
                                request.service, BootClockNow()))},
             {"outcome", Ok(status) ? "accepted" : ErrorOf(status).message}});
        ServiceState& state = services_[request.service];
        if (state.planner.has_value()) {
          state.planner->OnScaleRequestCompleted(request, OutcomeOf(status),
                                                 BootClockNow());
        }
      });
}

}  // namespace pollenledge
