#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"

namespace medlarwinch {

/// One of the services to which a route sends new flows.
struct RouteTarget {
  ServiceId service;
  /// Share of the new flows, relative to the other targets; above 0.
  double weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// What the desired state says of the flows to one service address.
struct RelayRoute {
  std::string name;
  std::vector<RouteTarget> targets;
  /// Services that an earlier configuration allowed; they may still hold open
  /// flows but get no new ones.
  std::vector<ServiceId> former;

  friend bool operator==(const RelayRoute&, const RelayRoute&) = default;
};

/// A desired state as routing needs it.
struct RelayConfiguration {
  uint64_t version = 0;
  std::map<Endpoint, RelayRoute> routes;
  /// Flows that were idle for longer may be forgotten.
  Millis flow_idle_timeout{0};

  friend bool operator==(const RelayConfiguration&,
                         const RelayConfiguration&) = default;
};

/// The configuration in force and what earlier ones of this process held.
struct RouteTable {
  RelayConfiguration configuration;
  /// Revision of the object that the configuration was read from; 0 before the
  /// first one.
  uint64_t revision = 0;
  /// Addresses that an earlier configuration routed and this one does not.
  std::map<Endpoint, RelayRoute> dropped;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// Puts `configuration` in force unless `revision` is not above the one that
/// is: revisions only rise within a process. Returns whether it was taken.
bool AdoptConfiguration(RouteTable& table, RelayConfiguration configuration,
                        uint64_t revision);

/// Returns the services whose upstreams may hold flows of the route: at most
/// kMaxRelayServices, the targets first.
std::vector<ServiceId> HoldingServices(const RelayRoute& route);

/// Returns the route of `service_address` or null.
const RelayRoute* FindRoute(const RouteTable& table,
                            const Endpoint& service_address);

}  // namespace medlarwinch
