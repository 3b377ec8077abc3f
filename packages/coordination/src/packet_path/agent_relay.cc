#include "medlarwinch/coordination/packet_path/agent_relay.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace medlarwinch {
namespace {

// Added to the time of the missed heartbeats: how long an upstream waits for
// the acknowledgement of a heartbeat.
constexpr Millis kHeartbeatAckTimeout{1'000};
// Unanswered openings and probes are removed after this time.
constexpr Millis kPendingTimeout{3'000};
// Limit on the requests queued at an upstream that accepts an opening, in
// rounds of work per slot. Indexed by the number of agents that have forwarded
// the opening: the first agent must have an idle slot, and the last one may
// queue the request. The last limit also applies to an agent without
// alternates. Two rounds of waiting and the request's own round, each 1.6 times
// as long while the upstream is cold, just meet the callers' latency objective
// of five times the work on both deployments.
constexpr std::array<double, 4> kMaxQueueRounds = {0, 0.5, 1, 2};
// Upstreams have short queues and refuse requests beyond them. The queues of
// both deployments have room for 16 requests.
constexpr double kMaxQueuedRequests = 12;

// Delivers a packet to which a running upstream responds at once.
void DeliverExpectingResponse(AgentRelay& relay, TimePoint now,
                              RelayActions& actions) {
  if (!relay.unanswered_since.has_value()) relay.unanswered_since = now;
  ++relay.counters.delivered;
  actions.push_back(DeliverToUpstream{});
}

void RecordContact(AgentRelay& relay, TimePoint now) {
  relay.upstream_last_contact = now;
  relay.unanswered_since.reset();
}

std::optional<RefusalReason> CheckOpeningAdmission(const AgentRelay& relay,
                                                   const RelayHeader& header,
                                                   TimePoint now) {
  if (!Contains(header.allowed, relay.service)) {
    return RefusalReason::kOtherService;
  }
  if (relay.is_stopping || relay.upstream.phase != UpstreamPhase::kReady) {
    return RefusalReason::kNotReady;
  }
  if (IsUnresponsive(relay, now)) return RefusalReason::kUnresponsive;
  const size_t last = kMaxQueueRounds.size() - 1;
  const size_t round =
      header.alternates.empty() ? last : std::min<size_t>(header.hops, last);
  const double queue = std::min(relay.upstream.slots * kMaxQueueRounds[round],
                                kMaxQueuedRequests);
  const double limit = relay.upstream.slots + queue;
  if (CommittedRequests(relay.flow_tracker, now) >= limit)
    return RefusalReason::kBusy;
  return std::nullopt;
}

// Number of times that callers retransmit an opening: 200 ms and 600 ms after
// the first packet.
constexpr uint32_t kMaxOpeningRetransmissions = 2;

// Returns true if an opening that no agent accepts is dropped, so that the
// caller retransmits it, instead of being reset. After many VMs have lost
// power, all callers open flows at once. Queues drain in the time between two
// retransmissions, while a caller retries within milliseconds after a reset and
// uses up its few attempts.
bool AwaitsRetransmission(const AgentRelay& relay, const FlowPacket& packet,
                          RefusalReason reason) {
  // An agent that has just started does not know its upstream yet.
  if (relay.upstream.phase == UpstreamPhase::kUnknown) return true;
  if (reason == RefusalReason::kBusy || reason == RefusalReason::kBounced) {
    return packet.acknowledged < kMaxOpeningRetransmissions;
  }
  // Another agent may have accepted an earlier copy of the opening.
  return packet.acknowledged > 0;
}

// Forwards an opening to the next agent. Without another agent it is dropped or
// refused. Only the balancer knows whether the refusal is recent enough for a
// reset, since an agent does not see for how long the opening was on its way.
void ForwardOpening(AgentRelay& relay, RelayHeader header,
                    const std::optional<OpeningContext>& context,
                    const FlowPacket& packet, RefusalReason reason,
                    RelayActions& actions) {
  if (!header.alternates.empty() && header.hops < kMaxRelayHops) {
    ++relay.counters.forwarded_openings[static_cast<size_t>(reason)];
    const Endpoint next = header.alternates.front();
    header.alternates.erase(header.alternates.begin());
    ++header.hops;
    actions.push_back(RelayToAgent{next, std::move(header), reason, context});
    return;
  }
  if (AwaitsRetransmission(relay, packet, reason)) {
    ++relay.counters.dropped_openings;
    actions.push_back(DropPackets{FlowFromCaller(packet),
                                  PacketDropReason::kLeftToRetransmission});
    return;
  }
  if (context.has_value()) {
    ++relay.counters.refused_openings;
    actions.push_back(
        SendOpeningRefused{header.balancer, FlowFromCaller(packet), *context});
    return;
  }
  AddReset(ResetCaller{FlowFromCaller(packet), 0, FlowResetReason::kNoUpstream},
           relay.counters.resets, actions);
}

void HandleOpening(AgentRelay& relay, const RelayHeader& header,
                   const std::optional<OpeningContext>& context,
                   const FlowPacket& packet, TimePoint now,
                   RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const auto known_flow = relay.flow_tracker.flows.find(flow);
  const bool is_retransmission =
      packet.acknowledged > 0 && known_flow != relay.flow_tracker.flows.end();
  if (!is_retransmission) {
    const std::optional<RefusalReason> refusal =
        CheckOpeningAdmission(relay, header, now);
    if (refusal.has_value()) {
      ForwardOpening(relay, header, context, packet, *refusal, actions);
      return;
    }
  }
  relay.openings.insert_or_assign(flow,
                                  AgentRelay::Opening{header, context, now});
  DeliverExpectingResponse(relay, now, actions);
}

// Returns true if nothing was ever received from the upstream and it leaves
// probes unanswered.
bool IsNotRunning(const AgentRelay& relay, TimePoint now) {
  return !relay.upstream_last_contact.has_value() &&
         relay.unanswered_since.has_value() &&
         now - *relay.unanswered_since >= kProbeResponseTimeout;
}

// Returns true if the upstream may own a flow that the agent has not seen.
bool MayOwnUnseenFlow(const AgentRelay& relay, const FlowTuple& flow,
                      const std::vector<ServiceId>& allowed, TimePoint now) {
  return relay.flow_tracker.flows.count(flow) == 0 && !relay.knows_all_flows &&
         relay.upstream.phase != UpstreamPhase::kAbsent &&
         !IsNotRunning(relay, now) && Contains(allowed, relay.service);
}

FlowOwnership DetermineOwnership(const AgentRelay& relay,
                                 const QueriedFlow& queried,
                                 const std::vector<ServiceId>& allowed,
                                 TimePoint now) {
  FlowPacket packet;
  packet.source = queried.flow.caller;
  packet.destination = queried.flow.service_address;
  packet.acknowledged = queried.acknowledged;
  if (OwnsFlow(relay.flow_tracker, packet)) return FlowOwnership::kOwned;
  if (MayOwnUnseenFlow(relay, queried.flow, allowed, now)) {
    return FlowOwnership::kUndetermined;
  }
  return FlowOwnership::kNotOwned;
}

void HandleFlowPacket(AgentRelay& relay, const RelayHeader& header,
                      const FlowPacket& packet, TimePoint now,
                      RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const bool is_probe = header.purpose == RelayPurpose::kProbe;
  if (OwnsFlow(relay.flow_tracker, packet)) {
    RecordCallerPacket(relay.flow_tracker, packet, now);
    if (is_probe) {
      actions.push_back(
          SendOwnershipReply{header.balancer, flow, FlowOwnership::kOwned});
    }
    ++relay.counters.delivered;
    actions.push_back(DeliverToUpstream{});
    return;
  }
  if (!MayOwnUnseenFlow(relay, flow, header.allowed, now)) {
    ++relay.counters.denied;
    actions.push_back(SendOwnershipReply{header.balancer, flow,
                                         FlowOwnership::kNotOwned, !is_probe});
    return;
  }
  relay.probes.insert_or_assign(
      flow, AgentRelay::Probe{header.balancer, !is_probe, now});
  DeliverExpectingResponse(relay, now, actions);
}

void HandleBounced(AgentRelay& relay, const FlowPacket& packet, TimePoint now,
                   RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  if (packet.is_syn) {
    const auto opening = relay.openings.find(flow);
    if (opening == relay.openings.end()) return;
    AgentRelay::Opening bounced = std::move(opening->second);
    relay.openings.erase(opening);
    ForwardOpening(relay, std::move(bounced.header), bounced.context, packet,
                   RefusalReason::kBounced, actions);
    return;
  }
  const auto probe = relay.probes.find(flow);
  if (probe != relay.probes.end()) {
    ++relay.counters.denied;
    actions.push_back(SendOwnershipReply{probe->second.balancer, flow,
                                         FlowOwnership::kNotOwned,
                                         probe->second.returns_packet});
    relay.probes.erase(probe);
    return;
  }
  const auto known_flow = relay.flow_tracker.flows.find(flow);
  if (known_flow == relay.flow_tracker.flows.end()) return;
  const bool had_ended = known_flow->second.caller_finished &&
                         known_flow->second.upstream_finished;
  RemoveFlow(relay.flow_tracker, flow, now);
  if (packet.is_reset || had_ended) return;
  // The flow was at this upstream, so no other upstream owns it.
  AddReset(
      ResetCaller{flow, packet.acknowledged, FlowResetReason::kUpstreamLost},
      relay.counters.resets, actions);
}

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
}

// Returns true if the upstream has deregistered and sends nothing any more.
bool HasDeparted(const AgentRelay& relay, TimePoint now) {
  if (!relay.upstream.deregistered_at.has_value()) return false;
  const TimePoint last_contact =
      relay.upstream_last_contact.value_or(relay.started);
  return now - std::max(*relay.upstream.deregistered_at, last_contact) >=
         kDepartureTimeout;
}

void DenyProbes(AgentRelay& relay, RelayActions& actions) {
  for (const auto& [flow, probe] : relay.probes) {
    ++relay.counters.denied;
    actions.push_back(SendOwnershipReply{probe.balancer, flow,
                                         FlowOwnership::kNotOwned, false});
  }
  relay.probes.clear();
}

}  // namespace

bool IsUnresponsive(const AgentRelay& relay, TimePoint now) {
  return relay.unanswered_since.has_value() &&
         now - *relay.unanswered_since >= kOpeningResponseTimeout;
}

UpstreamPhase ReportedPhase(const AgentRelay& relay, TimePoint now) {
  // An absent upstream owns no flow, even if its agent restarts.
  if (relay.upstream.phase == UpstreamPhase::kAbsent)
    return relay.upstream.phase;
  if (relay.is_stopping) return UpstreamPhase::kAgentRestarting;
  if (relay.upstream.phase == UpstreamPhase::kReady &&
      IsUnresponsive(relay, now)) {
    return UpstreamPhase::kUnknown;
  }
  return relay.upstream.phase;
}

void HandleRelayedPacket(AgentRelay& relay, const RelayHeader& header,
                         const std::optional<OpeningContext>& context,
                         const FlowPacket& packet, TimePoint now,
                         RelayActions& actions) {
  if (packet.is_syn) {
    HandleOpening(relay, header, context, packet, now, actions);
  } else {
    HandleFlowPacket(relay, header, packet, now, actions);
  }
}

void HandleOwnershipQuery(AgentRelay& relay, const Endpoint& balancer,
                          const OwnershipQuery& query, TimePoint now,
                          RelayActions& actions) {
  const FlowOwnership ownership = DetermineOwnership(
      relay, QueriedFlow{query.flow, query.acknowledged}, query.allowed, now);
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
        queried.flow, DetermineOwnership(relay, queried, query.allowed, now)});
  }
  actions.push_back(std::move(reply));
}

