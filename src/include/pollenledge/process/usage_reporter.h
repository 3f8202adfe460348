#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/duty_lease.h"
#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

/// Brings the usage counts of all nodes to the platform, once for each window.
///
/// Each node writes its counts of a window to the store when the window has
/// ended. The holder of the duties adds them up and writes the sum under the
/// condition that there is none yet; only then is it reported, so that every
/// holder reports the same. Not thread-safe.
class UsageReporter {
 public:
  /// A node's counts of a window are complete this long after its end:
  /// requests are counted when their first answer bytes come.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(500);
  /// The holder waits this long for the other nodes' counts at the least, and
  /// `kPatience` at the most.
  static constexpr Duration kCollectAfter = std::chrono::milliseconds(1500);
  static constexpr Duration kPatience = std::chrono::milliseconds(6500);
  /// Windows that a new holder still looks at.
  static constexpr int kWindowsBack = 4;

  struct Hooks {
    std::function<WallTime()> now;
    std::function<int()> live_nodes;
    /// False while the calendar may be far off.
    std::function<bool()> calendar_is_known;
  };

  UsageReporter(boost::asio::io_context& loop, AsyncStore* store,
                AsyncCloud* cloud, const DutyLease* lease, UsageLedger* ledger,
                std::string prefix, std::string node, Hooks hooks);

  void Start();
  /// Writes the counts of all windows, also of the present one, before the
  /// process ends.
  void Flush();

 private:
  enum class Stage : std::uint8_t { kOpen, kCollecting, kSummed, kReported };
  struct Window {
    Stage stage = Stage::kOpen;
    bool busy = false;  ///< A call is in progress.
    UsageCounts sum;
  };

  void Tick();
  void Advance(WallTime now);
  void WriteOwn(UsageWindow window);
  void Advance(UsageWindow window);
  void Collect(UsageWindow window);
  void OnCollected(UsageWindow window, const StoreListing& listing);
  void CommitSum(UsageWindow window, UsageCounts sum,
                 std::vector<std::string> parts);
  void ReadSum(UsageWindow window);
  void Report(UsageWindow window);
  std::string PartPrefix(UsageWindow window) const;
  std::string SumKey(UsageWindow window) const;

  AsyncStore* store_;
  AsyncCloud* cloud_;
  const DutyLease* lease_;
  UsageLedger* ledger_;
  std::string prefix_;
  std::string node_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  UsageWindow first_window_ = 0;
  std::set<UsageWindow> written_;
  std::set<UsageWindow> writing_;
  std::map<UsageWindow, Window> windows_;
};

}  // namespace pollenledge
