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
#include "pollenledge/process/usage_collection.h"
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
  /// A collector waits this long for the counts of others before it writes
  /// them; a node whose counts no collector has taken by then writes them
  /// itself.
  static constexpr Duration kHandOverTime = std::chrono::milliseconds(2400);
  /// The holder waits this long for the other nodes' counts at the least, and
  /// `kPatience` at the most.
  static constexpr Duration kCollectAfter = std::chrono::milliseconds(1500);
  static constexpr Duration kPatience = std::chrono::milliseconds(6500);
  /// Windows that a new holder still looks at.
  static constexpr int kWindowsBack = 4;

  struct Hooks {
    std::function<WallTime()> now;
    std::function<int()> live_nodes;
    /// True if a collector is to be handed this node's counts.
    std::function<bool()> hands_over;
    /// True if one has taken those of a window.
    std::function<bool(UsageWindow)> is_handed_over;
    /// False while the calendar may be far off.
    std::function<bool()> calendar_is_known;
  };

  UsageReporter(boost::asio::io_context& loop, AsyncStore* store,
                AsyncCloud* cloud, const DutyLease* lease, UsageLedger* ledger,
                UsageCollection* collection, std::string prefix,
                std::string process, Hooks hooks);

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
  void AdvanceAll(WallTime now);
  /// True if it is time to write what this node knows of `window`.
  bool IsDue(UsageWindow window, WallTime now) const;
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
  UsageCollection* collection_;
  std::string prefix_;
  std::string process_;  ///< Name and incarnation of this node.
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  UsageWindow first_window_ = 0;
  /// Processes whose counts were written, by window.
  std::map<UsageWindow, std::size_t> written_;
  std::set<UsageWindow> writing_;
  std::map<UsageWindow, Window> windows_;
};

}  // namespace pollenledge
