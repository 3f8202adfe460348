#include "pollenledge/process/upstream_sync.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// Number of watch polls in one period of full listings, which sets the delay
/// between two polls. In a large fleet something changes all the time, and each
/// poll is a call to the store.
constexpr int kWatchPollsPerPeriod = 6;
/// Number of times per period that a node which receives the list from others
/// checks whether it still does.
constexpr int kChecksPerPeriod = 4;
/// Delay after a failed listing, so that a store that rejects calls is not
/// overloaded.
constexpr Duration kListRetryDelay = std::chrono::milliseconds(400);

}  // namespace

void UpstreamDirectory::OnListed(const StoreListing& listing, TimePoint now) {
  if (std::exchange(store_failing_, false)) store_recovered_at_ = now;
  std::set<std::string> listed;
  for (const KvEntry& entry : listing.entries) {
    listed.insert(entry.key);
    ApplyEntry(entry);
  }
  for (auto& [key, known] : known_entries_) {
    // An entry with a newer revision than the listing was written after it.
    if (listed.count(key) == 0 && known.revision <= listing.store_revision) {
      known.missing = true;
    }
  }
}

void UpstreamDirectory::OnChanged(const StoreChange& change) {
  if (!change.removed) {
    ApplyEntry(change.entry);
    return;
  }
  const auto found = known_entries_.find(change.entry.key);
  if (found == known_entries_.end()) return;
  if (found->second.revision > change.entry.mod_revision) return;
  found->second.missing = true;
}

void UpstreamDirectory::OnStoreError() { store_failing_ = true; }

void UpstreamDirectory::OnRestored() {
  store_failing_ = true;
  store_restored_ = true;
}

bool UpstreamDirectory::IsCopyOfRemoved(const KvEntry& entry,
                                        const ForwardUpstreamInfo& info) const {
  const auto found = removed_entries_.find(entry.key);
  if (found == removed_entries_.end()) return false;
  const RemovedEntry& removed = found->second;
  return removed.incarnation == info.id.incarnation &&
         store_position::EraOf(entry.mod_revision) >
             store_position::EraOf(removed.last_revision) &&
         store_position::RevisionOf(entry.mod_revision) <=
             store_position::RevisionOf(removed.last_revision);
}

void UpstreamDirectory::RememberRemoval(const std::string& key,
                                        const KnownEntry& known) {
  if (!known.info.has_value()) return;
  removed_entries_[key] = {known.info->id.incarnation, known.revision};
  if (removed_entries_.size() <= kMaxRemovedEntries) return;
  removed_entries_.erase(
      std::min_element(removed_entries_.begin(), removed_entries_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_revision < b.second.last_revision;
                       }));
}

void UpstreamDirectory::ApplyEntry(const KvEntry& entry) {
  KnownEntry& known = known_entries_[entry.key];
  if (entry.mod_revision < known.revision) return;
  known.missing = false;
  if (entry.mod_revision == known.revision) return;
  known.revision = entry.mod_revision;
  Result<ForwardUpstreamInfo> info = decode_(entry);
  if (Ok(info) && IsCopyOfRemoved(entry, Value(info))) {
    known_entries_.erase(entry.key);
    return;
  }
  if (Ok(info)) {
    const bool was_leaving = known.info.has_value() && known.info->leaving &&
                             known.info->id == Value(info).id;
    known.info = std::move(Value(info));
    known.info->leaving = known.info->leaving || was_leaving;
    known.info->store_revision = entry.mod_revision;
    return;
  }
  known.info.reset();
  Log(LogLevel::kWarn, "upstream_entry_malformed",
      {{"revision", std::to_string(entry.mod_revision)},
       {"error", ErrorOf(info).message}});
}

std::vector<ForwardUpstreamInfo> UpstreamDirectory::Upstreams(TimePoint now) {
  const bool removes_missing =
      !store_failing_ && (!store_recovered_at_.has_value() ||
                          now >= *store_recovered_at_ + kReregistrationTimeout);
  for (auto it = known_entries_.begin(); it != known_entries_.end();) {
    const bool expired = it->second.missing && removes_missing;
    if (expired) RememberRemoval(it->first, it->second);
    it = expired ? known_entries_.erase(it) : std::next(it);
  }
  if (removes_missing) store_restored_ = false;
  // Number of present entries minus number of missing ones, by service.
  std::map<std::string, int> present_minus_missing;
  for (const auto& [key, known] : known_entries_) {
    if (known.info.has_value()) {
      present_minus_missing[known.info->service] += known.missing ? -1 : 1;
    }
  }
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [key, known] : known_entries_) {
    if (!known.info.has_value()) continue;
    // If at least half of the service's entries are present, the store probably
    // did not lose the missing ones: the upstream left, and only this node
    // missed the change.
    const bool probably_left = !store_failing_ && !store_restored_ &&
                               known.missing &&
                               present_minus_missing[known.info->service] >= 0;
    if (!probably_left) upstreams.push_back(*known.info);
  }
  return upstreams;
}

