#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/connection/peer_link.h"
#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/settings.h"
#include "pollenledge/version/config_edit.h"

namespace pollenledge {

/// The result of an operator's edit: the problems that validation found, or the
/// last step of the edit.
using ApplyResult = std::variant<std::vector<FieldProblem>, EditStep>;

/// The control agent of an instance. It watches the tables in the key-value
/// service and pushes them to the instance's entry, polls the platform's
/// instance list and reclaim notices and forwards them to the entry, and
/// executes operators' requests. The agent runs in its own process and serves
/// no callers, so its faults do not interrupt their requests.
///
/// Owns three threads, which `Start` creates and the destructor joins.
/// Thread-safe.
class ControlService {
 public:
  ControlService(const Settings& settings, NodeId node);
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /// Starts the threads. Call once.
  void Start();

  /// Validates the tables and, if they are valid, replaces the active ones in
  /// the key-value service. Blocks until the edit has finished or its timeout
  /// of 4 s has expired.
  ApplyResult Apply(const ConfigChange& change);
  /// Returns the latest tables that this agent has seen; version 0 if none.
  VersionedTablesYaml LatestTables() const;
  /// Queries the state of this instance's entry.
  Result<EntryReport> QueryEntryReport();
  /// Tells this instance's entry to finish its requests and stop. `remaining`
  /// is the time until the instance is reclaimed, if there is such a limit.
  Status DrainEntry(std::optional<Duration> remaining);
  /// Returns the instances' running time since this agent started and their
  /// prices, with one line per domain and machine class of each pool.
  std::vector<BilledInstances> InstanceBill() const;

 private:
  /// An instance of the platform's list and when the list contained it.
  struct ObservedUpstream {
    std::chrono::steady_clock::time_point first_seen_at;
    std::chrono::steady_clock::time_point last_seen_at;
    ListedUpstream upstream;
  };

  void WatchTables();
  /// Reads the tables from the key-value service, or from peers if it fails.
  void ReadTables();
  /// Stores the tables in `entry` if they are newer than the latest known.
  void AcceptTables(const KvEntry& entry);
  void FetchTablesFromPeers();
  void PushTablesToEntry();
  void PollPlatform();
  void PollInstanceList();
  void PollNotices();
  /// Sleeps for `duration`. Returns true if the service is stopping.
  bool SleepUnlessStopped(Duration duration);

  const Settings settings_;
  const NodeId node_id_;
  KvClient kv_client_;
  PeerLink peer_link_;

  /// Guards the members from `stopping_` to `observed_upstreams_`.
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopping_ = false;
  VersionedTablesYaml latest_tables_;
  std::int64_t last_seen_revision_ = 0;
  /// Version that the entry has confirmed; 0 to push the tables again.
  std::uint64_t entry_tables_version_ = 0;
  std::map<UpstreamId, ObservedUpstream> observed_upstreams_;
  /// Used only by `platform_poller_`.
  std::int64_t last_notice_id_ = 0;
  std::thread tables_watcher_;
  std::thread tables_pusher_;
  std::thread platform_poller_;
};

}  // namespace pollenledge
