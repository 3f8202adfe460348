#include "pollenledge/process/stream_versions.h"

#include <algorithm>
#include <iterator>

namespace pollenledge {
namespace {

std::set<std::string> Added(const std::set<std::string>& before,
                            const std::set<std::string>& after) {
  std::set<std::string> added;
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                      std::inserter(added, added.end()));
  return added;
}

}  // namespace

// Versions.

std::set<std::string> StreamVersions::OnListed(
    const std::vector<ForwardUpstreamInfo>& list, TimePoint now) {
  const std::set<std::string> mixed_before = MixedServices(now);
  for (auto& [version, state] : versions_) {
    // It was in the list until now.
    if (state.listed) state.last_seen = now;
    state.listed = false;
  }
  std::set<std::string> stating;
  for (const ForwardUpstreamInfo& upstream : list) {
    if (!upstream.software_version.empty()) stating.insert(upstream.service);
  }
  for (const ForwardUpstreamInfo& upstream : list) {
    const bool is_odd = upstream.software_version.empty() &&
                        stating.count(upstream.service) > 0;
    if (is_odd) continue;
    VersionState& state =
        versions_[{upstream.service, upstream.software_version}];
    state.last_seen = now;
    state.listed = true;
  }
  std::erase_if(versions_, [now](const auto& entry) {
    return !entry.second.recorded &&
           now - entry.second.last_seen > kMaxStreamLifetime;
  });
  return Added(mixed_before, MixedServices(now));
}

std::set<std::string> StreamVersions::OnRecordsRead(
    const std::vector<StreamBinding>& records, TimePoint now) {
  const std::set<std::string> mixed_before = MixedServices(now);
  for (auto& [version, state] : versions_) state.recorded = false;
  for (const StreamBinding& record : records) {
    const auto [version, is_new] = versions_.try_emplace(record);
    version->second.recorded = true;
    // Its upstreams may have left just before this node started.
    if (is_new) version->second.last_seen = now;
  }
  records_read_ = true;
  return Added(mixed_before, MixedServices(now));
}

void StreamVersions::OnRouteMoved(const std::set<std::string>& services,
                                  TimePoint now) {
  std::erase_if(moved_until_,
                [now](const auto& entry) { return entry.second <= now; });
  for (const std::string& service : services) {
    moved_until_[service] = now + kMaxStreamLifetime;
  }
}

std::optional<std::string> StreamVersions::OnlyVersion(
    const std::string& service, TimePoint now) const {
  if (!records_read_) return std::nullopt;
  const auto moved = moved_until_.find(service);
  if (moved != moved_until_.end() && now < moved->second) return std::nullopt;
  std::optional<std::string> only;
  for (auto entry = versions_.lower_bound({service, ""});
       entry != versions_.end() && entry->first.service == service; ++entry) {
    const VersionState& state = entry->second;
    const bool in_play =
        state.listed || now - state.last_seen <= kMaxStreamLifetime;
    if (!in_play) continue;
    if (only.has_value()) return std::nullopt;
    only = entry->first.software_version;
  }
  return only;
}

std::set<std::string> StreamVersions::MixedServices(TimePoint now) const {
  std::set<std::string> mixed;
  for (const auto& [version, state] : versions_) {
    if (records_read_ && IsMixed(version.service, now))
      mixed.insert(version.service);
  }
  return mixed;
}

bool StreamVersions::StatesVersions(const std::string& service) const {
  const auto stated = versions_.upper_bound({service, ""});
  return stated != versions_.end() && stated->first.service == service;
}

bool StreamVersions::IsRecorded(const StreamBinding& version) const {
  const auto found = versions_.find(version);
  return found != versions_.end() && found->second.recorded;
}

std::vector<StreamBinding> StreamVersions::Unrecorded(
    const std::set<std::string>& services) const {
  std::vector<StreamBinding> unrecorded;
  if (!records_read_) return unrecorded;
  for (const auto& [version, state] : versions_) {
    if (state.listed && !state.recorded && services.count(version.service) > 0)
      unrecorded.push_back(version);
  }
  return unrecorded;
}

std::vector<StreamBinding> StreamVersions::Expired(TimePoint now) const {
  std::vector<StreamBinding> expired;
  for (const auto& [version, state] : versions_) {
    if (state.recorded && !state.listed &&
        now - state.last_seen > kVersionRecordLifetime)
      expired.push_back(version);
  }
  return expired;
}

// Streams.

Fingerprint StreamVersions::KeyOf(const std::string& first_attempt) {
  return ComputeFingerprint({"stream", first_attempt});
}

void StreamVersions::Bind(const StreamRecord& record, TimePoint now) {
  Insert(record, false, now);
  bound_since_told_ = true;
}

void StreamVersions::Learn(const StreamRecord& record, TimePoint now) {
  // A stream at another node shows that this version is in use, also if this
  // node's list does not have it yet.
  versions_[record.binding].last_seen = now;
  Insert(record, true, now);
}

void StreamVersions::Insert(const StreamRecord& record, bool told,
                            TimePoint now) {
  bindings_[record.stream] = {record.binding, now, false, told};
  by_age_.emplace(now, record.stream);
  DropOldStreams(now);
}

std::optional<StreamBinding> StreamVersions::Find(
    const Fingerprint& stream) const {
  const auto found = bindings_.find(stream);
  if (found == bindings_.end()) return std::nullopt;
  return found->second.binding;
}

void StreamVersions::OnCompleted(const Fingerprint& stream) {
  const auto found = bindings_.find(stream);
  if (found != bindings_.end()) found->second.completed = true;
}

void StreamVersions::OnRecordsLost() {
  for (auto& [key, stream] : bindings_) stream.told = false;
  bound_since_told_ = true;
}

std::vector<StreamRecord> StreamVersions::TakeUntold(TimePoint now) {
  DropOldStreams(now);
  std::vector<StreamRecord> untold;
  const std::set<std::string> mixed = MixedServices(now);
  if (mixed.empty()) return untold;
  bound_since_told_ = false;
  for (auto& [key, stream] : bindings_) {
    if (stream.told || stream.completed) continue;
    if (mixed.count(stream.binding.service) == 0) continue;
    stream.told = true;
    untold.push_back({key, stream.binding});
  }
  return untold;
}

void StreamVersions::DropOldStreams(TimePoint now) {
  while (!by_age_.empty()) {
    const auto [bound_at, key] = *by_age_.begin();
    const bool is_old = now - bound_at > kMaxStreamLifetime;
    if (!is_old && by_age_.size() <= kMaxBindings) return;
    by_age_.erase(by_age_.begin());
    const auto found = bindings_.find(key);
    if (found != bindings_.end() && found->second.bound_at == bound_at)
      bindings_.erase(found);
  }
}

}  // namespace pollenledge
