#include "pollenledge/process/control_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/connection/http.h"
#include "pollenledge/process/clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kWatchIdle = std::chrono::seconds(4);
constexpr Duration kWatchPause = std::chrono::milliseconds(500);
constexpr Duration kPushRetry = std::chrono::milliseconds(250);
// The entry may have been restarted since the tables were pushed.
constexpr Duration kPushAgain = std::chrono::seconds(1);
constexpr Duration kEditTimeout = std::chrono::seconds(4);

Result<Json> GetJson(const std::string& address, const std::string& path) {
  HttpCall call;
  call.address = address;
  call.path = path;
  const Result<HttpAnswer> answer = Call(call);
  if (!Ok(answer)) return ErrorOf(answer);
  Json json = Json::parse(Value(answer).body, nullptr, false);
  if (Value(answer).status != 200 || json.is_discarded()) {
    return Error{ErrorCode::kUnavailable,
                 "unusable answer of " + address + path};
  }
  return json;
}

ListedUpstream ParseListed(const Json& json) {
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
      kv_(settings.kv_address, settings.kv_timeout),
      link_({"", settings.peer_token, std::chrono::milliseconds(1500)},
            nullptr) {}

ControlService::~ControlService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread* thread : {&watcher_, &pusher_, &platform_reader_}) {
    if (thread->joinable()) thread->join();
  }
}

void ControlService::Start() {
  watcher_ = std::thread([this] { WatchTables(); });
  pusher_ = std::thread([this] { PushTables(); });
  platform_reader_ = std::thread([this] { ReadPlatform(); });
}

ApplyResult ControlService::Apply(const ConfigChange& change) {
  TablesResult checked = ParseTables(change.texts, change.base_version + 1);
  if (auto* problems = std::get_if<std::vector<FieldProblem>>(&checked)) {
    return std::move(*problems);
  }
  const std::size_t size =
      change.texts.routes.size() + change.texts.pools.size();
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
      step = edit.OnRead(kv_.Read(kConfigKey), ReadClocks().monotonic);
    } else if (const auto* write = std::get_if<WriteConfig>(&step)) {
      step = edit.OnWrite(kv_.Write({write->write}), ReadClocks().monotonic);
    } else {
      break;
    }
  }
  if (std::holds_alternative<EditAccepted>(step)) ReadTables();
  return step;
}

VersionedTexts ControlService::Tables() const {
  const std::lock_guard lock(mutex_);
  return tables_;
}

Result<EntryReport> ControlService::Report() {
  return link_.Report(settings_.peer_address);
}

Status ControlService::Drain(std::optional<Duration> remaining) {
  return link_.Drain(settings_.peer_address, remaining);
}

std::vector<BilledInstances> ControlService::Bill() const {
  const std::lock_guard lock(mutex_);
  TablesResult parsed = ParseTables(tables_.texts, tables_.version);
  const auto* tables = std::get_if<pollenledge::Tables>(&parsed);
  using Kind = std::pair<std::string, std::string>;  // Domain and class.
  std::map<std::string, std::map<Kind, BilledInstances>> by_pool;
  if (tables == nullptr) return {};
  for (const auto& [id, seen] : seen_) {
    const ListedUpstream& upstream = seen.upstream;
    const Pool* pool = tables->FindPool(upstream.pool);
    if (pool == nullptr) continue;
    const PoolMember* member = pool->FindMember(
        upstream.domain, upstream.machine_class, upstream.reclaimable);
    if (member == nullptr) continue;
    const std::string name = BilledClass(upstream.pool, upstream.machine_class,
                                         upstream.reclaimable);
    BilledInstances& line = by_pool[upstream.pool][{upstream.domain, name}];
    line.domain = upstream.domain;
    line.machine_class = name;
    line.price_micros_per_hour = member->price_micros_per_hour;
    line.slots = member->slots;
    line.instance_time +=
        std::chrono::duration_cast<Duration>(seen.last - seen.first);
  }
  std::vector<BilledInstances> lines;
  for (auto& [pool, kinds] : by_pool) {
    std::vector<BilledInstances> pool_lines;
    pool_lines.reserve(kinds.size());
    for (auto& [kind, line] : kinds) pool_lines.push_back(std::move(line));
    SetSpareRoom(&pool_lines);
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
      revision = seen_revision_;
    }
    // The watch ends by itself when it is idle for long, and the tables are
    // read again, so that a lost watch costs at most that time.
    kv_.Watch(kConfigKey, revision, kWatchIdle, [this](const KvEntry& entry) {
      OfferTables(entry);
      const std::lock_guard lock(mutex_);
      return !stopping_;
    });
    if (SleepUnlessStopped(kWatchPause)) return;
  }
}

