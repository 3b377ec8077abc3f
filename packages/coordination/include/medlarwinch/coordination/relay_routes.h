#pragma once

#include <cstddef>
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
  /// Services whose upstreams may hold flows: the targets, then those that an
  /// earlier configuration of this process allowed, which get no new flows; at
  /// most kMaxRelayServices. ApplyConfiguration() fills it in.
  std::vector<ServiceId> owner_services = {};
  /// The first services in `holding` that get new flows.
  size_t accepting_count = 0;

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
  /// Addresses that an earlier configuration routed and this one does not, and
  /// when they were dropped; forgotten after kFlowLifetime.
  std::map<Endpoint, TimePoint> removed;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// Puts `configuration` in force unless `revision` is not above the one that
/// is: revisions only rise within a process. Returns whether it was taken.
bool ApplyConfiguration(RouteTable& table, RelayConfiguration configuration,
                        uint64_t revision, TimePoint now);

/// True when the route sends new flows to `service`.
bool HasTarget(const RelayRoute& route, ServiceId service);

/// Returns the route of `service_address` or null.
const RelayRoute* FindRoute(const RouteTable& table,
                            const Endpoint& service_address);

}  // namespace medlarwinch
