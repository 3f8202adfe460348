#include "pollenledge/process/upstream_list.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

/// One change and its store revision.
struct Change {
  std::int64_t revision = 0;
  /// Null if the upstream was removed.
  const ForwardUpstreamInfo* changed = nullptr;
  const std::string* removed = nullptr;  ///< Name of the removed upstream.
};

/// Keeps the oldest `kMaxChangesPerMessage` changes and returns the revision
/// that they reach. Changes of one revision stay together.
std::int64_t TruncateToMessage(std::vector<Change>* changes) {
  const auto by_revision = [](const Change& a, const Change& b) {
    return a.revision < b.revision;
  };
  std::sort(changes->begin(), changes->end(), by_revision);
  std::size_t count = UpstreamList::kMostChanges;
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
    if (replaced.count(name) == 0) Remove(name, revision);
  }
  upstreams_ = std::move(replaced);
  revision_ = revision;
  digest_ = Digest();
  if (read_at.has_value()) Prove(*read_at);
  return true;
}

void UpstreamList::Remove(const std::string& name, std::int64_t revision) {
  removals_[name] = revision;
  if (removals_.size() <= kRemovalsKept) return;
  const auto oldest = std::min_element(
      removals_.begin(), removals_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  forgotten_revision_ = oldest->second;
  removals_.erase(oldest);
}

void UpstreamList::Prove(TimePoint at) {
  if (!proven_at_.has_value() || at > *proven_at_) proven_at_ = at;
}

std::optional<UpstreamChanges> UpstreamList::ChangesSince(std::int64_t revision,
                                                          TimePoint now) const {
  if (revision > revision_ || revision < forgotten_revision_) {
    return std::nullopt;
  }
  std::vector<Change> changes;
  for (const auto& [name, info] : upstreams_) {
    if (info.revision > revision) changes.push_back({info.revision, &info});
  }
  for (const auto& [name, removed_at] : removals_) {
    if (removed_at > revision) changes.push_back({removed_at, nullptr, &name});
  }
  UpstreamChanges update;
  const bool complete = changes.size() <= kMostChanges;
  update.to = complete ? revision_ : TruncateToMessage(&changes);
  for (const Change& change : changes) {
    if (change.changed != nullptr) {
      update.changed.push_back(*change.changed);
    } else {
      update.removed.push_back({*change.removed, change.revision});
    }
  }
  update.digest = digest_;
  if (complete && proven_at_.has_value()) update.age = now - *proven_at_;
  return update;
}

bool UpstreamList::Apply(const UpstreamChanges& changes, TimePoint queried_at) {
  if (changes.to < revision_) return false;
  for (const ForwardUpstreamInfo& info : changes.changed) {
    removals_.erase(info.id.name);
    upstreams_[info.id.name] = info;
  }
  for (const RemovedUpstream& removed : changes.removed) {
    const auto found = upstreams_.find(removed.name);
    const bool is_newer =
        found != upstreams_.end() && found->second.revision > removed.revision;
    if (found == upstreams_.end() || is_newer) continue;
    upstreams_.erase(found);
    Remove(removed.name, removed.revision);
  }
  revision_ = changes.to;
  digest_ = Digest();
  if (changes.age.has_value() && changes.digest == digest_) {
    Prove(queried_at - *changes.age);
  }
  return !changes.changed.empty() || !changes.removed.empty();
}

std::vector<ForwardUpstreamInfo> UpstreamList::upstreams() const {
  std::vector<ForwardUpstreamInfo> list;
  list.reserve(upstreams_.size());
  for (const auto& [name, info] : upstreams_) list.push_back(info);
  return list;
}

std::uint64_t UpstreamList::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [name, info] : upstreams_) {
    digest = XXH64(name.data(), name.size(), digest);
    digest = XXH64(&info.revision, sizeof(info.revision), digest);
  }
  return digest;
}

}  // namespace pollenledge
