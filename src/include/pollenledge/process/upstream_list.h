#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An upstream that left the list.
struct RemovedUpstream {
  std::string name;
  std::int64_t revision = 0;  ///< Of the store, when it was missed.

  friend bool operator==(const RemovedUpstream&,
                         const RemovedUpstream&) = default;
};

/// How a list of upstreams differs from what it was at an older revision.
struct UpstreamChanges {
  /// The list is that of this revision of the store once these are applied.
  std::int64_t to = 0;
  std::vector<ForwardUpstreamInfo> changed;
  std::vector<RemovedUpstream> removed;
  /// Of the whole list at `to`; tells whether two lists are the same.
  std::uint64_t digest = 0;
  /// Since the list was read from the store. Nothing if there is more to tell,
  /// or the list was never read.
  std::optional<Duration> age;

  friend bool operator==(const UpstreamChanges&,
                         const UpstreamChanges&) = default;
};

/// The list of upstreams as one node knows it, read from the store or told by
/// a peer that reads it.
///
/// A node that follows a peer says up to which revision it knows the list, and
/// is told what changed since. A digest shows whether it then knows the same;
/// if not, it reads the store itself. Deterministic. Not thread-safe. Memory
/// grows with the upstreams and `kRemovalsKept`.
class UpstreamList {
 public:
  static constexpr std::size_t kRemovalsKept = 1024;
  /// Upstreams that one message tells of at most.
  static constexpr std::size_t kMostChanges = 48;

  /// The list as it was read, no earlier than `read_at`. Returns false if an
  /// older revision than the present one was read, which changes nothing.
  bool Replace(std::vector<ForwardUpstreamInfo> list, std::int64_t revision,
               std::optional<TimePoint> read_at);

  /// What a node that knows the list up to `revision` is to be told. Nothing
  /// if it knows as much, or if what left since is no longer remembered.
  std::optional<UpstreamChanges> ChangesSince(std::int64_t revision,
                                              TimePoint now) const;
  /// Takes in what a peer told. `asked_at` is when it was asked. Returns true
  /// if the list changed.
  bool Apply(const UpstreamChanges& changes, TimePoint asked_at);

  std::vector<ForwardUpstreamInfo> upstreams() const;
  std::int64_t revision() const { return revision_; }
  /// When the list was surely that of the store.
  const std::optional<TimePoint>& proven_at() const { return proven_at_; }

 private:
  void Remove(const std::string& name, std::int64_t revision);
  void Prove(TimePoint at);
  std::uint64_t Digest() const;

  std::map<std::string, ForwardUpstreamInfo> upstreams_;  ///< By name.
  std::map<std::string, std::int64_t> removals_;  ///< Revision, by name.
  /// Removals up to this revision were forgotten.
  std::int64_t forgotten_revision_ = 0;
  std::int64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  std::optional<TimePoint> proven_at_;
};

}  // namespace pollenledge
