#include "pollenledge/request/request.h"

#include <charconv>

namespace pollenledge {
namespace {

bool ParseNumber(const std::string& text, std::uint64_t* number) {
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && rest == end && !text.empty();
}

}  // namespace

std::string ProcessName(const NodeId& id) {
  return id.name + "." + std::to_string(id.incarnation);
}

std::string ToString(const RequestId& id) {
  return ProcessName(id.node) + "." + std::to_string(id.sequence);
}

Result<RequestId> ParseRequestId(const std::string& text) {
  const std::size_t sequence_dot = text.rfind('.');
  const std::size_t node_dot =
      sequence_dot == std::string::npos || sequence_dot == 0
          ? std::string::npos
          : text.rfind('.', sequence_dot - 1);
  RequestId id;
  if (node_dot == std::string::npos || node_dot == 0 ||
      !ParseNumber(text.substr(node_dot + 1, sequence_dot - node_dot - 1),
                   &id.node.incarnation) ||
      !ParseNumber(text.substr(sequence_dot + 1), &id.sequence)) {
    return Error{ErrorCode::kInvalidArgument,
                 "request id \"" + text +
                     "\" does not have the form node.incarnation.sequence"};
  }
  id.node.name = text.substr(0, node_dot);
  return id;
}

int StatusWithoutResponse(const Outcome& outcome) {
  constexpr int kStatusBadGateway = 502;
  const auto* not_run = std::get_if<NotRun>(&outcome);
  return not_run == nullptr ? kStatusBadGateway : not_run->http_status;
}

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kNotSent &&
         outcome != AttemptOutcome::kRejected;
}

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      return "completed";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kRejected:
      return "refused";
    case AttemptOutcome::kConnectionLost:
      return "broken";
    case AttemptOutcome::kCloseDelimited:
      return "close_delimited";
    case AttemptOutcome::kInterrupted:
      return "interrupted";
    case AttemptOutcome::kCallerDisconnected:
      return "caller_left";
  }
  return "?";
}

}  // namespace pollenledge