std::optional<TimePoint> UpstreamDirectory::NextDue(TimePoint now) const {
  if (store_failing_ || !store_recovered_at_.has_value()) return std::nullopt;
  const TimePoint due = *store_recovered_at_ + kReregistrationTimeout;
  if (due <= now) return std::nullopt;
  return due;
}

UpstreamSync::UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
                           std::string prefix, Duration list_period,
                           UpstreamDirectory::Decode decode,
                           StoreReadPolicy read_policy, Submit submit)
    : store_(store),
      prefix_(std::move(prefix)),
      list_period_(list_period),
      directory_(std::move(decode)),
      read_policy_(std::move(read_policy)),
      submit_(std::move(submit)),
      list_timer_(loop),
      republish_timer_(loop),
      watch_(
          loop, store, prefix_, list_period / kWatchPollsPerPeriod,
          read_policy_.needs_watch,
          [this](const StoreChanges& changes) { OnChanges(changes); },
          [this](const Error& error) { OnWatchError(error); }) {
  store->OnRestored([this] { OnRestored(); });
}

void UpstreamSync::Start() { List(); }

void UpstreamSync::ListIfDue() {
  if (read_policy_.needs_read(list_period_, BootClockNow())) {
    List();
  } else {
    ScheduleCheck(list_period_ / kChecksPerPeriod);
  }
}

void UpstreamSync::ScheduleCheck(Duration delay) {
  list_timer_.expires_after(delay);
  list_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ListIfDue();
  });
}

Duration UpstreamSync::ListPeriod() const {
  // The other nodes receive the list later than this one.
  return read_policy_.publishes_reads() ? list_period_ / 2 : list_period_;
}

void UpstreamSync::List() {
  const TimePoint started = BootClockNow();
  store_->List(prefix_, [this, started](const Result<StoreListing>& listing) {
    OnListed(started, listing);
    ScheduleCheck(Ok(listing) ? ListPeriod() : kListRetryDelay);
  });
}

void UpstreamSync::OnListed(TimePoint started,
                            const Result<StoreListing>& listing) {
  if (!Ok(listing)) {
    directory_.OnStoreError();
    watch_.OnReadFailed();
    return;
  }
  directory_.OnListed(Value(listing), BootClockNow());
  revision_ = std::max(revision_, Value(listing).store_revision);
  Publish(started);
  watch_.OnReadSucceeded(Value(listing).store_revision);
}

void UpstreamSync::OnChanges(const StoreChanges& changes) {
  for (const StoreChange& change : changes.changes) {
    directory_.OnChanged(change);
  }
  revision_ = std::max(revision_, changes.store_revision);
  Publish(std::nullopt);
}

void UpstreamSync::OnRestored() {
  directory_.OnRestored();
  watch_.OnReadFailed();
  ScheduleCheck(Duration::zero());
}

void UpstreamSync::OnWatchError(const Error& error) {
  // A watch fails with `kNotFound` when the store has discarded the history.
  // This is not a failure of the store: the next listing catches up.
  if (error.code != ErrorCode::kNotFound) directory_.OnStoreError();
}

void UpstreamSync::Publish(std::optional<TimePoint> read_at) {
  std::vector<ForwardUpstreamInfo> upstreams =
      directory_.Upstreams(BootClockNow());
  if (const auto due = directory_.NextDue(BootClockNow())) {
    republish_timer_.expires_after(std::max<Duration>(
        *due - BootClockNow(), std::chrono::milliseconds(1)));
    republish_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Publish(std::nullopt);
    });
  }
  if (upstreams == published_ && !read_at.has_value()) return;
  published_ = upstreams;
  submit_(
      forward_event::UpstreamsListed{std::move(upstreams), revision_, read_at});
}

}  // namespace pollenledge
