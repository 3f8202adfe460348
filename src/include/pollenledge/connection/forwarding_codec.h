#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/connection/prompt_cache_events.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/upstream_signals.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// The values that the node adds to a request that it forwards.
struct AttemptFields {
  UpstreamId upstream;
  std::string customer;  ///< Empty if the route is public.
  int priority = 5;
  Duration time_left{0};
  std::optional<std::int64_t> last_event_id;

  friend bool operator==(const AttemptFields&, const AttemptFields&) = default;
};

/// The values that change in a request that is relayed to another node.
struct RelayFields {
  Duration time_left{0};
  std::optional<std::int64_t> last_event_id;
  std::string first_attempt;             ///< Empty if no stream is resumed.
  std::uint64_t min_tables_version = 0;  ///< As in `ForwardSpec`.
  int max_runs = 1;                      ///< As in `ForwardSpec`.

  friend bool operator==(const RelayFields&, const RelayFields&) = default;
};

/// Information decoded from the head of an upstream's response.
struct ResponseInfo {
  std::optional<std::string> trace_id;  ///< Of the request that it responds to.
  bool is_signed = false;               ///< Carries the upstream's signature.
  bool not_run = false;  ///< The upstream did not run the request.
  /// The response has a content encoding, so that its body is not the
  /// upstream's own bytes.
  bool is_encoded = false;
  UpstreamSignals signals;

  /// Returns true if the response has the id of a request. An empty id names
  /// none.
  bool names_request() const {
    return trace_id.has_value() && !trace_id->empty();
  }

  friend bool operator==(const ResponseInfo&, const ResponseInfo&) = default;
};

/// Translates between the system's types and the HTTP headers that a platform
/// uses towards callers and upstreams. All functions are pure.
struct ForwardingCodec {
  /// Decodes a caller's request.
  std::function<Result<ForwardSpec>(const HttpHead& request)> decode_request;
  /// Returns the header fields to send to the upstream, without hop-by-hop
  /// fields and without a content length.
  std::function<std::vector<HttpField>(const HttpHead& request,
                                       const AttemptFields& fields)>
      encode_attempt;
  /// Returns the header fields to send to another node: those of the caller's
  /// request, so that the other node handles it as if it had received it.
  std::function<std::vector<HttpField>(const HttpHead& request,
                                       const RelayFields& fields)>
      encode_relay;
  /// Decodes the head of an upstream's response.
  std::function<ResponseInfo(const HttpHead& response)> decode_response;
  /// Returns the header fields of a response that the node generates itself.
  std::function<std::vector<HttpField>(const HttpHead& request,
                                       Duration retry_after)>
      encode_local_response;
  /// Path under which an upstream reports about itself.
  std::string report_path;
  /// Returns the incarnation that such a report states; empty if it states
  /// none.
  std::function<std::optional<std::uint64_t>(const std::string& report)>
      decode_incarnation;
  /// Returns the call for an upstream's cache events from number `since` on,
  /// for which the upstream waits at most `wait`. Has method, target and
  /// fields other than the host.
  std::function<HttpHead(std::uint64_t since, Duration wait)>
      encode_cache_events_call;
  /// Decodes the body of the response; empty if it is malformed.
  std::function<std::optional<PromptCacheEvents>(const std::string& body)>
      decode_cache_events;
};

}  // namespace pollenledge
