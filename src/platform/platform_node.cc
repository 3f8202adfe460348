#include "platform/platform_node.h"

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
#include "pollenledge/process/fleet_keeper.h"
#include "pollenledge/process/fleet_size_keeper.h"
#include "pollenledge/process/forward_service.h"
#include "pollenledge/process/log.h"
#include "pollenledge/process/suspect_keeper.h"
#include "pollenledge/process/upstream_sync.h"
#include "pollenledge/process/usage_reporter.h"

namespace pollenledge {
namespace {

// The system's own keys in the store.
constexpr char kDutyKey[] = "pollenledge/duties";
constexpr char kUsagePrefix[] = "pollenledge/usage/";
constexpr char kFleetPrefix[] = "pollenledge/fleet/";
constexpr char kNodesKey[] = "pollenledge/nodes";
constexpr char kSuspectsKey[] = "pollenledge/suspects";

constexpr Duration kReportPeriod = std::chrono::seconds(10);

ForwardServiceOptions ServiceOptions(const NodeSettings& settings,
                                     std::uint64_t incarnation) {
  ForwardServiceOptions options;
  options.caller_address = settings.caller_address;
  options.readiness_address = settings.readiness_address;
  options.admin_address = settings.admin_address;
  options.metrics_address = settings.metrics_address;
  options.peer_address = settings.peer_address;
  options.grace = settings.grace;
  options.node.self.id = {settings.node, incarnation};
  options.node.self.domain = settings.domain;
  options.node.self.peer_address = settings.peer_address;
  options.node.self.admin_address = settings.admin_address;
  constexpr double kPercent = 100;
  options.node.self.processor_percent = static_cast<std::uint16_t>(
      std::lround(settings.processor_cores * kPercent));
  options.node.seeds = settings.peers;
  options.node.key_freshness = settings.key_freshness;
  options.node.retries_per_request = settings.retry_ratio;
  options.node.retry_slack = settings.retry_slack;
  options.node.usage_window = settings.usage_window;
  options.node.awaits_suspects = true;
  options.node.random_seed = incarnation;
  return options;
}

/// How often to read what must be known within `bound` also when a watch has
/// gone silent: often enough that one answer's time is left.
Duration PollPeriod(Duration bound) { return bound * 3 / 4; }

/// Everything that one process holds.
class PlatformNode {
 public:
  PlatformNode(const NodeSettings& settings, std::string settings_path,
               std::uint64_t incarnation)
      : settings_(settings),
        settings_path_(std::move(settings_path)),
        signals_(loop_, SIGTERM, SIGINT, SIGHUP),
        service_(loop_, WithStore(ServiceOptions(settings, incarnation)),
                 PlatformHeaders()),
        store_(loop_, settings.store_address,
               [this](const char* call, const char* outcome) {
                 ++store_calls_[call];
                 service_.metrics().Count("store_calls_total",
                                          std::string("call=\"") + call +
                                              "\",outcome=\"" + outcome + "\"");
               }),
        cloud_(loop_, settings.cloud_address),
        config_(
            loop_, &store_, kOperatorConfigKey,
            PollPeriod(settings.tables_bound), DecodeTables,
            Following(&ForwardNode::NeedsTablesRead),
            [this](ForwardEvent event) { service_.Submit(std::move(event)); }),
        upstreams_(
            loop_, &store_, kUpstreamPrefix, PollPeriod(settings.leaving_bound),
            DecodeUpstream, Following(&ForwardNode::NeedsUpstreamsRead),
            [this](ForwardEvent event) { service_.Submit(std::move(event)); }),
        suspects_(
            loop_, &store_, kSuspectsKey,
            [this] { return service_.Now().wall; },
            [this](std::vector<SuspectReport> reports) {
              service_.Submit(forward_event::SuspectsRead{std::move(reports)});
            }),
        duties_(loop_, &store_, kDutyKey, settings.node, incarnation,
                settings.duty_lease,
                [this] { return service_.node().IsDutyCandidate(BootNow()); }),
        fleet_size_(
            loop_, &store_, &duties_, kNodesKey,
            {[this] {
               return service_.node().membership().ShareholderCount(BootNow());
             },
             [this](int nodes) {
               service_.Submit(forward_event::FleetSizeRead{nodes});
             }}),
        usage_(loop_, &store_, &cloud_, &duties_, &service_.node().usage(),
               &service_.node().usage_collection(), kUsagePrefix,
               ProcessName({settings.node, incarnation}), UsageHooks()),
        fleet_(loop_, &store_, &cloud_, &duties_, &service_.node(),
               kFleetPrefix) {}

