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
  message.request.delivered_tokens = exchange->answer().tokens();
  message.path = exchange->path();
  message.body = exchange->body();
  message.delivered = exchange->answer().Events();
  const Result<bool> accepted = link_->HandOver(hand_over.address, message);
  if (Ok(accepted) && Value(accepted)) {
    const std::lock_guard lock(exchanges_mutex_);
    exchanges_.erase(exchange->id());
    return true;
  }
  Log(LogLevel::kWarn, "hand_over_failed",
      {{"request", ToString(exchange->id())}, {"peer", hand_over.peer.name}});
  // No other entry accepted the request, so it continues here for as long as
  // this entry runs.
  Submit(event::HandOverReceived{message.request});
  return false;
}

void EntryService::RunTakenOver(const std::shared_ptr<Exchange>& exchange,
                                const HandOverMessage& message) {
  const CompletionApi api = message.path == "/v1/completions"
                                ? CompletionApi::kText
                                : CompletionApi::kChat;
  const Result<CompletionRequest> request =
      ParseCompletion(api, exchange->customer(), exchange->body());
  if (!Ok(request)) return;
  Submit(event::HandOverReceived{message.request});
  const CallerSink sink{[](const std::string&, std::int64_t) { return true; },
                        [] { return true; }};
  const ExchangeEnd result = RunOrders(exchange, Value(request), sink);
  if (const auto* outcome = std::get_if<Outcome>(&result)) {
    if (!std::holds_alternative<Completed>(*outcome)) {
      exchange->answer().Start(503, "application/json");
    }
  }
  Retire(exchange, result);
}

FetchedAnswer EntryService::FetchAnywhere(const RequestId& id,
                                          const std::string& customer,
                                          std::uint64_t offset,
                                          Duration timeout) {
  const std::shared_ptr<Exchange> exchange = FindExchange(id);
  if (exchange != nullptr && exchange->customer() == customer) {
    const AnswerPart part = exchange->answer().Read(offset, timeout);
    return {true, part.finished, part.http_status, part.content_type,
            part.data};
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
    Result<FetchedAnswer> fetched = link_->Fetch(address, id, customer, offset);
    if (Ok(fetched) && Value(fetched).found) return Value(fetched);
  }
  return {};
}

void EntryService::OnPeerEvent(EntryEvent event) { Submit(event); }

HolderAnswer EntryService::QueryHolder(const RequestId& id) {
  const std::lock_guard lock(node_mutex_);
  return node_.QueryHolder(id);
}

bool EntryService::HandOver(const HandOverMessage& message) {
  {
    const std::lock_guard lock(node_mutex_);
    if (!node_.ready()) return false;
  }
  const RequestId& id = message.request.id;
  auto exchange = std::make_shared<Exchange>(id, message.request.spec.customer,
                                             message.path, message.body);
  if (!message.delivered.empty()) {
    exchange->answer().Start(200, message.request.spec.stream
                                      ? "text/event-stream"
                                      : "application/json");
    exchange->answer().AppendEvent(message.delivered,
                                   message.request.delivered_tokens);
  }
  {
    const std::lock_guard lock(exchanges_mutex_);
    // The peer retries a call whose response was lost; the request is already
    // running.
    if (!exchanges_.emplace(id, exchange).second) return true;
  }
  return taken_over_.Run(
      [this, exchange, message] { RunTakenOver(exchange, message); });
}

FetchedAnswer EntryService::Fetch(const RequestId& id,
                                  const std::string& customer,
                                  std::uint64_t offset) {
  const std::shared_ptr<Exchange> exchange = FindExchange(id);
  if (exchange == nullptr || exchange->customer() != customer) return {};
  const AnswerPart part = exchange->answer().Read(offset, Duration(0));
  return {true, part.finished, part.http_status, part.content_type, part.data};
}

VersionedTexts EntryService::TablesInForce() {
  const std::lock_guard lock(node_mutex_);
  return {node_.tables() == nullptr ? 0 : node_.tables()->version, texts_};
}

std::uint64_t EntryService::ApplyTables(const VersionedTexts& tables) {
  {
    const std::lock_guard lock(node_mutex_);
    const std::uint64_t active_version =
        node_.tables() == nullptr ? 0 : node_.tables()->version;
    if (tables.version <= active_version) return active_version;
  }
  TablesResult parsed = ParseTables(tables.texts, tables.version);
  if (const auto* problems = std::get_if<std::vector<FieldProblem>>(&parsed)) {
    Log(LogLevel::kError, "tables_refused",
        {{"problems", ToString(*problems)}});
    return TablesInForce().version;
  }
  const auto activated =
      std::make_shared<const Tables>(std::move(std::get<Tables>(parsed)));
  Submit(event::TablesAdopted{activated});
  std::vector<UpstreamInfo> joined;
  std::uint64_t active_version = 0;
  {
    const std::lock_guard lock(node_mutex_);
    active_version = node_.tables()->version;
    if (active_version == tables.version) texts_ = tables.texts;
    joined = JoinWithTables();
  }
  Submit(event::UpstreamsListed{std::move(joined)});
  Log(LogLevel::kInfo, "tables_in_force",
      {{"version", std::to_string(active_version)}});
  return active_version;
}

void EntryService::ListUpstreams(const std::vector<ListedUpstream>& upstreams) {
  std::vector<UpstreamInfo> joined;
  {
    const std::lock_guard lock(node_mutex_);
    listed_ = upstreams;
    joined = JoinWithTables();
  }
  Submit(event::UpstreamsListed{std::move(joined)});
}

std::vector<UpstreamInfo> EntryService::JoinWithTables() const {
  std::vector<UpstreamInfo> joined;
  const std::shared_ptr<const Tables>& tables = node_.tables();
  if (tables == nullptr) return joined;
  for (const ListedUpstream& listed : listed_) {
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
                   texts_};
  return report;
}

HybridTime EntryService::Clock() {
  const std::lock_guard lock(node_mutex_);
  return node_.time_line().Send(ReadClocks().wall);
}

void EntryService::ReceiveClock(const HybridTime& remote) {
  const std::lock_guard lock(node_mutex_);
  node_.time_line().Receive(remote, ReadClocks().wall);
}

}  // namespace pollenledge
