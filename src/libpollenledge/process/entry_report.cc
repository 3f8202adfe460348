#include "pollenledge/process/entry_report.h"

#include <nlohmann/json.hpp>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

Json MemberToJson(const Member& member) {
  const MemberRecord& record = member.record;
  return {{"node", record.id.name},
          {"incarnation", record.id.incarnation},
          {"domain", record.domain},
          {"status", ToString(member.status)},
          {"leaving", record.draining},
          {"tables_version", record.tables_version},
          {"active_requests", record.active_requests},
          {"peer_address", record.peer_address},
          {"admin_address", record.admin_address}};
}

Json UpstreamToJson(const UpstreamEntry& entry, int entry_count) {
  return {{"name", entry.info.id.name},
          {"incarnation", entry.info.id.incarnation},
          {"pool", entry.info.pool},
          {"domain", entry.info.domain},
          {"class", entry.info.machine_class},
          {"state", ToString(entry.state)},
          {"own_requests", entry.load.local_requests()},
          {"estimated_requests", entry.load.EstimatedRequests(entry_count)},
          {"slowness", entry.load.slowdown_factor()}};
}

}  // namespace

std::string RenderStatus(const EntryNode& node, TimePoint now) {
  const MemberRecord& self = node.membership().self();
  const int entry_count = node.membership().AliveCount(now);
  Json members = Json::array();
  for (const Member& member : node.membership().Others(now)) {
    members.push_back(MemberToJson(member));
  }
  Json upstreams = Json::array();
  node.upstreams().ForEach([&](UpstreamHandle, const UpstreamEntry& entry) {
    upstreams.push_back(UpstreamToJson(entry, entry_count));
  });
  const Json status = {
      {"node", self.id.name},
      {"incarnation", self.id.incarnation},
      {"domain", self.domain},
      {"tables_version", node.tables() == nullptr ? 0 : node.tables()->version},
      {"draining", node.draining()},
      {"active_requests", node.active_requests()},
      {"peer_address", self.peer_address},
      {"admin_address", self.admin_address},
      {"members", members},
      {"upstreams", upstreams}};
  return status.dump();
}

std::string RenderUsage(const EntryNode& node) {
  Json lines = Json::array();
  for (const auto& [key, usage] : node.cost_ledger().usage()) {
    lines.push_back({{"customer", key.customer},
                     {"route", key.route},
                     {"rank", ToString(key.rank)},
                     {"domain", key.domain},
                     {"class", key.machine_class},
                     {"purpose", ToString(key.purpose)},
                     {"slot_us", usage.slot_time.count()},
                     {"tokens", usage.tokens},
                     {"requests", usage.requests}});
  }
  return lines.dump();
}

Status AddUsageFromJson(const std::string& json,
                        std::map<SlotUsageKey, SlotUsage>* usage) {
  const Json lines = Json::parse(json, nullptr, false);
  if (!lines.is_array()) {
    return Error{ErrorCode::kInvalidArgument, "usage is not a JSON array"};
  }
  for (const Json& line : lines) {
    SlotUsageKey key;
    key.customer = line.value("customer", "");
    key.route = line.value("route", "");
    key.rank = ParseRank(line.value("rank", "")).value_or(Rank::kStandard);
    key.domain = line.value("domain", "");
    key.machine_class = line.value("class", "");
    const std::string purpose = line.value("purpose", "");
    for (const CostPurpose candidate :
         {CostPurpose::kAnswers, CostPurpose::kRecomputation,
          CostPurpose::kRetries}) {
      if (purpose == ToString(candidate)) key.purpose = candidate;
    }
    SlotUsage& total = (*usage)[key];
    total.slot_time += Duration(line.value("slot_us", std::int64_t{0}));
    total.tokens += line.value("tokens", std::int64_t{0});
    total.requests += line.value("requests", std::int64_t{0});
  }
  return std::monostate();
}

}  // namespace pollenledge
