#include "pollenledge/process/control_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/connection/http.h"
#include "pollenledge/process/clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kWatchIdleTimeout = std::chrono::seconds(4);
constexpr Duration kWatchRestartDelay = std::chrono::milliseconds(500);
constexpr Duration kPushRetryInterval = std::chrono::milliseconds(250);
// Tables are pushed periodically even without a change, because the entry may
// have been restarted since the last push.
constexpr Duration kPushRefreshInterval = std::chrono::seconds(1);
constexpr Duration kEditTimeout = std::chrono::seconds(4);

Result<Json> GetJson(const std::string& address, const std::string& path) {
  HttpCall call;
  call.address = address;
  call.path = path;
  const Result<HttpResponse> response = MakeHttpCall(call);
  if (!Ok(response)) return ErrorOf(response);
  Json json = Json::parse(Value(response).body, nullptr, false);
  if (Value(response).status != 200 || json.is_discarded()) {
    return Error{ErrorCode::kUnavailable,
                 "invalid response from " + address + path};
  }
  return json;
}

ListedUpstream ParseListedUpstream(const Json& json) {
  ListedUpstream upstream;
  upstream.id = {json.value("name", ""),
                 json.value("incarnation", std::uint64_t{0})};
  upstream.address = json.value("address", "");
  upstream.pool = json.value("pool", "");
  upstream.domain = json.value("domain", "");
  upstream.machine_class = json.value("class", "");
  upstream.reclaimable = json.value("market", "") == "reclaimable";
  return upstream;
}

}  // namespace

ControlService::ControlService(const Settings& settings, NodeId node)
    : settings_(settings),
      node_id_(std::move(node)),
      kv_client_(settings.kv_address, settings.kv_timeout),
      peer_link_({"", settings.peer_token, std::chrono::milliseconds(1500)},
                 nullptr) {}

ControlService::~ControlService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  state_changed_.notify_all();
  for (std::thread* thread :
       {&tables_watcher_, &tables_pusher_, &platform_poller_}) {
    if (thread->joinable()) thread->join();
  }
}

void ControlService::Start() {
  tables_watcher_ = std::thread([this] { WatchTables(); });
  tables_pusher_ = std::thread([this] { PushTablesToEntry(); });
  platform_poller_ = std::thread([this] { PollPlatform(); });
}

ApplyResult ControlService::Apply(const ConfigChange& change) {
  TablesResult checked = ParseTables(change.yaml, change.base_version + 1);
  if (auto* problems = std::get_if<std::vector<FieldProblem>>(&checked)) {
    return std::move(*problems);
  }
  const std::size_t size = change.yaml.routes.size() + change.yaml.pools.size();
  if (size > kMaxConfigBytes) {
    return std::vector<FieldProblem>{
        {"routes.yaml, pools.yaml", 0, "(document)",
         std::to_string(size) + " bytes",
         "at most " + std::to_string(kMaxConfigBytes) + " bytes together"}};
  }
  ConfigEdit edit(change, ReadClocks().monotonic + kEditTimeout);
  EditStep step = edit.Start();
  while (true) {
    if (std::holds_alternative<ReadConfig>(step)) {
      step = edit.OnRead(kv_client_.Read(kConfigKey), ReadClocks().monotonic);
    } else if (const auto* write = std::get_if<WriteConfig>(&step)) {
      step = edit.OnWrite(kv_client_.Write({write->write}),
                          ReadClocks().monotonic);
    } else {
      break;
    }
  }
  if (std::holds_alternative<EditAccepted>(step)) ReadTables();
  return step;
}

VersionedTablesYaml ControlService::LatestTables() const {
  const std::lock_guard lock(mutex_);
  return latest_tables_;
}

Result<EntryReport> ControlService::QueryEntryReport() {
  return peer_link_.FetchReport(settings_.peer_address);
}

Status ControlService::DrainEntry(std::optional<Duration> remaining) {
  return peer_link_.Drain(settings_.peer_address, remaining);
}

std::vector<BilledInstances> ControlService::InstanceBill() const {
  const std::lock_guard lock(mutex_);
  TablesResult parsed =
      ParseTables(latest_tables_.yaml, latest_tables_.version);
  const auto* tables = std::get_if<pollenledge::Tables>(&parsed);
  using DomainAndClass = std::pair<std::string, std::string>;
  std::map<std::string, std::map<DomainAndClass, BilledInstances>> by_pool;
  if (tables == nullptr) return {};
  for (const auto& [id, observed] : observed_upstreams_) {
    const ListedUpstream& upstream = observed.upstream;
    const Pool* pool = tables->FindPool(upstream.pool);
    if (pool == nullptr) continue;
    const PoolMember* member = pool->FindMember(
        upstream.domain, upstream.machine_class, upstream.reclaimable);
    if (member == nullptr) continue;
    const std::string name = BilledClassName(
        upstream.pool, upstream.machine_class, upstream.reclaimable);
    BilledInstances& line = by_pool[upstream.pool][{upstream.domain, name}];
    line.domain = upstream.domain;
    line.machine_class = name;
    line.price_micros_per_hour = member->price_micros_per_hour;
    line.slots = member->slots;
    line.instance_time += std::chrono::duration_cast<Duration>(
        observed.last_seen_at - observed.first_seen_at);
  }
  std::vector<BilledInstances> lines;
  for (auto& [pool, lines_by_class] : by_pool) {
    std::vector<BilledInstances> pool_lines;
    pool_lines.reserve(lines_by_class.size());
    for (auto& [domain_and_class, line] : lines_by_class)
      pool_lines.push_back(std::move(line));
    SetSpareShares(&pool_lines);
    lines.insert(lines.end(), pool_lines.begin(), pool_lines.end());
  }
  return lines;
}

