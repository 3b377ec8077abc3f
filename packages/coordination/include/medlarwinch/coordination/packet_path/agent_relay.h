#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "medlarwinch/coordination/packet_path/ack_pacing.h"
#include "medlarwinch/coordination/packet_path/flow_history.h"
#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "medlarwinch/coordination/packet_path/local_upstream.h"
#include "medlarwinch/coordination/packet_path/opening_gate.h"
#include "medlarwinch/coordination/packet_path/relay_actions.h"

namespace medlarwinch {

struct AgentCounters {
  uint64_t delivered = 0;
  uint64_t opened = 0;
  uint64_t to_callers = 0;
  uint64_t denied = 0;
  /// Opening packets that were forwarded to another agent, by reason.
  std::array<uint64_t, kRefusalReasons> forwarded_openings{};
  /// Opening packets that no other agent could take and that were not answered
  /// with a reset.
  uint64_t dropped_openings = 0;
  /// Late copies of openings: the flow is open, or the caller's attempt may
  /// have ended while the agent did not read its socket.
  uint64_t outdated_openings = 0;
  /// Opening packets of which the balancer was told that no agent takes them.
  uint64_t refused_openings = 0;
  FlowResetCounts resets{};
};

/// Maximum number of balancers that are told the result of a probe.
inline constexpr size_t kMaxProbeRecipients = 8;

/// The state of an agent's packet path.
struct AgentRelay {
  /// An opening packet that was delivered to the upstream and is not answered
  /// yet.
  struct Opening {
    RelayHeader header;
    std::optional<OpeningContext> context;
    /// Sequence number of the opening packet.
    uint32_t sequence = 0;
    TimePoint delivered_at;
  };
  /// A packet of an unknown flow that was delivered to the upstream to find out
  /// whether it owns the flow.
  struct Probe {
    /// A balancer that awaits the result. With `returns_packet` it gets the
    /// packet back if the upstream does not own the flow.
    struct Recipient {
      Endpoint balancer;
      bool returns_packet = false;
    };

    /// The balancers between which the routers moved the flow; at most
    /// kMaxProbeRecipients, each once.
    std::vector<Recipient> recipients;
    /// The caller's acknowledgement in the packet.
    uint32_t acknowledged = 0;
    TimePoint delivered_at;
  };

  ServiceId service;
  LocalUpstream upstream;
  FlowTracker flow_tracker;
  std::unordered_map<FlowTuple, Opening, FlowTupleHash> openings;
  std::unordered_map<FlowTuple, Probe, FlowTupleHash> probes;
  FlowHistory flow_history;
  OpeningGate gate;
  AckPacing ack_pacing;
  /// True if openings whose route has a latency objective are admitted by their
  /// class.
  bool admits_by_class = false;
  WorkTime work_time;
  AdmissionHistory admission;
  /// True while the store does not list the agent because the agent has removed
  /// its entry. Balancers that start would not find flows opened meanwhile.
  bool is_entry_removed = false;
  /// True once the agent was requested to stop.
  bool is_stopping = false;
  /// Time of the last packet or heartbeat from the upstream; empty before the
  /// first one.
  std::optional<TimePoint> upstream_last_contact;
  /// Time at which the first opening was delivered since the last contact.
  std::optional<TimePoint> unanswered_since;
  /// Start of the last check whether the upstream runs.
  std::optional<TimePoint> upstream_checked_at;
  /// True if the upstream has sent anything since that check began.
  bool was_heard_since_check = false;
  /// Time of the last connection that the upstream accepted.
  std::optional<TimePoint> upstream_accepted_at;
  /// Time until which the agent itself was late, so that heartbeats may have
  /// waited unread.
  TimePoint late_until;
  Millis heartbeat_interval{1'000};
  TimePoint started;
  AgentCounters counters;
};

/// Processes a packet relayed by a balancer or by another agent. `context` is
/// set for an opening from a balancer that sends extended messages; `waited` is
/// how long an opening may have been unread.
void HandleRelayedPacket(AgentRelay& relay, const RelayHeader& header,
                         const std::optional<OpeningContext>& context,
                         const FlowPacket& packet, Millis waited, TimePoint now,
                         RelayActions& actions);

/// Processes a packet from the upstream. `packet.is_bounced` marks a caller's
/// packet that the upstream returned.
UpstreamPacketEffect HandleUpstreamPacket(AgentRelay& relay,
                                          const FlowPacket& packet,
                                          TimePoint now, RelayActions& actions);

/// Records that the agent was requested to stop. Whether the upstream still
/// runs is checked at once: without an upstream, the agent has nothing to come
/// back for, and balancers need not keep flows for it.
void BeginAgentStop(AgentRelay& relay);

/// Processes a heartbeat of the upstream. Resets the flows of the previous
/// incarnation if the upstream is known to have restarted.
HeartbeatEffect HandleUpstreamHeartbeat(AgentRelay& relay,
                                        const UpstreamHeartbeat& heartbeat,
                                        TimePoint now, RelayActions& actions);

/// Processes the upstream's notice of its deregistration: it gets no new flows,
/// and keeps its flows until it has exited. Returns false when the notice is
/// not from the present incarnation.
bool HandleDeregistration(AgentRelay& relay,
                          const UpstreamDeregistration& notice, TimePoint now);

/// Removes all flows of the upstream and resets those that are open.
void ResetAllFlows(AgentRelay& relay, TimePoint now, RelayActions& actions);

}  // namespace medlarwinch
