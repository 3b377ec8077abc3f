#include "medlarwinch/coordination/relay_routes.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

bool HasTarget(const RelayRoute& route, ServiceId service) {
  return std::any_of(
      route.targets.begin(), route.targets.end(),
      [&](const RouteTarget& target) { return target.service == service; });
}

// Carries the services that may hold flows from `before` over to `route`.
void KeepFormerServices(const RelayRoute& before, RelayRoute& route) {
  for (const ServiceId service : HoldingServices(before)) {
    if (HasTarget(route, service)) continue;
    route.former.push_back(service);
  }
}

}  // namespace

bool AdoptConfiguration(RouteTable& table, RelayConfiguration configuration,
                        uint64_t revision) {
  if (revision <= table.revision) return false;
  for (auto& [address, route] : table.configuration.routes) {
    const auto kept = configuration.routes.find(address);
    if (kept != configuration.routes.end()) {
      KeepFormerServices(route, kept->second);
      continue;
    }
    table.dropped.insert_or_assign(address, std::move(route));
  }
  for (const auto& [address, route] : configuration.routes) {
    table.dropped.erase(address);
  }
  table.configuration = std::move(configuration);
  table.revision = revision;
  return true;
}

std::vector<ServiceId> HoldingServices(const RelayRoute& route) {
  std::vector<ServiceId> services;
  for (const RouteTarget& target : route.targets) {
    if (services.size() >= kMaxRelayServices) return services;
    services.push_back(target.service);
  }
  for (const ServiceId service : route.former) {
    if (services.size() >= kMaxRelayServices) return services;
    services.push_back(service);
  }
  return services;
}

const RelayRoute* FindRoute(const RouteTable& table,
                            const Endpoint& service_address) {
  const auto found = table.configuration.routes.find(service_address);
  return found == table.configuration.routes.end() ? nullptr : &found->second;
}

}  // namespace medlarwinch
