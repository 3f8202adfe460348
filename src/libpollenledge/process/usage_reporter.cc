#include "pollenledge/process/usage_reporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(400);
/// Number of windows whose sums stay in the store after they were reported, so
/// that a new lease holder finds them.
constexpr UsageWindow kRetainedSumCount = 16;
/// Maximum number of keys with counts that are removed by the transaction that
/// writes the sum.
constexpr std::size_t kMaxRemovals = 24;

template <typename Counts>
Result<Counts> Decode(const KvEntry& entry) {
  try {
    return Json::parse(entry.value).get<Counts>();
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument, entry.key + ": " + error.what()};
  }
}

}  // namespace

UsageReporter::UsageReporter(boost::asio::io_context& loop, AsyncStore* store,
                             AsyncCloud* cloud, const DutyLease* lease,
                             UsageLedger* ledger, UsageCollection* collection,
                             std::string prefix, std::string process,
                             Hooks hooks)
    : store_(store),
      cloud_(cloud),
      lease_(lease),
      ledger_(ledger),
      collection_(collection),
      prefix_(std::move(prefix)),
      process_name_(std::move(process)),
      hooks_(std::move(hooks)),
      timer_(loop) {
  store->OnRestored([this] { OnRestored(); });
}

void UsageReporter::OnRestored() {
  // Parts of these windows may be lost, and are still needed.
  std::erase_if(written_process_counts_, [this](const auto& written) {
    return !MayHaveLostSum(written.first);
  });
  for (auto& [window, state] : windows_) {
    if (state.stage == Stage::kCollecting) state.stage = Stage::kReadingSum;
  }
}

bool UsageReporter::MayHaveLostSum(UsageWindow window) const {
  const std::optional<WallTime> restored_at = hooks_.restored_at();
  return restored_at.has_value() &&
         ledger_->WindowEnd(window) + kMinCollectDelay <= *restored_at;
}

void UsageReporter::Start() {
  first_window_ = ledger_->WindowAt(hooks_.now());
  Tick();
}

