#include "medlarwinch/coordination/packet_path/relay_routes.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

void AddOwnerService(RelayRoute& route, ServiceId service) {
  if (route.owner_services.size() >= kMaxRelayServices) return;
  if (Contains(route.owner_services, service)) return;
  route.owner_services.push_back(service);
}

}  // namespace

std::string ServiceName(const RelayConfiguration& configuration,
                        ServiceId service) {
  const auto name = configuration.service_names.find(service);
  return name != configuration.service_names.end()
             ? name->second
             : std::to_string(service.value);
}

bool ApplyConfiguration(RouteTable& table, RelayConfiguration configuration,
                        const StoreRevision& revision, TimePoint now) {
  if (table.is_loaded) {
    const uint64_t active_version = table.configuration.version;
    if (configuration.version == active_version) table.revision = revision;
    if (configuration.version <= active_version) return false;
  }
  for (auto& [address, route] : configuration.routes) {
    route.owner_services.clear();
    for (const RouteTarget& target : route.targets) {
      AddOwnerService(route, target.service);
    }
    route.accepting_count = route.owner_services.size();
    table.removed.erase(address);
  }
  for (const auto& [address, previous] : table.configuration.routes) {
    const auto current = configuration.routes.find(address);
    if (current == configuration.routes.end()) {
      table.removed.insert_or_assign(address, now);
      continue;
    }
    for (const ServiceId service : previous.owner_services) {
      AddOwnerService(current->second, service);
    }
  }
  std::erase_if(table.removed, [now](const auto& entry) {
    return now - entry.second >= kMaxFlowLifetime;
  });
  table.configuration = std::move(configuration);
  table.is_loaded = true;
  table.revision = revision;
  return true;
}

bool HasTarget(const RelayRoute& route, ServiceId service) {
  return std::any_of(
      route.targets.begin(), route.targets.end(),
      [&](const RouteTarget& target) { return target.service == service; });
}

const RelayRoute* FindRoute(const RouteTable& table,
                            const Endpoint& service_address) {
  const auto found = table.configuration.routes.find(service_address);
  return found == table.configuration.routes.end() ? nullptr : &found->second;
}

}  // namespace medlarwinch
