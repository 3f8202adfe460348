// The part of EntryService that communicates with other processes: hand-offs,
// fetching of responses, tables, the upstream list and reports.

#include <utility>

#include "pollenledge/process/clock.h"
#include "pollenledge/process/entry_report.h"
#include "pollenledge/process/entry_service.h"
#include "pollenledge/process/log.h"

namespace pollenledge {

bool EntryService::TryHandOver(const std::shared_ptr<Exchange>& exchange,
                               const action::HandOver& hand_over) {
  HandOverMessage message;
  message.request = hand_over.request;
  message.request.delivered_tokens = exchange->response().tokens();
  message.path = exchange->path();
  message.body = exchange->body();
  message.delivered_response = exchange->response().Events();
  const Result<bool> accepted =
      peer_link_->HandOver(hand_over.address, message);
  if (Ok(accepted) && Value(accepted)) {
    const std::lock_guard lock(exchanges_mutex_);
    exchanges_.erase(exchange->id());
    return true;
  }
  Log(LogLevel::kWarn, "hand_over_failed",
      {{"request", ToString(exchange->id())}, {"peer", hand_over.peer.name}});
  // The request continues here for as long as this entry runs. The peer may run
  // it as well if only its response was lost.
  Submit(event::HandOverReceived{message.request, !Ok(accepted)});
  return false;
}

void EntryService::RunHandedOverRequest(
    const std::shared_ptr<Exchange>& exchange, const HandOverMessage& message) {
  const CompletionApi api = message.path == "/v1/completions"
                                ? CompletionApi::kText
                                : CompletionApi::kChat;
  const Result<CompletionRequest> request =
      ParseCompletionRequest(api, exchange->customer(), exchange->body());
  if (!Ok(request)) return;
  Submit(event::HandOverReceived{message.request});
  const CallerSink sink{[](const std::string&, std::int64_t) { return true; },
                        [] { return true; }};
  const ExchangeResult result = RunCommands(exchange, Value(request), sink);
  if (const auto* outcome = std::get_if<Outcome>(&result)) {
    if (!std::holds_alternative<Completed>(*outcome)) {
      exchange->response().Start(StatusWithoutResponse(*outcome),
                                 "application/json");
    }
  }
  FinishExchange(exchange, result);
}

FetchedResponse EntryService::FetchFromAnyEntry(const RequestId& id,
                                                const std::string& customer,
                                                std::uint64_t offset,
                                                Duration timeout) {
  const std::shared_ptr<Exchange> exchange = FindExchange(id);
  if (exchange != nullptr && exchange->customer() == customer) {
    const ResponseChunk chunk = exchange->response().Read(offset, timeout);
    return {true, chunk.finished, chunk.http_status, chunk.content_type,
            chunk.data};
  }
  std::vector<std::string> addresses;
  {
    const std::lock_guard lock(node_mutex_);
    for (const Member& member :
         node_.membership().Others(ReadClocks().monotonic)) {
      if (member.status != MemberStatus::kAlive) continue;
      // The entry that accepted the request is queried first.
      const bool is_owner = member.record.id == id.node;
      addresses.insert(is_owner ? addresses.begin() : addresses.end(),
                       member.record.peer_address);
    }
  }
  for (const std::string& address : addresses) {
    Result<FetchedResponse> fetched =
        peer_link_->Fetch(address, id, customer, offset);
    if (Ok(fetched) && Value(fetched).found) return Value(fetched);
  }
  return {};
}

void EntryService::OnPeerEvent(EntryEvent event) { Submit(event); }

ClaimOwnerResponse EntryService::QueryClaimOwner(const RequestId& id) {
  const std::lock_guard lock(node_mutex_);
  return node_.QueryClaimOwner(id);
}

bool EntryService::HandOver(const HandOverMessage& message) {
  {
    const std::lock_guard lock(node_mutex_);
    if (!node_.ready()) return false;
  }
  const RequestId& id = message.request.id;
  auto exchange = std::make_shared<Exchange>(id, message.request.spec.customer,
                                             message.path, message.body);
  if (!message.delivered_response.empty()) {
    exchange->response().Start(200, message.request.spec.stream
                                        ? "text/event-stream"
                                        : "application/json");
    exchange->response().AppendEvent(message.delivered_response,
                                     message.request.delivered_tokens);
  }
  {
    const std::lock_guard lock(exchanges_mutex_);
    // The peer retries a call whose response was lost; the request is already
    // running.
    if (!exchanges_.emplace(id, exchange).second) return true;
  }
  return hand_over_workers_.Submit(
      [this, exchange, message] { RunHandedOverRequest(exchange, message); });
}

FetchedResponse EntryService::Fetch(const RequestId& id,
                                    const std::string& customer,
                                    std::uint64_t offset) {
  const std::shared_ptr<Exchange> exchange = FindExchange(id);
  if (exchange == nullptr || exchange->customer() != customer) return {};
  const ResponseChunk chunk = exchange->response().Read(offset, Duration(0));
  return {true, chunk.finished, chunk.http_status, chunk.content_type,
          chunk.data};
}

VersionedTablesYaml EntryService::ActiveTables() {
  const std::lock_guard lock(node_mutex_);
  return {node_.tables() == nullptr ? 0 : node_.tables()->version,
          table_texts_};
}

std::uint64_t EntryService::ApplyTables(const VersionedTablesYaml& tables) {
  {
    const std::lock_guard lock(node_mutex_);
    const std::uint64_t active_version =
        node_.tables() == nullptr ? 0 : node_.tables()->version;
    if (tables.version <= active_version) return active_version;
  }
  TablesResult parsed = ParseTables(tables.yaml, tables.version);
  if (const auto* problems = std::get_if<std::vector<FieldProblem>>(&parsed)) {
    Log(LogLevel::kError, "tables_refused",
        {{"problems", ToString(*problems)}});
    return ActiveTables().version;
  }
  const auto activated =
      std::make_shared<const Tables>(std::move(std::get<Tables>(parsed)));
  Submit(event::TablesActivated{activated});
  std::vector<UpstreamInfo> joined;
  std::uint64_t active_version = 0;
  {
    const std::lock_guard lock(node_mutex_);
    active_version = node_.tables()->version;
    if (active_version == tables.version) table_texts_ = tables.yaml;
    joined = JoinUpstreamsWithTables();
  }
  Submit(event::UpstreamListReceived{std::move(joined)});
  Log(LogLevel::kInfo, "tables_in_force",
      {{"version", std::to_string(active_version)}});
  return active_version;
}

void EntryService::ApplyUpstreamList(
    const std::vector<ListedUpstream>& upstreams) {
  std::vector<UpstreamInfo> joined;
  {
    const std::lock_guard lock(node_mutex_);
    listed_upstreams_ = upstreams;
    joined = JoinUpstreamsWithTables();
  }
  Submit(event::UpstreamListReceived{std::move(joined)});
}

std::vector<UpstreamInfo> EntryService::JoinUpstreamsWithTables() const {
  std::vector<UpstreamInfo> joined;
  const std::shared_ptr<const Tables>& tables = node_.tables();
  if (tables == nullptr) return joined;
  for (const ListedUpstream& listed : listed_upstreams_) {
    const Pool* pool = tables->FindPool(listed.pool);
    if (pool == nullptr) continue;
    const PoolMember* member = pool->FindMember(
        listed.domain, listed.machine_class, listed.reclaimable);
    if (member == nullptr) continue;
    joined.push_back({listed.id, listed.address, listed.pool, listed.domain,
                      listed.machine_class, listed.reclaimable,
                      member->price_micros_per_hour, member->slots});
  }
  return joined;
}

EntryReport EntryService::Report() {
  const std::lock_guard lock(node_mutex_);
  EntryReport report;
  report.status = RenderStatus(node_, ReadClocks().monotonic);
  std::vector<TimeLineEvent> events(node_.time_line().events().begin(),
                                    node_.time_line().events().end());
  report.time_line = ToJson(events);
  report.usage = RenderUsage(node_);
  report.tables = {node_.tables() == nullptr ? 0 : node_.tables()->version,
                   table_texts_};
  return report;
}

HybridTime EntryService::TickClock() {
  const std::lock_guard lock(node_mutex_);
  return node_.time_line().AdvanceForSend(ReadClocks().wall);
}

void EntryService::ReceiveClock(const HybridTime& remote) {
  const std::lock_guard lock(node_mutex_);
  node_.time_line().AdvanceForReceive(remote, ReadClocks().wall);
}

}  // namespace pollenledge
