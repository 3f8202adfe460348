#include "pollenledge/process/fleet_keeper.h"

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

OrderOutcome OutcomeOf(const Status& status) {
  if (Ok(status)) return OrderOutcome::kAccepted;
  return ErrorOf(status).code == ErrorCode::kConflict ? OrderOutcome::kNoneThere
                                                      : OrderOutcome::kUnknown;
}

}  // namespace

FleetKeeper::FleetKeeper(boost::asio::io_context& loop, AsyncStore* store,
                         AsyncCloud* cloud, const DutyLease* lease,
                         ForwardNode* node, std::string prefix)
    : store_(store),
      cloud_(cloud),
      lease_(lease),
      node_(node),
      prefix_(std::move(prefix)),
      timer_(loop) {}

void FleetKeeper::Start() { Tick(); }

void FleetKeeper::Tick() {
  if (!lease_->held()) {
    services_.clear();  // Scale requests of other holders are unknown.
  } else if (lease_->MayAct(BootNow()) && node_->index() != nullptr) {
    for (const ForwardingService& service : node_->index()->tables().services) {
      if (service.scaling.has_value()) Plan(service);
    }
  }
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

DomainCounts FleetKeeper::Standing(const std::string& service) const {
  DomainCounts counts;
  for (const ForwardUpstreamInfo& upstream : Upstreams()) {
    if (upstream.service == service && !upstream.leaving &&
        !upstream.reclaimable) {
      ++counts[upstream.domain];
    }
  }
  return counts;
}

std::vector<ForwardUpstreamInfo> FleetKeeper::Upstreams() const {
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [name, upstream] : node_->upstreams().all()) {
    if (upstream.listed) upstreams.push_back(upstream.info);
  }
  return upstreams;
}

void FleetKeeper::Plan(const ForwardingService& service) {
  Service& state = services_[service.name];
  if (!state.stored && !state.busy) ReadReference(service.name);
  if (!state.planner.has_value()) return;
  if (!state.stored) state.planner->RaiseReference(Standing(service.name));
  const double late_share = node_->LateShare(service.name, BootNow());
  const std::vector<UpstreamOrder> requests =
      state.planner->Plan(service, Upstreams(), late_share, BootNow());
  for (const UpstreamOrder& request : requests) Send(request);
}

void FleetKeeper::ReadReference(const std::string& service) {
  services_[service].busy = true;
  store_->Read(prefix_ + service,
               [this, service](const Result<StoreItem>& item) {
                 services_[service].busy = false;
                 if (!Ok(item)) return;
                 if (Value(item).entry.has_value()) {
                   SetReference(service, *Value(item).entry);
                 } else {
                   WriteReference(service);
                 }
               });
}

void FleetKeeper::WriteReference(const std::string& service) {
  const DomainCounts counts = Standing(service);
  if (counts.empty()) return;
  Service& state = services_[service];
  // Plan with the upstreams that have registered so far.
  if (!state.planner.has_value()) {
    state.planner.emplace(counts);
    state.seen_at = BootNow();
  }
  if (BootNow() - state.seen_at < kRegistrationTime) return;
  state.busy = true;
  StoreTransaction transaction;
  const std::string text = Json(state.planner->reference()).dump();
  transaction.writes.push_back({prefix_ + service, text, 0, 0});
  store_->Commit(transaction, [this, service](const Result<KvTxnReply>&) {
    // The baseline is read back: another holder may have written it first, and
    // the response may have been lost.
    services_[service].busy = false;
  });
}

void FleetKeeper::SetReference(const std::string& service,
                               const KvEntry& entry) {
  try {
    const auto baseline = Json::parse(entry.value).get<DomainCounts>();
    Service& state = services_[service];
    state.stored = true;
    if (!state.planner.has_value()) state.planner.emplace(baseline);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "fleet_reference_malformed",
        {{"key", entry.key}, {"error", error.what()}});
  }
}

void FleetKeeper::Send(const UpstreamOrder& request) {
  // Checked immediately before the call because the machine may have been
  // suspended since the last check.
  if (!lease_->MayAct(BootNow())) return;
  cloud_->OrderUpstreams(
      request, lease_->stamp(), [this, request](const Status& status) {
        Log(LogLevel::kInfo, "upstreams_ordered",
            {{"service", request.service},
             {"domain", request.domain},
             {"count", std::to_string(request.count)},
             {"reclaimable", request.reclaimable ? "yes" : "no"},
             {"late_share",
              std::to_string(node_->LateShare(request.service, BootNow()))},
             {"outcome", Ok(status) ? "accepted" : ErrorOf(status).message}});
        Service& state = services_[request.service];
        if (state.planner.has_value()) {
          state.planner->OnOrderEnded(request, OutcomeOf(status), BootNow());
        }
      });
}

}  // namespace pollenledge
