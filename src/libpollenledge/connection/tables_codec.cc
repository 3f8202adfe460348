#include "tables_codec.h"

#include "wire_codec.h"

namespace pollenledge {
namespace {

TablesPart PartFromWire(wire::TablesPart::Reader reader) {
  return {reader.getVersion(), reader.getDocumentBytes(), reader.getOffset(),
          DataFromWire(reader.getBytes())};
}

void PartToWire(const TablesPart& part, wire::TablesPart::Builder builder) {
  builder.setVersion(part.version);
  builder.setDocumentBytes(part.document_bytes);
  builder.setOffset(part.offset);
  builder.setBytes(DataToWire(part.bytes));
}

}  // namespace

TablesRequest FromWire(wire::TablesRequest::Reader reader) {
  return {reader.getKnownVersion(), reader.getPartialVersion(),
          reader.getReceivedBytes(),
          ClockFromWire(reader.getRequestedAtMicros())};
}

void ToWire(const TablesRequest& request,
            wire::TablesRequest::Builder builder) {
  builder.setKnownVersion(request.known_version);
  builder.setPartialVersion(request.partial_version);
  builder.setReceivedBytes(request.received_bytes);
  builder.setRequestedAtMicros(ClockToWire(request.requested_at));
}

TablesReply FromWire(wire::TablesReply::Reader reader) {
  TablesReply reply;
  reply.requested_at = ClockFromWire(reader.getRequestedAtMicros());
  if (reader.hasPart()) reply.part = PartFromWire(reader.getPart());
  return reply;
}

void ToWire(const TablesReply& reply, wire::TablesReply::Builder builder) {
  builder.setRequestedAtMicros(ClockToWire(reply.requested_at));
  if (reply.part.has_value()) PartToWire(*reply.part, builder.initPart());
}

}  // namespace pollenledge
