#include "medlarwinch/coordination/packet_path/agent_relay.h"

#include "medlarwinch/coordination/packet_path/agent_openings.h"
#include "medlarwinch/coordination/packet_path/class_admission.h"
#include "medlarwinch/coordination/packet_path/flow_ownership.h"

namespace medlarwinch {
namespace {

// Number of heartbeats after which an incarnation was certainly alive while
// this process ran. A single one may have been delayed.
constexpr uint64_t kConfirmingHeartbeats = 2;

void RecordContact(AgentRelay& relay, TimePoint now) {
  relay.upstream_last_contact = now;
  relay.was_heard_since_check = true;
  relay.unanswered_since.reset();
}

bool IsUpload(const std::optional<OpeningContext>& context) {
  return context.has_value() && context->terms.kind == RequestKind::kUpload;
}

// Counts a returned opening as a failure only if the agent knows that the
// upstream was not full.
void RecordBouncedOpening(AgentRelay& relay, const FlowPacket& packet,
                          TimePoint now) {
  FlowTracker& tracker = relay.flow_tracker;
  if (!tracker.responses.has_value()) return;
  if (relay.openings.count(FlowFromCaller(packet)) == 0) return;
  if (relay.upstream.phase != UpstreamPhase::kReady) return;
  if (!KnowsAllFlows(relay.flow_history, now)) return;
  RecordRefusedOpening(*tracker.responses, CommittedRequests(tracker, now),
                       now);
}

void HandleNewIncarnation(AgentRelay& relay, const UpstreamHeartbeat& heartbeat,
                          bool was_confirmed, TimePoint now,
                          RelayActions& actions) {
  if (relay.flow_tracker.responses.has_value()) {
    ForgetOutcomes(*relay.flow_tracker.responses);
  }
  const bool is_start_seen =
      was_confirmed || HasJustStarted(heartbeat.sequence, heartbeat.age,
                                      relay.heartbeat_interval);
  RecordIncarnation(relay.flow_history, heartbeat.sequence, is_start_seen);
  if (is_start_seen && IsFirstHeartbeat(heartbeat.sequence, heartbeat.age,
                                        relay.heartbeat_interval)) {
    ResetAllFlows(relay, now, actions);
    return;
  }
  // Some of the flows may be of the new incarnation, whose first heartbeats
  // were lost or went to an earlier process of this agent.
  DistrustFlows(relay.flow_tracker);
}

}  // namespace

void ResetAllFlows(AgentRelay& relay, TimePoint now, RelayActions& actions) {
  std::vector<FlowTuple> removed;
  for (const auto& [tuple, flow] : relay.flow_tracker.flows) {
    removed.push_back(tuple);
    if (!flow.is_open) continue;
    AddReset(ResetCaller{tuple, flow.upstream_end_sequence,
                         FlowResetReason::kUpstreamRestarted},
             relay.counters.resets, actions);
  }
  for (const FlowTuple& tuple : removed)
    RemoveFlow(relay.flow_tracker, tuple, now);
  relay.openings.clear();
  relay.probes.clear();
  relay.ack_pacing.flows.clear();
}

void HandleRelayedPacket(AgentRelay& relay, const RelayHeader& header,
                         const std::optional<OpeningContext>& context,
                         const FlowPacket& packet, Millis waited, TimePoint now,
                         RelayActions& actions) {
  if (packet.is_syn) {
    HandleOpening(relay, header, context, packet, waited, now, actions);
  } else {
    RecordUploadPath(relay.ack_pacing, packet, header.balancer, now, actions);
    HandleFlowPacket(relay, header, packet, now, actions);
  }
}

UpstreamPacketEffect HandleUpstreamPacket(AgentRelay& relay,
                                          const FlowPacket& packet,
                                          TimePoint now,
                                          RelayActions& actions) {
  RecordContact(relay, now);
  if (packet.is_bounced) {
    if (packet.is_syn) {
      RecordBouncedOpening(relay, packet, now);
      HandleBouncedOpening(relay, packet, now, actions);
    } else {
      HandleBouncedFlowPacket(relay, packet, now, actions);
    }
    return {};
  }
  const FlowTuple flow = FlowFromUpstream(packet);
  const bool is_seen = relay.flow_tracker.flows.count(flow) != 0;
  // An upstream that has just started resets flows that it does not own; the
  // flow may be open at another upstream.
  if (packet.is_reset && !is_seen && DenyProbe(relay, flow, false, actions)) {
    return {};
  }
  ++relay.counters.to_callers;
  AddDelivery(relay.ack_pacing, packet, relay.is_stopping, now, actions);
  const UpstreamPacketEffect effect =
      RecordUpstreamPacket(relay.flow_tracker, packet, now);
  RecordResponse(relay, effect, now);
  const auto opening = relay.openings.find(flow);
  if (opening != relay.openings.end()) {
    const RelayHeader& header = opening->second.header;
    ++relay.counters.opened;
    TrackedFlow& opened = relay.flow_tracker.flows.at(flow);
    opened.opening_sequence = opening->second.sequence;
    if (opening->second.context.has_value()) {
      opened.kind = opening->second.context->terms.kind;
    }
    // The balancer chose another agent first and must be notified of the owner.
    if (header.hops > 0) {
      actions.push_back(
          SendOwnershipReply{header.balancer, flow, FlowOwnership::kOwned});
    }
    if (IsUpload(opening->second.context)) {
      RecordUploadOpened(relay.ack_pacing, flow, header.balancer, packet, now);
    }
    relay.openings.erase(opening);
  }
  ConfirmProbe(relay, flow, actions);
  return effect;
}

void BeginAgentStop(AgentRelay& relay) {
  relay.is_stopping = true;
  relay.upstream_checked_at.reset();
}

HeartbeatEffect HandleUpstreamHeartbeat(AgentRelay& relay,
                                        const UpstreamHeartbeat& heartbeat,
                                        TimePoint now, RelayActions& actions) {
  const bool was_confirmed = relay.upstream.heartbeats >= kConfirmingHeartbeats;
  const bool had_exited = relay.upstream.exited_at.has_value();
  const uint64_t previous_sequence = relay.upstream.sequence;
  const HeartbeatEffect effect =
      ApplyHeartbeat(relay.upstream, heartbeat, relay.heartbeat_interval, now);
  if (effect == HeartbeatEffect::kIgnored ||
      effect == HeartbeatEffect::kRefused) {
    return effect;
  }
  RecordContact(relay, now);
  RecordHeartbeat(relay.gate);
  switch (effect) {
    case HeartbeatEffect::kFirst:
      // The agent saw the start if nothing ran at the upstream's address
      // before.
      RecordIncarnation(relay.flow_history, heartbeat.sequence,
                        relay.flow_history.is_complete ||
                            HasJustStarted(heartbeat.sequence, heartbeat.age,
                                           relay.heartbeat_interval));
      break;
    case HeartbeatEffect::kNewIncarnation:
      HandleNewIncarnation(relay, heartbeat, was_confirmed || had_exited, now,
                           actions);
      break;
    case HeartbeatEffect::kRevived:
      RecordDiscardedFlows(relay.flow_history, now);
      break;
    default:
      RecordNextHeartbeat(relay.flow_history, heartbeat.sequence,
                          previous_sequence);
  }
  return effect;
}

bool HandleDeregistration(AgentRelay& relay,
                          const UpstreamDeregistration& notice, TimePoint now) {
  return ApplyDeregistration(relay.upstream, notice, now);
}

}  // namespace medlarwinch
