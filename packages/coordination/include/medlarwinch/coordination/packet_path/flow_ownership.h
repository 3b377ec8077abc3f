#pragma once

#include "medlarwinch/coordination/packet_path/agent_relay.h"

namespace medlarwinch {

/// Returns whether the agent's upstream owns a flow. kNotOwned is a proof; when
/// the agent can't prove it, the answer is kUndetermined, and the upstream
/// itself has to be sent a packet of the flow, which it returns if it does not
/// own it.
FlowOwnership DetermineOwnership(const AgentRelay& relay,
                                 const QueriedFlow& queried, TimePoint now);

/// Answers a balancer that searches for the owner of a flow.
void HandleOwnershipQuery(AgentRelay& relay, const Endpoint& balancer,
                          const OwnershipQuery& query, TimePoint now,
                          RelayActions& actions);

/// As HandleOwnershipQuery(), for several flows.
void HandleOwnershipBatchQuery(const AgentRelay& relay,
                               const Endpoint& balancer,
                               const OwnershipBatchQuery& query, TimePoint now,
                               RelayActions& actions);

/// Processes a caller's packet that opens no flow. It is delivered if the
/// upstream owns the flow, or as a probe if only the upstream can tell. A probe
/// reaches an upstream of another service than those allowed only when the
/// balancer asks for it: no agent of the allowed services owns the flow.
void HandleFlowPacket(AgentRelay& relay, const RelayHeader& header,
                      const FlowPacket& packet, TimePoint now,
                      RelayActions& actions);

/// Processes a packet other than an opening that the upstream returned.
void HandleBouncedFlowPacket(AgentRelay& relay, const FlowPacket& packet,
                             TimePoint now, RelayActions& actions);

/// Processes a packet of `flow` from the upstream while a probe is unanswered:
/// the upstream owns the flow.
void ConfirmProbe(AgentRelay& relay, const FlowTuple& flow,
                  RelayActions& actions);

/// Tells the balancers that await the result of a probe of `flow` that the
/// upstream does not own it, and removes the probe. Returns false if there is
/// none.
bool DenyProbe(AgentRelay& relay, const FlowTuple& flow, bool has_packet,
               RelayActions& actions);

/// Replies to all unanswered probes that the upstream does not own the flow.
void DenyProbes(AgentRelay& relay, RelayActions& actions);

}  // namespace medlarwinch
