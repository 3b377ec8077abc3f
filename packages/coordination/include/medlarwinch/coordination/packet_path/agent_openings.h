#pragma once

#include <optional>

#include "medlarwinch/coordination/packet_path/agent_relay.h"

namespace medlarwinch {

/// Maximum number of times an opening packet is forwarded between agents.
/// Prevents loops between agents with different views of the cluster.
inline constexpr uint8_t kMaxRelayHops = 4;

/// Processes a packet that opens a flow: delivers it, forwards it to the next
/// agent, or leaves it to the caller's next copy.
void HandleOpening(AgentRelay& relay, const RelayHeader& header,
                   const std::optional<OpeningContext>& context,
                   const FlowPacket& packet, TimePoint now,
                   RelayActions& actions);

/// Processes an opening that the upstream returned.
void HandleBouncedOpening(AgentRelay& relay, const FlowPacket& packet,
                          TimePoint now, RelayActions& actions);

}  // namespace medlarwinch
