#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/request/fingerprint.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Identifies one run of a node's process. A restarted process has a new
/// incarnation, so that state reported about the old one does not apply to it.
struct NodeId {
  std::string name;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const NodeId&, const NodeId&) = default;
};

/// Returns the name of a node's process as stored in the key-value service.
std::string ProcessName(const NodeId& id);

/// Identifies one accepted request uniquely over all nodes and restarts.
struct RequestId {
  NodeId node;  ///< The entry that accepted it.
  std::uint64_t sequence = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Formats `id` as `node.incarnation.sequence`, the form that callers see.
std::string ToString(const RequestId& id);
/// Parses the output of `ToString`.
Result<RequestId> ParseRequestId(const std::string& text);

/// Identifies one run of one upstream instance.
struct UpstreamId {
  std::string name;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const UpstreamId&, const UpstreamId&) = default;
};

/// The complete response was received.
struct Completed {
  int http_status = 200;
  friend bool operator==(const Completed&, const Completed&) = default;
};

/// No attempt ran: none was sent, or the upstream rejected each attempt before
/// execution in a way that its contract defines.
struct NotRun {
  int http_status = 503;
  std::string problem_type;  ///< Last path segment of the problem type URI.
  std::string detail;        ///< Human-readable.
  Duration retry_after{0};   ///< 0 if a retry does not help.
  friend bool operator==(const NotRun&, const NotRun&) = default;
};

/// An attempt was sent and its outcome was not observed: it may have run.
struct UnknownOutcome {
  std::string detail;
  Duration retry_after{0};
  friend bool operator==(const UnknownOutcome&,
                         const UnknownOutcome&) = default;
};

/// Outcome of a request. The three cases are never substituted for one another.
using Outcome = std::variant<Completed, NotRun, UnknownOutcome>;

/// Returns the HTTP status for a request that ended as `outcome` without a
/// response of an upstream: the status of the rejection, or 502 if it may have
/// run.
int StatusWithoutResponse(const Outcome& outcome);

/// Outcome of one attempt, as observed on its connection.
enum class AttemptOutcome : std::uint8_t {
  kCompleted,       ///< The complete response was read.
  kNotSent,         ///< No byte of the request left this process.
  kRejected,        ///< Rejected before execution, by the upstream's contract.
  kConnectionLost,  ///< The connection was lost after the first byte was sent.
  kCloseDelimited,  ///< Only an orderly close ended the body: it may be cut.
  kInterrupted,     ///< Cancelled by this node to fail the stream over.
  kCallerDisconnected,  ///< Cancelled because the caller disconnected.
};

/// Returns true if an attempt with this outcome may have run the request.
bool MayHaveRun(AttemptOutcome outcome);
/// Returns the name of `outcome` as used in logs and the timeline.
const char* ToString(AttemptOutcome outcome);

/// A caller's request after parsing and authentication.
struct RequestSpec {
  std::string customer;
  WorkKind kind = WorkKind::kModel;
  std::string model;         ///< Model routes only.
  std::string route;         ///< Name of the route; service routes only.
  std::optional<Rank> rank;  ///< As requested; defaults to the route's rank.
  bool stream = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  /// Hashes of increasingly long prefixes of the prompt.
  std::vector<std::uint64_t> prefix_hashes;
  Fingerprint fingerprint;  ///< Of customer, model and body.
  std::string idempotency_key;
  std::string body_sha256;

  friend bool operator==(const RequestSpec&, const RequestSpec&) = default;
};

}  // namespace pollenledge

template <>
struct std::hash<pollenledge::RequestId> {
  std::size_t operator()(const pollenledge::RequestId& id) const noexcept {
    return std::hash<std::string>()(id.node.name) ^
           (id.node.incarnation * 0x9e3779b97f4a7c15ULL) ^ id.sequence;
  }
};

template <>
struct std::hash<pollenledge::UpstreamId> {
  std::size_t operator()(const pollenledge::UpstreamId& id) const noexcept {
    return std::hash<std::string>()(id.name) ^
           (id.incarnation * 0x9e3779b97f4a7c15ULL);
  }
};
