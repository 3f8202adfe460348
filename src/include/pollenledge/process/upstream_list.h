#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An upstream that was removed from the list.
struct RemovedUpstream {
  std::string name;
  std::int64_t revision = 0;  ///< Store revision at which it was found missing.

  friend bool operator==(const RemovedUpstream&,
                         const RemovedUpstream&) = default;
};

/// The difference between a list of upstreams and an older revision of it.
struct UpstreamChanges {
  /// Store revision of the list after these changes are applied.
  std::int64_t to_revision = 0;
  std::vector<ForwardUpstreamInfo> changed;
  std::vector<RemovedUpstream> removed;
  /// Hash of the complete list at the sender; tells whether two lists are
  /// equal.
  std::uint64_t digest = 0;
  /// Time since the list was last confirmed by a read of the store. Not set if
  /// more changes remain to be sent, or if the list was never read.
  std::optional<Duration> age;

  friend bool operator==(const UpstreamChanges&,
                         const UpstreamChanges&) = default;
};

/// The list of upstreams as one node knows it, either read from the store or
/// received from a peer that reads it.
///
/// A follower sends the revision of its list to a peer and receives the changes
/// since. A digest shows whether the two lists are then equal. If they are not,
/// the list is not confirmed, and the follower reads the store itself.
///
/// Deterministic. Not thread-safe. Memory grows with the number of upstreams
/// and with `kMaxRetainedRemovals`.
class UpstreamList {
 public:
  /// Number of removals that are remembered for followers.
  static constexpr std::size_t kMaxRetainedRemovals = 1024;
  /// Maximum number of changes in one message. Changes of the same revision are
  /// not split, so that a message can exceed this.
  static constexpr std::size_t kMaxChangesPerMessage = 48;

  /// Replaces the list by one that was read from the store, no earlier than
  /// `read_at`. Returns false and changes nothing if its revision is older than
  /// the current one.
  bool Replace(std::vector<ForwardUpstreamInfo> list, std::int64_t revision,
               std::optional<TimePoint> read_at);

  /// Returns the changes for a node that has the list at `revision`. Returns
  /// nothing if that revision is newer than this list, or if removals after it
  /// have been discarded.
  std::optional<UpstreamChanges> ChangesSince(std::int64_t revision,
                                              TimePoint now) const;
  /// Applies changes received from a peer in response to a query sent at
  /// `queried_at`. Returns false if `changes` is empty or older
  /// than this list.
  bool Apply(const UpstreamChanges& changes, TimePoint queried_at);

  std::vector<ForwardUpstreamInfo> upstreams() const;
  std::int64_t revision() const { return revision_; }
  /// The latest time at which the list is known to have been that of the store.
  const std::optional<TimePoint>& confirmed_at() const { return confirmed_at_; }

 private:
  void RecordRemoval(const std::string& name, std::int64_t revision);
  void RecordConfirmation(TimePoint at);
  std::uint64_t ComputeDigest() const;

  std::map<std::string, ForwardUpstreamInfo> upstreams_;  ///< By name.
  std::map<std::string, std::int64_t> removals_;  ///< Store revisions, by name.
  /// Removals up to this revision were discarded.
  std::int64_t discarded_removals_revision_ = 0;
  std::int64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace pollenledge