void UsageReporter::Tick() {
  if (hooks_.wall_clock_is_known()) AdvanceWindows(hooks_.now());
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void UsageReporter::Flush() {
  const UsageWindow current = ledger_->WindowAt(hooks_.now());
  written_process_counts_.erase(current);
  for (UsageWindow window = current - 1; window <= current; ++window) {
    const bool is_saved = written_process_counts_.count(window) > 0 ||
                          hooks_.is_acknowledged(window);
    if (is_saved) continue;
    writes_in_progress_.erase(window);
    WriteCounts(window);
  }
}

std::string UsageReporter::PartPrefix(UsageWindow window) const {
  return prefix_ + "part/" + std::to_string(window) + "/";
}

std::string UsageReporter::SumKey(UsageWindow window) const {
  return prefix_ + "sum/" + std::to_string(window);
}

void UsageReporter::AdvanceWindows(WallTime now) {
  const UsageWindow current = ledger_->WindowAt(now);
  // The wall clock may have been ahead when the process started.
  first_window_ = std::min(first_window_, current);
  for (UsageWindow window =
           std::max(first_window_, current - kLookbackWindowCount);
       window < current; ++window) {
    if (IsWriteDue(window, now)) WriteCounts(window);
  }
  if (lease_->MayAct(BootClockNow()) && hooks_.restore_is_known()) {
    for (UsageWindow window = current - kLookbackWindowCount; window < current;
         ++window) {
      if (now >= ledger_->WindowEnd(window) + kMinCollectDelay)
        AdvanceWindow(window);
    }
  }
  const UsageWindow oldest = current - kLookbackWindowCount - 1;
  ledger_->EraseBefore(oldest);
  collection_->EraseBefore(oldest);
  written_process_counts_.erase(written_process_counts_.begin(),
                                written_process_counts_.lower_bound(oldest));
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

bool UsageReporter::IsWriteDue(UsageWindow window, WallTime now) const {
  if (now < ledger_->FinalizedAt(window) ||
      writes_in_progress_.count(window) > 0) {
    return false;
  }
  const std::size_t process_count = 1 + collection_->ProcessCount(window);
  const auto written = written_process_counts_.find(window);
  if (written != written_process_counts_.end())
    return written->second < process_count;
  if (hooks_.is_acknowledged(window) && process_count == 1) return false;
  const bool waits_for_hand_off =
      hooks_.sends_to_collector() || process_count > 1;
  const bool has_all = static_cast<int>(process_count) >= hooks_.live_nodes();
  return !waits_for_hand_off || has_all ||
         now >= ledger_->WindowEnd(window) + kHandOffTimeout;
}

void UsageReporter::WriteCounts(UsageWindow window) {
  if (writes_in_progress_.count(window) > 0) return;
  writes_in_progress_.insert(window);
  // Writes the key whatever its current revision is.
  constexpr std::int64_t kAnyRevision = -1;
  UsageByProcess part = collection_->CountsByProcess(window);
  part[process_name_] = ledger_->CountsFor(window);
  const std::size_t process_count = part.size();
  StoreTransaction transaction;
  transaction.writes.push_back(
      {PartPrefix(window) + process_name_, Json(part).dump(), kAnyRevision, 0});
  store_->Commit(transaction, [this, window,
                               process_count](const Result<KvTxnReply>& reply) {
    writes_in_progress_.erase(window);
    Log(LogLevel::kInfo, "usage_written",
        {{"window", std::to_string(window)},
         {"processes", std::to_string(process_count)},
         {"outcome", Ok(reply) ? "done" : ErrorOf(reply).message}});
    // If the outcome is unknown the same value is written again, which is
    // harmless.
    if (Ok(reply)) written_process_counts_[window] = process_count;
  });
}

void UsageReporter::AdvanceWindow(UsageWindow window) {
  WindowState& state = windows_[window];
  if (state.call_in_progress) return;
  switch (state.stage) {
    case Stage::kReadingSum:
      state.call_in_progress = true;
      ReadSum(window);
      return;
    case Stage::kCollecting:
      state.call_in_progress = true;
      ReadParts(window);
      return;
    case Stage::kSummed:
      state.call_in_progress = true;
      ReportSum(window);
      return;
    case Stage::kReported:
      return;
  }
}

void UsageReporter::ReadSum(UsageWindow window) {
  store_->Read(SumKey(window), [this, window](const Result<StoreItem>& item) {
    WindowState& state = windows_[window];
    state.call_in_progress = false;
    if (!Ok(item)) return;
    if (!Value(item).entry.has_value()) {
      const bool is_lost = MayHaveLostSum(window);
      state.stage = is_lost ? Stage::kReported : Stage::kCollecting;
      if (is_lost) {
        Log(LogLevel::kWarn, "usage_abandoned",
            {{"window", std::to_string(window)},
             {"reason", "the store may have lost a sum that was reported"}});
      }
      return;
    }
    Result<UsageCounts> sum = Decode<UsageCounts>(*Value(item).entry);
    if (!Ok(sum)) {
      Log(LogLevel::kError, "usage_sum_malformed",
          {{"error", ErrorOf(sum).message}});
      state.stage = Stage::kReported;
      return;
    }
    state.sum = std::move(Value(sum));
    state.stage = Stage::kSummed;
  });
}

void UsageReporter::ReadParts(UsageWindow window) {
  store_->List(PartPrefix(window),
               [this, window](const Result<StoreListing>& listing) {
                 windows_[window].call_in_progress = false;
                 if (Ok(listing)) OnPartsRead(window, Value(listing));
               });
}

void UsageReporter::OnPartsRead(UsageWindow window,
                                const StoreListing& listing) {
  UsageByProcess all;
  std::vector<std::string> parts;
  for (const KvEntry& entry : listing.entries) {
    parts.push_back(entry.key);
    const Result<UsageByProcess> part = Decode<UsageByProcess>(entry);
    if (Ok(part)) {
      MergeUsage(Value(part), &all);
    } else {
      Log(LogLevel::kError, "usage_part_malformed",
          {{"error", ErrorOf(part).message}});
    }
  }
  const bool complete = static_cast<int>(all.size()) >= hooks_.live_nodes();
  const bool may_wait =
      hooks_.now() < ledger_->WindowEnd(window) + kMaxCollectDelay;
  if (!complete && may_wait) return;
  if (!complete) {
    Log(LogLevel::kWarn, "usage_incomplete",
        {{"window", std::to_string(window)},
         {"processes", std::to_string(all.size())},
         {"live_nodes", std::to_string(hooks_.live_nodes())}});
  }
  CommitSum(window, SumUsage(all), std::move(parts));
}

void UsageReporter::CommitSum(UsageWindow window, UsageCounts sum,
                              std::vector<std::string> parts) {
  WindowState& state = windows_[window];
  state.call_in_progress = true;
  StoreTransaction transaction;
  transaction.writes.push_back({SumKey(window), Json(sum).dump(), 0, 0});
  if (parts.size() > kMaxRemovals) parts.resize(kMaxRemovals);
  transaction.removals = std::move(parts);
  transaction.removals.push_back(SumKey(window - kRetainedSumCount));
  store_->Commit(transaction, [this, window, sum = std::move(sum)](
                                  const Result<KvTxnReply>& reply) {
    WindowState& committed = windows_[window];
    committed.call_in_progress = false;
    // If another lease holder wrote the sum or the response was lost, the sum
    // is read.
    committed.stage = Stage::kReadingSum;
    if (Ok(reply) && Value(reply).succeeded) {
      committed.sum = sum;
      committed.stage = Stage::kSummed;
      AdvanceWindow(window);
    }
  });
}

void UsageReporter::ReportSum(UsageWindow window) {
  WindowState& state = windows_[window];
  // Checked immediately before the call because the machine may have been
  // suspended since the last check.
  if (!lease_->MayAct(BootClockNow())) {
    state.call_in_progress = false;
    return;
  }
  cloud_->ReportUsage(
      window, state.sum, lease_->stamp(), [this, window](const Status& status) {
        WindowState& reported = windows_[window];
        reported.call_in_progress = false;
        if (Ok(status)) reported.stage = Stage::kReported;
        Log(Ok(status) ? LogLevel::kInfo : LogLevel::kWarn, "usage_report",
            {{"window", std::to_string(window)},
             {"outcome", Ok(status) ? "accepted" : ErrorOf(status).message}});
      });
}

}  // namespace pollenledge
