#include "platform/platform_node.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cmath>
#include <csignal>
#include <map>
#include <memory>

#include "platform/platform_cloud.h"
#include "platform/platform_decode.h"
#include "platform/platform_headers.h"
#include "platform/platform_store.h"
#include "pollenledge/process/command_line.h"
#include "pollenledge/process/config_sync.h"
#include "pollenledge/process/duty_lease.h"
#include "pollenledge/process/fleet_scaler.h"
#include "pollenledge/process/fleet_size_sync.h"
#include "pollenledge/process/forward_service.h"
#include "pollenledge/process/log.h"
#include "pollenledge/process/restore_record.h"
#include "pollenledge/process/rollout_sync.h"
#include "pollenledge/process/stream_record_sync.h"
#include "pollenledge/process/suspect_sync.h"
#include "pollenledge/process/upstream_sync.h"
#include "pollenledge/process/usage_reporter.h"

namespace pollenledge {
namespace {

// Store keys and key prefixes that this system owns.
constexpr char kDutyLeaseKey[] = "pollenledge/duties";
constexpr char kUsageKeyPrefix[] = "pollenledge/usage/";
constexpr char kFleetKeyPrefix[] = "pollenledge/fleet/";
constexpr char kNodeCountKey[] = "pollenledge/nodes";
constexpr char kRestoreKey[] = "pollenledge/restore";
constexpr char kSuspectsKey[] = "pollenledge/suspects";
constexpr char kVersionKeyPrefix[] = "pollenledge/versions/";
constexpr char kStreamKeyPrefix[] = "pollenledge/streams/";
constexpr char kRolloutRecordKeyPrefix[] = "pollenledge/rollouts/";

/// Longest time for which the share of a roll-out is valid, and its part of the
/// time in which requests to a bad version must cease. The rest is left for the
/// detection.
constexpr Duration kMaxShareValidity = std::chrono::seconds(3);
constexpr double kValidityPart = 0.6;

constexpr Duration kStoreCallsLogInterval = std::chrono::seconds(10);

RolloutLimits MakeRolloutLimits(const NodeSettings& settings) {
  RolloutLimits limits;
  limits.exposure_share = settings.rollout_exposure_share;
  limits.exposure_slack = settings.rollout_exposure_slack;
  limits.validity = kMaxShareValidity;
  if (settings.rollout_revert > Duration::zero()) {
    limits.validity = std::min<Duration>(
        limits.validity,
        FromSeconds(kValidityPart * ToSeconds(settings.rollout_revert)));
  }
  return limits;
}

ForwardServiceOptions MakeServiceOptions(const NodeSettings& settings,
                                         std::uint64_t incarnation) {
  ForwardServiceOptions options;
  options.caller_address = settings.caller_address;
  options.readiness_address = settings.readiness_address;
  options.admin_address = settings.admin_address;
  options.metrics_address = settings.metrics_address;
  options.peer_address = settings.peer_address;
  options.grace_period = settings.grace;
  options.byte_limits =
      MakeByteBudgetLimits(settings.memory_mb, settings.max_fds);
  options.node_options.self.id = {settings.node, incarnation};
  options.node_options.self.domain = settings.domain;
  options.node_options.self.peer_address = settings.peer_address;
  options.node_options.self.admin_address = settings.admin_address;
  constexpr double kPercentPerCore = 100;
  options.node_options.self.cpu_percent = static_cast<std::uint16_t>(
      std::lround(settings.processor_cores * kPercentPerCore));
  options.node_options.seeds = settings.peers;
  options.node_options.key_freshness = settings.key_freshness;
  options.node_options.tables_bound = settings.tables_bound;
  options.node_options.retries_per_request = settings.retry_ratio;
  options.node_options.retry_slack = settings.retry_slack;
  options.node_options.usage_window = settings.usage_window;
  options.node_options.wait_for_suspects = true;
  options.node_options.adaptive_scheduling = settings.adaptive_scheduling;
  options.node_options.assume_uneven_upstreams =
      settings.assume_uneven_upstreams;
  options.node_options.rollout_limits = MakeRolloutLimits(settings);
  options.node_options.random_seed = incarnation;
  return options;
}

/// Owns the event loop and all components of one forwarding node process. Not
/// thread-safe: everything runs on the loop's thread.
class PlatformNode {
 public:
  PlatformNode(const NodeSettings& settings, std::string settings_path,
               std::uint64_t incarnation)
      : settings_(settings),
        settings_path_(std::move(settings_path)),
        signals_(loop_, SIGTERM, SIGINT, SIGHUP),
        service_(loop_,
                 WithStoreCallbacks(MakeServiceOptions(settings, incarnation)),
                 PlatformHeaderCodec()),
        store_(loop_, settings.store_address,
               [this](const char* call, const char* outcome) {
                 ++store_calls_[call];
                 service_.metrics().IncrementCounter(
                     "store_calls_total", std::string("call=\"") + call +
                                              "\",outcome=\"" + outcome + "\"");
               }),
        cloud_(loop_, settings.cloud_address),
        config_sync_(
            loop_, &store_, kOperatorConfigKey,
            MakeTablesTimes(settings.tables_bound), DecodeTables,
            MakeStoreReadPolicy(&ForwardNode::NeedsTablesRead),
            [this] { return restore_record_.MayLackWrites(); },
            [this](ForwardEvent event) { service_.Submit(std::move(event)); }),
        upstream_sync_(
            loop_, &store_, kUpstreamKeyPrefix,
            MakeUpstreamListTimes(settings.leaving_bound,
                                  settings.upstream_heartbeat),
            DecodeUpstream,
            MakeStoreReadPolicy(&ForwardNode::NeedsUpstreamsRead),
            [this](ForwardEvent event) { service_.Submit(std::move(event)); }),
        suspect_sync_(
            loop_, &store_, kSuspectsKey,
            [this] { return service_.Now().wall; },
            [this](std::vector<SuspectReport> reports) {
              service_.Submit(forward_event::SuspectsRead{std::move(reports)});
            }),
        stream_record_sync_(
            loop_, &store_, kVersionKeyPrefix, kStreamKeyPrefix,
            StreamVersions::kMaxStreamLifetime,
            [this](std::vector<StreamBinding> versions, bool streams_lost) {
              service_.Submit(forward_event::VersionRecordsRead{
                  std::move(versions), streams_lost});
            }),
        restore_record_(
            loop_, &store_, kRestoreKey, [this] { return service_.Now().wall; },
            [this] { return service_.node().IsDutyCandidate(BootClockNow()); }),
        duty_lease_(
            loop_, &store_, kDutyLeaseKey, settings.node, incarnation,
            settings.duty_lease,
            [this] { return service_.node().IsDutyCandidate(BootClockNow()); }),
        fleet_size_(loop_, &store_, &duty_lease_, kNodeCountKey,
                    {[this] {
                       return service_.node().membership().KnownNodeCount(
                           BootClockNow());
                     },
                     [this](int nodes) {
                       service_.Submit(forward_event::FleetSizeRead{nodes});
                     }}),
        usage_reporter_(
            loop_, &store_, &cloud_, &duty_lease_, &service_.node().usage(),
            &service_.node().usage_collection(), kUsageKeyPrefix,
            ProcessName({settings.node, incarnation}), MakeUsageHooks()),
        fleet_scaler_(loop_, &store_, &cloud_, &duty_lease_, &service_.node(),
                      kFleetKeyPrefix),
        rollout_sync_(loop_, &store_,
                      {kRolloutOrderKeyPrefix, kRolloutStatusKeyPrefix,
                       kRolloutRecordKeyPrefix},
                      settings.rollout_exposure_share, MakeRolloutHooks()) {}

