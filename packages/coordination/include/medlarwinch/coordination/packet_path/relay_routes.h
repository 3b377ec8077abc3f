#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/coordination/shared/store_revision.h"

namespace medlarwinch {

/// A service to which a route sends new flows.
struct RouteTarget {
  ServiceId service;
  /// Share of the new flows relative to the other targets; greater than 0.
  double weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// The route of one service address in the desired state.
struct RelayRoute {
  std::string name;
  std::vector<RouteTarget> targets;
  /// Services whose upstreams may own flows of the route: the targets, followed
  /// by services that an earlier configuration of this process allowed and that
  /// get no new flows. At most kMaxRelayServices. Set by ApplyConfiguration().
  std::vector<ServiceId> owner_services = {};
  /// Number of services at the front of `owner_services` that get new flows.
  size_t accepting_count = 0;
  RouteTerms terms = {};

  friend bool operator==(const RelayRoute&, const RelayRoute&) = default;
};

/// The part of the desired state that routing needs.
struct RelayConfiguration {
  /// Given by the operators; rises with each change.
  uint64_t version = 0;
  std::map<Endpoint, RelayRoute> routes;
  std::map<ServiceId, ServiceTerms> services;
  /// Names of `services`, for logs and metrics.
  std::map<ServiceId, std::string> service_names;
  /// Flows that were idle for longer may be removed.
  Millis flow_idle_timeout{0};

  friend bool operator==(const RelayConfiguration&,
                         const RelayConfiguration&) = default;
};

/// Returns the service's name, or its hash if the configuration names none.
std::string ServiceName(const RelayConfiguration& configuration,
                        ServiceId service);

/// The active configuration, and the routes that earlier configurations of this
/// process had.
struct RouteTable {
  RelayConfiguration configuration;
  /// False before the first configuration.
  bool is_loaded = false;
  /// Revision of the object from which the configuration was last read.
  StoreRevision revision;
  /// Addresses that an earlier configuration routed and the active one does
  /// not, with the time of removal. Removed from this map after
  /// kMaxFlowLifetime.
  std::map<Endpoint, TimePoint> removed;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// Activates `configuration`, read at `revision`, unless its version is not
/// higher than the active one. Versions order configurations and not revisions,
/// which a restored store gives out again. Returns whether it was activated.
bool ApplyConfiguration(RouteTable& table, RelayConfiguration configuration,
                        const StoreRevision& revision, TimePoint now);

/// Returns true if the route sends new flows to `service`.
bool HasTarget(const RelayRoute& route, ServiceId service);

/// Returns the route of `service_address` or null.
const RelayRoute* FindRoute(const RouteTable& table,
                            const Endpoint& service_address);

}  // namespace medlarwinch