UpstreamPacketEffect HandleUpstreamPacket(AgentRelay& relay,
                                          const FlowPacket& packet,
                                          TimePoint now,
                                          RelayActions& actions) {
  RecordContact(relay, now);
  if (packet.is_bounced) {
    HandleBounced(relay, packet, now, actions);
    return {};
  }
  const FlowTuple flow = FlowFromUpstream(packet);
  const auto pending_probe = relay.probes.find(flow);
  const bool is_seen = relay.flow_tracker.flows.count(flow) != 0;
  if (packet.is_reset && !is_seen && pending_probe != relay.probes.end()) {
    // An upstream that has just started resets flows that it does not own; the
    // flow may be open at another upstream.
    ++relay.counters.denied;
    actions.push_back(SendOwnershipReply{pending_probe->second.balancer, flow,
                                         FlowOwnership::kNotOwned, false});
    relay.probes.erase(pending_probe);
    return {};
  }
  ++relay.counters.to_callers;
  actions.push_back(DeliverToCaller{flow.caller});
  const UpstreamPacketEffect effect =
      RecordUpstreamPacket(relay.flow_tracker, packet, now);
  const auto opening = relay.openings.find(flow);
  if (opening != relay.openings.end()) {
    const RelayHeader& header = opening->second.header;
    ++relay.counters.opened;
    // The balancer chose another agent first and must be notified of the owner.
    if (header.hops > 0) {
      actions.push_back(
          SendOwnershipReply{header.balancer, flow, FlowOwnership::kOwned});
    }
    relay.openings.erase(opening);
  }
  const auto probe = relay.probes.find(flow);
  if (probe != relay.probes.end()) {
    actions.push_back(SendOwnershipReply{probe->second.balancer, flow,
                                         FlowOwnership::kOwned});
    relay.probes.erase(probe);
  }
  return effect;
}