  void Run() {
    AwaitSignal();
    LogStoreCalls();
    suspects_.Start();
    config_.Start();
    upstreams_.Start();
    fleet_size_.Start();
    if (!settings_.cloud_address.empty()) {
      duties_.Start();
      usage_.Start();
      fleet_.Start();
    }
    loop_.run();
  }

 private:
  UsageReporter::Hooks UsageHooks() {
    const ForwardNode& node = service_.node();
    return {
        [this] { return service_.Now().wall; },
        [&node] { return node.membership().AliveCount(BootNow()); },
        [&node] { return node.FollowsCollectors(BootNow()); },
        [&node](UsageWindow window) { return node.IsUsageHandedOver(window); },
        [&node] { return node.calendar().IsKnown(BootNow()); }};
  }

  /// How far the store must be read for what `needs_read` tells of.
  StoreFollowing Following(bool (ForwardNode::*needs_read)(Duration, TimePoint)
                               const) {
    const ForwardNode& node = service_.node();
    return {[&node, needs_read](Duration period, TimePoint now) {
              return (node.*needs_read)(period, now);
            },
            [&node] { return node.WatchesStore(BootNow()); },
            [&node] { return node.is_collector(); }};
  }

  ForwardServiceOptions WithStore(ForwardServiceOptions options) {
    options.read_tables = [this] { config_.ReadNow(); };
    options.keep_suspects = [this](const std::vector<CrashReport>& refused) {
      suspects_.Keep(refused);
    };
    return options;
  }

  /// Writes how many calls the store was sent, by purpose, now and then.
  void LogStoreCalls() {
    std::vector<LogField> fields;
    for (const auto& [call, count] : store_calls_) {
      fields.push_back({call, std::to_string(count)});
    }
    Log(LogLevel::kInfo, "store_calls", fields);
    report_timer_.expires_after(kReportPeriod);
    report_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) LogStoreCalls();
    });
  }

  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) return;
          if (signal == SIGHUP) {
            CheckSettings();
          } else {
            Drain();
          }
          AwaitSignal();
        });
  }

  /// Addresses and bounds are fixed for a process; a changed file is checked
  /// and takes effect at the next start.
  void CheckSettings() {
    const NodeSettingsResult read = LoadNodeSettings(settings_path_);
    if (const auto* problems = std::get_if<std::vector<FieldProblem>>(&read)) {
      Log(LogLevel::kError, "settings_rejected",
          {{"problems", ToString(*problems)}});
      return;
    }
    const bool changed = std::get<NodeSettings>(read) != settings_;
    Log(LogLevel::kInfo, "settings_read",
        {{"changed", changed ? "yes" : "no"}});
  }

  void Drain() {
    Log(LogLevel::kInfo, "stop_signal");
    if (!settings_.cloud_address.empty()) {
      duties_.Stop();
    }
    service_.Drain([this] {
      if (!settings_.cloud_address.empty()) usage_.Flush();
      // The flush needs one round trip to the store.
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
  boost::asio::steady_timer report_timer_{loop_};
  std::map<std::string, std::int64_t> store_calls_;
  ForwardService service_;
  PlatformStore store_;
  PlatformCloud cloud_;
  ConfigSync config_;
  UpstreamSync upstreams_;
  SuspectKeeper suspects_;
  DutyLease duties_;
  FleetSizeKeeper fleet_size_;
  UsageReporter usage_;
  FleetKeeper fleet_;
};

}  // namespace

int RunPlatformNode(const NodeSettings& settings,
                    const std::string& settings_path) {
  const std::uint64_t incarnation = NewIncarnation();
  StartBoundedLogging(settings.log_level, {settings.node, incarnation},
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
