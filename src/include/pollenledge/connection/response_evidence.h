#pragma once

#include <cstdint>
#include <optional>

#include "pollenledge/connection/http_reader.h"

namespace pollenledge {

/// What marks the end of a response's body.
enum class BodyFraming : std::uint8_t {
  kNone,           ///< No response was received, or it has no body.
  kLength,         ///< Its length.
  kChunks,         ///< The last chunk.
  kConnectionEnd,  ///< The end of the connection.
};

/// Returns the name of `framing` as used in logs.
const char* ToString(BodyFraming framing);

/// Returns what marks the end of the body of the response with this head. The
/// method of the request is not known, so a response to HEAD counts as any
/// other.
BodyFraming FramingOf(const HttpHead& response);

/// What shows that a response belongs to the request of its exchange and is
/// whole.
struct ResponseEvidence {
  BodyFraming framing = BodyFraming::kNone;
  bool names_request = false;  ///< It has the request's id.
  /// Number of requests that its connection had carried before.
  int earlier_requests = 0;
  int status = 0;  ///< 0 if there was no response.
  /// Status of the upstream's report about itself, if the call for it is all
  /// that its connection had carried before; empty otherwise.
  std::optional<int> report_status;

  friend bool operator==(const ResponseEvidence&,
                         const ResponseEvidence&) = default;
};

/// Returns true if the response belongs to the request of its exchange: it
/// names the request, or nothing else can have been answered on its connection.
/// Any other may be the late copy of a response to an earlier request.
///
/// After a report that was read whole, only its own late copy can come before
/// the response to the request, and that has the report's status.
bool BelongsToRequest(const ResponseEvidence& response);

}  // namespace pollenledge
