#pragma once

#include "pollenledge/process/membership.h"
#include "wire/peer.capnp.h"

namespace pollenledge {

// Conversions between heartbeats, with the records and lists that they carry,
// and their Cap'n Proto messages.

MemberRecord FromWire(wire::MemberRecord::Reader reader);
void ToWire(const MemberRecord& record, wire::MemberRecord::Builder builder);
ForwardUpstreamInfo FromWire(wire::ListedForwardUpstream::Reader reader);
void ToWire(const ForwardUpstreamInfo& info,
            wire::ListedForwardUpstream::Builder builder);
UpstreamChanges FromWire(wire::UpstreamChanges::Reader reader);
void ToWire(const UpstreamChanges& changes,
            wire::UpstreamChanges::Builder builder);
Heartbeat FromWire(wire::NodeHeartbeat::Reader reader);
void ToWire(const Heartbeat& heartbeat, wire::NodeHeartbeat::Builder builder);

}  // namespace pollenledge
