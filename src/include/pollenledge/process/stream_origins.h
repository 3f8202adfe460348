#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/stream_binding.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// What one attempt has sent of a stream, by the list of upstreams.
struct StreamPart {
  Fingerprint stream;
  StreamBinding binding;  ///< Of the stream.
  UpstreamId upstream;    ///< As listed when the attempt was sent.
  /// The version that the list showed for `upstream`.
  std::string software_version;
  /// By then the attempt's connection led to the process that sent the part.
  TimePoint connected_at;
};

/// A part that the process of another version may have sent.
struct ReplacedPart {
  StreamPart part;
  ForwardUpstreamInfo listed;  ///< What the list shows under its name now.
};

/// Tracks for which streams it isn't known yet which process of an upstream
/// sent their events.
///
/// A list of upstreams names the process that an upstream was when the list was
/// read. The upstream may since have started again under its name as another
/// version. A connection leads to one process for as long as it is open, so a
/// list that was read after the connection led there, and still names the same
/// process, confirms that this one sent the part.
///
/// Deterministic. Not thread-safe. Memory grows, up to `kMaxParts`, with the
/// streams that began since the list was last read.
class StreamOrigins {
 public:
  /// Number of parts that are kept. The oldest are dropped, and then count as
  /// confirmed.
  static constexpr std::size_t kMaxParts = 20'000;

  /// Adds a part that isn't confirmed.
  void Add(StreamPart part);
  /// Applies a list that was that of the store at `confirmed_at`. Forgets the
  /// parts that it confirms, and returns and forgets those of which it shows
  /// that another version may have sent them.
  std::vector<ReplacedPart> OnListed(
      const std::vector<ForwardUpstreamInfo>& list,
      const std::optional<TimePoint>& confirmed_at);
  /// Returns true unless a part of the stream may be another process's.
  bool IsConfirmed(const Fingerprint& stream) const {
    return parts_.count(stream) == 0;
  }
  /// The stream need not be confirmed any more.
  void Forget(const Fingerprint& stream) { parts_.erase(stream); }

 private:
  std::unordered_multimap<Fingerprint, StreamPart> parts_;
};

}  // namespace pollenledge
