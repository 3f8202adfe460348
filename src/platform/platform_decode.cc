#include "platform/platform_decode.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "pollenledge/connection/endpoint.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

/// Far more than any upstream has.
constexpr std::uint64_t kMaxSlots = 1'000'000;

Duration ReadMilliseconds(const Json& json, const char* name, double fallback) {
  return FromMilliseconds(json.value(name, fallback));
}

/// The route kind of the platform's route type `name`.
RouteKind ParseRouteKind(const std::string& name) {
  if (name == "streaming") return RouteKind::kStreaming;
  if (name == "idempotent") return RouteKind::kIdempotent;
  // Requests of an unknown type may not be safe to run twice, so they are not
  // retried.
  return RouteKind::kNonIdempotent;
}

/// A route names one service, or several with weights as "backends".
std::vector<WeightedService> ParseWeightedServices(const Json& route) {
  if (route.contains("service")) {
    return {{route.at("service").get<std::string>(), 1}};
  }
  std::vector<WeightedService> services;
  for (const Json& backend : route.at("backends")) {
    services.push_back({backend.at("service").get<std::string>(),
                        backend.value("weight", 1.0)});
  }
  return services;
}

ForwardingRoute ParseRoute(const Json& json) {
  ForwardingRoute route;
  route.host = json.at("host").get<std::string>();
  route.path_prefix = json.at("prefix").get<std::string>();
  route.name = json.value("name", route.host + route.path_prefix);
  route.kind = ParseRouteKind(json.value("type", std::string()));
  route.services = ParseWeightedServices(json);
  constexpr double kDefaultTimeoutMs = 10'000;
  route.timeout = ReadMilliseconds(json, "timeout_ms", kDefaultTimeoutMs);
  // "slo_ms" is the latency up to which the platform gives full credit. "itl"
  // (inter-token latency) means the time between two events here.
  route.latency_target =
      ReadMilliseconds(json, "slo_ms", ToMilliseconds(route.timeout));
  route.event_gap_target = ReadMilliseconds(
      json, "itl_target_ms", ToMilliseconds(route.latency_target));
  route.priority = json.value("priority", 5);
  route.max_attempts = json.value("attempts", 1);
  route.is_public = json.value("public", false);
  route.prefix_affinity = json.value("affinity", false);
  route.resumable = json.value("resumable", false);
  return route;
}

/// "stride" is the number of tokens in one event, "moves" says whether running
/// streams can be copied to another engine, and "handle_s" is how long an
/// unused copy is kept. "most" is the number of calls for cache events that an
/// engine holds open, "kv_bytes" the size of one token in the KV cache, and
/// "bandwidth_mbps" the rate at which engines copy it.
EngineTraits ParseEngine(const Json& json) {
  EngineTraits engine;
  engine.slots = json.value("batch_slots", 1);
  engine.kv_capacity_tokens =
      static_cast<std::int64_t>(json.value("kv_capacity", 0.0));
  engine.tokens_per_event = json.value("stride", 1);
  engine.supports_stream_transfer = json.value("moves", false);
  engine.copy_retention = FromSeconds(json.value("handle_s", 0.0));
  engine.max_cache_event_calls = json.value("most", 0);
  engine.kv_bytes_per_token =
      static_cast<std::int64_t>(json.value("kv_bytes", 0.0));
  engine.copy_bandwidth_mbps = json.value("bandwidth_mbps", 0.0);
  return engine;
}

/// "boot_s" is the start-up time of an upstream, "spot_price" the price of a
/// reclaimable upstream as a fraction of the on-demand price, and "zone_prices"
/// the price per second in each failure domain.
ScalingBounds ParseScaling(const Json& json) {
  ScalingBounds scaling;
  scaling.min_upstreams = json.value("min", 0);
  scaling.max_upstreams = json.value("max", 0);
  scaling.boot_time = FromSeconds(json.value("boot_s", 0.0));
  scaling.reclaimable_price_ratio = json.value("spot_price", 1.0);
  if (json.contains("zone_prices")) {
    for (const auto& [domain, price] : json.at("zone_prices").items()) {
      scaling.domain_prices_per_s[domain] = price.get<double>();
    }
  }
  return scaling;
}

ForwardingService ParseService(const Json& json) {
  ForwardingService service;
  service.name = json.at("name").get<std::string>();
  service.health_path = json.value("health_path", std::string());
  service.max_connections = json.value("max_conns", 0);
  if (json.contains("engine") && json.at("engine").is_object()) {
    service.engine = ParseEngine(json.at("engine"));
  }
  if (json.contains("scaling") && json.at("scaling").is_object()) {
    service.scaling = ParseScaling(json.at("scaling"));
  }
  return service;
}

/// Returns the number `name` of `json`, or `fallback` if there is none. Throws
/// if it is negative.
double ReadNonNegative(const Json& json, const char* name, double fallback) {
  const double number = json.value(name, fallback);
  if (number < 0) {
    throw std::invalid_argument(std::string(name) + " is negative");
  }
  return number;
}

/// The platform calls a customer "tenant". Its limit counts requests unless
/// "unit" is "token_count".
ForwardingCustomer ParseCustomer(const Json& json) {
  ForwardingCustomer customer;
  customer.name = json.at("name").get<std::string>();
  customer.api_keys = json.value("api_keys", std::vector<std::string>());
  if (json.contains("priority") && json.at("priority").is_number()) {
    customer.priority = json.at("priority").get<int>();
  }
  customer.limit_per_s = ReadNonNegative(json, "rate_per_s", 0);
  customer.burst = ReadNonNegative(json, "burst", 0);
  customer.limit_counts_tokens =
      json.value("unit", std::string()) == "token_count";
  // Despite its name, "uncached_tokens" is the cost of a request that does not
  // state its token counts.
  customer.default_cost = ReadNonNegative(json, "uncached_tokens", 1);
  return customer;
}

