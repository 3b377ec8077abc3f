#pragma once

#include <array>
#include <cstdint>
#include <optional>
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
  kNoOwner = 3,
  /// The upstream that held the flow returned its packet.
  kUpstreamLost = 4,
  /// The upstream that held the flow has a new incarnation or is gone.
  kUpstreamRestarted = 5,
};
inline constexpr size_t kFlowResetReasons = 6;
/// Resets that a relay has sent, by reason.
using FlowResetCounts = std::array<uint64_t, kFlowResetReasons>;
const char* FlowResetReasonName(FlowResetReason reason);

/// Why an agent did not hand a packet to its upstream.
enum class RefusalReason : uint8_t {
  kOtherService = 0,
  kNotReady = 1,
  kUnresponsive = 2,
  kBusy = 3,
  /// The upstream returned the packet.
  kBounced = 4,
};
inline constexpr size_t kRefusalReasons = 5;
const char* RefusalReasonName(RefusalReason reason);

/// Why a packet goes nowhere, without an answer to its caller.
enum class PacketDropReason : uint8_t {
  /// No agent takes the opening now; the caller sends it again.
  kLeftToRetransmission = 0,
  /// Upstreams of the route are starting or have only just fallen silent.
  kNoUpstreamYet = 1,
  /// Nobody was found to hold the flow, and there is no proof that nobody does.
  kOwnerUnproven = 2,
  /// No configuration of this process names the address.
  kRouteNotKnown = 3,
};
const char* PacketDropReasonName(PacketDropReason reason);

/// Hand the packet in hand to the agent at `to`.
struct RelayToAgent {
  Endpoint to;
  RelayHeader header;
  /// At an agent: why it does not take the packet itself.
  std::optional<RefusalReason> refusal;
};

/// The packet in hand, or kept ones of the flow, go nowhere.
struct DropPackets {
  FlowTuple flow;
  PacketDropReason reason = PacketDropReason::kLeftToRetransmission;
};

/// Hand a packet that was kept to the agent at `to`.
struct RelayBufferedPacket {
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
struct SendOwnershipQuery {
  Endpoint to;
  OwnershipQuery query;
};

/// Tell a balancer whether the upstream of this agent holds the flow.
struct SendOwnershipReply {
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

/// Read the store's list of agents anew, not from a stale copy, and report it
/// by HandleDirectoryRefreshed().
struct RefreshDirectory {};

using RelayAction =
    std::variant<RelayToAgent, RelayBufferedPacket, DeliverToUpstream,
                 DeliverToCaller, SendOwnershipQuery, SendOwnershipReply,
                 RefreshDirectory, DropPackets, ResetCaller>;
using RelayActions = std::vector<RelayAction>;

/// Adds `reset` to the actions and counts it.
void AddReset(const ResetCaller& reset, FlowResetCounts& counts,
              RelayActions& actions);

}  // namespace medlarwinch
