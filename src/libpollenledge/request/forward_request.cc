#include "pollenledge/request/forward_request.h"

namespace pollenledge {

const char* ToString(ForwardEnd outcome) {
  switch (outcome) {
    case ForwardEnd::kCompleted:
      return "completed";
    case ForwardEnd::kNotSent:
      return "not_sent";
    case ForwardEnd::kRefused:
      return "refused";
    case ForwardEnd::kFailed:
      return "failed";
    case ForwardEnd::kBroken:
      return "broken";
    case ForwardEnd::kInvalid:
      return "invalid";
    case ForwardEnd::kMoved:
      return "moved";
  }
  return "?";
}

}  // namespace pollenledge
