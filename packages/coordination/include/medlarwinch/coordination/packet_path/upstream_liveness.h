#pragma once

#include "medlarwinch/coordination/packet_path/agent_relay.h"

namespace medlarwinch {

/// An upstream that leaves an opening packet unanswered for this long is
/// unresponsive. A healthy upstream answers within a millisecond, even when all
/// its slots are busy.
inline constexpr Millis kOpeningResponseTimeout{150};
/// Number of consecutive heartbeats that an upstream may miss, with no other
/// traffic from it, before it is considered absent.
inline constexpr int64_t kMaxMissedHeartbeats = 3;
/// The exit of a deregistered upstream is checked once it has sent nothing for
/// this long. It exits after its notice was acknowledged, or some seconds later
/// when the acknowledgement was lost.
inline constexpr Millis kDepartureCheckDelay{200};
/// Minimum time between two checks whether the upstream runs.
inline constexpr Millis kMinUpstreamCheckInterval{500};
/// A tick that is at least this late shows that the agent could not read its
/// messages in time.
inline constexpr Millis kMaxAgentTickDelay{150};

/// Returns true if a connection to the upstream's address is to be tried, to
/// find out whether the upstream still runs: the agent starts or stops, the
/// upstream leaves openings unanswered, has deregistered and is silent, or its
/// heartbeats are overdue.
bool NeedsUpstreamCheck(const AgentRelay& relay, TimePoint now);

/// Records that a check has started.
void BeginUpstreamCheck(AgentRelay& relay, TimePoint now);

/// Records that the upstream accepted the connection: it runs.
void HandleConnectionAccepted(AgentRelay& relay, TimePoint now);

/// Processes a refused connection: nothing listens at the upstream's address,
/// so the upstream has exited and all its flows are lost. Returns true if the
/// upstream is considered absent now and was not before; false when it was
/// heard from since the check began, or may only not have started yet.
bool HandleConnectionRefused(AgentRelay& relay, TimePoint now,
                             RelayActions& actions);

/// Processes a connection that was neither accepted nor refused. An upstream
/// that has also missed its heartbeats is considered absent; returns true then.
bool HandleConnectionTimeout(AgentRelay& relay, TimePoint now,
                             RelayActions& actions);

/// Updates averages and removes expired state. To be called about every 100 ms;
/// `tick_delay` is how late the call is.
void HandleAgentTick(AgentRelay& relay, Millis tick_delay, TimePoint now);

/// The upstream phase to report to balancers: kUnknown while an upstream that
/// was ready does not answer or misses its heartbeats, kAgentRestarting while
/// the agent stops and its upstream may still own flows.
UpstreamPhase ReportedPhase(const AgentRelay& relay, TimePoint now);

/// Returns true if the upstream has left a packet unanswered that a healthy
/// upstream answers within a millisecond.
bool IsUnresponsive(const AgentRelay& relay, TimePoint now);

}  // namespace medlarwinch
