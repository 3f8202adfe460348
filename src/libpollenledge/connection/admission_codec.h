#pragma once

#include "pollenledge/process/admission_level.h"
#include "wire/peer.capnp.h"

namespace pollenledge {

// Conversions of admission levels and demands, which share a message type.

AdmissionLevel FromWire(wire::AdmissionLevel::Reader reader);
AdmissionDemand DemandFromWire(wire::AdmissionLevel::Reader reader);
void ToWire(const AdmissionLevel& level, wire::AdmissionLevel::Builder builder);
void ToWire(const AdmissionDemand& demand,
            wire::AdmissionLevel::Builder builder);

}  // namespace pollenledge
