#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_actions.h"
#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {

/// An agent that has received no ack for this long contacts its seeds again.
/// Monitors take turns in sending acks, so when only one of three is left, it
/// sends one every 3 s.
inline constexpr Millis kMonitorTimeout{5'000};

/// The control state of an agent. All times are monotonic.
struct AgentControl {
  MemberEntry self;
  /// Initial peers from the settings and the bootstrap list.
  std::vector<Endpoint> seeds;
  /// Balancers that monitor the agent's service, as last announced.
  std::vector<Endpoint> monitors;
  std::vector<RosterEntry> roster;
  uint64_t roster_hash = 0;
  /// Mean flows per slot; negative when unknown.
  double mean_flows_per_slot = -1;
  RecordStore records;
  TimePoint next_heartbeat{-1};
  TimePoint next_join{-1};
  Millis join_delay = kInitialJoinDelay;
  /// Monotonic time of the last HeartbeatAck; negative before the first one.
  TimePoint last_ack{-1};
  /// Time until which a fetch counts as outstanding.
  TimePoint fetch_deadline{-1};
  uint64_t heartbeat_sequence = 0;
  /// True when the next heartbeats must carry the full entry.
  bool needs_full_entry = true;
};

/// The next state, and the actions for the caller to carry out.
struct AgentStep {
  AgentControl state;
  ControlActions actions;
};

/// Returns the initial state of an agent.
AgentControl StartAgentControl(const MemberEntry& self,
                               const std::vector<Endpoint>& seeds);

/// Called every kControlTickInterval. Sends heartbeats that are due, with
/// `load`.
AgentStep TickAgent(AgentControl state, const UpstreamLoad& load, TimePoint now,
                    Random& random);

/// Handles a message. All types but HeartbeatAck are ignored.
AgentStep HandleAgentMessage(AgentControl state, const Endpoint& from,
                             const ControlMessage& message,
                             const UpstreamLoad& load, TimePoint now);

/// Applies fetched records after they were parsed.
AgentStep HandleAgentRecords(AgentControl state,
                             const std::vector<ReceivedRecord>& received);

/// Applies a fetched roster.
AgentStep HandleAgentRoster(AgentControl state,
                            const std::vector<RosterEntry>& roster);

/// Enters `phase` and announces it at once. Has no effect unless it is later
/// than the current phase.
AgentStep ChangeAgentPhase(AgentControl state, MemberPhase phase,
                           const UpstreamLoad& load, TimePoint now);

/// Adds seeds, such as those of the bootstrap list.
AgentControl AddAgentSeeds(AgentControl state,
                           const std::vector<Endpoint>& seeds);

/// True when no ack has arrived for kMonitorTimeout.
bool HasLostMonitors(const AgentControl& state, TimePoint now);

}  // namespace medlarwinch
