#pragma once

#include <cstdint>
#include <optional>

#include "medlarwinch/coordination/packet_path/relay_types.h"

namespace medlarwinch {

/// How much of its upstream's flows an agent has seen.
///
/// All packets from and to the upstream pass the agent. An agent that was there
/// for the whole life of the upstream's present incarnation therefore knows all
/// of its flows, and may deny the others. In any other case only the upstream
/// can deny a flow, by returning one of its packets.
struct FlowHistory {
  /// True if the agent has seen the whole life of the present incarnation.
  bool is_complete = false;
  /// Time since which the agent has seen every packet.
  TimePoint seen_since;
  /// True while the first heartbeat suggests that the incarnation has just
  /// started, and the second one has not confirmed it: the first heartbeat may
  /// have been delayed until after a restart of the agent.
  bool awaits_second_heartbeat = false;

  friend bool operator==(const FlowHistory&, const FlowHistory&) = default;
};

/// Sequence number that only the first heartbeat of an incarnation can have. An
/// upstream may count from this number or from the next one, so that the next
/// one may be of the second heartbeat.
inline constexpr uint64_t kLowestSequence = 0;

/// Returns true if the upstream owns no flow that the agent has not seen, other
/// than flows older than kMaxFlowLifetime.
bool KnowsAllFlows(const FlowHistory& history, TimePoint now);

/// Records that no process of the upstream runs at `now`.
void RecordNoUpstream(FlowHistory& history, TimePoint now);

/// Records that the agent discarded what it knew of flows that the upstream may
/// still own.
void RecordDiscardedFlows(FlowHistory& history, TimePoint now);

/// An upstream that gets no acknowledgement of its first heartbeat sends the
/// second one after this time.
inline constexpr Millis kHeartbeatAckTimeout{1'000};

/// Number of heartbeats that an upstream sends at most before the second one
/// after an acknowledgement: it repeats the first at once while its agent does
/// not accept connections yet.
inline constexpr uint64_t kMaxRepeatedFirstHeartbeats = 3;

/// Returns true if a heartbeat is the first one of its incarnation, as far as
/// its number and `age` tell: a heartbeat after an acknowledged one is about
/// `interval` old. Without an age the lowest two numbers count as the first.
bool IsFirstHeartbeat(uint64_t sequence, std::optional<Millis> age,
                      Millis interval);

/// Returns true if a heartbeat shows that its incarnation has just started: it
/// arrives before the upstream can have sent the next one after an
/// acknowledgement by an earlier process of this agent. `age` is the time since
/// the start, `interval` the time between heartbeats.
bool HasJustStarted(uint64_t sequence, std::optional<Millis> age,
                    Millis interval);

/// Records the first heartbeat of an incarnation that this process receives.
/// `is_start_seen` is true if the incarnation started while this agent ran.
void RecordIncarnation(FlowHistory& history, uint64_t sequence,
                       bool is_start_seen);

/// Records a later heartbeat of the incarnation, which follows the one with
/// sequence number `previous`.
void RecordNextHeartbeat(FlowHistory& history, uint64_t sequence,
                         uint64_t previous);

}  // namespace medlarwinch