void ControlService::WatchTables() {
  while (true) {
    ReadTables();
    std::int64_t revision = 0;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      revision = last_seen_revision_;
    }
    // An idle watch ends after kWatchIdleTimeout, and then the tables are read
    // again. A watch that silently stopped working thus delays an update by at
    // most that time.
    kv_client_.Watch(kConfigKey, revision, kWatchIdleTimeout,
                     [this](const KvEntry& entry) {
                       AcceptTables(entry);
                       const std::lock_guard lock(mutex_);
                       return !stopping_;
                     });
    if (SleepUnlessStopped(kWatchRestartDelay)) return;
  }
}

void ControlService::ReadTables() {
  const Result<std::optional<KvEntry>> read = kv_client_.Read(kConfigKey);
  if (!Ok(read)) {
    FetchTablesFromPeers();
    return;
  }
  if (Value(read).has_value()) AcceptTables(*Value(read));
}

void ControlService::AcceptTables(const KvEntry& entry) {
  Result<ConfigDocument> document = ParseConfigDocument(entry.value);
  if (!Ok(document)) {
    Log(LogLevel::kError, "tables_malformed",
        {{"why", ErrorOf(document).message}});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    last_seen_revision_ = std::max(last_seen_revision_, entry.mod_revision);
    // A stale read or a delayed watch event may contain an older version.
    if (Value(document).version <= latest_tables_.version) return;
    latest_tables_ = {Value(document).version, std::move(Value(document).yaml)};
  }
  state_changed_.notify_all();
}

void ControlService::FetchTablesFromPeers() {
  for (const std::string& peer : settings_.peers) {
    Result<VersionedTablesYaml> tables = peer_link_.FetchTables(peer);
    if (!Ok(tables)) continue;
    bool is_newer = false;
    {
      const std::lock_guard lock(mutex_);
      is_newer = Value(tables).version > latest_tables_.version;
      if (is_newer) latest_tables_ = std::move(Value(tables));
    }
    if (is_newer) {
      Log(LogLevel::kInfo, "tables_from_peer", {{"peer", peer}});
      state_changed_.notify_all();
    }
  }
}

void ControlService::PushTablesToEntry() {
  while (true) {
    VersionedTablesYaml tables;
    {
      std::unique_lock lock(mutex_);
      state_changed_.wait_for(lock, kPushRefreshInterval, [this] {
        return stopping_ || latest_tables_.version > entry_tables_version_;
      });
      if (stopping_) return;
      tables = latest_tables_;
    }
    if (tables.version == 0) continue;
    const Result<std::uint64_t> active_version =
        peer_link_.ApplyTables(settings_.peer_address, tables);
    const bool is_applied =
        Ok(active_version) && Value(active_version) >= tables.version;
    {
      const std::lock_guard lock(mutex_);
      entry_tables_version_ = is_applied ? tables.version : 0;
    }
    if (!is_applied && SleepUnlessStopped(kPushRetryInterval)) return;
  }
}

void ControlService::PollPlatform() {
  while (true) {
    PollNotices();
    PollInstanceList();
    if (SleepUnlessStopped(settings_.list_interval)) return;
  }
}

void ControlService::PollInstanceList() {
  const Result<Json> list = GetJson(settings_.list_address, "/v1/instances");
  if (!Ok(list) || !Value(list).contains("instances")) return;
  std::vector<ListedUpstream> upstreams;
  std::vector<event::UpstreamNoticeReceived> notices;
  for (const Json& item : Value(list)["instances"]) {
    upstreams.push_back(ParseListedUpstream(item));
    if (item.value("state", "live") == "leaving") {
      notices.push_back(
          {upstreams.back().id, UpstreamState::kLeaving, std::nullopt, "list"});
    }
  }
  {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    for (const ListedUpstream& upstream : upstreams) {
      ObservedUpstream& observed =
          observed_upstreams_
              .try_emplace(upstream.id, ObservedUpstream{now, now, upstream})
              .first->second;
      observed.last_seen_at = now;
    }
  }
  peer_link_.SendUpstreamList(settings_.peer_address, upstreams);
  for (const event::UpstreamNoticeReceived& notice : notices) {
    peer_link_.ForwardNotice(settings_.peer_address, notice);
  }
}

void ControlService::PollNotices() {
  const Result<Json> notices =
      GetJson(settings_.cloud_address,
              "/v1/notices?after=" + std::to_string(last_notice_id_));
  if (!Ok(notices) || !Value(notices).contains("notices")) return;
  for (const Json& notice : Value(notices)["notices"]) {
    last_notice_id_ =
        std::max(last_notice_id_, notice.value("id", std::int64_t{0}));
    const std::string instance = notice.value("instance", "");
    const Duration remaining =
        std::chrono::milliseconds(notice.value("remaining_ms", 0));
    if (instance == settings_.instance) {
      Log(LogLevel::kWarn, "instance_reclaimed",
          {{"remaining_ms", std::to_string(remaining.count() / 1000)}});
      DrainEntry(remaining);
      continue;
    }
    peer_link_.ForwardNotice(
        settings_.peer_address,
        {{instance, notice.value("incarnation", std::uint64_t{0})},
         UpstreamState::kLeaving,
         remaining,
         "notice"});
  }
}

bool ControlService::SleepUnlessStopped(Duration duration) {
  std::unique_lock lock(mutex_);
  state_changed_.wait_for(lock, duration, [this] { return stopping_; });
  return stopping_;
}

}  // namespace pollenledge
