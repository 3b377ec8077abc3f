#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

enum class NodeRole : uint8_t { kBalancer, kAgent };

/// Settings of one balancer or agent on the users' platform.
struct NodeSettings {
  std::string name;
  NodeRole role = NodeRole::kBalancer;
  std::string failure_domain;
  /// Local address: a balancer receives callers' packets here, an agent relayed
  /// packets.
  Endpoint datagram_address;
  /// Balancers: local address for messages from agents.
  Endpoint relay_address;
  Endpoint readiness_address;
  /// Local address of the metrics server.
  Endpoint metrics_address;
  /// Agents: local addresses to which the upstream sends its packets and its
  /// notices (heartbeats and deregistrations).
  Endpoint upstream_packet_address;
  Endpoint notice_address;
  /// Agents: address at which the upstream receives packets, and its service.
  Endpoint upstream_address;
  std::string service;
  /// Agents: interval between heartbeats of the upstream.
  Millis heartbeat_interval{1'000};
  Endpoint store_address;
  /// Time from the stop request until the platform kills the process.
  Millis stop_grace_period{6'000};

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace medlarwinch
