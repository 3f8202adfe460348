#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/request/fingerprint.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One part of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// What forwarding needs to know of a request, decoded from its head. The
/// request itself is forwarded byte for byte.
struct ForwardSpec {
  std::string trace_id;  ///< The caller's id of this request, for logs.
  std::string host;
  std::string path;     ///< Without the query.
  Fingerprint content;  ///< Of the target and the body.
  std::string api_key;
  std::optional<Duration> time_left;  ///< How long the caller will wait.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_answer_tokens = 0;
  bool states_tokens = false;  ///< The two counts above were sent.
  std::vector<PromptPart> prompt_parts;
  /// Number of the last event that the caller has of a stream it resumes.
  std::optional<std::int64_t> last_event_id;

  friend bool operator==(const ForwardSpec&, const ForwardSpec&) = default;
};

/// Names one request within the process that forwards it.
using ForwardId = std::uint64_t;

/// How one attempt to forward a request ended.
enum class ForwardEnd : std::uint8_t {
  kCompleted,  ///< The whole answer was read.
  kNotSent,    ///< No byte of the request reached the upstream.
  kRefused,    ///< The upstream said that it did not run the request.
  kFailed,     ///< The upstream ran the request and answered with a failure.
  kBroken,     ///< The connection ended after the first byte was sent.
  kInvalid,    ///< The upstream sent what is no answer, or one without end.
  kMoved,      ///< The upstream stopped the stream because it was moved.
};

/// The name of `end` as it stands in logs.
const char* ToString(ForwardEnd end);

/// Requests in progress at an upstream as it reported them.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes there now, in percent of what is usual.
  int work_percent = 100;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// What is told of one upstream by the platform.
struct ForwardUpstreamInfo {
  UpstreamId id;
  std::string address;  ///< IP address and port.
  std::string service;
  std::string domain;
  int slots = 1;
  bool leaving = false;
  bool reclaimable = false;
  std::optional<Duration> leaves_in;  ///< Time until it is gone, if known.
  Duration warmup_left{0};            ///< How long it is still slow.
  std::int64_t revision = 0;          ///< Of its entry in the store.

  friend bool operator==(const ForwardUpstreamInfo&,
                         const ForwardUpstreamInfo&) = default;
};

}  // namespace pollenledge
