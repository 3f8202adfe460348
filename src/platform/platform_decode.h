#pragma once

#include <string>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/result.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

/// Keys of the platform's store that the operator and the upstreams write.
inline constexpr char kOperatorConfigKey[] = "op/config";
inline constexpr char kUpstreamPrefix[] = "servers/";

/// Decodes the operator's configuration. An error names the field.
Result<ForwardingTables> DecodeTables(const std::string& text);

/// Decodes what an upstream wrote of itself. An error means that the entry
/// names no upstream that may be used.
Result<ForwardUpstreamInfo> DecodeUpstream(const KvEntry& entry);

}  // namespace pollenledge
