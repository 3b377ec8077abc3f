#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "medlarwinch/coordination/packet_path/local_upstream.h"
#include "medlarwinch/coordination/packet_path/relay_actions.h"

namespace medlarwinch {

/// Maximum number of times an opening packet is forwarded between agents.
/// Prevents loops between agents with different views of the cluster.
inline constexpr uint8_t kMaxRelayHops = 4;
/// An upstream that leaves an opening packet unanswered for this long is
/// unresponsive. A healthy upstream answers within a millisecond, even when all
/// its slots are busy.
inline constexpr Millis kOpeningResponseTimeout{150};
/// An upstream from which nothing was received and that leaves probes
/// unanswered for this long is not running. A running upstream returns probes
/// at once.
inline constexpr Millis kProbeResponseTimeout{400};
/// Number of consecutive heartbeats that an upstream may miss, with no other
/// traffic from it, before it is considered absent.
inline constexpr int64_t kMaxMissedHeartbeats = 3;
/// A deregistered upstream that sends nothing for this long has exited. It
/// exits only after its notice was acknowledged, and both ends of a flow wait
/// this long before they retransmit a packet.
inline constexpr Millis kDepartureTimeout{200};

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
  /// Opening packets of which the balancer was told that no agent takes them.
  uint64_t refused_openings = 0;
  FlowResetCounts resets{};
};

/// The state of an agent's packet path.
struct AgentRelay {
  /// An opening packet that was delivered to the upstream and is not answered
  /// yet.
  struct Opening {
    RelayHeader header;
    std::optional<OpeningContext> context;
    TimePoint delivered_at;
  };
  /// A packet of an unknown flow that was delivered to the upstream to find out
  /// whether it owns the flow.
  struct Probe {
    Endpoint balancer;
    bool returns_packet = false;
    TimePoint delivered_at;
  };

  ServiceId service;
  LocalUpstream upstream;
  FlowTracker flow_tracker;
  std::unordered_map<FlowTuple, Opening, FlowTupleHash> openings;
  std::unordered_map<FlowTuple, Probe, FlowTupleHash> probes;
  /// True when the upstream owns no flow that this agent has not seen.
  bool knows_all_flows = false;
  /// True once the agent was requested to stop.
  bool is_stopping = false;
  /// Time of the last packet or heartbeat from the upstream; empty before the
  /// first one.
  std::optional<TimePoint> upstream_last_contact;
  /// Time at which the first packet that requires an answer was delivered since
  /// the last contact.
  std::optional<TimePoint> unanswered_since;
  /// Start of the last check whether the upstream runs.
  std::optional<TimePoint> upstream_checked_at;
  Millis heartbeat_interval{1'000};
  TimePoint started;
  AgentCounters counters;
};

/// Processes a packet relayed by a balancer or by another agent. `context` is
/// set for an opening from a balancer that sends extended messages.
void HandleRelayedPacket(AgentRelay& relay, const RelayHeader& header,
                         const std::optional<OpeningContext>& context,
                         const FlowPacket& packet, TimePoint now,
                         RelayActions& actions);

/// Answers a balancer that searches for the owner of a flow.
void HandleOwnershipQuery(AgentRelay& relay, const Endpoint& balancer,
                          const OwnershipQuery& query, TimePoint now,
                          RelayActions& actions);

/// As HandleOwnershipQuery(), for several flows.
void HandleOwnershipBatchQuery(const AgentRelay& relay,
                               const Endpoint& balancer,
                               const OwnershipBatchQuery& query, TimePoint now,
                               RelayActions& actions);

/// Processes a packet from the upstream. `packet.is_bounced` marks a caller's
/// packet that the upstream returned.
UpstreamPacketEffect HandleUpstreamPacket(AgentRelay& relay,
                                          const FlowPacket& packet,
                                          TimePoint now, RelayActions& actions);

/// Processes a heartbeat of the upstream. Resets the flows of the previous
/// incarnation if the upstream has restarted.
HeartbeatEffect HandleUpstreamHeartbeat(AgentRelay& relay,
                                        const UpstreamHeartbeat& heartbeat,
                                        TimePoint now, RelayActions& actions);

/// Processes the upstream's notice of its deregistration: it gets no new flows,
/// and keeps its flows until nothing was received from it for
/// kDepartureTimeout. Returns false when the notice is not from the current
/// incarnation.
bool HandleDeregistration(AgentRelay& relay, const std::string& id,
                          TimePoint now);

/// Minimum time between two checks whether the upstream runs.
inline constexpr Millis kMinUpstreamCheckInterval{500};

/// Returns true if a connection to the upstream's address is to be tried, to
/// find out whether the upstream still runs: the agent stops, the upstream
/// leaves packets unanswered, or its first heartbeat is overdue.
bool NeedsUpstreamCheck(const AgentRelay& relay, TimePoint now);

/// Records that a check has started.
void BeginUpstreamCheck(AgentRelay& relay, TimePoint now);

/// Processes a refused connection: nothing listens at the upstream's address,
/// so the upstream has exited and all its flows are lost. Returns false when
/// the upstream was heard from since the check began.
bool HandleConnectionRefused(AgentRelay& relay, TimePoint now,
                             RelayActions& actions);

/// Updates averages, removes expired state and detects an absent upstream. To
/// be called about every 100 ms.
void HandleAgentTick(AgentRelay& relay, TimePoint now, RelayActions& actions);

/// The upstream phase to report to balancers: kUnknown while an upstream that
/// was ready does not answer, kAgentRestarting while the agent stops and its
/// upstream may still own flows.
UpstreamPhase ReportedPhase(const AgentRelay& relay, TimePoint now);

/// Returns true if the upstream has left a packet unanswered that a healthy
/// upstream answers within a millisecond.
bool IsUnresponsive(const AgentRelay& relay, TimePoint now);

}  // namespace medlarwinch
