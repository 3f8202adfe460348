#include <algorithm>
#include <utility>

#include "pollenledge/process/forward_node.h"

// Tables that pass from node to node, in `ForwardNode`: a node that the store
// doesn't answer gets them, and their confirmation, from its peers.

namespace pollenledge {
namespace {

/// Minimum interval between two requests of one node.
constexpr Duration kTablesRequestInterval = std::chrono::milliseconds(250);

}  // namespace

void ForwardNode::RequestTables() {
  if (!NeedsTablesFromPeer() ||
      now() - tables_requested_at_ < kTablesRequestInterval)
    return;
  const MemberRecord* peer = ChooseTablesPeer();
  if (peer == nullptr) return;
  tables_requested_at_ = now();
  Emit(forward_action::WriteLogLine{
      LogLevel::kInfo,
      "tables_requested",
      {{"peer", peer->id.name},
       {"version", std::to_string(TablesVersion())},
       {"peer_version", std::to_string(peer->tables_version)},
       {"store_read", tables_read_failed_ ? "failed" : "ok"},
       {"tables_age_ms", FormatTablesAge()}}});
  Heartbeat request;
  request.records = {membership_.AdvanceHeartbeat()};
  request.records.front().tables_version = TablesVersion();
  request.tables_request = tables_assembly_.NextRequest(TablesVersion(), now());
  Emit(forward_action::SendHeartbeat{{peer->peer_address, std::move(request)}});
}

bool ForwardNode::NeedsTablesFromPeer() const {
  if (behind_since_.has_value())
    return now() - *behind_since_ >= kTablesWatchTime;
  if (!tables_read_failed_) return false;
  const std::optional<Duration> age = TablesAge(now());
  return !age.has_value() || *age >= options_.tables_bound / 2;
}

const MemberRecord* ForwardNode::ChooseTablesPeer() {
  std::vector<const MemberRecord*> peers = membership_.LiveOthers(now());
  const std::uint64_t own = TablesVersion();
  std::erase_if(peers, [own](const MemberRecord* peer) {
    return peer->tables_version < own;
  });
  const auto same = std::partition(
      peers.begin(), peers.end(),
      [own](const MemberRecord* peer) { return peer->tables_version > own; });
  if (same != peers.begin()) peers.erase(same, peers.end());
  return peers.empty() ? nullptr : peers[random_() % peers.size()];
}

void ForwardNode::RespondToTablesRequest(const Heartbeat& heartbeat) {
  if (tables_index_ == nullptr) return;
  const TablesRequest& request = *heartbeat.tables_request;
  Heartbeat response;
  response.records = {membership_.AdvanceHeartbeat()};
  response.records.front().tables_version = TablesVersion();
  response.tables_confirmation_age = TablesAge(now());
  response.tables_reply = TablesReply{request.requested_at, std::nullopt};
  const std::string& address = heartbeat.records.front().peer_address;
  const std::vector<TablesPart> parts =
      MakeTablesParts(TablesVersion(), tables_index_->document(), request);
  if (parts.empty()) Emit(forward_action::SendHeartbeat{{address, response}});
  for (const TablesPart& part : parts) {
    response.tables_reply->part = part;
    Emit(forward_action::SendHeartbeat{{address, response}});
  }
}

void ForwardNode::OnTablesReply(const Heartbeat& heartbeat) {
  const TablesReply& reply = *heartbeat.tables_reply;
  ApplyTablesConfirmation(heartbeat, reply.requested_at);
  ReleaseConfirmedRequests();
  if (!reply.part.has_value()) return;
  std::optional<std::string> document =
      tables_assembly_.Add(*reply.part, TablesVersion());
  if (!document.has_value()) return;
  std::optional<TimePoint> confirmed_at;
  if (heartbeat.tables_confirmation_age.has_value())
    confirmed_at = reply.requested_at - *heartbeat.tables_confirmation_age;
  Emit(forward_action::ParseTables{
      std::move(*document), heartbeat.records.front().id.name, confirmed_at});
}

void ForwardNode::On(const forward_event::TablesFromPeer& received) {
  ActivateTables(received.tables, "peer");
  const bool is_active = received.tables->tables().version == TablesVersion();
  if (is_active && received.confirmed_at.has_value())
    RecordTablesConfirmation(*received.confirmed_at, received.peer);
  ReleaseConfirmedRequests();
}

}  // namespace pollenledge
