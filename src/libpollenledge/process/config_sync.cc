#include "pollenledge/process/config_sync.h"

#include <algorithm>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// Delay between two polls of the watch. Versions that follow each other
/// quickly arrive in one poll, and the delay is far below the time within which
/// a version must become active.
constexpr Duration kWatchPollDelay = std::chrono::milliseconds(120);
/// Delay before a failed read is retried, shorter than the time until the next
/// periodic read.
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(300);
/// A read that takes longer is logged.
constexpr Duration kSlowRead = std::chrono::milliseconds(300);

void LogReadEnd(Duration took, const Result<StoreItem>& item) {
  if (!Ok(item)) {
    Log(LogLevel::kWarn, "tables_read_failed",
        {{"took_ms", FormatMilliseconds(took)},
         {"error", ErrorOf(item).message}});
  } else if (took >= kSlowRead) {
    Log(LogLevel::kInfo, "tables_read_slow",
        {{"took_ms", FormatMilliseconds(took)}});
  }
}

}  // namespace

ConfigSync::ConfigSync(boost::asio::io_context& loop, AsyncStore* store,
                       std::string key, const TablesTimes& times, Decode decode,
                       StoreReadPolicy read_policy,
                       MayLackWrites may_lack_writes, Submit submit)
    : store_(store),
      key_(std::move(key)),
      times_(times),
      decode_(std::move(decode)),
      read_policy_(std::move(read_policy)),
      may_lack_writes_(std::move(may_lack_writes)),
      submit_(std::move(submit)),
      read_timer_(loop),
      watch_(
          loop, store, key_, kWatchPollDelay, read_policy_.needs_watch,
          [this](const StoreChanges& changes) { OnChanges(changes); },
          [this](const Error&) { OnWatchEnded(); }) {
  store->OnRestored([this] { OnRestored(); });
  store->OnLateRead([this](const std::string& read_key, const StoreItem& item,
                           TimePoint sent_at) {
    if (read_key == key_) OnReadEnded(sent_at, item);
  });
}

void ConfigSync::Start() { Read(); }

void ConfigSync::ReadIfDue() {
  if (read_in_progress_) return;  // Its end schedules the next check.
  if (read_policy_.needs_read(times_.MaxAge(read_time_), BootClockNow())) {
    Read();
  } else {
    ScheduleCheck(times_.check_interval);
  }
}

Duration ConfigSync::CheckDelay() const {
  // The other nodes learn of a confirmation later than this one.
  return read_policy_.publishes_reads() ? times_.read_period / 2
                                        : times_.check_interval;
}

void ConfigSync::ScheduleCheck(Duration delay) {
  read_timer_.expires_after(delay);
  read_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ReadIfDue();
  });
}

void ConfigSync::OnRestored() {
  watch_.OnReadFailed();
  ReadNow();
}

void ConfigSync::OnWatchEnded() {
  // What changes from now on is missed until a read has started the next watch.
  // A store that cuts each watch is not read more often than this.
  if (read_in_progress_) return;
  const Duration since_last = BootClockNow() - read_started_at_;
  read_timer_.expires_after(std::max(kReadRetryDelay - since_last, Duration()));
  read_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ReadNow();
  });
}

void ConfigSync::ReadNow() {
  if (!read_in_progress_) Read();
}

void ConfigSync::Read() {
  read_in_progress_ = true;
  const TimePoint started = BootClockNow();
  read_started_at_ = started;
  store_->Read(key_, [this, started](const Result<StoreItem>& item) {
    read_in_progress_ = false;
    OnReadEnded(started, item);
    const bool is_final =
        Ok(item) && Value(item).entry.has_value() && !may_lack_writes_();
    ScheduleCheck(is_final ? CheckDelay() : kReadRetryDelay);
  });
}

void ConfigSync::OnReadEnded(TimePoint started, const Result<StoreItem>& item) {
  read_time_ = BootClockNow() - started;
  LogReadEnd(read_time_, item);
  OnRead(started, item);
}

void ConfigSync::OnRead(TimePoint started, const Result<StoreItem>& item) {
  if (!Ok(item)) {
    watch_.OnReadFailed();
    if (!std::exchange(store_unavailable_, true)) {
      Log(LogLevel::kWarn, "dependency_lost",
          {{"dependency", "store"}, {"error", ErrorOf(item).message}});
    }
    submit_(forward_event::TablesReadFailed{started});
    return;
  }
  if (std::exchange(store_unavailable_, false)) {
    Log(LogLevel::kInfo, "dependency_regained", {{"dependency", "store"}});
  }
  const StoreItem& found = Value(item);
  const auto index =
      found.entry.has_value() ? DecodeIndex(*found.entry) : nullptr;
  if (index == nullptr) {
    submit_(forward_event::TablesReadFailed{started});
  } else {
    submit_(forward_event::TablesRead{index, started, may_lack_writes_()});
  }
  if (!found.entry.has_value()) return;
  // The entry's own revision may be older than the history that the store has.
  watch_.OnReadSucceeded(
      std::max(found.store_revision, found.entry->mod_revision));
}

void ConfigSync::OnChanges(const StoreChanges& changes) {
  for (const StoreChange& change : changes.changes) {
    if (change.removed || change.entry.key != key_) continue;
    if (const auto index = DecodeIndex(change.entry)) {
      submit_(forward_event::TablesWatchUpdate{index});
    }
  }
}

std::shared_ptr<const ForwardingIndex> ConfigSync::DecodeIndex(
    const KvEntry& entry) {
  if (entry.mod_revision == decoded_revision_) return decoded_index_;
  Result<ForwardingTables> tables = decode_(entry.value);
  if (!Ok(tables)) {
    Log(LogLevel::kError, "tables_rejected",
        {{"revision", std::to_string(entry.mod_revision)},
         {"error", ErrorOf(tables).message}});
    return nullptr;
  }
  auto index = std::make_shared<const ForwardingIndex>(std::move(Value(tables)),
                                                       entry.value);
  // A late response must not replace a newer revision.
  if (entry.mod_revision > decoded_revision_) {
    decoded_revision_ = entry.mod_revision;
    decoded_index_ = index;
  }
  return index;
}

}  // namespace pollenledge
