#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/stream_binding.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Tracks which software versions of each service may have begun a stream that
/// is resumed now, and which version began each stream that this node knows.
///
/// A service with one such version is uniform: each of its streams can be
/// resumed without knowing more about it. A service with several is mixed: a
/// stream is resumed only if its binding is known. Bindings of a mixed service
/// are told to peers and written to the store, so that they outlive the
/// processes of all nodes.
///
/// The store also has a record of each version, written before the version gets
/// its first stream. A node that has just started thus knows of a version whose
/// upstreams have left in the meantime.
///
/// Deterministic. Not thread-safe. Memory grows with the versions and, up to
/// `kMaxBindings`, with the streams of the last `kMaxStreamLifetime`.
class StreamVersions {
 public:
  /// Longest time from the first event of a stream until it is resumed: several
  /// times the timeout of a route, since callers retry within their deadlines.
  static constexpr Duration kMaxStreamLifetime = std::chrono::seconds(60);
  /// Time after which the record of a version without upstreams is removed. By
  /// then no node relies on it any more.
  static constexpr Duration kVersionRecordLifetime = 2 * kMaxStreamLifetime;
  /// Number of streams whose bindings are kept; the oldest are dropped first.
  static constexpr std::size_t kMaxBindings = 20'000;

  // Versions.

  /// Applies a list of upstreams. Returns the services that became mixed. An
  /// upstream that states no version while others of its service do counts as
  /// none: it gets no streams that can be resumed, see `StatesVersions`.
  std::set<std::string> OnListed(const std::vector<ForwardUpstreamInfo>& list,
                                 TimePoint now);
  /// Replaces the set of versions that the store has a record of. Returns the
  /// services that became mixed.
  std::set<std::string> OnRecordsRead(const std::vector<StreamBinding>& records,
                                      TimePoint now);
  /// Records that streams may have begun at several services that look like one
  /// to their callers, because a route now leads elsewhere.
  void OnRouteMoved(const std::set<std::string>& services, TimePoint now);

  /// Returns the only version that may have begun a stream of `service`; empty
  /// if there are several or if the store's records were not read yet.
  std::optional<std::string> OnlyVersion(const std::string& service,
                                         TimePoint now) const;
  bool IsMixed(const std::string& service, TimePoint now) const {
    return !OnlyVersion(service, now).has_value();
  }
  /// True if upstreams of `service` state versions.
  bool StatesVersions(const std::string& service) const;
  /// True if the store has a record of this version.
  bool IsRecorded(const StreamBinding& version) const;
  /// Returns the listed versions of these services that have no record yet;
  /// none before the records were read.
  std::vector<StreamBinding> Unrecorded(
      const std::set<std::string>& services) const;
  /// Returns the recorded versions that had no upstream for
  /// `kVersionRecordLifetime`.
  std::vector<StreamBinding> Expired(TimePoint now) const;

  // Streams.

  /// Returns the key under which a stream is bound. `first_attempt` is the id
  /// of the caller's attempt that received the first event.
  static Fingerprint KeyOf(const std::string& first_attempt);

  /// Binds a stream, or confirms its binding.
  void Bind(const StreamRecord& record, TimePoint now);
  /// Applies a binding that a peer or the store knows. It replaces an earlier
  /// one: the node that began the stream may have found that it was wrong.
  void Learn(const StreamRecord& record, TimePoint now);
  /// Returns the binding of a stream; empty if it is not known.
  std::optional<StreamBinding> Find(const Fingerprint& stream) const;
  /// The stream was delivered completely, so it need not be told any more.
  void OnCompleted(const Fingerprint& stream);
  /// The store has lost its records of streams: tells all known ones again.
  void OnRecordsLost();
  /// Returns the streams of mixed services that were not told yet, and drops
  /// what is older than `kMaxStreamLifetime`.
  std::vector<StreamRecord> TakeUntold(TimePoint now);

  /// True if a stream of a mixed service was bound that `TakeUntold` has not
  /// returned yet.
  bool HasUntold(TimePoint now) const {
    return bound_since_told_ && !MixedServices(now).empty();
  }

  std::size_t binding_count() const { return bindings_.size(); }

 private:
  struct VersionState {
    TimePoint last_seen;    ///< In the list or as the start of a stream.
    bool listed = false;    ///< In the last list.
    bool recorded = false;  ///< The store has a record of it.
  };
  struct KnownStream {
    StreamBinding binding;
    TimePoint bound_at;
    bool completed = false;
    bool told = false;  ///< Peers and the store were told, or told this node.
  };

  std::set<std::string> MixedServices(TimePoint now) const;
  void Insert(const StreamRecord& record, bool told, TimePoint now);
  void DropOldStreams(TimePoint now);

  bool records_read_ = false;
  std::map<StreamBinding, VersionState> versions_;
  std::map<std::string, TimePoint> moved_until_;  ///< By service.
  std::unordered_map<Fingerprint, KnownStream> bindings_;
  /// The streams by the time at which they were bound. Streams that were bound
  /// again later have more than one entry.
  std::multimap<TimePoint, Fingerprint> by_age_;
  bool bound_since_told_ = false;
};

}  // namespace pollenledge
