#include "pollenledge/version/forwarding_tables.h"

#include <algorithm>
#include <utility>

namespace pollenledge {

const char* ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non_idempotent";
    case RouteKind::kStreaming:
      return "streaming";
  }
  return "?";
}

const ForwardingService* ForwardingTables::FindService(
    const std::string& name) const {
  for (const ForwardingService& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

const std::vector<ForwardingCustomer>& ForwardingTables::customers() const {
  static const std::vector<ForwardingCustomer> kNone;
  const auto* known = std::get_if<KnownCustomers>(&access);
  return known == nullptr ? kNone : known->customers;
}

ForwardingIndex::ForwardingIndex(ForwardingTables tables, std::string document)
    : tables_(std::move(tables)), document_(std::move(document)) {
  for (std::size_t i = 0; i < tables_.routes.size(); ++i) {
    routes_by_host_[tables_.routes[i].host].push_back(i);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [this](std::size_t a, std::size_t b) {
                       return tables_.routes[a].path_prefix.size() >
                              tables_.routes[b].path_prefix.size();
                     });
  }
  const std::vector<ForwardingCustomer>& customers = tables_.customers();
  for (std::size_t i = 0; i < customers.size(); ++i) {
    for (const std::string& key : customers[i].api_keys) {
      // A request without a key belongs to nobody.
      if (!key.empty()) customers_by_key_[key] = i;
    }
  }
}

const ForwardingRoute* ForwardingIndex::FindRoute(std::string_view host,
                                                  std::string_view path) const {
  const std::string name(host.substr(0, host.find(':')));
  const auto found = routes_by_host_.find(name);
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t i : found->second) {
    const ForwardingRoute& route = tables_.routes[i];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix)
      return &route;
  }
  return nullptr;
}

const ForwardingCustomer* ForwardingIndex::FindCustomer(
    const std::string& api_key) const {
  const auto found = customers_by_key_.find(api_key);
  return found == customers_by_key_.end() ? nullptr
                                          : &tables_.customers()[found->second];
}

}  // namespace pollenledge
