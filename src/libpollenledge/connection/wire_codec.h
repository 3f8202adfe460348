#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/peer_link.h"
#include "wire/peer.capnp.h"

namespace pollenledge {

// Conversions of identifiers, requests and upstreams to and from their Cap'n
// Proto messages. heartbeat_codec.h has those of heartbeats.

Fingerprint FromWire(wire::Fingerprint::Reader reader);
void ToWire(const Fingerprint& fingerprint, wire::Fingerprint::Builder builder);
NodeId FromWire(wire::NodeId::Reader reader);
void ToWire(const NodeId& id, wire::NodeId::Builder builder);
RequestId FromWire(wire::RequestId::Reader reader);
void ToWire(const RequestId& id, wire::RequestId::Builder builder);
UpstreamId FromWire(wire::UpstreamId::Reader reader);
void ToWire(const UpstreamId& id, wire::UpstreamId::Builder builder);
HybridTime FromWire(wire::HybridTime::Reader reader);
void ToWire(const HybridTime& time, wire::HybridTime::Builder builder);
HandOverMessage FromWire(wire::HandedOverRequest::Reader reader);
void ToWire(const HandOverMessage& message,
            wire::HandedOverRequest::Builder builder);
ListedUpstream FromWire(wire::Upstream::Reader reader);
void ToWire(const ListedUpstream& upstream, wire::Upstream::Builder builder);

// An optional duration is encoded in microseconds, or as -1 if it is unknown.
std::optional<Duration> RemainingFromWire(std::int64_t micros);
std::int64_t RemainingToWire(const std::optional<Duration>& remaining);

// A point of a node's monotonic clock is encoded in microseconds.
std::int64_t ClockToWire(TimePoint at);
TimePoint ClockFromWire(std::int64_t micros);

std::string DataFromWire(capnp::Data::Reader data);
/// The result refers to the bytes of `text`.
capnp::Data::Reader DataToWire(const std::string& text);

}  // namespace pollenledge