  /// Runs until the node has drained after a stop signal. The components for
  /// fleet-wide duties are started only if the settings name a cloud API.
  void Run() {
    WaitForSignal();
    LogStoreCalls();
    suspect_sync_.Start();
    restore_record_.Start();
    stream_record_sync_.Start();
    config_sync_.Start();
    upstream_sync_.Start();
    fleet_size_.Start();
    if (!settings_.cloud_address.empty()) {
      duty_lease_.Start();
      usage_reporter_.Start();
      fleet_scaler_.Start();
      if (settings_.rollout_exposure_share > 0) rollout_sync_.Start();
    }
    loop_.run();
  }

 private:
  UsageReporter::Hooks MakeUsageHooks() {
    const ForwardNode& node = service_.node();
    return {[this] { return service_.Now().wall; },
            [&node] { return node.membership().AliveCount(BootClockNow()); },
            [&node] { return node.FollowsCollectors(BootClockNow()); },
            [&node](UsageWindow window) {
              return node.IsUsageAcknowledged(window);
            },
            [&node] { return node.wall_clock().IsReliable(BootClockNow()); },
            [this] { return restore_record_.is_known(); },
            [this] { return restore_record_.restored_at(); }};
  }

  RolloutSync::Hooks MakeRolloutHooks() {
    const ForwardNode& node = service_.node();
    return {DecodeRolloutOrder,
            EncodeRolloutStatus,
            [this] { return service_.Now().wall; },
            [] { return BootClockNow(); },
            [this] { return duty_lease_.MayAct(BootClockNow()); },
            [&node](const std::string& service, const std::string& target) {
              return node.rollouts().BaseVersion(service, target);
            },
            [&node](const std::string& service, const std::string& version) {
              return node.rollouts().UsableCount(service, version);
            },
            [&node](const std::string& service) {
              return node.rollouts().KnownShare(service);
            },
            [&node](std::int64_t order) { return node.RolloutReports(order); },
            [this](std::vector<RolloutShare> shares) {
              service_.Submit(
                  forward_event::RolloutSharesConfirmed{std::move(shares)});
            }};
  }

