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
/// Number of windows whose sums stay in the store after they were reported, for
/// a new lease holder.
constexpr UsageWindow kRetainedSumCount = 16;
/// Maximum number of keys with counts that the transaction which writes the sum
/// removes.
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
      process_(std::move(process)),
      hooks_(std::move(hooks)),
      timer_(loop) {}

void UsageReporter::Start() {
  first_window_ = ledger_->WindowOf(hooks_.now());
  Tick();
}

void UsageReporter::Tick() {
  if (hooks_.calendar_is_known()) AdvanceAll(hooks_.now());
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void UsageReporter::Flush() {
  const UsageWindow current = ledger_->WindowOf(hooks_.now());
  written_.erase(current);
  for (UsageWindow window = current - 1; window <= current; ++window) {
    const bool is_saved =
        written_.count(window) > 0 || hooks_.is_handed_over(window);
    if (is_saved) continue;
    writing_.erase(window);
    WriteOwn(window);
  }
}

std::string UsageReporter::PartPrefix(UsageWindow window) const {
  return prefix_ + "part/" + std::to_string(window) + "/";
}

std::string UsageReporter::SumKey(UsageWindow window) const {
  return prefix_ + "sum/" + std::to_string(window);
}

void UsageReporter::AdvanceAll(WallTime now) {
  const UsageWindow current = ledger_->WindowOf(now);
  // The wall clock may have been ahead when the process started.
  first_window_ = std::min(first_window_, current);
  for (UsageWindow window = std::max(first_window_, current - kWindowsBack);
       window < current; ++window) {
    if (IsDue(window, now)) WriteOwn(window);
  }
  if (lease_->MayAct(BootNow())) {
    for (UsageWindow window = current - kWindowsBack; window < current;
         ++window) {
      if (now >= ledger_->EndOf(window) + kCollectAfter) Advance(window);
    }
  }
  const UsageWindow oldest = current - kWindowsBack - 1;
  ledger_->ForgetBefore(oldest);
  collection_->ForgetBefore(oldest);
  written_.erase(written_.begin(), written_.lower_bound(oldest));
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

bool UsageReporter::IsDue(UsageWindow window, WallTime now) const {
  if (now < ledger_->SettledAt(window) || writing_.count(window) > 0) {
    return false;
  }
  const std::size_t process_count = 1 + collection_->CountOf(window);
  const auto written = written_.find(window);
  if (written != written_.end()) return written->second < process_count;
  if (hooks_.is_handed_over(window) && process_count == 1) return false;
  const bool waits_for_hand_off = hooks_.hands_over() || process_count > 1;
  const bool has_all = static_cast<int>(process_count) >= hooks_.live_nodes();
  return !waits_for_hand_off || has_all ||
         now >= ledger_->EndOf(window) + kHandOverTime;
}

void UsageReporter::WriteOwn(UsageWindow window) {
  if (writing_.count(window) > 0) return;
  writing_.insert(window);
  constexpr std::int64_t kAnyRevision = -1;
  UsageByProcess part = collection_->Of(window);
  part[process_] = ledger_->CountsOf(window);
  const std::size_t process_count = part.size();
  StoreTransaction transaction;
  transaction.writes.push_back(
      {PartPrefix(window) + process_, Json(part).dump(), kAnyRevision, 0});
  store_->Commit(transaction, [this, window,
                               process_count](const Result<KvTxnReply>& reply) {
    writing_.erase(window);
    Log(LogLevel::kInfo, "usage_written",
        {{"window", std::to_string(window)},
         {"processes", std::to_string(process_count)},
         {"outcome", Ok(reply) ? "done" : ErrorOf(reply).message}});
    // If the outcome is unknown the same value is written again, which is
    // harmless.
    if (Ok(reply)) written_[window] = process_count;
  });
}

void UsageReporter::Advance(UsageWindow window) {
  Window& state = windows_[window];
  if (state.busy) return;
  switch (state.stage) {
    case Stage::kOpen:
      state.busy = true;
      ReadSum(window);
      return;
    case Stage::kCollecting:
      state.busy = true;
      Collect(window);
      return;
    case Stage::kSummed:
      state.busy = true;
      Report(window);
      return;
    case Stage::kReported:
      return;
  }
}

void UsageReporter::ReadSum(UsageWindow window) {
  store_->Read(SumKey(window), [this, window](const Result<StoreItem>& item) {
    Window& state = windows_[window];
    state.busy = false;
    if (!Ok(item)) return;
    if (!Value(item).entry.has_value()) {
      state.stage = Stage::kCollecting;
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

void UsageReporter::Collect(UsageWindow window) {
  store_->List(PartPrefix(window),
               [this, window](const Result<StoreListing>& listing) {
                 windows_[window].busy = false;
                 if (Ok(listing)) OnCollected(window, Value(listing));
               });
}

void UsageReporter::OnCollected(UsageWindow window,
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
  const bool may_wait = hooks_.now() < ledger_->EndOf(window) + kPatience;
  if (!complete && may_wait) return;
  if (!complete) {
    Log(LogLevel::kWarn, "usage_incomplete",
        {{"window", std::to_string(window)},
         {"processes", std::to_string(all.size())},
         {"live_nodes", std::to_string(hooks_.live_nodes())}});
  }
  CommitSum(window, SumOf(all), std::move(parts));
}

void UsageReporter::CommitSum(UsageWindow window, UsageCounts sum,
                              std::vector<std::string> parts) {
  Window& state = windows_[window];
  state.busy = true;
  StoreTransaction transaction;
  transaction.writes.push_back({SumKey(window), Json(sum).dump(), 0, 0});
  if (parts.size() > kMaxRemovals) parts.resize(kMaxRemovals);
  transaction.removals = std::move(parts);
  transaction.removals.push_back(SumKey(window - kRetainedSumCount));
  store_->Commit(transaction, [this, window, sum = std::move(sum)](
                                  const Result<KvTxnReply>& reply) {
    Window& committed = windows_[window];
    committed.busy = false;
    // If another holder wrote the sum or the response was lost, read the sum.
    committed.stage = Stage::kOpen;
    if (Ok(reply) && Value(reply).succeeded) {
      committed.sum = sum;
      committed.stage = Stage::kSummed;
      Advance(window);
    }
  });
}

void UsageReporter::Report(UsageWindow window) {
  Window& state = windows_[window];
  // Checked immediately before the call because the machine may have been
  // suspended since the last check.
  if (!lease_->MayAct(BootNow())) {
    state.busy = false;
    return;
  }
  cloud_->ReportUsage(
      window, state.sum, lease_->stamp(), [this, window](const Status& status) {
        Window& reported = windows_[window];
        reported.busy = false;
        if (Ok(status)) reported.stage = Stage::kReported;
        Log(Ok(status) ? LogLevel::kInfo : LogLevel::kWarn, "usage_report",
            {{"window", std::to_string(window)},
             {"outcome", Ok(status) ? "accepted" : ErrorOf(status).message}});
      });
}

}  // namespace pollenledge
