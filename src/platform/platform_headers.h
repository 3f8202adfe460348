#pragma once

#include "pollenledge/connection/forwarding_codec.h"

namespace pollenledge {

/// Returns the codec of the platform's request and response headers. Its
/// functions have no state, so they can be called on any thread.
ForwardingCodec PlatformHeaderCodec();

}  // namespace pollenledge
