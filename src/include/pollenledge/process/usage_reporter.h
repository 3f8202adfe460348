#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/duty_lease.h"
#include "pollenledge/process/usage_collection.h"
#include "pollenledge/process/usage_ledger.h"

namespace pollenledge {

/// Reports the usage counts of all nodes to the platform, once per window.
///
/// After the end of a window each node writes its counts to the store, or sends
/// them to a collector, which writes them with its own. What one node writes is
/// called a part. The holder of the duty lease adds them up and writes the sum
/// on the condition that no sum exists yet. Only a stored sum is reported, so
/// every holder reports the same sum. If the store lost sums because it was
/// restored from an older copy, the windows that may have been reported are
/// abandoned: a missing report costs less than a second one with other counts.
/// Runs on the event loop. Not thread-safe.
class UsageReporter {
 public:
  /// After the end of a window a collector waits at most this long for the
  /// counts of other nodes before it writes them. A node whose counts no
  /// collector has accepted by then writes them itself.
  static constexpr Duration kHandOffTimeout = std::chrono::milliseconds(2400);
  /// After the end of a window the lease holder waits for the counts of other
  /// nodes at least `kMinCollectDelay` and at most `kMaxCollectDelay`.
  static constexpr Duration kMinCollectDelay = std::chrono::milliseconds(1500);
  static constexpr Duration kMaxCollectDelay = std::chrono::milliseconds(6500);
  /// Number of past windows that a new lease holder still processes.
  static constexpr int kLookbackWindowCount = 4;

  struct Hooks {
    std::function<WallTime()> now;
    std::function<int()> live_nodes;
    /// True if this node sends its counts to a collector.
    std::function<bool()> sends_to_collector;
    /// True if a collector has acknowledged this node's counts for a window.
    std::function<bool(UsageWindow)> is_acknowledged;
    /// False while the wall clock may be far off.
    std::function<bool()> wall_clock_is_known;
    /// False while it is not known whether the store lost sums.
    std::function<bool()> restore_is_known;
    /// Sums that were stored before this time may be lost; empty: none are.
    std::function<std::optional<WallTime>()> restored_at;
  };

  UsageReporter(boost::asio::io_context& loop, AsyncStore* store,
                AsyncCloud* cloud, const DutyLease* lease, UsageLedger* ledger,
                UsageCollection* collection, std::string prefix,
                std::string process, Hooks hooks);

  void Start();
  /// Writes the counts of the current window, and those of the previous one if
  /// they are not yet stored or acknowledged. Call it before the process exits.
  void Flush();

 private:
  /// Progress of the lease holder with one window.
  enum class Stage : std::uint8_t {
    kReadingSum,
    kCollecting,
    kSummed,
    kReported
  };
  struct WindowState {
    Stage stage = Stage::kReadingSum;
    bool call_in_progress = false;  ///< A store or cloud call is in progress.
    UsageCounts sum;
  };

  void Tick();
  void AdvanceWindows(WallTime now);
  /// True if this node should now write the counts for `window` that it has:
  /// its own and, at a collector, those received from other nodes.
  bool IsWriteDue(UsageWindow window, WallTime now) const;
  void WriteCounts(UsageWindow window);
  void AdvanceWindow(UsageWindow window);
  void ReadParts(UsageWindow window);
  void OnPartsRead(UsageWindow window, const StoreListing& listing);
  void CommitSum(UsageWindow window, UsageCounts sum,
                 std::vector<std::string> parts);
  void ReadSum(UsageWindow window);
  void ReportSum(UsageWindow window);
  void OnRestored();
  /// Returns true if the window may have been reported with a sum that the
  /// store has lost.
  bool MayHaveLostSum(UsageWindow window) const;
  std::string PartPrefix(UsageWindow window) const;
  std::string SumKey(UsageWindow window) const;

  AsyncStore* store_;
  AsyncCloud* cloud_;
  const DutyLease* lease_;
  UsageLedger* ledger_;
  UsageCollection* collection_;
  std::string prefix_;
  std::string process_name_;  ///< Name and incarnation of this process.
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  UsageWindow first_window_ = 0;
  /// Number of processes whose counts were written, by window.
  std::map<UsageWindow, std::size_t> written_process_counts_;
  std::set<UsageWindow> writes_in_progress_;
  std::map<UsageWindow, WindowState> windows_;
};

}  // namespace pollenledge