/// Without the list "tenants", requests need no key. A list without entries
/// admits nobody. Throws if the field is there but isn't a list: none of its
/// forms may read as "no key is needed".
CallerAccess ParseAccess(const Json& config) {
  const auto list = config.find("tenants");
  if (list == config.end()) return AnyCaller{};
  if (!list->is_array())
    throw std::invalid_argument("tenants is not a list of customers");
  KnownCustomers known;
  for (const Json& customer : *list) {
    known.customers.push_back(ParseCustomer(customer));
  }
  return known;
}

/// Returns the whole number `name` of `json`, or `fallback` if there is none.
/// Throws if it is of another type or greater than `max`.
std::uint64_t ReadWholeNumber(const Json& json, const char* name,
                              std::uint64_t fallback, std::uint64_t max) {
  const auto field = json.find(name);
  if (field == json.end()) return fallback;
  if (!field->is_number_unsigned() || field->get<std::uint64_t>() > max) {
    throw std::invalid_argument(std::string(name) +
                                " is not a whole number in its range");
  }
  return field->get<std::uint64_t>();
}

/// Returns the software version `name` of `json`; an empty string if there is
/// none. Throws if it is neither text nor an integer.
std::string ParseSoftwareVersion(const Json& json, const char* name) {
  const auto version = json.find(name);
  if (version == json.end()) return "";
  if (version->is_number_integer()) return version->dump();
  return version->get<std::string>();
}

CallerLimits ParseLimits(const Json& json) {
  CallerLimits limits;
  limits.max_header_bytes =
      json.value("max_header_bytes", limits.max_header_bytes);
  limits.max_body_bytes = json.value("max_body_bytes", limits.max_body_bytes);
  limits.header_timeout = ReadMilliseconds(
      json, "header_timeout_ms", ToMilliseconds(limits.header_timeout));
  limits.idle_timeout = ReadMilliseconds(json, "idle_timeout_ms",
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
      tables.routes.push_back(ParseRoute(route));
    }
    for (const Json& service : json.at("services")) {
      tables.services.push_back(ParseService(service));
    }
    tables.access = ParseAccess(json);
    if (json.contains("limits")) tables.limits = ParseLimits(json.at("limits"));
    return tables;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument,
                 std::string(kOperatorConfigKey) + ": " + error.what()};
  }
}

Result<ForwardUpstreamInfo> DecodeUpstream(const KvEntry& entry) {
  try {
    const Json json = Json::parse(entry.value);
    ForwardUpstreamInfo info;
    info.id.name = entry.key.substr(std::string(kUpstreamKeyPrefix).size());
    // "born" is the time at which this incarnation of the upstream started.
    info.id.incarnation = ReadWholeNumber(
        json, "born", 0, std::numeric_limits<std::uint64_t>::max());
    info.address = json.at("address").get<std::string>();
    info.service = json.at("service").get<std::string>();
    // The platform calls a failure domain "zone".
    info.domain = json.at("zone").get<std::string>();
    // "version" is that of the software, not of the model's weights.
    info.software_version = ParseSoftwareVersion(json, "version");
    info.slots =
        static_cast<int>(ReadWholeNumber(json, "batch_slots", 1, kMaxSlots));
    const auto state = json.at("state").get<std::string>();
    if (state != "ready" && state != "draining") {
      throw std::invalid_argument("state \"" + state + "\" is unknown");
    }
    // A "draining" upstream is leaving: it finishes its requests and gets no
    // new ones. "leaves_ms" is the time until it is gone.
    info.leaving = state == "draining";
    info.reclaimable = json.value("preemptible", false);
    if (json.contains("leaves_ms") && json.at("leaves_ms").is_number()) {
      info.time_until_removal =
          FromMilliseconds(json.at("leaves_ms").get<double>());
    }
    info.remaining_warmup = FromMilliseconds(json.value("warmup_left_ms", 0.0));
    const auto endpoint = ParseTcpEndpoint(info.address);
    if (!Ok(endpoint)) throw std::invalid_argument(ErrorOf(endpoint).message);
    return info;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument, entry.key + ": " + error.what()};
  }
}

Result<RolloutOrder> DecodeRolloutOrder(const KvEntry& entry) {
  try {
    const Json json = Json::parse(entry.value);
    RolloutOrder order;
    order.service = json.at("service").get<std::string>();
    order.target = ParseSoftwareVersion(json, "target");
    order.duration = FromSeconds(json.at("duration_s").get<double>());
    order.revision = entry.mod_revision;
    constexpr Duration kMaxDuration = std::chrono::hours(24);
    if (order.target.empty()) throw std::invalid_argument("target is missing");
    if (order.duration <= Duration::zero() || order.duration > kMaxDuration)
      throw std::invalid_argument("duration_s is not in its range");
    return order;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument, entry.key + ": " + error.what()};
  }
}

std::string EncodeRolloutStatus(RolloutPhase phase, const std::string& target) {
  const bool ended =
      phase == RolloutPhase::kCompleted || phase == RolloutPhase::kReverted;
  return Json{{"state", ended ? ToString(phase) : "in_progress"},
              {"target", target}}
      .dump();
}

}  // namespace pollenledge
