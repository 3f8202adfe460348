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
/// How often per period a node that receives the list from others checks
/// whether it still does.
constexpr int kChecksPerPeriod = 4;
/// Delay after a failed listing, so that a store that rejects calls is not
/// overloaded.
constexpr Duration kListRetryDelay = std::chrono::milliseconds(400);

}  // namespace

void UpstreamDirectory::OnListed(const StoreListing& listing, TimePoint now) {
  if (std::exchange(in_trouble_, false)) returned_at_ = now;
  std::set<std::string> listed;
  for (const KvEntry& entry : listing.entries) {
    listed.insert(entry.key);
    Put(entry);
  }
  for (auto& [key, known] : known_) {
    // An entry with a newer revision than the listing was written after it.
    if (listed.count(key) == 0 && known.revision <= listing.store_revision) {
      known.missing = true;
    }
  }
}

void UpstreamDirectory::OnChanged(const StoreChange& change) {
  if (!change.removed) {
    Put(change.entry);
    return;
  }
  const auto found = known_.find(change.entry.key);
  if (found == known_.end()) return;
  if (found->second.revision > change.entry.mod_revision) return;
  found->second.missing = true;
}

void UpstreamDirectory::OnStoreTrouble() { in_trouble_ = true; }

void UpstreamDirectory::Put(const KvEntry& entry) {
  Known& known = known_[entry.key];
  if (entry.mod_revision < known.revision) return;
  known.missing = false;
  if (entry.mod_revision == known.revision) return;
  known.revision = entry.mod_revision;
  Result<ForwardUpstreamInfo> info = decode_(entry);
  if (Ok(info)) {
    known.info = std::move(Value(info));
    known.info->revision = entry.mod_revision;
    return;
  }
  known.info.reset();
  Log(LogLevel::kWarn, "upstream_entry_malformed",
      {{"revision", std::to_string(entry.mod_revision)},
       {"error", ErrorOf(info).message}});
}

std::vector<ForwardUpstreamInfo> UpstreamDirectory::Upstreams(TimePoint now) {
  const bool removes_missing =
      !in_trouble_ &&
      (!returned_at_.has_value() || now >= *returned_at_ + kReturnTime);
  for (auto it = known_.begin(); it != known_.end();) {
    const bool expired = it->second.missing && removes_missing;
    it = expired ? known_.erase(it) : std::next(it);
  }
  // Present entries minus missing ones, by service.
  std::map<std::string, int> present_minus_missing;
  for (const auto& [key, known] : known_) {
    if (known.info.has_value()) {
      present_minus_missing[known.info->service] += known.missing ? -1 : 1;
    }
  }
  std::vector<ForwardUpstreamInfo> upstreams;
  for (const auto& [key, known] : known_) {
    if (!known.info.has_value()) continue;
    // If most entries of the service are present, the store did not lose them.
    // The upstream probably left while only this node missed the change.
    const bool probably_left = !in_trouble_ && known.missing &&
                               present_minus_missing[known.info->service] >= 0;
    if (!probably_left) upstreams.push_back(*known.info);
  }
  return upstreams;
}

std::optional<TimePoint> UpstreamDirectory::NextDue(TimePoint now) const {
  if (in_trouble_ || !returned_at_.has_value()) return std::nullopt;
  const TimePoint due = *returned_at_ + kReturnTime;
  if (due <= now) return std::nullopt;
  return due;
}

UpstreamSync::UpstreamSync(boost::asio::io_context& loop, AsyncStore* store,
                           std::string prefix, Duration list_period,
                           UpstreamDirectory::Decode decode,
                           StoreFollowing read_policy, Submit submit)
    : store_(store),
      prefix_(std::move(prefix)),
      list_period_(list_period),
      directory_(std::move(decode)),
      following_(std::move(read_policy)),
      submit_(std::move(submit)),
      list_timer_(loop),
      due_timer_(loop),
      watch_(
          loop, store, prefix_, list_period / kWatchPollsPerPeriod,
          following_.needs_watch,
          [this](const StoreChanges& changes) { OnChanges(changes); },
          [this](const Error& error) { OnWatchError(error); }) {}

void UpstreamSync::Start() { List(); }

void UpstreamSync::Check() {
  if (following_.needs_read(list_period_, BootNow())) {
    List();
  } else {
    CheckAfter(list_period_ / kChecksPerPeriod);
  }
}

void UpstreamSync::CheckAfter(Duration delay) {
  list_timer_.expires_after(delay);
  list_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Check();
  });
}

Duration UpstreamSync::ListPeriod() const {
  // The other nodes receive the list later than this one.
  return following_.reads_for_others() ? list_period_ / 2 : list_period_;
}

void UpstreamSync::List() {
  const TimePoint started = BootNow();
  store_->List(prefix_, [this, started](const Result<StoreListing>& listing) {
    OnListed(started, listing);
    CheckAfter(Ok(listing) ? ListPeriod() : kListRetryDelay);
  });
}

void UpstreamSync::OnListed(TimePoint started,
                            const Result<StoreListing>& listing) {
  if (!Ok(listing)) {
    directory_.OnStoreTrouble();
    watch_.OnReadFailed();
    return;
  }
  directory_.OnListed(Value(listing), BootNow());
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

void UpstreamSync::OnWatchError(const Error& error) {
  // A watch fails with `kNotFound` when the store discarded the history, which
  // is no store failure: the next listing catches up.
  if (error.code != ErrorCode::kNotFound) directory_.OnStoreTrouble();
}

void UpstreamSync::Publish(std::optional<TimePoint> read_at) {
  std::vector<ForwardUpstreamInfo> upstreams = directory_.Upstreams(BootNow());
  if (const auto due = directory_.NextDue(BootNow())) {
    due_timer_.expires_after(
        std::max<Duration>(*due - BootNow(), std::chrono::milliseconds(1)));
    due_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Publish(std::nullopt);
    });
  }
  if (upstreams == published_ && !read_at.has_value()) return;
  published_ = upstreams;
  submit_(
      forward_event::UpstreamsListed{std::move(upstreams), revision_, read_at});
}

}  // namespace pollenledge
