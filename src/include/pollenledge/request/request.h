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

/// Names one start of one of the system's own processes. A restarted process
/// has a new incarnation, so that nothing said of the old one binds it.
struct NodeId {
  std::string name;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const NodeId&, const NodeId&) = default;
};

/// Names one process of a node, as it stands in the store.
std::string ProcessName(const NodeId& id);

/// Names one accepted request, uniquely over all nodes and restarts.
struct RequestId {
  NodeId node;  ///< The entry that accepted it.
  std::uint64_t sequence = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Renders `id` as `node.incarnation.sequence`, the form that callers see.
std::string ToString(const RequestId& id);
/// Reads the form that `ToString` writes.
Result<RequestId> ParseRequestId(const std::string& text);

/// Names one start of one upstream instance.
struct UpstreamId {
  std::string name;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const UpstreamId&, const UpstreamId&) = default;
};

/// The answer arrived whole.
struct Completed {
  int http_status = 200;
  friend bool operator==(const Completed&, const Completed&) = default;
};

/// No attempt ran: none was sent, or each that was sent was refused before
/// execution in a way that the upstream's contract defines.
struct NotRun {
  int http_status = 503;
  std::string type;         ///< Last part of the problem type.
  std::string detail;       ///< For people.
  Duration retry_after{0};  ///< When coming back helps; 0 if it does not.
  friend bool operator==(const NotRun&, const NotRun&) = default;
};

/// An attempt was sent and its end was not seen: it may or may not have run.
struct UnknownOutcome {
  std::string detail;
  Duration retry_after{0};
  friend bool operator==(const UnknownOutcome&,
                         const UnknownOutcome&) = default;
};

/// How a request ended. The three cases never stand in for one another.
using Outcome = std::variant<Completed, NotRun, UnknownOutcome>;

/// How one attempt ended, as the connection saw it.
enum class AttemptEnd : std::uint8_t {
  kCompleted,    ///< The whole answer was read.
  kNotSent,      ///< No byte of the request left this process.
  kRefused,      ///< Refused before execution, by the upstream's contract.
  kBroken,       ///< Lost after the first byte was sent.
  kInterrupted,  ///< Stopped by this node, to move the stream.
  kCallerLeft,   ///< Stopped because the caller closed its connection.
};

/// The name of `end` as it stands in logs and the time line.
const char* ToString(AttemptEnd end);

/// What a caller asks for, after parsing and authentication.
struct RequestSpec {
  std::string customer;
  WorkKind kind = WorkKind::kModel;
  std::string model;         ///< Model routes.
  std::string route;         ///< Service routes: the route's name.
  std::optional<Rank> rank;  ///< As asked; the route decides if absent.
  bool stream = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;  ///< Of growing prompt prefixes.
  Fingerprint fingerprint;                   ///< Of customer, model and body.
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
