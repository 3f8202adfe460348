#include "platform/platform_decode.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "pollenledge/connection/endpoint.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

Duration Milliseconds(const Json& json, const char* name, double fallback) {
  return FromMilliseconds(json.value(name, fallback));
}

RouteKind KindOf(const std::string& name) {
  if (name == "streaming") return RouteKind::kStreaming;
  if (name == "idempotent") return RouteKind::kIdempotent;
  // What is not known to be repeatable is not repeated.
  return RouteKind::kNonIdempotent;
}

std::vector<WeightedService> ServicesOf(const Json& route) {
  if (route.contains("service")) {
    return {{route.at("service").get<std::string>(), 1}};
  }
  std::vector<WeightedService> services;
  for (const Json& part : route.at("backends")) {
    services.push_back(
        {part.at("service").get<std::string>(), part.value("weight", 1.0)});
  }
  return services;
}

ForwardingRoute ToRoute(const Json& json) {
  ForwardingRoute route;
  route.host = json.at("host").get<std::string>();
  route.prefix = json.at("prefix").get<std::string>();
  route.name = json.value("name", route.host + route.prefix);
  route.kind = KindOf(json.value("type", std::string()));
  route.services = ServicesOf(json);
  constexpr double kDefaultTimeoutMs = 10'000;
  route.timeout = Milliseconds(json, "timeout_ms", kDefaultTimeoutMs);
  // "slo_ms" is the latency for full credit; "itl" is between events here.
  route.target = Milliseconds(json, "slo_ms", ToMilliseconds(route.timeout));
  route.event_gap_target =
      Milliseconds(json, "itl_target_ms", ToMilliseconds(route.target));
  route.priority = json.value("priority", 5);
  route.max_attempts = json.value("attempts", 1);
  route.is_public = json.value("public", false);
  route.prefix_affinity = json.value("affinity", false);
  route.resumable = json.value("resumable", false);
  return route;
}

EngineTraits ToEngine(const Json& json) {
  EngineTraits engine;
  engine.slots = json.value("batch_slots", 1);
  engine.kv_tokens = static_cast<std::int64_t>(json.value("kv_capacity", 0.0));
  engine.tokens_per_event = json.value("stride", 1);
  engine.moves_streams = json.value("moves", false);
  engine.copy_retention = FromSeconds(json.value("handle_s", 0.0));
  return engine;
}

ScalingBounds ToScaling(const Json& json) {
  ScalingBounds scaling;
  scaling.min = json.value("min", 0);
  scaling.max = json.value("max", 0);
  scaling.boot = FromSeconds(json.value("boot_s", 0.0));
  scaling.reclaimable_price = json.value("spot_price", 1.0);
  if (json.contains("zone_prices")) {
    for (const auto& [domain, price] : json.at("zone_prices").items()) {
      scaling.domain_prices[domain] = price.get<double>();
    }
  }
  return scaling;
}

ForwardingService ToService(const Json& json) {
  ForwardingService service;
  service.name = json.at("name").get<std::string>();
  service.health_path = json.value("health_path", std::string());
  service.max_connections = json.value("max_conns", 0);
  if (json.contains("engine") && json.at("engine").is_object()) {
    service.engine = ToEngine(json.at("engine"));
  }
  if (json.contains("scaling") && json.at("scaling").is_object()) {
    service.scaling = ToScaling(json.at("scaling"));
  }
  return service;
}

KeyedCustomer ToCustomer(const Json& json) {
  KeyedCustomer customer;
  customer.name = json.at("name").get<std::string>();
  customer.api_keys = json.value("api_keys", std::vector<std::string>());
  if (json.contains("priority") && json.at("priority").is_number()) {
    customer.priority = json.at("priority").get<int>();
  }
  customer.limit_per_s = json.value("rate_per_s", 0.0);
  customer.burst = json.value("burst", 0.0);
  customer.limit_counts_tokens =
      json.value("unit", std::string()) == "token_count";
  // "uncached_tokens" is what a request without token counts costs.
  customer.default_cost = json.value("uncached_tokens", 1.0);
  return customer;
}

CallerLimits ToLimits(const Json& json) {
  CallerLimits limits;
  limits.max_header_bytes =
      json.value("max_header_bytes", limits.max_header_bytes);
  limits.max_body_bytes = json.value("max_body_bytes", limits.max_body_bytes);
  limits.header_timeout = Milliseconds(json, "header_timeout_ms",
                                       ToMilliseconds(limits.header_timeout));
  limits.idle_timeout = Milliseconds(json, "idle_timeout_ms",
                                     ToMilliseconds(limits.idle_timeout));
  return limits;
}

}  // namespace

Result<ForwardingTables> DecodeTables(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    ForwardingTables tables;
    tables.version = json.at("version").get<std::uint64_t>();
    for (const Json& route : json.at("routes")) {
      tables.routes.push_back(ToRoute(route));
    }
    for (const Json& service : json.at("services")) {
      tables.services.push_back(ToService(service));
    }
    if (json.contains("tenants")) {
      for (const Json& customer : json.at("tenants")) {
        tables.customers.push_back(ToCustomer(customer));
      }
    }
    if (json.contains("limits")) tables.limits = ToLimits(json.at("limits"));
    return tables;
  } catch (const std::exception& problem) {
    return Error{ErrorCode::kInvalidArgument,
                 std::string(kOperatorConfigKey) + ": " + problem.what()};
  }
}

Result<ForwardUpstreamInfo> DecodeUpstream(const KvEntry& entry) {
  try {
    const Json json = Json::parse(entry.value);
    ForwardUpstreamInfo info;
    info.id.name = entry.key.substr(std::string(kUpstreamPrefix).size());
    // "born" is when this start of the upstream began.
    info.id.incarnation = json.value("born", std::uint64_t{0});
    info.address = json.at("address").get<std::string>();
    info.service = json.at("service").get<std::string>();
    info.domain = json.at("zone").get<std::string>();
    info.slots = json.value("batch_slots", 1);
    const auto state = json.at("state").get<std::string>();
    if (state != "ready" && state != "draining") {
      throw std::invalid_argument("state \"" + state + "\" is not known");
    }
    info.leaving = state == "draining";
    info.reclaimable = json.value("preemptible", false);
    if (json.contains("leaves_ms") && json.at("leaves_ms").is_number()) {
      info.leaves_in = FromMilliseconds(json.at("leaves_ms").get<double>());
    }
    info.warmup_left = FromMilliseconds(json.value("warmup_left_ms", 0.0));
    const auto endpoint = ParseTcpEndpoint(info.address);
    if (!Ok(endpoint)) throw std::invalid_argument(ErrorOf(endpoint).message);
    return info;
  } catch (const std::exception& problem) {
    return Error{ErrorCode::kInvalidArgument,
                 entry.key + ": " + problem.what()};
  }
}

}  // namespace pollenledge
