#include "wire_codec.h"

#include "wire_list.h"

namespace pollenledge {
namespace {

constexpr std::int8_t kUnspecifiedRank = -1;

RequestSpec SpecFromWire(wire::RequestSpec::Reader reader) {
  RequestSpec spec;
  spec.customer = reader.getCustomer();
  spec.model = reader.getModel();
  const std::int8_t rank = reader.getRank();
  if (rank >= 0 && rank < static_cast<std::int8_t>(kRankCount)) {
    spec.rank = static_cast<Rank>(rank);
  }
  spec.stream = reader.getStream();
  spec.prompt_tokens = reader.getPromptTokens();
  spec.max_tokens = reader.getMaxTokens();
  ListFromWire(reader.getPrefixHashes(), &spec.prefix_hashes);
  spec.fingerprint = FromWire(reader.getFingerprint());
  spec.body_sha256 = reader.getBodySha256();
  return spec;
}

void SpecToWire(const RequestSpec& spec, wire::RequestSpec::Builder builder) {
  builder.setCustomer(spec.customer);
  builder.setModel(spec.model);
  builder.setRank(spec.rank.has_value() ? static_cast<std::int8_t>(*spec.rank)
                                        : kUnspecifiedRank);
  builder.setStream(spec.stream);
  builder.setPromptTokens(spec.prompt_tokens);
  builder.setMaxTokens(spec.max_tokens);
  ListToWire(spec.prefix_hashes,
             builder.initPrefixHashes(ListSize(spec.prefix_hashes)));
  ToWire(spec.fingerprint, builder.initFingerprint());
  builder.setBodySha256(spec.body_sha256);
}

}  // namespace

Fingerprint FromWire(wire::Fingerprint::Reader reader) {
  return {reader.getHigh(), reader.getLow()};
}

void ToWire(const Fingerprint& fingerprint,
            wire::Fingerprint::Builder builder) {
  builder.setHigh(fingerprint.high);
  builder.setLow(fingerprint.low);
}

NodeId FromWire(wire::NodeId::Reader reader) {
  return {reader.getName(), reader.getIncarnation()};
}

void ToWire(const NodeId& id, wire::NodeId::Builder builder) {
  builder.setName(id.name);
  builder.setIncarnation(id.incarnation);
}

RequestId FromWire(wire::RequestId::Reader reader) {
  return {FromWire(reader.getNode()), reader.getSequence()};
}

void ToWire(const RequestId& id, wire::RequestId::Builder builder) {
  ToWire(id.node, builder.initNode());
  builder.setSequence(id.sequence);
}

UpstreamId FromWire(wire::UpstreamId::Reader reader) {
  return {reader.getName(), reader.getIncarnation()};
}

void ToWire(const UpstreamId& id, wire::UpstreamId::Builder builder) {
  builder.setName(id.name);
  builder.setIncarnation(id.incarnation);
}

HybridTime FromWire(wire::HybridTime::Reader reader) {
  return {WallTime(Duration(reader.getWallMicros())), reader.getLogical()};
}

void ToWire(const HybridTime& time, wire::HybridTime::Builder builder) {
  builder.setWallMicros(time.wall.time_since_epoch().count());
  builder.setLogical(time.logical);
}

HandOverMessage FromWire(wire::HandedOverRequest::Reader reader) {
  HandOverMessage message;
  message.request.id = FromWire(reader.getId());
  message.request.spec = SpecFromWire(reader.getSpec());
  message.request.delivered_tokens = reader.getDeliveredTokens();
  message.request.attempts = reader.getAttempts();
  const UpstreamId upstream = FromWire(reader.getUpstream());
  message.request.upstream_name = upstream.name;
  message.request.upstream_incarnation = upstream.incarnation;
  message.path = reader.getPath();
  message.body = DataFromWire(reader.getBody());
  message.delivered_response = DataFromWire(reader.getDelivered());
  return message;
}

void ToWire(const HandOverMessage& message,
            wire::HandedOverRequest::Builder builder) {
  const HandedOverRequest& request = message.request;
  ToWire(request.id, builder.initId());
  SpecToWire(request.spec, builder.initSpec());
  builder.setDeliveredTokens(request.delivered_tokens);
  builder.setAttempts(request.attempts);
  ToWire(UpstreamId{request.upstream_name, request.upstream_incarnation},
         builder.initUpstream());
  builder.setPath(message.path);
  builder.setBody(DataToWire(message.body));
  builder.setDelivered(DataToWire(message.delivered_response));
}

ListedUpstream FromWire(wire::Upstream::Reader reader) {
  return {FromWire(reader.getId()), reader.getAddress(),
          reader.getPool(),         reader.getDomain(),
          reader.getMachineClass(), reader.getReclaimable()};
}

void ToWire(const ListedUpstream& upstream, wire::Upstream::Builder builder) {
  ToWire(upstream.id, builder.initId());
  builder.setAddress(upstream.address);
  builder.setPool(upstream.pool);
  builder.setDomain(upstream.domain);
  builder.setMachineClass(upstream.machine_class);
  builder.setReclaimable(upstream.reclaimable);
}

std::optional<Duration> RemainingFromWire(std::int64_t micros) {
  if (micros < 0) return std::nullopt;
  return Duration(micros);
}

std::int64_t RemainingToWire(const std::optional<Duration>& remaining) {
  return remaining.has_value() ? remaining->count() : -1;
}

std::int64_t ClockToWire(TimePoint at) {
  return std::chrono::floor<std::chrono::microseconds>(at.time_since_epoch())
      .count();
}

TimePoint ClockFromWire(std::int64_t micros) {
  return TimePoint(std::chrono::microseconds(micros));
}

std::string DataFromWire(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader DataToWire(const std::string& text) {
  return capnp::Data::Reader(
      reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

}  // namespace pollenledge
