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

/// What became of an operator's edit: a check's problems, or an edit's end.
using ApplyResult = std::variant<std::vector<FieldProblem>, EditStep>;

/// The control agent of an instance: watches the tables and hands them to the
/// entry, reads the platform's list and notices, and carries out what
/// operators ask. It serves no caller, so its faults stop none.
///
/// Thread-safe.
class ControlService {
 public:
  ControlService(const Settings& settings, NodeId node);
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  void Start();

  /// Checks the tables and, if they are right, replaces those in force.
  ApplyResult Apply(const ConfigChange& change);
  /// The newest tables that this agent has seen.
  VersionedTexts Tables() const;
  /// The state of this instance's entry, as JSON.
  Result<EntryReport> Report();
  /// Tells this instance's entry to finish and stop.
  Status Drain(std::optional<Duration> remaining);
  /// The instances' time and prices since this agent started.
  std::vector<BilledInstances> Bill() const;

 private:
  struct Seen {
    std::chrono::steady_clock::time_point first;
    std::chrono::steady_clock::time_point last;
    ListedUpstream upstream;
  };

  void WatchTables();
  void ReadTables();
  void OfferTables(const KvEntry& entry);
  void AskPeersForTables();
  void PushTables();
  void ReadPlatform();
  void ReadList();
  void ReadNotices();
  bool SleepUnlessStopped(Duration duration);

  const Settings settings_;
  const NodeId node_id_;
  KvClient kv_;
  PeerLink link_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  VersionedTexts tables_;
  std::int64_t seen_revision_ = 0;
  std::uint64_t version_at_entry_ = 0;
  std::map<UpstreamId, Seen> seen_;
  std::int64_t notice_cursor_ = 0;
  std::thread watcher_;
  std::thread pusher_;
  std::thread platform_reader_;
};

}  // namespace pollenledge
