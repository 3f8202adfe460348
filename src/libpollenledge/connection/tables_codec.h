#pragma once

#include "pollenledge/process/tables_transfer.h"
#include "wire/peer.capnp.h"

namespace pollenledge {

// Conversions of the messages by which tables pass from node to node.

TablesRequest FromWire(wire::TablesRequest::Reader reader);
void ToWire(const TablesRequest& request, wire::TablesRequest::Builder builder);
TablesReply FromWire(wire::TablesReply::Reader reader);
void ToWire(const TablesReply& reply, wire::TablesReply::Builder builder);

}  // namespace pollenledge