void ControlService::ReadTables() {
  const Result<std::optional<KvEntry>> read = kv_.Read(kConfigKey);
  if (!Ok(read)) {
    AskPeersForTables();
    return;
  }
  if (Value(read).has_value()) OfferTables(*Value(read));
}

void ControlService::OfferTables(const KvEntry& entry) {
  Result<ConfigDocument> document = ParseConfigDocument(entry.value);
  if (!Ok(document)) {
    Log(LogLevel::kError, "tables_malformed",
        {{"why", ErrorOf(document).message}});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    seen_revision_ = std::max(seen_revision_, entry.mod_revision);
    // A lagging read or a late watch may bring an older version.
    if (Value(document).version <= tables_.version) return;
    tables_ = {Value(document).version, std::move(Value(document).texts)};
  }
  changed_.notify_all();
}

void ControlService::AskPeersForTables() {
  for (const std::string& peer : settings_.peers) {
    Result<VersionedTexts> tables = link_.FetchTables(peer);
    if (!Ok(tables)) continue;
    bool newer = false;
    {
      const std::lock_guard lock(mutex_);
      newer = Value(tables).version > tables_.version;
      if (newer) tables_ = std::move(Value(tables));
    }
    if (newer) {
      Log(LogLevel::kInfo, "tables_from_peer", {{"peer", peer}});
      changed_.notify_all();
    }
  }
}

void ControlService::PushTables() {
  while (true) {
    VersionedTexts tables;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, kPushAgain, [this] {
        return stopping_ || tables_.version > version_at_entry_;
      });
      if (stopping_) return;
      tables = tables_;
    }
    if (tables.version == 0) continue;
    const Result<std::uint64_t> in_force =
        link_.ApplyTables(settings_.peer_address, tables);
    const bool done = Ok(in_force) && Value(in_force) >= tables.version;
    {
      const std::lock_guard lock(mutex_);
      version_at_entry_ = done ? tables.version : 0;
    }
    if (!done && SleepUnlessStopped(kPushRetry)) return;
  }
}

void ControlService::ReadPlatform() {
  while (true) {
    ReadNotices();
    ReadList();
    if (SleepUnlessStopped(settings_.list_interval)) return;
  }
}

void ControlService::ReadList() {
  const Result<Json> list = GetJson(settings_.list_address, "/v1/instances");
  if (!Ok(list) || !Value(list).contains("instances")) return;
  std::vector<ListedUpstream> upstreams;
  std::vector<event::UpstreamNoticed> notices;
  for (const Json& item : Value(list)["instances"]) {
    upstreams.push_back(ParseListed(item));
    if (item.value("state", "live") == "leaving") {
      notices.push_back(
          {upstreams.back().id, UpstreamState::kLeaving, std::nullopt, "list"});
    }
  }
  {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    for (const ListedUpstream& upstream : upstreams) {
      Seen& seen = seen_.try_emplace(upstream.id, Seen{now, now, upstream})
                       .first->second;
      seen.last = now;
    }
  }
  link_.ListUpstreams(settings_.peer_address, upstreams);
  for (const event::UpstreamNoticed& notice : notices) {
    link_.ForwardNotice(settings_.peer_address, notice);
  }
}

void ControlService::ReadNotices() {
  const Result<Json> notices =
      GetJson(settings_.cloud_address,
              "/v1/notices?after=" + std::to_string(notice_cursor_));
  if (!Ok(notices) || !Value(notices).contains("notices")) return;
  for (const Json& notice : Value(notices)["notices"]) {
    notice_cursor_ =
        std::max(notice_cursor_, notice.value("id", std::int64_t{0}));
    const std::string instance = notice.value("instance", "");
    const Duration remaining =
        std::chrono::milliseconds(notice.value("remaining_ms", 0));
    if (instance == settings_.instance) {
      Log(LogLevel::kWarn, "instance_reclaimed",
          {{"remaining_ms", std::to_string(remaining.count() / 1000)}});
      Drain(remaining);
      continue;
    }
    link_.ForwardNotice(
        settings_.peer_address,
        {{instance, notice.value("incarnation", std::uint64_t{0})},
         UpstreamState::kLeaving,
         remaining,
         "notice"});
  }
}

bool ControlService::SleepUnlessStopped(Duration duration) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, duration, [this] { return stopping_; });
  return stopping_;
}

}  // namespace pollenledge
