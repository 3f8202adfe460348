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

}  // namespace

void UpstreamDirectory::OnStoreResponded(TimePoint sent_at, TimePoint now) {
  const std::optional<TimePoint> recovered_before = contact_.recovered_at();
  contact_.OnResponded(sent_at, now);
  if (contact_.recovered_at() == recovered_before) return;
  // What was lost in an earlier outage says nothing of this one.
  lost_entries_.clear();
  for (const auto& [key, known] : known_entries_) {
    if (known.missing && known.info.has_value())
      lost_entries_[known.info->service].insert(key);
  }
}

void UpstreamDirectory::OnStoreError() { contact_.OnFailed(); }

void UpstreamDirectory::OnRestored() {
  restored_unlisted_ = true;
  restored_listed_at_.reset();
}

std::optional<TimePoint> UpstreamDirectory::ReregistrationEnd() const {
  std::optional<TimePoint> lost_at = contact_.recovered_at();
  if (restored_listed_at_.has_value())
    lost_at =
        std::max(lost_at.value_or(*restored_listed_at_), *restored_listed_at_);
  if (!lost_at.has_value()) return std::nullopt;
  return *lost_at + kReregistrationTimeout;
}

bool UpstreamDirectory::MayHaveExpired(TimePoint now) const {
  if (restored_unlisted_ || contact_.MayBeAway(now)) return true;
  const std::optional<TimePoint> end = ReregistrationEnd();
  return end.has_value() && now < *end;
}

void UpstreamDirectory::OnListed(const StoreListing& listing, TimePoint now) {
  if (std::exchange(restored_unlisted_, false)) restored_listed_at_ = now;
  std::set<std::string> listed;
  for (const KvEntry& entry : listing.entries) {
    listed.insert(entry.key);
    ApplyEntry(entry);
  }
  for (auto& [key, known] : known_entries_) {
    // An entry with a newer revision than the listing was written after it.
    if (listed.count(key) == 0 && known.revision <= listing.store_revision) {
      MarkMissing(key, &known);
    }
  }
  RemoveGone(now);
}

void UpstreamDirectory::OnChanged(const StoreChange& change, TimePoint now) {
  if (!change.removed) {
    ApplyEntry(change.entry);
    return;
  }
  const auto found = known_entries_.find(change.entry.key);
  if (found == known_entries_.end()) return;
  if (found->second.revision > change.entry.mod_revision) return;
  MarkMissing(found->first, &found->second);
  RemoveGone(now);
}

void UpstreamDirectory::MarkMissing(const std::string& key, KnownEntry* known) {
  known->missing = true;
  if (known->info.has_value()) lost_entries_[known->info->service].insert(key);
}

std::set<std::string> UpstreamDirectory::ServicesThatLostMost() const {
  std::map<std::string, std::size_t> kept;
  for (const auto& [key, known] : known_entries_) {
    if (!known.info.has_value()) continue;
    const auto lost = lost_entries_.find(known.info->service);
    const bool is_kept =
        lost == lost_entries_.end() || lost->second.count(key) == 0;
    if (is_kept) ++kept[known.info->service];
  }
  std::set<std::string> services;
  for (const auto& [service, lost] : lost_entries_) {
    if (lost.size() > kept[service]) services.insert(service);
  }
  return services;
}

void UpstreamDirectory::RemoveGone(TimePoint now) {
  const bool may_have_expired = MayHaveExpired(now);
  // Each missing entry may be written again while the store is away, and after
  // it was restored; else those of services that lost most of theirs.
  const bool keeps_all = contact_.MayBeAway(now) || restored_unlisted_ ||
                         (restored_listed_at_.has_value() &&
                          now < *restored_listed_at_ + kReregistrationTimeout);
  const std::set<std::string> returning =
      may_have_expired ? ServicesThatLostMost() : std::set<std::string>();
  for (auto it = known_entries_.begin(); it != known_entries_.end();) {
    const KnownEntry& known = it->second;
    const bool may_return =
        keeps_all ||
        (known.info.has_value() && returning.count(known.info->service) > 0);
    const bool is_gone = known.missing && !may_return;
    if (is_gone) RememberRemoval(it->first, known);
    it = is_gone ? known_entries_.erase(it) : std::next(it);
  }
  if (!may_have_expired) lost_entries_.clear();
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
  RemoveGone(now);
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [key, known] : known_entries_) {
    if (known.info.has_value()) upstreams.push_back(*known.info);
  }
  return upstreams;
}

