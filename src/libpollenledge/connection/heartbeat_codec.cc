#include "heartbeat_codec.h"

#include <algorithm>

#include "admission_codec.h"
#include "report_codec.h"
#include "tables_codec.h"
#include "wire_codec.h"
#include "wire_list.h"

namespace pollenledge {
namespace {

template <typename List, typename Value>
void MessagesFromWire(const List& list, std::vector<Value>* values) {
  for (const auto message : list) values->push_back(FromWire(message));
}

template <typename Value, typename List>
void MessagesToWire(const std::vector<Value>& values, List list) {
  for (unsigned i = 0; i < list.size(); ++i) ToWire(values[i], list[i]);
}

}  // namespace

MemberRecord FromWire(wire::MemberRecord::Reader reader) {
  MemberRecord record;
  record.id = FromWire(reader.getId());
  record.heartbeat = reader.getHeartbeat();
  record.domain = reader.getDomain();
  record.peer_address = reader.getPeerAddress();
  record.admin_address = reader.getAdminAddress();
  record.draining = reader.getLeaving();
  record.left = reader.getLeft();
  record.tables_version = reader.getTablesVersion();
  record.active_requests = reader.getActiveRequests();
  record.cpu_percent = reader.getProcessorPercent();
  for (const auto demand : reader.getDemands()) {
    record.demands.push_back(
        {demand.getCustomer(), demand.getTokensPerSecond()});
  }
  for (const auto use : reader.getUses()) {
    record.customer_usage.push_back({use.getCustomer(), use.getUnits()});
  }
  for (const auto count : reader.getLateness()) {
    record.late_stream_counts.push_back(
        {count.getService(), count.getStreams(), count.getLate()});
  }
  ListFromWire(reader.getUnreachableServices(), &record.unreachable_services);
  record.checks_tables_version = reader.getChecksTablesVersion();
  return record;
}

void ToWire(const MemberRecord& record, wire::MemberRecord::Builder builder) {
  ToWire(record.id, builder.initId());
  builder.setHeartbeat(record.heartbeat);
  builder.setDomain(record.domain);
  builder.setPeerAddress(record.peer_address);
  builder.setAdminAddress(record.admin_address);
  builder.setLeaving(record.draining);
  builder.setLeft(record.left);
  builder.setTablesVersion(record.tables_version);
  builder.setActiveRequests(record.active_requests);
  builder.setProcessorPercent(record.cpu_percent);
  auto demands = builder.initDemands(ListSize(record.demands));
  for (unsigned i = 0; i < demands.size(); ++i) {
    demands[i].setCustomer(record.demands[i].customer);
    demands[i].setTokensPerSecond(record.demands[i].tokens_per_s);
  }
  auto uses = builder.initUses(ListSize(record.customer_usage));
  for (unsigned i = 0; i < uses.size(); ++i) {
    uses[i].setCustomer(record.customer_usage[i].customer);
    uses[i].setUnits(record.customer_usage[i].used_units);
  }
  auto lateness = builder.initLateness(ListSize(record.late_stream_counts));
  for (unsigned i = 0; i < lateness.size(); ++i) {
    lateness[i].setService(record.late_stream_counts[i].service);
    lateness[i].setStreams(record.late_stream_counts[i].streams);
    lateness[i].setLate(record.late_stream_counts[i].late);
  }
  ListToWire(
      record.unreachable_services,
      builder.initUnreachableServices(ListSize(record.unreachable_services)));
  builder.setChecksTablesVersion(record.checks_tables_version);
}

ForwardUpstreamInfo FromWire(wire::ListedForwardUpstream::Reader reader) {
  ForwardUpstreamInfo info;
  info.id = FromWire(reader.getId());
  info.address = reader.getAddress();
  info.service = reader.getService();
  info.domain = reader.getDomain();
  info.slots = reader.getSlots();
  info.leaving = reader.getLeaving();
  info.reclaimable = reader.getReclaimable();
  info.time_until_removal = RemainingFromWire(reader.getLeavesInMicros());
  info.remaining_warmup = Duration(reader.getWarmupMicros());
  info.store_revision = reader.getRevision();
  info.software_version = reader.getSoftwareVersion();
  return info;
}

void ToWire(const ForwardUpstreamInfo& info,
            wire::ListedForwardUpstream::Builder builder) {
  ToWire(info.id, builder.initId());
  builder.setAddress(info.address);
  builder.setService(info.service);
  builder.setDomain(info.domain);
  builder.setSlots(info.slots);
  builder.setLeaving(info.leaving);
  builder.setReclaimable(info.reclaimable);
  builder.setLeavesInMicros(RemainingToWire(info.time_until_removal));
  builder.setWarmupMicros(info.remaining_warmup.count());
  builder.setRevision(info.store_revision);
  builder.setSoftwareVersion(info.software_version);
}

UpstreamChanges FromWire(wire::UpstreamChanges::Reader reader) {
  UpstreamChanges changes;
  changes.to_revision = reader.getTo();
  MessagesFromWire(reader.getChanged(), &changes.changed);
  for (const auto removed : reader.getRemoved()) {
    changes.removed.push_back({removed.getName(), removed.getRevision()});
  }
  changes.digest = reader.getDigest();
  changes.age = RemainingFromWire(reader.getAgeMicros());
  return changes;
}

void ToWire(const UpstreamChanges& changes,
            wire::UpstreamChanges::Builder builder) {
  builder.setTo(changes.to_revision);
  MessagesToWire(changes.changed,
                 builder.initChanged(ListSize(changes.changed)));
  auto removed = builder.initRemoved(ListSize(changes.removed));
  for (unsigned i = 0; i < removed.size(); ++i) {
    removed[i].setName(changes.removed[i].name);
    removed[i].setRevision(changes.removed[i].revision);
  }
  builder.setDigest(changes.digest);
  builder.setAgeMicros(RemainingToWire(changes.age));
}

Heartbeat FromWire(wire::NodeHeartbeat::Reader reader) {
  Heartbeat heartbeat;
  MessagesFromWire(reader.getRecords(), &heartbeat.records);
  heartbeat.requests_levels = reader.getAsksForLevels();
  heartbeat.levels_authoritative = reader.getLeads();
  heartbeat.queried_at = ClockFromWire(reader.getAskedAtMicros());
  heartbeat.tables_confirmation_age =
      RemainingFromWire(reader.getProofAgeMicros());
  MessagesFromWire(reader.getSuspects(), &heartbeat.suspect_reports);
  for (const auto level : reader.getLevels()) {
    heartbeat.levels.push_back(
        {level.getCustomer(), level.getUnits(), level.getCountedUse()});
  }
  heartbeat.wall_clock_time = WallTime(Duration(reader.getCalendarMicros()));
  MessagesFromWire(reader.getLoads(), &heartbeat.load_reports);
  MessagesFromWire(reader.getUsage(), &heartbeat.usage_reports);
  ListFromWire(reader.getUsageTaken(), &heartbeat.accepted_usage_windows);
  MessagesFromWire(reader.getRateLimits(), &heartbeat.rate_limit_reports);
  MessagesFromWire(reader.getPermitsRequested(), &heartbeat.requested_permits);
  MessagesFromWire(reader.getPermitsGranted(), &heartbeat.granted_permits);
  MessagesFromWire(reader.getLeavingUpstreams(), &heartbeat.leaving_upstreams);
  MessagesFromWire(reader.getStreams(), &heartbeat.stream_records);
  MessagesFromWire(reader.getRolloutShares(), &heartbeat.rollout_shares);
  for (const auto report : reader.getPromptCaches()) {
    MergeFromWire(report, &heartbeat.prompt_caches);
  }
  for (const auto level : reader.getAdmissionLevels()) {
    if (level.getVersion() > 0) {
      heartbeat.admission_levels.push_back(FromWire(level));
    } else {
      heartbeat.admission_demands.push_back(DemandFromWire(level));
    }
  }
  MessagesFromWire(reader.getSpeeds(), &heartbeat.speed_reports);
  heartbeat.permits_requested_at =
      ClockFromWire(reader.getPermitsRequestedAtMicros());
  heartbeat.upstreams_revision = reader.getUpstreamsRevision();
  if (reader.hasUpstreamChanges()) {
    heartbeat.upstream_changes = FromWire(reader.getUpstreamChanges());
  }
  if (reader.hasTablesRequest())
    heartbeat.tables_request = FromWire(reader.getTablesRequest());
  if (reader.hasTablesReply())
    heartbeat.tables_reply = FromWire(reader.getTablesReply());
  return heartbeat;
}

void ToWire(const Heartbeat& heartbeat, wire::NodeHeartbeat::Builder builder) {
  MessagesToWire(heartbeat.records,
                 builder.initRecords(ListSize(heartbeat.records)));
  builder.setAsksForLevels(heartbeat.requests_levels);
  builder.setLeads(heartbeat.levels_authoritative);
  builder.setAskedAtMicros(ClockToWire(heartbeat.queried_at));
  builder.setProofAgeMicros(RemainingToWire(heartbeat.tables_confirmation_age));
  MessagesToWire(heartbeat.suspect_reports,
                 builder.initSuspects(ListSize(heartbeat.suspect_reports)));
  auto levels = builder.initLevels(ListSize(heartbeat.levels));
  for (unsigned i = 0; i < levels.size(); ++i) {
    levels[i].setCustomer(heartbeat.levels[i].customer);
    levels[i].setUnits(heartbeat.levels[i].remaining_units);
    levels[i].setCountedUse(heartbeat.levels[i].counted_usage);
  }
  builder.setCalendarMicros(
      heartbeat.wall_clock_time.time_since_epoch().count());
  MessagesToWire(heartbeat.load_reports,
                 builder.initLoads(ListSize(heartbeat.load_reports)));
  MessagesToWire(heartbeat.usage_reports,
                 builder.initUsage(ListSize(heartbeat.usage_reports)));
  ListToWire(
      heartbeat.accepted_usage_windows,
      builder.initUsageTaken(ListSize(heartbeat.accepted_usage_windows)));
  MessagesToWire(
      heartbeat.rate_limit_reports,
      builder.initRateLimits(ListSize(heartbeat.rate_limit_reports)));
  MessagesToWire(
      heartbeat.requested_permits,
      builder.initPermitsRequested(ListSize(heartbeat.requested_permits)));
  MessagesToWire(
      heartbeat.granted_permits,
      builder.initPermitsGranted(ListSize(heartbeat.granted_permits)));
  MessagesToWire(
      heartbeat.leaving_upstreams,
      builder.initLeavingUpstreams(ListSize(heartbeat.leaving_upstreams)));
  const std::size_t level_count = heartbeat.admission_levels.size();
  auto admission = builder.initAdmissionLevels(
      static_cast<unsigned>(level_count + heartbeat.admission_demands.size()));
  for (unsigned i = 0; i < admission.size(); ++i) {
    if (i < level_count) {
      ToWire(heartbeat.admission_levels[i], admission[i]);
    } else {
      ToWire(heartbeat.admission_demands[i - level_count], admission[i]);
    }
  }
  MessagesToWire(heartbeat.stream_records,
                 builder.initStreams(ListSize(heartbeat.stream_records)));
  MessagesToWire(heartbeat.rollout_shares,
                 builder.initRolloutShares(ListSize(heartbeat.rollout_shares)));
  if (!heartbeat.prompt_caches.empty())
    ToWire(heartbeat.prompt_caches, builder.initPromptCaches(1)[0]);
  MessagesToWire(heartbeat.speed_reports,
                 builder.initSpeeds(ListSize(heartbeat.speed_reports)));
  builder.setPermitsRequestedAtMicros(
      ClockToWire(heartbeat.permits_requested_at));
  builder.setUpstreamsRevision(heartbeat.upstreams_revision);
  if (heartbeat.upstream_changes.has_value()) {
    ToWire(*heartbeat.upstream_changes, builder.initUpstreamChanges());
  }
  if (heartbeat.tables_request.has_value())
    ToWire(*heartbeat.tables_request, builder.initTablesRequest());
  if (heartbeat.tables_reply.has_value())
    ToWire(*heartbeat.tables_reply, builder.initTablesReply());
}

}  // namespace pollenledge
