#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Whether the requests of a route may be retried.
enum class RouteKind : std::uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< Runs at most once for each request.
  kStreaming,      ///< The response is a stream of numbered events.
};

/// Returns the name of `kind` as used in logs and metrics.
const char* ToString(RouteKind kind);

/// A service that a route forwards to, with its relative share of the requests.
struct WeightedService {
  std::string service;
  double weight = 1;  ///< Relative to the route's other services.

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// A route, selected by host and path prefix, that forwards requests unchanged.
struct ForwardingRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Starts and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<WeightedService> services;
  Duration timeout{0};           ///< From arrival to the end of the response.
  Duration latency_target{0};    ///< For the response; streams: first event.
  Duration event_gap_target{0};  ///< Target for the time between two events.
  int priority = 5;              ///< 0 is the most urgent.
  /// Maximum number of attempts of one request that may have run. Attempts that
  /// did not run are not counted, but all attempts together are at most one
  /// more.
  int max_attempts = 1;
  bool is_public = false;  ///< No API key is needed.
  /// Requests list the segments of their prompt and are routed by the segments
  /// that they share with others.
  bool prefix_affinity = false;
  bool resumable = false;  ///< Another upstream can resume a stream.

  friend bool operator==(const ForwardingRoute&,
                         const ForwardingRoute&) = default;

  /// True if a request that may already have run may be retried.
  bool IsRetrySafe() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && resumable);
  }
};

/// Properties of the engines of a model service.
struct EngineTraits {
  int slots = 1;  ///< Requests that one engine runs concurrently.
  /// KV cache capacity of one engine.
  std::int64_t kv_capacity_tokens = 0;
  int tokens_per_event = 1;
  /// Running streams can be copied to another engine.
  bool supports_stream_transfer = false;
  /// How long an unused copy is retained.
  Duration copy_retention{0};
  /// Calls for its cache events that one engine holds open; 0: it serves none.
  int max_cache_event_calls = 0;
  /// Size of the KV cache of one token, and the rate in megabits per second at
  /// which one engine copies it to another; 0: unknown.
  std::int64_t kv_bytes_per_token = 0;
  double copy_bandwidth_mbps = 0;

  friend bool operator==(const EngineTraits&, const EngineTraits&) = default;
};

/// How many upstreams of a service may be requested in each failure domain, and
/// their prices.
struct ScalingBounds {
  int min_upstreams = 0;
  int max_upstreams = 0;
  /// Time from a scale request until the upstream is ready.
  Duration boot_time{0};
  /// Price of a reclaimable upstream as a fraction of the on-demand price.
  double reclaimable_price_ratio = 1;
  /// On-demand price per second of one upstream in each failure domain.
  std::map<std::string, double> domain_prices_per_s;

  friend bool operator==(const ScalingBounds&, const ScalingBounds&) = default;
};

/// A group of interchangeable upstreams, which serve the same requests.
struct ForwardingService {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< To one upstream, over all callers.
  std::optional<EngineTraits> engine;
  std::optional<ScalingBounds> scaling;

  friend bool operator==(const ForwardingService&,
                         const ForwardingService&) = default;
};

/// Limits on the size of requests and on how long callers may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// A customer of forwarding routes, with its API keys and its fleet-wide limit.
struct ForwardingCustomer {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
  double limit_per_s = 0;       ///< 0: no limit.
  double burst = 0;             ///< In the unit of `limit_per_s`.
  /// The limit counts tokens; otherwise it counts requests.
  bool limit_counts_tokens = false;
  /// Cost of a request that does not state its token counts.
  double default_cost = 1;

  friend bool operator==(const ForwardingCustomer&,
                         const ForwardingCustomer&) = default;
};

/// Only callers with an API key of one of the customers may use routes that are
/// not public. Without customers, nobody may.
struct KnownCustomers {
  std::vector<ForwardingCustomer> customers;

  friend bool operator==(const KnownCustomers&,
                         const KnownCustomers&) = default;
};

/// Any caller may use any route. No request belongs to a customer.
struct AnyCaller {
  friend bool operator==(const AnyCaller&, const AnyCaller&) = default;
};

/// Who may send requests. Admits nobody unless it is set.
using CallerAccess = std::variant<KnownCustomers, AnyCaller>;

/// One version of the forwarding configuration. Immutable once built; a request
/// uses the version that was active when it arrived until it ends.
struct ForwardingTables {
  std::uint64_t version = 0;
  std::vector<ForwardingRoute> routes;
  std::vector<ForwardingService> services;
  CallerAccess access;
  CallerLimits limits;

  friend bool operator==(const ForwardingTables&,
                         const ForwardingTables&) = default;

  /// Returns the service called `name`; null if there is none.
  const ForwardingService* FindService(const std::string& name) const;
  /// Returns the customers; empty if any caller is admitted.
  const std::vector<ForwardingCustomer>& customers() const;
  /// True if routes that are not public need an API key, also if there is no
  /// customer that has one.
  bool requires_api_key() const {
    return std::holds_alternative<KnownCustomers>(access);
  }
};

/// Index to look up routes and customers in one version of the tables.
/// Immutable after construction, so that threads may share it.
class ForwardingIndex {
 public:
  /// `document` are the bytes that `tables` were parsed from; empty if unknown.
  explicit ForwardingIndex(ForwardingTables tables, std::string document = {});

  const ForwardingTables& tables() const { return tables_; }
  /// The bytes from which another node can parse the same tables.
  const std::string& document() const { return document_; }
  /// Returns the route of `host` with the longest path prefix that matches
  /// `path`; null if there is none. A port after the host is ignored.
  const ForwardingRoute* FindRoute(std::string_view host,
                                   std::string_view path) const;
  /// Returns the customer that `api_key` belongs to; null if there is none.
  const ForwardingCustomer* FindCustomer(const std::string& api_key) const;

 private:
  ForwardingTables tables_;
  std::string document_;
  /// Indices of the routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> customers_by_key_;
};

}  // namespace pollenledge
