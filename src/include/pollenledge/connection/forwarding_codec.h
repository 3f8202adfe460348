#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// What the node adds to a request that it forwards.
struct AttemptFields {
  UpstreamId upstream;
  std::string customer;  ///< Empty if the route is public.
  int priority = 5;
  Duration time_left{0};
  std::optional<std::int64_t> last_event_id;

  friend bool operator==(const AttemptFields&, const AttemptFields&) = default;
};

/// What the head of an upstream's answer says.
struct AnswerFacts {
  std::optional<std::string> trace_id;  ///< Of the request it belongs to.
  bool is_signed = false;               ///< Bears the upstream's own mark.
  bool not_run = false;     ///< The upstream did not run the request.
  bool is_encoded = false;  ///< The body is not the upstream's own bytes.
  std::optional<ReportedLoad> load;
  /// The upstream reported its load in a form that is not understood.
  bool load_is_unreadable = false;

  friend bool operator==(const AnswerFacts&, const AnswerFacts&) = default;
};

/// The headers of callers and upstreams, as one platform spells them. All
/// functions are pure.
struct ForwardingCodec {
  std::function<Result<ForwardSpec>(const HttpHead& request)> decode_request;
  /// The header fields to send to the upstream, without those of one
  /// connection and without a length.
  std::function<std::vector<HttpField>(const HttpHead& request,
                                       const AttemptFields& fields)>
      encode_attempt;
  std::function<AnswerFacts(const HttpHead& answer)> decode_answer;
  /// The header fields of an answer of the node's own.
  std::function<std::vector<HttpField>(const ForwardSpec& spec,
                                       Duration retry_after)>
      encode_own_answer;
};

}  // namespace pollenledge
