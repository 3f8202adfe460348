#include "pollenledge/request/forward_request.h"

namespace pollenledge {

const char* ToString(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kCompleted:
      return "completed";
    case ForwardOutcome::kNotSent:
      return "not_sent";
    case ForwardOutcome::kRejected:
      return "refused";
    case ForwardOutcome::kFailed:
      return "failed";
    case ForwardOutcome::kConnectionLost:
      return "broken";
    case ForwardOutcome::kInvalidResponse:
      return "invalid";
    case ForwardOutcome::kCancelled:
      return "moved";
  }
  return "?";
}

}  // namespace pollenledge
