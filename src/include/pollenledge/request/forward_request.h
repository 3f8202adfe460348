#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/request/fingerprint.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One segment of a prompt that other requests may share.
struct PromptSegment {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;

  friend bool operator==(const PromptSegment&, const PromptSegment&) = default;
};

/// The properties of a request that forwarding needs, decoded from its HTTP
/// head. The request itself is forwarded byte for byte.
struct ForwardSpec {
  std::string trace_id;  ///< The caller's id for this request, for logs.
  std::string host;
  std::string path;  ///< Without the query string.
  /// Of the request target and the body.
  Fingerprint content_fingerprint;
  /// Of the path and the body, if the target has a query as well: a caller may
  /// send the same request with another query each time.
  std::optional<Fingerprint> path_fingerprint;
  std::string api_key;
  std::string model;                  ///< Empty if the request names none.
  std::optional<Duration> time_left;  ///< Until the caller stops waiting.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_response_tokens = 0;
  /// The request states both token counts above.
  bool has_token_counts = false;
  /// The caller's estimate of the response's tokens.
  std::optional<std::int64_t> expected_response_tokens;
  /// The estimate was stated in a form that could not be parsed.
  bool expected_tokens_unreadable = false;
  std::vector<PromptSegment> prompt_segments;
  /// Id of the last event that the caller has received of the stream to resume.
  std::optional<std::int64_t> last_event_id;
  /// In a request to resume a stream, the `trace_id` of the caller's request
  /// that received the first event; empty if it is not stated.
  std::string first_attempt;
  /// The request came from another node, which has no path to the upstreams.
  bool is_relayed = false;
  /// The tables version of that node, by which it admitted the request; older
  /// ones must not decide about it. 0 if it is not stated.
  std::uint64_t min_tables_version = 0;
  /// How often that node allows the request to be run. Empty if it is not
  /// stated.
  std::optional<int> max_runs;

  friend bool operator==(const ForwardSpec&, const ForwardSpec&) = default;
};

/// Sets the fingerprints of a request with this target, whose path `spec` has,
/// and this body.
void SetContentFingerprints(const std::string& target, const std::string& body,
                            ForwardSpec* spec);

/// Returns the ids of the segments of the request's prompt that other requests
/// may share: all but the last one.
std::vector<std::uint64_t> SharedSegmentIds(const ForwardSpec& spec);

/// Identifies one request within the process that forwards it.
using ForwardId = std::uint64_t;

/// Outcome of one attempt to forward a request.
enum class ForwardOutcome : std::uint8_t {
  kCompleted,  ///< The complete response was read.
  kNotSent,    ///< No byte of the request reached the upstream.
  kRejected,   ///< The upstream reported that it did not run the request.
  kFailed,     ///< The upstream ran the request and responded with a failure.
  kConnectionLost,   ///< The connection was lost after the first byte was sent.
  kInvalidResponse,  ///< The response was malformed or truncated.
  kCancelled,  ///< Cancelled by this node because the caller disconnected.
};

/// Returns the name of `outcome` as used in logs.
const char* ToString(ForwardOutcome outcome);

/// Load of an upstream, as reported by the upstream.
struct ReportedLoad {
  int running = 0;  ///< Requests that run now.
  int waiting = 0;  ///< Requests queued at the upstream.
  int slots = 0;    ///< Requests that it can run concurrently.
  /// Current service time in percent of the usual service time.
  int service_time_percent = 100;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// Properties of one upstream, as published by the platform.
struct ForwardUpstreamInfo {
  UpstreamId id;
  std::string address;  ///< IP address and port.
  std::string service;
  std::string domain;
  /// Version of the software that this incarnation runs; empty if it states
  /// none.
  std::string software_version;
  int slots = 1;
  bool leaving = false;
  bool reclaimable = false;
  /// Time until the upstream is removed; unset if unknown.
  std::optional<Duration> time_until_removal;
  /// Time until the upstream reaches full speed.
  Duration remaining_warmup{0};
  /// Revision of its entry in the store.
  std::int64_t store_revision = 0;

  friend bool operator==(const ForwardUpstreamInfo&,
                         const ForwardUpstreamInfo&) = default;
};

}  // namespace pollenledge
