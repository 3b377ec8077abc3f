#pragma once

#include <optional>

#include "medlarwinch/coordination/packet_path/agent_relay.h"

namespace medlarwinch {

/// Maximum number of times an opening packet is forwarded between agents.
/// Prevents loops between agents with different views of the cluster.
inline constexpr uint8_t kMaxRelayHops = 4;

/// Processes a packet that opens a flow: delivers it, forwards it to the next
/// agent, or leaves it to the caller's next copy. Drops a packet that may have
/// `waited` unread until the end of the caller's attempt: an upstream would
/// only keep a flow that nobody uses.
void HandleOpening(AgentRelay& relay, const RelayHeader& header,
                   const std::optional<OpeningContext>& context,
                   const FlowPacket& packet, Millis waited, TimePoint now,
                   RelayActions& actions);

/// Processes an opening that the upstream returned.
void HandleBouncedOpening(AgentRelay& relay, const FlowPacket& packet,
                          TimePoint now, RelayActions& actions);

}  // namespace medlarwinch
