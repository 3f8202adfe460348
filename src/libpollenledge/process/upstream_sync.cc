#include "pollenledge/process/upstream_sync.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// After an error, so that a store that refuses is not pressed.
constexpr Duration kRetry = std::chrono::milliseconds(400);
/// Failed calls count as trouble for this long after the last of them.
constexpr Duration kTroubleMemory = std::chrono::seconds(3);

}  // namespace

void UpstreamDirectory::OnListed(const StoreListing& listing, TimePoint now) {
  std::set<std::string> listed;
  for (const KvEntry& entry : listing.entries) {
    listed.insert(entry.key);
    Put(entry);
  }
  for (const auto& [key, known] : known_) {
    // An entry newer than the listing was written after it.
    if (listed.count(key) == 0 && known.revision <= listing.store_revision) {
      Remove(key, now);
    }
  }
}

void UpstreamDirectory::OnChanged(const StoreChange& change, TimePoint now) {
  if (!change.removed) {
    Put(change.entry);
    return;
  }
  const auto found = known_.find(change.entry.key);
  if (found == known_.end()) return;
  if (found->second.revision > change.entry.mod_revision) return;
  Remove(change.entry.key, now);
}

void UpstreamDirectory::OnStoreTrouble(TimePoint now) { trouble_at_ = now; }

bool UpstreamDirectory::InTrouble(TimePoint now) const {
  return trouble_at_.has_value() && now - *trouble_at_ < kTroubleMemory;
}

void UpstreamDirectory::Put(const KvEntry& entry) {
  Known& known = known_[entry.key];
  if (entry.mod_revision < known.revision) return;
  known.gone_at.reset();
  if (entry.mod_revision == known.revision) return;
  known.revision = entry.mod_revision;
  Result<ForwardUpstreamInfo> info = decode_(entry);
  if (Ok(info)) {
    known.info = std::move(Value(info));
    return;
  }
  known.info.reset();
  Log(LogLevel::kWarn, "upstream_entry_malformed",
      {{"revision", std::to_string(entry.mod_revision)},
       {"error", ErrorOf(info).message}});
}

void UpstreamDirectory::Remove(const std::string& key, TimePoint now) {
  Known& known = known_.at(key);
  if (known.gone_at.has_value()) return;
  known.gone_at = InTrouble(now) ? now + kReturnTime : now;
}

std::vector<ForwardUpstreamInfo> UpstreamDirectory::Upstreams(TimePoint now) {
  for (auto it = known_.begin(); it != known_.end();) {
    const std::optional<TimePoint>& gone_at = it->second.gone_at;
    const bool gone = gone_at.has_value() && *gone_at <= now;
    it = gone ? known_.erase(it) : std::next(it);
  }
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [key, known] : known_) {
    if (known.info.has_value()) upstreams.push_back(*known.info);
  }
  return upstreams;
}

std::optional<TimePoint> UpstreamDirectory::NextDue() const {
  std::optional<TimePoint> next;
  for (const auto& [key, known] : known_) {
    if (!known.gone_at.has_value()) continue;
    if (!next.has_value() || *known.gone_at < *next) next = known.gone_at;
  }
  return next;
}

UpstreamSync::UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
                           std::string prefix, Duration list_period,
                           UpstreamDirectory::Decode decode, Submit submit)
    : store_(store),
      prefix_(std::move(prefix)),
      list_period_(list_period),
      directory_(std::move(decode)),
      submit_(std::move(submit)),
      list_timer_(loop),
      watch_timer_(loop),
      due_timer_(loop) {}

void UpstreamSync::Start() { List(); }

void UpstreamSync::List() {
  store_->List(prefix_, [this](Result<StoreListing> listing) {
    const TimePoint now = BootNow();
    if (Ok(listing)) {
      directory_.OnListed(Value(listing), now);
      Publish();
      if (!watching_) {
        watch_from_ = Value(listing).store_revision;
        Watch();
      }
    } else {
      directory_.OnStoreTrouble(now);
      DropWatch();
    }
    list_timer_.expires_after(Ok(listing) ? list_period_ : kRetry);
    list_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) List();
    });
  });
}

void UpstreamSync::Watch() {
  watching_ = true;
  const std::uint64_t number = ++watch_number_;
  store_->Watch(prefix_, watch_from_, kWatchWait,
                [this, number](const Result<StoreChanges>& changes) {
                  if (number == watch_number_) OnWatched(changes);
                });
}

void UpstreamSync::DropWatch() {
  // Its connection may have gone silent with whatever made the listing fail.
  ++watch_number_;
  watching_ = false;
}

void UpstreamSync::OnWatched(const Result<StoreChanges>& changes) {
  const TimePoint now = BootNow();
  if (!Ok(changes)) {
    // History that was dropped is no trouble; the next listing makes it good.
    if (ErrorOf(changes).code != ErrorCode::kNotFound) {
      directory_.OnStoreTrouble(now);
    }
    watch_timer_.expires_after(kRetry);
    watch_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) watching_ = false;
    });
    return;
  }
  for (const StoreChange& change : Value(changes).changes) {
    directory_.OnChanged(change, now);
  }
  watch_from_ = Value(changes).store_revision;
  Publish();
  Watch();
}

void UpstreamSync::Publish() {
  std::vector<ForwardUpstreamInfo> upstreams = directory_.Upstreams(BootNow());
  if (const std::optional<TimePoint> due = directory_.NextDue()) {
    due_timer_.expires_after(
        std::max<Duration>(*due - BootNow(), std::chrono::milliseconds(1)));
    due_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Publish();
    });
  }
  if (upstreams == published_) return;
  published_ = upstreams;
  submit_(forward_event::UpstreamsListed{std::move(upstreams)});
}

}  // namespace pollenledge
