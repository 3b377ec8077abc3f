#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch {

/// Longest life of a flow on the platform. What is known of flows is kept for
/// as long.
inline constexpr Millis kFlowLifetime{60'000};

/// Hash of a service's name, the same in every process.
struct ServiceId {
  uint64_t value = 0;

  friend auto operator<=>(const ServiceId&, const ServiceId&) = default;
};

ServiceId MakeServiceId(std::string_view name);

/// True when `services` contains `service`.
bool Contains(std::span<const ServiceId> services, ServiceId service);

/// 64-bit hash of a flow, the same in every process.
uint64_t HashFlow(const FlowTuple& flow);

/// Why a balancer hands a packet to an agent.
enum class RelayPurpose : uint8_t {
  /// The packet opens a flow.
  kOpen = 0,
  /// The balancer believes that the agent's upstream holds the flow.
  kEstablished = 1,
  /// The agent could not tell whether its upstream holds the flow; the packet
  /// finds out.
  kProbe = 2,
};

/// An agent's answer to the question whether its upstream holds a flow.
enum class FlowOwnership : uint8_t {
  kOwned = 0,
  kNotOwned = 1,
  /// The agent started after the upstream and has not seen the flow.
  kUndetermined = 2,
};

/// What accompanies a relayed packet.
struct RelayHeader {
  RelayPurpose purpose = RelayPurpose::kOpen;
  /// Where the agent's answers go.
  Endpoint balancer;
  /// The services that the route allows; an agent of any other service never
  /// delivers the packet.
  std::vector<ServiceId> allowed;
  /// Agents that may take an opening packet instead, best first.
  std::vector<Endpoint> alternates;
  /// Agents that have passed the packet on.
  uint8_t hops = 0;

  friend bool operator==(const RelayHeader&, const RelayHeader&) = default;
};

/// Largest number of alternates and of allowed services in a header.
inline constexpr uint32_t kMaxRelayAlternates = 4;
inline constexpr uint32_t kMaxRelayServices = 8;

/// Asks an agent whether its upstream holds a flow. It names what the caller
/// acknowledged instead of carrying the packet, so that asking many agents
/// takes little of a balancer's link.
struct OwnershipQuery {
  FlowTuple flow;
  uint32_t acknowledged = 0;
  /// The services whose upstreams may hold the flow.
  std::vector<ServiceId> allowed;

  friend bool operator==(const OwnershipQuery&,
                         const OwnershipQuery&) = default;
};

/// Where an upstream is in its life, as its agent knows it.
enum class UpstreamPhase : uint8_t {
  /// The agent has not heard from the upstream since the agent started.
  kUnknown = 0,
  kReady = 1,
  /// Keeps its flows and must get no new ones.
  kDraining = 2,
  /// Has deregistered or is known to be gone; it holds no flow.
  kAbsent = 3,
  /// The agent itself is about to restart; flows stay where they are.
  kAgentRestarting = 4,
};

/// Name of `phase` in lower case, for log lines.
const char* UpstreamPhaseName(UpstreamPhase phase);

/// The state that an agent reports to the balancers that poll it.
struct AgentReport {
  ServiceId service;
  /// Distinguishes the processes that served at the same address.
  uint64_t agent_boot = 0;
  /// Grows with every report of one process, so that a late one is ignored.
  uint64_t sequence = 0;
  UpstreamPhase phase = UpstreamPhase::kUnknown;
  uint32_t slots = 0;
  /// Flows that the upstream holds.
  uint32_t flows = 0;
  /// Requests that wait or run at the upstream now, averaged over about a
  /// second.
  double mean_outstanding = 0;
  /// Requests that wait or run at this moment.
  uint32_t outstanding = 0;
  /// True while the upstream is slow after its start.
  bool is_cold = false;

  friend bool operator==(const AgentReport&, const AgentReport&) = default;
};

}  // namespace medlarwinch
