#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

enum class NodeRole : uint8_t { kBalancer, kAgent };

/// Features that a deployment's settings ask for.
struct NodeFeatures {
  /// Failure domains may be evacuated.
  bool evacuations = false;
  /// Upstreams that fail requests get fewer new flows.
  bool outlier_detection = false;
  /// Openings are admitted by the class of their route.
  bool admission_by_class = false;
  /// New flows leave their failure domain by expected wait.
  bool domain_spill = false;

  friend bool operator==(const NodeFeatures&, const NodeFeatures&) = default;
};

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
  NodeFeatures features;
  /// Rate of this VM's network link in kbit/s; 0 if the settings name none.
  uint32_t link_kbps = 0;
  /// Time from the stop request until the platform kills the process.
  Millis stop_grace_period{6'000};

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace medlarwinch
