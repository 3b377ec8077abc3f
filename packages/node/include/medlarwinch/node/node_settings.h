#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

enum class NodeRole : uint8_t { kBalancer, kAgent };

/// What a node on the users' platform is told about itself.
struct NodeSettings {
  std::string name;
  NodeRole role = NodeRole::kBalancer;
  std::string failure_domain;
  /// Where callers' packets arrive at a balancer, and relayed packets at an
  /// agent.
  Endpoint datagram_address;
  /// Where a balancer receives the answers of agents.
  Endpoint relay_address;
  Endpoint readiness_address;
  /// Where the metrics are served.
  Endpoint metrics_address;
  /// Agents: where the upstream sends its packets and its heartbeats.
  Endpoint upstream_packet_address;
  Endpoint heartbeat_address;
  /// Agents: where the upstream receives packets, and its service.
  Endpoint upstream_address;
  std::string service;
  /// Agents: time between two heartbeats of the upstream.
  Millis heartbeat_interval{1'000};
  Endpoint store_address;
  /// Time between the request to stop and the end of the process by force.
  Millis stop_grace_period{6'000};

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace medlarwinch
