#include "admission_codec.h"

#include <algorithm>

namespace pollenledge {
namespace {

float ToFloat(double value) { return static_cast<float>(value); }

}  // namespace

AdmissionLevel FromWire(wire::AdmissionLevel::Reader reader) {
  AdmissionLevel level;
  level.service = reader.getService();
  level.version = reader.getVersion();
  level.level = reader.getLevel();
  level.pressure = reader.getPressure();
  level.age = Duration(std::max<std::int64_t>(0, reader.getAgeMicros()));
  level.clearing =
      Duration(std::max<std::int64_t>(0, reader.getClearingMicros()));
  for (const auto share : reader.getShares()) {
    level.classes.push_back({{share.getPriority(), share.getRoute()},
                             share.getShare(),
                             share.getFirstEventSeconds(),
                             share.getPromptTokens(),
                             share.getResponseTokens(),
                             share.getReadShare(),
                             share.getHintFactor()});
  }
  for (const auto hot : reader.getHotCustomers()) {
    level.hot_customers.push_back({hot.getCustomer(), hot.getValue()});
  }
  return level;
}

AdmissionDemand DemandFromWire(wire::AdmissionLevel::Reader reader) {
  AdmissionDemand demand;
  demand.service = reader.getService();
  for (const auto known : reader.getDemand()) {
    demand.classes.push_back({{known.getPriority(), known.getRoute()},
                              known.getTargetSeconds(),
                              known.getOfferedPerSecond(),
                              known.getRefusedPerSecond(),
                              known.getAnsweredPerSecond(),
                              known.getUnanswered(),
                              known.getRunning(),
                              known.getFirstEventSeconds(),
                              known.getSlotSeconds(),
                              known.getPromptTokens(),
                              known.getResponseTokens(),
                              known.getHintError()});
  }
  for (const auto customer : reader.getCustomers()) {
    demand.customers.push_back({customer.getCustomer(), customer.getValue()});
  }
  return demand;
}

void ToWire(const AdmissionLevel& level,
            wire::AdmissionLevel::Builder builder) {
  builder.setService(level.service);
  builder.setVersion(level.version);
  builder.setLevel(level.level);
  builder.setPressure(ToFloat(level.pressure));
  builder.setAgeMicros(level.age.count());
  builder.setClearingMicros(level.clearing.count());
  auto shares = builder.initShares(static_cast<unsigned>(level.classes.size()));
  for (unsigned i = 0; i < shares.size(); ++i) {
    const ClassShare& share = level.classes[i];
    shares[i].setPriority(static_cast<std::int16_t>(share.key.priority));
    shares[i].setRoute(share.key.route);
    shares[i].setShare(ToFloat(share.share));
    shares[i].setFirstEventSeconds(ToFloat(share.predicted_first_event_s));
    shares[i].setPromptTokens(ToFloat(share.prompt_tokens));
    shares[i].setResponseTokens(ToFloat(share.response_tokens));
    shares[i].setReadShare(ToFloat(share.read_share));
    shares[i].setHintFactor(ToFloat(share.hint_factor));
  }
  auto hot = builder.initHotCustomers(
      static_cast<unsigned>(level.hot_customers.size()));
  for (unsigned i = 0; i < hot.size(); ++i) {
    hot[i].setCustomer(level.hot_customers[i].customer);
    hot[i].setValue(ToFloat(level.hot_customers[i].excess));
  }
}

void ToWire(const AdmissionDemand& demand,
            wire::AdmissionLevel::Builder builder) {
  builder.setService(demand.service);
  auto classes =
      builder.initDemand(static_cast<unsigned>(demand.classes.size()));
  for (unsigned i = 0; i < classes.size(); ++i) {
    const ClassDemand& known = demand.classes[i];
    classes[i].setPriority(static_cast<std::int16_t>(known.key.priority));
    classes[i].setRoute(known.key.route);
    classes[i].setTargetSeconds(ToFloat(known.target_s));
    classes[i].setOfferedPerSecond(ToFloat(known.offered_per_s));
    classes[i].setRefusedPerSecond(ToFloat(known.refused_per_s));
    classes[i].setAnsweredPerSecond(ToFloat(known.answered_per_s));
    classes[i].setUnanswered(ToFloat(known.unanswered));
    classes[i].setRunning(ToFloat(known.running));
    classes[i].setFirstEventSeconds(ToFloat(known.first_event_s));
    classes[i].setSlotSeconds(ToFloat(known.slot_s));
    classes[i].setPromptTokens(ToFloat(known.prompt_tokens));
    classes[i].setResponseTokens(ToFloat(known.response_tokens));
    classes[i].setHintError(ToFloat(known.hint_error));
  }
  auto customers =
      builder.initCustomers(static_cast<unsigned>(demand.customers.size()));
  for (unsigned i = 0; i < customers.size(); ++i) {
    customers[i].setCustomer(demand.customers[i].customer);
    customers[i].setValue(ToFloat(demand.customers[i].load));
  }
}

}  // namespace pollenledge