std::optional<TimePoint> UpstreamDirectory::NextDue(TimePoint now) const {
  const std::optional<TimePoint> due = ReregistrationEnd();
  if (!due.has_value() || *due <= now) return std::nullopt;
  return due;
}

UpstreamSync::UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
                           std::string prefix, UpstreamListTimes times,
                           UpstreamDirectory::Decode decode,
                           StoreReadPolicy read_policy, Submit submit)
    : store_(store),
      prefix_(std::move(prefix)),
      times_(times),
      directory_(std::move(decode), times.min_expiry),
      read_policy_(std::move(read_policy)),
      submit_(std::move(submit)),
      list_timer_(loop),
      republish_timer_(loop),
      watch_(
          loop, store, prefix_, times.list_period / kWatchPollsPerPeriod,
          read_policy_.needs_watch,
          [this](const StoreChanges& changes) { OnChanges(changes); },
          [this](const Error& error) { OnWatchError(error); }) {
  store->OnRestored([this] { OnRestored(); });
  store->OnLateListing([this](const std::string& listed_prefix,
                              const StoreListing& listing, TimePoint sent_at) {
    // A listing from before a change that is known would undo it.
    if (listed_prefix == prefix_ && listing.store_revision >= revision_)
      OnListed(sent_at, listing);
  });
  store->OnContact([this](bool responded, TimePoint sent_at) {
    if (responded) {
      directory_.OnStoreResponded(sent_at, BootClockNow());
    } else {
      directory_.OnStoreError();
    }
  });
}

void UpstreamSync::Start() { List(); }

void UpstreamSync::ListIfDue() {
  if (listing_) return;  // Its end schedules the next check.
  const Duration max_age = times_.list_period - times_.check_interval;
  if (read_policy_.needs_read(max_age, BootClockNow())) {
    List();
  } else {
    ScheduleCheck(times_.check_interval);
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
  return read_policy_.publishes_reads() ? times_.list_period / 2
                                        : times_.list_period;
}

void UpstreamSync::List() {
  const TimePoint started = BootClockNow();
  list_started_at_ = started;
  listing_ = true;
  list_timer_.cancel();
  store_->List(prefix_, [this, started](const Result<StoreListing>& listing) {
    listing_ = false;
    OnListed(started, listing);
    // The period counts from when the store was read.
    const Duration elapsed = BootClockNow() - started;
    ScheduleCheck(Ok(listing) ? std::max(ListPeriod() - elapsed, Duration())
                              : times_.retry_delay);
  });
}

void UpstreamSync::ListSoon() {
  if (listing_) return;
  const TimePoint earliest = list_started_at_ + times_.retry_delay;
  const Duration delay = earliest - BootClockNow();
  if (delay <= Duration::zero()) {
    List();
    return;
  }
  list_timer_.expires_after(delay);
  list_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !listing_) List();
  });
}

void UpstreamSync::OnListed(TimePoint started,
                            const Result<StoreListing>& listing) {
  if (!Ok(listing)) {
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
    directory_.OnChanged(change, BootClockNow());
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
  // A watch that ends is no failure of the store. What changes from now on is
  // missed until a listing has started the next one.
  Log(LogLevel::kDebug, "upstreams_listed_after_watch",
      {{"error", error.message}});
  ListSoon();
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
