#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "medlarwinch/coordination/flow_tracker.h"
#include "medlarwinch/coordination/relay_actions.h"
#include "medlarwinch/coordination/upstream_host.h"

namespace medlarwinch {

/// Agents that may pass one opening packet on; bounds loops between agents with
/// different views.
inline constexpr uint8_t kMaxRelayHops = 4;
/// An upstream that does not answer an opening packet for this long is taken to
/// be unresponsive: it answers within a millisecond even when all its slots are
/// busy.
inline constexpr Millis kOpeningResponseTimeout{150};
/// An upstream that was never heard and leaves probes unanswered for this long
/// is not running: a running one returns them at once.
inline constexpr Millis kProbeResponseTimeout{400};
/// Heartbeats that an upstream may miss, sending nothing else either, before it
/// is taken to be gone.
inline constexpr int64_t kMaxMissedHeartbeats = 3;
/// An upstream that has deregistered and sends nothing for this long is gone.
/// It ends only after its notice was answered; the ends of a flow wait as long
/// before they send a packet again.
inline constexpr Millis kDepartureTimeout{200};

struct AgentCounters {
  uint64_t delivered = 0;
  uint64_t opened = 0;
  uint64_t to_callers = 0;
  uint64_t denied = 0;
  /// Opening packets that were passed on, by the reason.
  std::array<uint64_t, kRefusalReasons> forwarded_openings{};
  /// Opening packets that no other agent could take and that were not reset.
  uint64_t dropped_openings = 0;
  FlowResetCounts resets{};
};

/// The state of an agent's packet path.
struct AgentRelay {
  /// An opening packet that was handed to the upstream and not answered yet.
  struct Opening {
    RelayHeader header;
    TimePoint delivered_at;
  };
  /// A packet of an unknown flow that was handed to the upstream to find out
  /// whether it holds the flow.
  struct Probe {
    Endpoint balancer;
    bool returns_packet = false;
    TimePoint delivered_at;
  };

  ServiceId service;
  LocalUpstream upstream;
  FlowTracker flows;
  std::unordered_map<FlowTuple, Opening, FlowTupleHash> openings;
  std::unordered_map<FlowTuple, Probe, FlowTupleHash> probes;
  /// True when the upstream holds no flow that this agent has not seen.
  bool knows_all_flows = false;
  /// True once the agent was told to stop.
  bool is_stopping = false;
  /// When the upstream was last heard, by any packet or heartbeat; absent
  /// before the first.
  std::optional<TimePoint> upstream_last_contact;
  /// When the first packet since then was delivered that wants an answer.
  std::optional<TimePoint> unanswered_since;
  Millis heartbeat_interval{1'000};
  TimePoint started;
  AgentCounters counters;
};

/// Takes a packet that a balancer or another agent relayed.
void HandleRelayedPacket(AgentRelay& relay, const RelayHeader& header,
                         const FlowPacket& packet, TimePoint now,
                         RelayActions& actions);

/// Answers a balancer that looks for the owner of a flow.
void HandleOwnershipQuery(AgentRelay& relay, const Endpoint& balancer,
                          const OwnershipQuery& query, TimePoint now,
                          RelayActions& actions);

/// Takes a packet that the upstream sent. `packet.is_bounced` tells that it is
/// a caller's packet that the upstream returned.
UpstreamPacketEffect HandleUpstreamPacket(AgentRelay& relay,
                                          const FlowPacket& packet,
                                          TimePoint now, RelayActions& actions);

/// Takes a heartbeat of the upstream; resets the flows of an incarnation that
/// is gone.
HeartbeatEffect HandleUpstreamHeartbeat(AgentRelay& relay,
                                        const UpstreamHeartbeat& heartbeat,
                                        TimePoint now, RelayActions& actions);

/// Takes the upstream's notice that it leaves: it gets no new flows, and keeps
/// its flows until it has been silent for kDepartureTimeout. Returns false when
/// the notice is not from the current incarnation.
bool HandleDeregistration(AgentRelay& relay, const std::string& id,
                          TimePoint now);

/// Renews averages, forgets what is over, and draws conclusions from silence of
/// the upstream. Called every 100 ms or so.
void HandleAgentTick(AgentRelay& relay, TimePoint now, RelayActions& actions);

/// The upstream's phase as the agent reports it: kUnknown while an upstream
/// that was ready does not answer, kAgentRestarting while the agent stops
/// beside one that may hold flows.
UpstreamPhase ReportedPhase(const AgentRelay& relay, TimePoint now);

/// Whether the upstream leaves packets without an answer that it would answer
/// within a millisecond.
bool IsUnresponsive(const AgentRelay& relay, TimePoint now);

}  // namespace medlarwinch