HeartbeatEffect HandleUpstreamHeartbeat(AgentRelay& relay,
                                        const UpstreamHeartbeat& heartbeat,
                                        TimePoint now, RelayActions& actions) {
  const HeartbeatEffect effect = ApplyHeartbeat(relay.upstream, heartbeat, now);
  if (effect == HeartbeatEffect::kIgnored) return effect;
  RecordContact(relay, now);
  if (effect == HeartbeatEffect::kNewIncarnation) {
    ResetAllFlows(relay, now, actions);
    relay.knows_all_flows = true;
  }
  if (effect == HeartbeatEffect::kFirst) {
    // An upstream that was considered absent still has the flows that were
    // removed here.
    relay.knows_all_flows = heartbeat.sequence <= kFirstHeartbeatSequence;
  }
  return effect;
}

bool HandleDeregistration(AgentRelay& relay, const std::string& id,
                          TimePoint now) {
  return ApplyDeregistration(relay.upstream, id, now);
}

bool NeedsUpstreamCheck(const AgentRelay& relay, TimePoint now) {
  if (relay.upstream.phase == UpstreamPhase::kAbsent) return false;
  if (relay.upstream_checked_at.has_value() &&
      now - *relay.upstream_checked_at < kMinUpstreamCheckInterval) {
    return false;
  }
  // Half an interval more than a running upstream needs at most.
  const bool is_heartbeat_overdue =
      relay.upstream.phase == UpstreamPhase::kUnknown &&
      (now - relay.started) * 2 >= relay.heartbeat_interval * 3;
  return relay.is_stopping || is_heartbeat_overdue ||
         IsUnresponsive(relay, now);
}

