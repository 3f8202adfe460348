#pragma once

#include <string>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/process/rollout_plan.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/request/rollout.h"
#include "pollenledge/result.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

/// Store key of the operator's configuration, a JSON document.
inline constexpr char kOperatorConfigKey[] = "op/config";
/// Prefix of the store keys under which the upstreams register. The upstream's
/// name follows it.
inline constexpr char kUpstreamKeyPrefix[] = "servers/";

/// Prefix of the store keys of the operator's orders to roll out a software
/// version. The service's name follows it.
inline constexpr char kRolloutOrderKeyPrefix[] = "op/rollout/";
/// Prefix of the store keys under which the system reports about these orders.
inline constexpr char kRolloutStatusKeyPrefix[] = "status/rollout/";

/// Decodes the operator's configuration. The message of an error begins with
/// the store key and says what is malformed.
Result<ForwardingTables> DecodeTables(const std::string& text);

/// Decodes the registration that an upstream wrote under `kUpstreamKeyPrefix`.
/// An error means that the entry describes no usable upstream.
Result<ForwardUpstreamInfo> DecodeUpstream(const KvEntry& entry);

/// Decodes an order that the operator wrote under `kRolloutOrderKeyPrefix`.
Result<RolloutOrder> DecodeRolloutOrder(const KvEntry& entry);
/// Encodes the report about an order.
std::string EncodeRolloutStatus(RolloutPhase phase, const std::string& target);

}  // namespace pollenledge
