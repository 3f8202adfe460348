#include "pollenledge/process/upstream_list.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

/// A changed or removed upstream and the store revision of the change.
struct Change {
  std::int64_t revision = 0;
  /// The changed upstream; null if it was removed.
  const ForwardUpstreamInfo* changed = nullptr;
  /// The name of the removed upstream; null if it was changed.
  const std::string* removed = nullptr;
};

/// Keeps the oldest `kMaxChangesPerMessage` changes and returns the revision
/// that they reach. Changes of one revision stay together.
std::int64_t TruncateToMessage(std::vector<Change>* changes) {
  const auto by_revision = [](const Change& a, const Change& b) {
    return a.revision < b.revision;
  };
  std::sort(changes->begin(), changes->end(), by_revision);
  std::size_t count = UpstreamList::kMaxChangesPerMessage;
  const std::int64_t last = (*changes)[count - 1].revision;
  while (count < changes->size() && (*changes)[count].revision == last) ++count;
  changes->resize(count);
  return last;
}

}  // namespace

bool UpstreamList::Replace(std::vector<ForwardUpstreamInfo> list,
                           std::int64_t revision,
                           std::optional<TimePoint> read_at) {
  if (revision < revision_) return false;
  std::map<std::string, ForwardUpstreamInfo> replaced;
  for (ForwardUpstreamInfo& info : list) {
    const std::string name = info.id.name;
    removals_.erase(name);
    replaced[name] = std::move(info);
  }
  for (const auto& [name, info] : upstreams_) {
    if (replaced.count(name) == 0) RecordRemoval(name, revision);
  }
  upstreams_ = std::move(replaced);
  revision_ = revision;
  digest_ = ComputeDigest();
  if (read_at.has_value()) RecordConfirmation(*read_at);
  return true;
}

void UpstreamList::RecordRemoval(const std::string& name,
                                 std::int64_t revision) {
  removals_[name] = revision;
  if (removals_.size() <= kMaxRetainedRemovals) return;
  const auto oldest = std::min_element(
      removals_.begin(), removals_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  discarded_removals_revision_ = oldest->second;
  removals_.erase(oldest);
}

void UpstreamList::RecordConfirmation(TimePoint at) {
  if (!confirmed_at_.has_value() || at > *confirmed_at_) confirmed_at_ = at;
}

std::optional<UpstreamChanges> UpstreamList::ChangesSince(std::int64_t revision,
                                                          TimePoint now) const {
  if (revision > revision_ || revision < discarded_removals_revision_) {
    return std::nullopt;
  }
  std::vector<Change> changes;
  for (const auto& [name, info] : upstreams_) {
    if (info.store_revision > revision)
      changes.push_back({info.store_revision, &info});
  }
  for (const auto& [name, removed_at] : removals_) {
    if (removed_at > revision) changes.push_back({removed_at, nullptr, &name});
  }
  UpstreamChanges update;
  const bool complete = changes.size() <= kMaxChangesPerMessage;
  update.to_revision = complete ? revision_ : TruncateToMessage(&changes);
  for (const Change& change : changes) {
    if (change.changed != nullptr) {
      update.changed.push_back(*change.changed);
    } else {
      update.removed.push_back({*change.removed, change.revision});
    }
  }
  update.digest = digest_;
  if (complete && confirmed_at_.has_value()) update.age = now - *confirmed_at_;
  return update;
}

bool UpstreamList::Apply(const UpstreamChanges& changes, TimePoint queried_at) {
  if (changes.to_revision < revision_) return false;
  for (const ForwardUpstreamInfo& info : changes.changed) {
    removals_.erase(info.id.name);
    upstreams_[info.id.name] = info;
  }
  for (const RemovedUpstream& removed : changes.removed) {
    const auto found = upstreams_.find(removed.name);
    const bool is_newer = found != upstreams_.end() &&
                          found->second.store_revision > removed.revision;
    if (found == upstreams_.end() || is_newer) continue;
    upstreams_.erase(found);
    RecordRemoval(removed.name, removed.revision);
  }
  revision_ = changes.to_revision;
  digest_ = ComputeDigest();
  if (changes.age.has_value() && changes.digest == digest_) {
    RecordConfirmation(queried_at - *changes.age);
  }
  return !changes.changed.empty() || !changes.removed.empty();
}

std::vector<ForwardUpstreamInfo> UpstreamList::upstreams() const {
  std::vector<ForwardUpstreamInfo> list;
  list.reserve(upstreams_.size());
  for (const auto& [name, info] : upstreams_) list.push_back(info);
  return list;
}

std::uint64_t UpstreamList::ComputeDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [name, info] : upstreams_) {
    digest = XXH64(name.data(), name.size(), digest);
    digest = XXH64(&info.store_revision, sizeof(info.store_revision), digest);
  }
  return digest;
}

}  // namespace pollenledge