void BeginUpstreamCheck(AgentRelay& relay, TimePoint now) {
  relay.upstream_checked_at = now;
}

bool HandleConnectionRefused(AgentRelay& relay, TimePoint now,
                             RelayActions& actions) {
  const bool was_heard_since =
      relay.upstream_last_contact.has_value() &&
      relay.upstream_checked_at.has_value() &&
      *relay.upstream_last_contact > *relay.upstream_checked_at;
  if (was_heard_since || relay.upstream.phase == UpstreamPhase::kAbsent) {
    return false;
  }
  relay.upstream.phase = UpstreamPhase::kAbsent;
  relay.upstream.exited_at = now;
  relay.knows_all_flows = true;
  relay.unanswered_since.reset();
  DenyProbes(relay, actions);
  ResetAllFlows(relay, now, actions);
  return true;
}

void HandleAgentTick(AgentRelay& relay, TimePoint now, RelayActions& actions) {
  if (IsNotRunning(relay, now)) DenyProbes(relay, actions);
  const TimePoint last_contact =
      relay.upstream_last_contact.value_or(relay.started);
  const bool has_missed_heartbeats =
      now - last_contact >=
      relay.heartbeat_interval * kMaxMissedHeartbeats + kHeartbeatAckTimeout;
  const bool has_departed = HasDeparted(relay, now);
  if ((has_missed_heartbeats || has_departed) &&
      relay.upstream.phase != UpstreamPhase::kAbsent) {
    relay.upstream.phase = UpstreamPhase::kAbsent;
    if (has_departed) relay.knows_all_flows = true;
    DenyProbes(relay, actions);
    ResetAllFlows(relay, now, actions);
  }
  RefreshFlows(relay.flow_tracker, kMaxFlowLifetime, now);
  std::erase_if(relay.openings, [&](const auto& entry) {
    return now - entry.second.delivered_at >= kPendingTimeout;
  });
  std::erase_if(relay.probes, [&](const auto& entry) {
    return now - entry.second.delivered_at >= kPendingTimeout;
  });
  if (now - relay.started >= kMaxFlowLifetime) relay.knows_all_flows = true;
}

}  // namespace medlarwinch
