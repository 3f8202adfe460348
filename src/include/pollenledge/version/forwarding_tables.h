#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// What may be repeated of a route's requests.
enum class RouteKind : std::uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< Runs at most once for each request.
  kStreaming,      ///< Answered by a stream of numbered events.
};

/// The name of `kind` as it stands in logs and metrics.
const char* ToString(RouteKind kind);

/// A service that a route leads to, with its part of the requests.
struct WeightedService {
  std::string service;
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// A route by host and path prefix, whose requests are forwarded unchanged.
struct ForwardingRoute {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<WeightedService> services;
  Duration timeout{0};           ///< A request has its final answer by then.
  Duration target{0};            ///< Latency target; streams: the first event.
  Duration event_gap_target{0};  ///< Longest pause between events in target.
  int priority = 5;              ///< 0 is the most urgent.
  int max_attempts = 1;          ///< Upstreams that one request may be sent to.
  bool is_public = false;        ///< No API key is needed.
  bool prefix_affinity = false;  ///< Requests name the parts of their prompt.
  bool resumable = false;        ///< Another upstream may go on with a stream.

  friend bool operator==(const ForwardingRoute&,
                         const ForwardingRoute&) = default;

  /// True if a request that may have run may be sent once more.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && resumable);
  }
};

/// How the engines of a model service work.
struct EngineTraits {
  int slots = 1;               ///< Requests run at once by one engine.
  std::int64_t kv_tokens = 0;  ///< Memory for tokens of one engine.
  int tokens_per_event = 1;
  bool moves_streams = false;  ///< Running streams can be copied elsewhere.
  Duration copy_retention{0};  ///< How long an unused copy is kept.

  friend bool operator==(const EngineTraits&, const EngineTraits&) = default;
};

/// How many upstreams of a service may be ordered in each failure domain, and
/// what they cost.
struct ScalingBounds {
  int min = 0;
  int max = 0;
  Duration boot{0};
  double reclaimable_price = 1;  ///< Part of the on-demand price.
  std::map<std::string, double> domain_prices;  ///< For each second.

  friend bool operator==(const ScalingBounds&, const ScalingBounds&) = default;
};

/// A group of upstreams that can serve the same requests.
struct ForwardingService {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< Of one upstream, from all callers together.
  std::optional<EngineTraits> engine;
  std::optional<ScalingBounds> scaling;

  friend bool operator==(const ForwardingService&,
                         const ForwardingService&) = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// A customer of forwarded routes with its keys and its limit over all nodes.
struct KeyedCustomer {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;       ///< Goes before the route's.
  double limit_per_s = 0;            ///< 0: no limit.
  double burst = 0;                  ///< In the unit of `limit_per_s`.
  bool limit_counts_tokens = false;  ///< Else requests.
  double default_cost = 1;  ///< Of a request that does not say its tokens.

  friend bool operator==(const KeyedCustomer&, const KeyedCustomer&) = default;
};

/// One version of everything that forwarding needs to know. Immutable once
/// built; requests keep the version under which they came.
struct ForwardingTables {
  std::uint64_t version = 0;
  std::vector<ForwardingRoute> routes;
  std::vector<ForwardingService> services;
  std::vector<KeyedCustomer> customers;
  CallerLimits limits;

  friend bool operator==(const ForwardingTables&,
                         const ForwardingTables&) = default;

  const ForwardingService* FindService(const std::string& name) const;
};

/// Finds routes and customers in one version of the tables.
class ForwardingIndex {
 public:
  explicit ForwardingIndex(ForwardingTables tables);

  const ForwardingTables& tables() const { return tables_; }
  /// The route of `host` with the longest prefix that begins `path`; null if
  /// there is none. A port after the host is ignored.
  const ForwardingRoute* FindRoute(std::string_view host,
                                   std::string_view path) const;
  /// The customer that holds `api_key`; null if nobody does.
  const KeyedCustomer* FindCustomer(const std::string& api_key) const;
  /// True if the version knows customers, so that requests need a key.
  bool needs_keys() const { return !tables_.customers.empty(); }

 private:
  ForwardingTables tables_;
  /// Of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> customers_by_key_;
};

}  // namespace pollenledge
