#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"

namespace medlarwinch {

/// Why a relay answered a caller with a reset.
enum class FlowResetReason : uint8_t {
  kNoRoute = 0,
  kRouteDropped = 1,
  /// No upstream of the route can take the flow.
  kNoUpstream = 2,
  /// Every agent that could hold the flow denied it.
  kNobodyHolds = 3,
  /// The upstream that held the flow returned its packet.
  kUpstreamLost = 4,
  /// The upstream that held the flow has a new incarnation or is gone.
  kUpstreamRestarted = 5,
};
inline constexpr size_t kFlowResetReasons = 6;
const char* FlowResetReasonName(FlowResetReason reason);

/// Hand the packet in hand to the agent at `to`.
struct RelayToAgent {
  Endpoint to;
  RelayHeader header;
};

/// Hand a packet that was kept to the agent at `to`.
struct RelayKeptPacket {
  Endpoint to;
  RelayHeader header;
  std::vector<uint8_t> packet;
};

/// Deliver the packet in hand to the upstream of this agent.
struct DeliverToUpstream {};

/// Send the packet in hand to the caller.
struct DeliverToCaller {
  Endpoint caller;
};

/// Ask the agent at `to` whether its upstream holds the flow.
struct AskOwnership {
  Endpoint to;
  FlowQuestion question;
};

/// Tell a balancer whether the upstream of this agent holds the flow.
struct TellOwnership {
  Endpoint balancer;
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;
  /// True when the packet in hand goes back with the message.
  bool returns_packet = false;
};

/// End the flow at the caller.
struct ResetCaller {
  FlowTuple flow;
  uint32_t sequence = 0;
  FlowResetReason reason = FlowResetReason::kNoRoute;
};

using RelayAction =
    std::variant<RelayToAgent, RelayKeptPacket, DeliverToUpstream,
                 DeliverToCaller, AskOwnership, TellOwnership, ResetCaller>;
using RelayActions = std::vector<RelayAction>;

}  // namespace medlarwinch
