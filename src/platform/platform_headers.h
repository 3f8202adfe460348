#pragma once

#include "pollenledge/connection/forwarding_codec.h"

namespace pollenledge {

/// The platform's request and answer headers.
ForwardingCodec PlatformHeaders();

}  // namespace pollenledge
