#pragma once

#include "pollenledge/process/membership.h"
#include "wire/peer.capnp.h"

namespace pollenledge {

// Conversions of the reports that heartbeats carry.

SuspectReport FromWire(wire::SuspectReport::Reader reader);
void ToWire(const SuspectReport& report, wire::SuspectReport::Builder builder);
UpstreamLoadReport FromWire(wire::HeardLoad::Reader reader);
void ToWire(const UpstreamLoadReport& report, wire::HeardLoad::Builder builder);
UsageReport FromWire(wire::UsageReport::Reader reader);
void ToWire(const UsageReport& report, wire::UsageReport::Builder builder);
RateLimitReport FromWire(wire::RateLimitReport::Reader reader);
void ToWire(const RateLimitReport& report,
            wire::RateLimitReport::Builder builder);
SpeedReport FromWire(wire::SpeedReport::Reader reader);
void ToWire(const SpeedReport& report, wire::SpeedReport::Builder builder);
PermitCount FromWire(wire::PermitCount::Reader reader);
void ToWire(const PermitCount& permits, wire::PermitCount::Builder builder);
StreamRecord FromWire(wire::StreamRecord::Reader reader);
void ToWire(const StreamRecord& record, wire::StreamRecord::Builder builder);
RolloutShare FromWire(wire::RolloutShare::Reader reader);
void ToWire(const RolloutShare& share, wire::RolloutShare::Builder builder);

/// Adds the contents of a message to `report`.
void MergeFromWire(wire::PromptCacheReport::Reader reader,
                   PromptCacheReport* report);
void ToWire(const PromptCacheReport& report,
            wire::PromptCacheReport::Builder builder);

}  // namespace pollenledge
