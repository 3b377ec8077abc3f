#include "medlarwinch/coordination/packet_path/flow_ownership.h"

#include <utility>

namespace medlarwinch {
namespace {

void Deny(AgentRelay& relay, const Endpoint& balancer, const FlowTuple& flow,
          bool returns_packet, RelayActions& actions) {
  ++relay.counters.denied;
  actions.push_back(SendOwnershipReply{balancer, flow, FlowOwnership::kNotOwned,
                                       returns_packet});
}

// Adds `balancer` to those that await the result of a probe of `flow`.
void RecordProbe(AgentRelay& relay, const FlowTuple& flow,
                 const Endpoint& balancer, bool returns_packet,
                 uint32_t acknowledged, TimePoint now) {
  AgentRelay::Probe& probe = relay.probes[flow];
  probe.acknowledged = acknowledged;
  probe.delivered_at = now;
  for (AgentRelay::Probe::Recipient& recipient : probe.recipients) {
    if (recipient.balancer != balancer) continue;
    recipient.returns_packet = returns_packet;
    return;
  }
  if (probe.recipients.size() >= kMaxProbeRecipients) return;
  probe.recipients.push_back({balancer, returns_packet});
}

}  // namespace

FlowOwnership DetermineOwnership(const AgentRelay& relay,
                                 const QueriedFlow& queried, TimePoint now) {
  const FlowOwnership recorded =
      RecordedOwnership(relay.flow_tracker, queried.flow, queried.acknowledged);
  if (recorded != FlowOwnership::kUndetermined) return recorded;
  const bool is_seen = relay.flow_tracker.flows.count(queried.flow) != 0;
  const bool is_absent = relay.upstream.phase == UpstreamPhase::kAbsent;
  if (is_absent || (!is_seen && KnowsAllFlows(relay.flow_history, now))) {
    return FlowOwnership::kNotOwned;
  }
  return FlowOwnership::kUndetermined;
}

void HandleOwnershipQuery(AgentRelay& relay, const Endpoint& balancer,
                          const OwnershipQuery& query, TimePoint now,
                          RelayActions& actions) {
  const FlowOwnership ownership = DetermineOwnership(
      relay, QueriedFlow{query.flow, query.acknowledged}, now);
  if (ownership == FlowOwnership::kNotOwned) ++relay.counters.denied;
  actions.push_back(SendOwnershipReply{balancer, query.flow, ownership});
}

void HandleOwnershipBatchQuery(const AgentRelay& relay,
                               const Endpoint& balancer,
                               const OwnershipBatchQuery& query, TimePoint now,
                               RelayActions& actions) {
  SendOwnershipBatchReply reply{balancer, {}};
  for (const QueriedFlow& queried : query.flows) {
    reply.flows.push_back(ReportedOwnership{
        queried.flow, DetermineOwnership(relay, queried, now)});
  }
  actions.push_back(std::move(reply));
}

void HandleFlowPacket(AgentRelay& relay, const RelayHeader& header,
                      const FlowPacket& packet, TimePoint now,
                      RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const bool is_probe = header.purpose == RelayPurpose::kProbe;
  const bool is_seen = relay.flow_tracker.flows.count(flow) != 0;
  const FlowOwnership ownership =
      packet.is_reset && is_seen
          ? FlowOwnership::kOwned
          : DetermineOwnership(relay, QueriedFlow{flow, packet.acknowledged},
                               now);
  if (ownership == FlowOwnership::kOwned) {
    RecordCallerPacket(relay.flow_tracker, packet, now);
    if (is_probe) {
      actions.push_back(
          SendOwnershipReply{header.balancer, flow, FlowOwnership::kOwned});
    }
    ++relay.counters.delivered;
    actions.push_back(DeliverToUpstream{});
    return;
  }
  if (ownership == FlowOwnership::kNotOwned) {
    Deny(relay, header.balancer, flow, !is_probe, actions);
    return;
  }
  if (!is_probe && !Contains(header.allowed, relay.service)) {
    actions.push_back(SendOwnershipReply{header.balancer, flow,
                                         FlowOwnership::kUndetermined, true});
    return;
  }
  if (is_seen) RecordCallerPacket(relay.flow_tracker, packet, now);
  RecordProbe(relay, flow, header.balancer, !is_probe, packet.acknowledged,
              now);
  ++relay.counters.delivered;
  actions.push_back(DeliverToUpstream{});
}

void HandleBouncedFlowPacket(AgentRelay& relay, const FlowPacket& packet,
                             TimePoint now, RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  if (DenyProbe(relay, flow, true, actions)) {
    RemoveFlow(relay.flow_tracker, flow, now);
    return;
  }
  const auto known_flow = relay.flow_tracker.flows.find(flow);
  if (known_flow == relay.flow_tracker.flows.end()) return;
  const bool had_ended = HasEnded(known_flow->second);
  RemoveFlow(relay.flow_tracker, flow, now);
  if (packet.is_reset || had_ended) return;
  // The flow was at this upstream, so no other upstream owns it.
  AddReset(
      ResetCaller{flow, packet.acknowledged, FlowResetReason::kUpstreamLost},
      relay.counters.resets, actions);
}

void ConfirmProbe(AgentRelay& relay, const FlowTuple& flow,
                  RelayActions& actions) {
  const auto probe = relay.probes.find(flow);
  if (probe == relay.probes.end()) return;
  for (const AgentRelay::Probe::Recipient& recipient :
       probe->second.recipients) {
    actions.push_back(
        SendOwnershipReply{recipient.balancer, flow, FlowOwnership::kOwned});
  }
  ExtendAcknowledged(relay.flow_tracker, flow, probe->second.acknowledged);
  relay.probes.erase(probe);
}

bool DenyProbe(AgentRelay& relay, const FlowTuple& flow, bool has_packet,
               RelayActions& actions) {
  const auto probe = relay.probes.find(flow);
  if (probe == relay.probes.end()) return false;
  for (const AgentRelay::Probe::Recipient& recipient :
       probe->second.recipients) {
    Deny(relay, recipient.balancer, flow,
         has_packet && recipient.returns_packet, actions);
  }
  relay.probes.erase(probe);
  return true;
}

void DenyProbes(AgentRelay& relay, RelayActions& actions) {
  while (!relay.probes.empty()) {
    DenyProbe(relay, FlowTuple{relay.probes.begin()->first}, false, actions);
  }
}

}  // namespace medlarwinch
