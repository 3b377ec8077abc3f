#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch {

/// Maximum lifetime of a flow on the platform. State about flows is retained
/// for as long.
inline constexpr Millis kMaxFlowLifetime{60'000};

/// Hash of a service name, the same in every process.
struct ServiceId {
  uint64_t value = 0;

  friend auto operator<=>(const ServiceId&, const ServiceId&) = default;
};

ServiceId MakeServiceId(std::string_view name);

bool Contains(std::span<const ServiceId> services, ServiceId service);

/// 64-bit hash of a flow, the same in every process.
uint64_t HashFlow(const FlowTuple& flow);

/// Why a balancer sends a packet to an agent.
enum class RelayPurpose : uint8_t {
  /// The packet opens a flow.
  kOpen = 0,
  /// The balancer assumes that the agent's upstream owns the flow.
  kEstablished = 1,
  /// The agent could not determine whether its upstream owns the flow; the
  /// packet is delivered to find out.
  kProbe = 2,
};

/// Whether an agent's upstream owns a flow.
enum class FlowOwnership : uint8_t {
  kOwned = 0,
  kNotOwned = 1,
  /// The agent started after the upstream and has not seen the flow.
  kUndetermined = 2,
};

/// The header of a relayed packet.
struct RelayHeader {
  RelayPurpose purpose = RelayPurpose::kOpen;
  /// Address to which the agent replies.
  Endpoint balancer;
  /// The services that the route allows. Agents of other services never deliver
  /// the packet.
  std::vector<ServiceId> allowed;
  /// Agents that may accept an opening packet instead, best first.
  std::vector<Endpoint> alternates;
  /// Number of agents that have forwarded the packet.
  uint8_t hops = 0;

  friend bool operator==(const RelayHeader&, const RelayHeader&) = default;
};

/// Maximum number of alternates and of allowed services in a header.
inline constexpr uint32_t kMaxRelayAlternates = 4;
inline constexpr uint32_t kMaxRelayServices = 8;

/// Queries an agent whether its upstream owns a flow. It contains the caller's
/// acknowledgement instead of the packet, so that querying many agents uses
/// little of a balancer's bandwidth.
struct OwnershipQuery {
  FlowTuple flow;
  uint32_t acknowledged = 0;
  /// The services whose upstreams may own the flow.
  std::vector<ServiceId> allowed;

  friend bool operator==(const OwnershipQuery&,
                         const OwnershipQuery&) = default;
};

/// A flow whose owner is searched for, with the caller's acknowledgement.
struct QueriedFlow {
  FlowTuple flow;
  uint32_t acknowledged = 0;

  friend bool operator==(const QueriedFlow&, const QueriedFlow&) = default;
};

/// Maximum number of flows in an OwnershipBatchQuery and in its reply, so that
/// each fits one datagram.
inline constexpr uint32_t kMaxBatchedFlows = 64;

/// As OwnershipQuery, for several flows whose routes allow the same services.
struct OwnershipBatchQuery {
  std::vector<ServiceId> allowed;
  std::vector<QueriedFlow> flows;

  friend bool operator==(const OwnershipBatchQuery&,
                         const OwnershipBatchQuery&) = default;
};

/// An agent's answer for one flow of a query.
struct ReportedOwnership {
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;

  friend bool operator==(const ReportedOwnership&,
                         const ReportedOwnership&) = default;
};

/// The phase of an upstream as its agent knows it.
enum class UpstreamPhase : uint8_t {
  /// The agent has received nothing from the upstream since the agent started.
  kUnknown = 0,
  kReady = 1,
  /// Keeps its flows and must get no new ones.
  kDraining = 2,
  /// Has deregistered or is known to have exited; it owns no flows.
  kAbsent = 3,
  /// The agent itself is about to restart; flows stay where they are.
  kAgentRestarting = 4,
};

/// Returns the name of `phase` in lower case, for log lines.
const char* UpstreamPhaseName(UpstreamPhase phase);

/// The state that an agent reports to the balancers that poll it.
struct AgentReport {
  ServiceId service;
  /// Distinguishes successive processes at the same address.
  uint64_t agent_boot = 0;
  /// Increases with every report of a process, so that late reports are
  /// ignored.
  uint64_t sequence = 0;
  UpstreamPhase phase = UpstreamPhase::kUnknown;
  uint32_t slots = 0;
  /// Number of flows that the upstream owns.
  uint32_t flows = 0;
  /// Number of requests queued or running at the upstream, averaged over about
  /// one second.
  double mean_outstanding = 0;
  /// Number of requests queued or running at this moment.
  uint32_t outstanding = 0;
  /// True while the upstream is slow after its start.
  bool is_cold = false;

  friend bool operator==(const AgentReport&, const AgentReport&) = default;
};

}  // namespace medlarwinch
