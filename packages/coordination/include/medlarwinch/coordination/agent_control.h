#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_actions.h"
#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/record_store.h"

namespace medlarwinch {

/// An agent whose keepers have been silent for this long asks its first peers
/// again. Keepers answer in turn, so that a single one left of three answers
/// every 3 s.
inline constexpr Millis kMonitorTimeout{5'000};

/// The control state of an agent. All times are monotonic.
struct AgentControl {
  MemberEntry self;
  /// Peers from the settings and the bootstrap list.
  std::vector<Endpoint> seeds;
  /// Balancers that keep the agent's service, as last announced.
  std::vector<Endpoint> monitors;
  std::vector<RosterEntry> roster;
  uint64_t roster_hash = 0;
  /// Mean flows per slot; negative when unknown.
  double mean_flows_per_slot = -1;
  RecordStore records;
  TimePoint next_heartbeat{-1};
  TimePoint next_join{-1};
  Millis join_delay = kInitialJoinDelay;
  /// Monotonic time of the last answer of a balancer; negative before one.
  TimePoint last_ack{-1};
  /// Time until which a fetch is under way.
  TimePoint fetching_until{-1};
  uint64_t heartbeat_sequence = 0;
  /// True when the next heartbeats must carry the whole entry.
  bool needs_full_entry = true;
};

/// Next state and what to do.
struct AgentStep {
  AgentControl state;
  ControlActions actions;
};

/// Returns the state of an agent that starts with its own entry.
AgentControl StartAgentControl(const MemberEntry& self,
                               const std::vector<Endpoint>& seeds);

/// Called every kControlTick: sends heartbeats that are due with `load`.
AgentStep TickAgent(AgentControl state, const UpstreamLoad& load, TimePoint now,
                    Random& random);

/// Takes a message; all but HeartbeatAck are ignored.
AgentStep HandleAgentMessage(AgentControl state, const Endpoint& from,
                             const ControlMessage& message,
                             const UpstreamLoad& load, TimePoint now);

/// Takes fetched records after their parsing.
AgentStep HandleAgentRecords(AgentControl state,
                             const std::vector<ReceivedRecord>& offered);

/// Takes a fetched roster.
AgentStep HandleAgentRoster(AgentControl state,
                            const std::vector<RosterEntry>& roster);

/// Enters a later phase and announces it at once. An earlier phase changes
/// nothing.
AgentStep ChangeAgentPhase(AgentControl state, MemberPhase phase,
                           const UpstreamLoad& load, TimePoint now);

/// Adds first peers, such as those of the bootstrap list.
AgentControl AddAgentSeeds(AgentControl state,
                           const std::vector<Endpoint>& seeds);

/// True when no balancer has answered for kMonitorTimeout.
bool HasLostMonitors(const AgentControl& state, TimePoint now);

}  // namespace medlarwinch
