#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge::testing {

/// Random choices that the seed determines.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a number from `least` to `most`.
  int Uniform(int least, int most) {
    return std::uniform_int_distribution<>(least, most)(engine_);
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(engine_);
  }
  template <typename Value>
  Value AnyOf(const std::vector<Value>& values) {
    return values[static_cast<std::size_t>(
        Uniform(0, static_cast<int>(values.size()) - 1))];
  }

 private:
  std::mt19937_64 engine_;
};

/// Tables of routes "r0" to "r7" of all kinds, services "a" to "c" and the
/// customers "c0" to "c2". Any of them may be missing, and all else differs
/// from one version to the next.
class RandomTables {
 public:
  static constexpr int kRoutes = 8;
  static constexpr int kCustomers = 3;
  static constexpr Duration kLongestTimeout = std::chrono::seconds(6);

  explicit RandomTables(RandomSource* random) : random_(*random) {}

  ForwardingTables Make(std::uint64_t version) {
    ForwardingTables tables;
    tables.version = version;
    for (int i = 0; i < kRoutes; ++i) {
      if (random_.Chance(0.9)) AddRoute(i, &tables);
    }
    for (const char* name : {"a", "b", "c"}) {
      if (random_.Chance(0.9)) tables.services.push_back(MakeService(name));
    }
    tables.access = MakeAccess();
    return tables;
  }

 private:
  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);

  void AddRoute(int number, ForwardingTables* tables) {
    tables->routes.push_back(MakeRoute(number));
    if (random_.Chance(0.8)) return;
    // A part of the route is split off.
    ForwardingRoute part = MakeRoute(number);
    part.name += "-part";
    part.path_prefix += "part/";
    tables->routes.push_back(part);
  }

  ForwardingRoute MakeRoute(int number) {
    ForwardingRoute route;
    route.name = "r" + std::to_string(number);
    route.host = "h";
    route.path_prefix = "/" + route.name + "/";
    route.kind = KindOf(number);
    route.services = {{random_.AnyOf<std::string>({"a", "b", "c"}), 1}};
    if (random_.Chance(0.3)) route.services.push_back({"b", 0.5});
    if (random_.Chance(0.02)) route.services.clear();
    route.timeout = random_.AnyOf<Duration>(
        {300 * kMillisecond, 2000 * kMillisecond, kLongestTimeout});
    route.latency_target = random_.AnyOf<int>({50, 100, 400}) * kMillisecond;
    route.event_gap_target = random_.AnyOf<int>({50, 100, 400}) * kMillisecond;
    route.priority = random_.Uniform(0, 5);
    route.resumable = number >= 5;
    route.max_attempts = route.IsRetrySafe() ? random_.Uniform(1, 4) : 1;
    route.is_public = random_.Chance(0.3);
    route.prefix_affinity = random_.Chance(0.5);
    return route;
  }

  static RouteKind KindOf(int number) {
    if (number < 2) return RouteKind::kIdempotent;
    return number < 3 ? RouteKind::kNonIdempotent : RouteKind::kStreaming;
  }

  ForwardingService MakeService(const std::string& name) {
    ForwardingService service;
    service.name = name;
    if (random_.Chance(0.8))
      service.engine = EngineTraits{.slots = random_.Uniform(1, 6)};
    return service;
  }

  CallerAccess MakeAccess() {
    if (random_.Chance(0.02)) return AnyCaller{};
    KnownCustomers known;
    if (random_.Chance(0.02)) return known;
    for (int i = 0; i < kCustomers; ++i) {
      if (random_.Chance(0.95)) known.customers.push_back(MakeCustomer(i));
    }
    return known;
  }

  ForwardingCustomer MakeCustomer(int number) {
    const std::string suffix = std::to_string(number);
    ForwardingCustomer customer;
    customer.name = "c" + suffix;
    if (random_.Chance(0.95)) customer.api_keys = {"key" + suffix};
    if (random_.Chance(0.5)) customer.priority = random_.Uniform(0, 5);
    customer.limit_per_s = random_.AnyOf<double>({0, 0, 0, 5, 50000});
    customer.burst = customer.limit_per_s;
    customer.limit_counts_tokens = random_.Chance(0.5);
    return customer;
  }

  RandomSource& random_;
};

}  // namespace pollenledge::testing
