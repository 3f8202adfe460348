#pragma once

#include <compare>
#include <string>

#include "pollenledge/request/fingerprint.h"

namespace pollenledge {

/// What a stream is bound to from its first event on. It may be resumed only at
/// upstreams with the same values, because the output of two software versions
/// does not fit together.
struct StreamBinding {
  std::string service;
  std::string software_version;  ///< Empty if the upstream states none.

  friend auto operator<=>(const StreamBinding&, const StreamBinding&) = default;
};

/// The binding of one stream, as it is told to peers and written to the store.
struct StreamRecord {
  /// Of the id of the caller's attempt that received the first event.
  Fingerprint stream;
  StreamBinding binding;

  friend bool operator==(const StreamRecord&, const StreamRecord&) = default;
};

}  // namespace pollenledge
