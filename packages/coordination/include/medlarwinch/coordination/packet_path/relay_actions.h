#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "medlarwinch/coordination/packet_path/opening_admission.h"
#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"

namespace medlarwinch {

/// Why a relay reset a caller's flow.
enum class FlowResetReason : uint8_t {
  kNoRoute = 0,
  kRouteDropped = 1,
  /// No upstream of the route can accept the flow.
  kNoUpstream = 2,
  /// Every agent that could own the flow denied ownership.
  kNoOwner = 3,
  /// The upstream that owned the flow returned its packet.
  kUpstreamLost = 4,
  /// The upstream that owned the flow has restarted or is absent.
  kUpstreamRestarted = 5,
  /// All upstreams of the route are in evacuated failure domains.
  kEvacuated = 6,
};
inline constexpr size_t kFlowResetReasons = 7;
/// Number of resets that a relay has sent, by reason.
using FlowResetCounts = std::array<uint64_t, kFlowResetReasons>;
const char* FlowResetReasonName(FlowResetReason reason);

/// Why an agent did not deliver a packet to its upstream.
enum class RefusalReason : uint8_t {
  kOtherService = 0,
  kNotReady = 1,
  kUnresponsive = 2,
  kBusy = 3,
  /// The upstream returned the packet.
  kBounced = 4,
  /// The upstream's failure domain is evacuated.
  kEvacuated = 5,
  /// No balancer has told the agent yet which failure domains are evacuated, or
  /// the limit of its cold upstream.
  kTermsUnknown = 6,
  /// The upstream is cold and has got its openings of the last second.
  kColdLimit = 7,
};
inline constexpr size_t kRefusalReasons = 8;
const char* RefusalReasonName(RefusalReason reason);

/// Why a packet is dropped without a response to the caller.
enum class PacketDropReason : uint8_t {
  /// No agent accepts the opening now; the caller retransmits it.
  kLeftToRetransmission = 0,
  /// Upstreams of the route are starting, or were last seen only a short time
  /// ago.
  kNoUpstreamYet = 1,
  /// No owner of the flow was found, and there is no proof that none exists.
  kOwnerUnproven = 2,
  /// No configuration of this process names the address.
  kRouteNotKnown = 3,
  /// No agent takes the opening, but a later copy may have opened the flow.
  kOutdatedRefusal = 4,
  /// A late copy of an opening whose flow is open, or one that may have waited
  /// unread until the caller's attempt was over.
  kOutdatedOpening = 5,
};
const char* PacketDropReasonName(PacketDropReason reason);

/// Send the current packet to the agent at `to`.
struct RelayToAgent {
  Endpoint to;
  RelayHeader header;
  /// At an agent: why it does not accept the packet itself.
  std::optional<RefusalReason> refusal;
  /// Set for an opening whose receivers all read the extended messages.
  std::optional<OpeningContext> context = std::nullopt;
};

/// Drop the current packet, or the buffered packets of the flow.
struct DropPackets {
  FlowTuple flow;
  PacketDropReason reason = PacketDropReason::kLeftToRetransmission;
};

/// Send a buffered packet to the agent at `to`.
struct RelayBufferedPacket {
  Endpoint to;
  RelayHeader header;
  std::vector<uint8_t> packet;
};

/// Deliver the current packet to the local upstream.
struct DeliverToUpstream {};

/// Send the current packet to the caller.
struct DeliverToCaller {
  Endpoint caller;
};

/// Send the current packet to the caller at `due`.
struct HoldPacket {
  FlowTuple flow;
  TimePoint due;
};

/// Discard the held packets of a flow.
struct DiscardHeld {
  FlowTuple flow;
};

/// Query the agent at `to` whether its upstream owns the flow.
struct SendOwnershipQuery {
  Endpoint to;
  OwnershipQuery query;
};

/// Query the agent at `to` for several flows with one datagram.
struct SendOwnershipBatchQuery {
  Endpoint to;
  OwnershipBatchQuery query;
};

/// Call FlushOwnershipQueries() after kQueryBatchDelay, unless a call is
/// already scheduled.
struct ScheduleQueryFlush {};

/// Reply to a balancer for all flows of an OwnershipBatchQuery.
struct SendOwnershipBatchReply {
  Endpoint balancer;
  std::vector<ReportedOwnership> flows;
};

/// Reply to a balancer whether the local upstream owns the flow.
struct SendOwnershipReply {
  Endpoint balancer;
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;
  /// True when the current packet is returned with the reply.
  bool returns_packet = false;
};

/// Tell the balancer that no agent takes an opening.
struct SendOpeningRefused {
  Endpoint balancer;
  FlowTuple flow;
  OpeningContext context;
};

/// Tell the balancer that no agent takes a copy of an opening now, and that the
/// caller's next copy is awaited.
struct SendOpeningDeclined {
  Endpoint balancer;
  FlowTuple flow;
  uint32_t copy = 0;
};

/// Log the decision on an opening by its class.
struct ReportOpeningDecision {
  FlowTuple flow;
  OpeningDecision decision;
};

/// What a search for the owner of a flow knew of the agents when it concluded
/// that none owns the flow.
struct OwnerSearchEvidence {
  /// Number of agents that denied the flow during the search.
  uint32_t denied = 0;
  /// Number of agents that were left out because of a report that their
  /// upstream is absent.
  uint32_t absent = 0;
  /// Number of agents that were left out because they had not reported.
  uint32_t silent = 0;
  /// Age of the oldest report of absence that was used.
  Millis oldest_absence{0};
  /// Time since the list of agents was requested.
  Millis list_age{0};
  /// Time since the search began.
  Millis search_age{0};

  friend bool operator==(const OwnerSearchEvidence&,
                         const OwnerSearchEvidence&) = default;
};

/// Send a reset to the caller.
struct ResetCaller {
  FlowTuple flow;
  uint32_t sequence = 0;
  FlowResetReason reason = FlowResetReason::kNoRoute;
  /// Set for a balancer's reset with kNoOwner.
  std::optional<OwnerSearchEvidence> evidence = std::nullopt;
};

/// Read the list of agents from the store again, not from a stale copy, and
/// report it with HandleDirectoryRefreshed().
struct RefreshDirectory {};

using RelayAction =
    std::variant<RelayToAgent, RelayBufferedPacket, DeliverToUpstream,
                 DeliverToCaller, SendOwnershipQuery, SendOwnershipBatchQuery,
                 ScheduleQueryFlush, SendOwnershipReply,
                 SendOwnershipBatchReply, SendOpeningRefused,
                 SendOpeningDeclined, RefreshDirectory, DropPackets,
                 ReportOpeningDecision, ResetCaller, HoldPacket, DiscardHeld>;
using RelayActions = std::vector<RelayAction>;

/// Appends `reset` to the actions and counts it.
void AddReset(const ResetCaller& reset, FlowResetCounts& counts,
              RelayActions& actions);

}  // namespace medlarwinch
