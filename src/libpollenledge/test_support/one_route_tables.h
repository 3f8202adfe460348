#pragma once

#include <cstdint>
#include <string>

#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge::testing {

/// API key of the only customer of `MakeOneRouteTables`.
constexpr char kOneRouteKey[] = "key";

/// Returns tables with one route, "/read/" of host "h", to `service`, with a
/// timeout of 10 s, and one customer.
inline ForwardingTables MakeOneRouteTables(std::uint64_t version,
                                           const std::string& service) {
  ForwardingTables tables;
  tables.version = version;
  ForwardingRoute route;
  route.name = "read";
  route.host = "h";
  route.path_prefix = "/read/";
  route.services = {{service, 1}};
  route.timeout = std::chrono::seconds(10);
  tables.routes = {route};
  tables.services = {{.name = service}};
  tables.access = KnownCustomers{{{.name = "c", .api_keys = {kOneRouteKey}}}};
  return tables;
}

}  // namespace pollenledge::testing
