#include "pollenledge/process/config_sync.h"

#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// Between two watches.
constexpr Duration kWatchPause = std::chrono::milliseconds(120);
/// After an error, so that a store that refuses is not pressed.
constexpr Duration kWatchRetry = std::chrono::milliseconds(500);
/// A read that failed is tried again sooner than the next one is due.
constexpr Duration kReadRetry = std::chrono::milliseconds(300);

}  // namespace

ConfigSync::ConfigSync(boost::asio::io_context& loop, AsyncStore* store,
                       std::string key, Duration read_period, Decode decode,
                       Submit submit)
    : store_(store),
      key_(std::move(key)),
      read_period_(read_period),
      decode_(std::move(decode)),
      submit_(std::move(submit)),
      read_timer_(loop),
      watch_timer_(loop) {}

void ConfigSync::Start() { Read(); }

void ConfigSync::Read() {
  const TimePoint started = BootNow();
  store_->Read(key_, [this, started](const Result<StoreItem>& item) {
    OnRead(started, item);
    read_timer_.expires_after(Ok(item) ? read_period_ : kReadRetry);
    read_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Read();
    });
  });
}

void ConfigSync::OnRead(TimePoint started, const Result<StoreItem>& item) {
  if (!Ok(item)) {
    DropWatch();
    if (!std::exchange(store_lost_, true)) {
      Log(LogLevel::kWarn, "dependency_lost",
          {{"dependency", "store"}, {"error", ErrorOf(item).message}});
    }
    return;
  }
  if (std::exchange(store_lost_, false)) {
    Log(LogLevel::kInfo, "dependency_regained", {{"dependency", "store"}});
  }
  const StoreItem& found = Value(item);
  if (!found.entry.has_value()) return;
  if (const auto index = Index(*found.entry)) {
    submit_(forward_event::TablesRead{index, started});
  }
  if (!watching_) {
    watch_from_ = found.entry->mod_revision;
    Watch();
  }
}

void ConfigSync::Watch() {
  watching_ = true;
  const std::uint64_t number = ++watch_number_;
  store_->Watch(key_, watch_from_, kWatchWait,
                [this, number](const Result<StoreChanges>& changes) {
                  if (number == watch_number_) OnWatched(changes);
                });
}

void ConfigSync::DropWatch() {
  // Its connection may have gone silent with whatever made the read fail.
  ++watch_number_;
  watching_ = false;
}

void ConfigSync::OnWatched(const Result<StoreChanges>& changes) {
  if (!Ok(changes)) {
    // The next read says where to watch from.
    watch_timer_.expires_after(kWatchRetry);
    watch_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) watching_ = false;
    });
    return;
  }
  for (const StoreChange& change : Value(changes).changes) {
    if (change.removed || change.entry.key != key_) continue;
    if (const auto index = Index(change.entry)) {
      submit_(forward_event::TablesHeard{index});
    }
  }
  watch_from_ = Value(changes).store_revision;
  // Changes come in flurries; one call then brings several.
  watch_timer_.expires_after(kWatchPause);
  watch_timer_.async_wait(
      [this, number = watch_number_](const boost::system::error_code& error) {
        if (!error && number == watch_number_) Watch();
      });
}

std::shared_ptr<const ForwardingIndex> ConfigSync::Index(const KvEntry& entry) {
  if (entry.mod_revision == decoded_revision_) return decoded_;
  Result<ForwardingTables> tables = decode_(entry.value);
  // A late answer must not displace what is newer.
  if (!Ok(tables)) {
    Log(LogLevel::kError, "tables_rejected",
        {{"revision", std::to_string(entry.mod_revision)},
         {"error", ErrorOf(tables).message}});
    return nullptr;
  }
  auto index =
      std::make_shared<const ForwardingIndex>(std::move(Value(tables)));
  if (entry.mod_revision > decoded_revision_) {
    decoded_revision_ = entry.mod_revision;
    decoded_ = index;
  }
  return index;
}

}  // namespace pollenledge
