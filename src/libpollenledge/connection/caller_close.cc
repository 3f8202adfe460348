#include "pollenledge/connection/caller_close.h"

namespace pollenledge {

const char* ToString(CallerCloseCause cause) {
  switch (cause) {
    case CallerCloseCause::kResponded:
      return "responded";
    case CallerCloseCause::kRefused:
      return "refused";
    case CallerCloseCause::kCallerClosed:
      return "caller_closed";
    case CallerCloseCause::kIdleTimeout:
      return "idle_timeout";
    case CallerCloseCause::kHeadTimeout:
      return "head_timeout";
    case CallerCloseCause::kOutputTimeout:
      return "output_timeout";
    case CallerCloseCause::kTooMuchOutput:
      return "too_much_output";
    case CallerCloseCause::kEvicted:
      return "evicted";
    case CallerCloseCause::kNoRoom:
      return "no_room";
    case CallerCloseCause::kAborted:
      return "aborted";
    case CallerCloseCause::kDrained:
      return "drained";
  }
  return "unknown";
}

}  // namespace pollenledge