  /// Returns the policy for reading and watching one kind of store data.
  /// `needs_read` tells whether a read of that data is due.
  StoreReadPolicy MakeStoreReadPolicy(bool (ForwardNode::*needs_read)(Duration,
                                                                      TimePoint)
                                          const) {
    const ForwardNode& node = service_.node();
    return {[&node, needs_read](Duration period, TimePoint now) {
              return (node.*needs_read)(period, now);
            },
            [&node] { return node.ShouldWatchStore(BootClockNow()); },
            [&node] { return node.is_collector(); }};
  }

  /// Adds the callbacks that use the store.
  ForwardServiceOptions WithStoreCallbacks(ForwardServiceOptions options) {
    options.read_tables = [this] { config_sync_.ReadNow(); };
    options.parse_tables = DecodeTables;
    options.read_upstreams = [this] { upstream_sync_.ListSoon(); };
    options.persist_suspects = [this](const std::vector<CrashReport>& crashes) {
      suspect_sync_.AddCrashes(crashes);
    };
    options.read_suspects = [this] { suspect_sync_.ReadNow(); };
    options.update_version_records =
        [this](const forward_action::UpdateVersionRecords& update) {
          stream_record_sync_.UpdateVersions(update.added, update.removed);
        };
    options.record_streams = [this](const std::vector<StreamRecord>& records) {
      stream_record_sync_.RecordStreams(records);
    };
    options.look_up_stream = [this](const forward_action::LookUpStream& find) {
      stream_record_sync_.Find(
          find.stream, find.versions_of,
          [this, id = find.id](StreamRecordSync::Found found) {
            service_.Submit(forward_event::StreamLookedUp{
                id, std::move(found.binding), found.responded,
                std::move(found.versions)});
          });
    };
    return options;
  }

  /// Logs the number of store calls since the start by kind, and again after
  /// each `kStoreCallsLogInterval`.
  void LogStoreCalls() {
    std::vector<LogField> fields;
    for (const auto& [call, count] : store_calls_) {
      fields.push_back({call, std::to_string(count)});
    }
    Log(LogLevel::kInfo, "store_calls", fields);
    store_calls_timer_.expires_after(kStoreCallsLogInterval);
    store_calls_timer_.async_wait(
        [this](const boost::system::error_code& error) {
          if (!error) LogStoreCalls();
        });
  }

  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal_number) {
          if (error) return;
          if (signal_number == SIGHUP) {
            CheckSettings();
          } else {
            Drain();
          }
          WaitForSignal();
        });
  }

  /// Addresses and bounds cannot change while the process runs, so a changed
  /// file is only checked here and takes effect at the next start.
  void CheckSettings() {
    const NodeSettingsResult result = LoadNodeSettings(settings_path_);
    if (const auto* problems =
            std::get_if<std::vector<FieldProblem>>(&result)) {
      Log(LogLevel::kError, "settings_rejected",
          {{"problems", ToString(*problems)}});
      return;
    }
    const bool changed = std::get<NodeSettings>(result) != settings_;
    Log(LogLevel::kInfo, "settings_read",
        {{"changed", changed ? "yes" : "no"}});
  }

  /// Drains the node, writes the usage counts that are left, and stops the
  /// loop.
  void Drain() {
    Log(LogLevel::kInfo, "stop_signal");
    if (!settings_.cloud_address.empty()) {
      duty_lease_.Stop();
    }
    service_.Drain([this] {
      if (!settings_.cloud_address.empty()) usage_reporter_.Flush();
      // The flush needs one round trip to the store, so the loop keeps running.
      flush_timer_.expires_after(std::chrono::milliseconds(100));
      flush_timer_.async_wait(
          [this](const boost::system::error_code&) { loop_.stop(); });
    });
  }

  NodeSettings settings_;
  std::string settings_path_;
  boost::asio::io_context loop_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer flush_timer_{loop_};
  boost::asio::steady_timer store_calls_timer_{loop_};
  std::map<std::string, std::int64_t> store_calls_;  ///< Number by kind.
  ForwardService service_;
  PlatformStore store_;
  PlatformCloud cloud_;
  ConfigSync config_sync_;
  UpstreamSync upstream_sync_;
  SuspectSync suspect_sync_;
  StreamRecordSync stream_record_sync_;
  RestoreRecord restore_record_;
  DutyLease duty_lease_;
  FleetSizeSync fleet_size_;
  UsageReporter usage_reporter_;
  FleetScaler fleet_scaler_;
  RolloutSync rollout_sync_;
};

}  // namespace

int RunPlatformNode(const NodeSettings& settings,
                    const std::string& settings_path) {
  const std::uint64_t incarnation = NewIncarnation();
  StartNonBlockingLogging(settings.log_level, {settings.node, incarnation},
                          settings.domain);
  auto node =
      std::make_unique<PlatformNode>(settings, settings_path, incarnation);
  Log(LogLevel::kInfo, "started",
      {{"version", Version()},
       {"callers", settings.caller_address},
       {"store", settings.store_address}});
  node->Run();
  Log(LogLevel::kInfo, "stopped");
  FlushLog();
  return kExitOk;
}

}  // namespace pollenledge
