#include "medlarwinch/coordination/packet_path/agent_openings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "medlarwinch/coordination/packet_path/class_admission.h"
#include "medlarwinch/coordination/packet_path/opening_copies.h"
#include "medlarwinch/coordination/packet_path/opening_gate.h"
#include "medlarwinch/coordination/packet_path/upstream_liveness.h"

namespace medlarwinch {
namespace {

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

// Returns why the upstream can take no opening at all.
std::optional<RefusalReason> CheckUpstream(AgentRelay& relay,
                                           const RelayHeader& header,
                                           TimePoint now) {
  if (!Contains(header.allowed, relay.service)) {
    return RefusalReason::kOtherService;
  }
  if (relay.is_stopping || relay.is_entry_removed ||
      relay.upstream.phase != UpstreamPhase::kReady) {
    return RefusalReason::kNotReady;
  }
  if (IsUnresponsive(relay, now)) return RefusalReason::kUnresponsive;
  return CheckOpeningGate(relay, now);
}

bool HasRoom(const AgentRelay& relay, const RelayHeader& header,
             TimePoint now) {
  const size_t last = kMaxQueueRounds.size() - 1;
  const size_t round =
      header.alternates.empty() ? last : std::min<size_t>(header.hops, last);
  const double queue = std::min(relay.upstream.slots * kMaxQueueRounds[round],
                                kMaxQueuedRequests);
  const double limit = relay.upstream.slots + queue;
  return CommittedRequests(relay.flow_tracker, now) < limit;
}

// Returns true if an opening that no agent accepts is dropped, so that the
// caller retransmits it, instead of being reset. After many VMs have lost
// power, all callers open flows at once. Queues drain in the time between two
// retransmissions, while a caller retries within milliseconds after a reset and
// uses up its few attempts.
bool AwaitsRetransmission(const AgentRelay& relay, const FlowPacket& packet,
                          RefusalReason reason) {
  // An agent that has just started does not know its upstream yet.
  if (relay.upstream.phase == UpstreamPhase::kUnknown) return true;
  if (reason == RefusalReason::kTermsUnknown) return true;
  if (reason == RefusalReason::kBusy || reason == RefusalReason::kBounced ||
      reason == RefusalReason::kColdLimit) {
    return packet.acknowledged < kMaxOpeningRetransmissions;
  }
  // Another agent may have accepted an earlier copy of the opening.
  return packet.acknowledged > 0;
}

void LeaveToNextCopy(AgentRelay& relay, const FlowPacket& packet,
                     RelayActions& actions) {
  ++relay.counters.dropped_openings;
  actions.push_back(DropPackets{FlowFromCaller(packet),
                                PacketDropReason::kLeftToRetransmission});
}

void DropOutdated(AgentRelay& relay, const FlowTuple& flow,
                  RelayActions& actions) {
  ++relay.counters.outdated_openings;
  actions.push_back(DropPackets{flow, PacketDropReason::kOutdatedOpening});
}

// Leaves an opening that no upstream has taken to the caller's next copy. The
// balancer is told, so that a refusal of the next copy can be final.
void DeclineCopy(AgentRelay& relay, const RelayHeader& header,
                 const std::optional<OpeningContext>& context,
                 const FlowPacket& packet, RelayActions& actions) {
  LeaveToNextCopy(relay, packet, actions);
  if (!context.has_value()) return;
  actions.push_back(SendOpeningDeclined{header.balancer, FlowFromCaller(packet),
                                        context->copy});
}

// Only the balancer knows whether the refusal is recent enough for a reset,
// since an agent does not see for how long the opening was on its way.
void RefuseOpening(AgentRelay& relay, const RelayHeader& header,
                   const OpeningContext& context, const FlowPacket& packet,
                   RelayActions& actions) {
  ++relay.counters.refused_openings;
  actions.push_back(
      SendOpeningRefused{header.balancer, FlowFromCaller(packet), context});
}

// Forwards an opening to the next agent. Without another agent it is dropped or
// refused.
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
    DeclineCopy(relay, header, context, packet, actions);
    return;
  }
  if (context.has_value()) {
    RefuseOpening(relay, header, *context, packet, actions);
    return;
  }
  // Nothing tells how old the opening is.
  LeaveToNextCopy(relay, packet, actions);
}

// Returns true if the opening is a copy of the one with which the upstream
// already has an unfinished flow. The port of an ended flow may be used again.
bool IsCopyOfKnownOpening(const AgentRelay& relay, const FlowPacket& packet) {
  const auto known = relay.flow_tracker.flows.find(FlowFromCaller(packet));
  if (known == relay.flow_tracker.flows.end()) return false;
  if (HasEnded(known->second)) return false;
  return packet.acknowledged > 0 ||
         known->second.opening_sequence == packet.sequence;
}

// Carries out a decision by class. Returns true if the opening is taken.
bool ApplyDecision(AgentRelay& relay, const RelayHeader& header,
                   const OpeningContext& context, const FlowPacket& packet,
                   const OpeningDecision& decision, RefusalReason refusal,
                   RelayActions& actions) {
  RecordDecision(relay.admission, decision);
  if (IsNotable(decision)) {
    actions.push_back(ReportOpeningDecision{FlowFromCaller(packet), decision});
  }
  switch (decision.verdict) {
    case OpeningVerdict::kTake:
      return true;
    case OpeningVerdict::kPassOn:
      ForwardOpening(relay, header, context, packet, refusal, actions);
      return false;
    case OpeningVerdict::kAwaitCopy:
      DeclineCopy(relay, header, context, packet, actions);
      return false;
    case OpeningVerdict::kRefuse:
      RefuseOpening(relay, header, context, packet, actions);
      return false;
  }
  return false;
}

// Returns true if the upstream takes the opening; else the opening was passed
// on, left to the next copy or refused.
bool AdmitOpening(AgentRelay& relay, const RelayHeader& header,
                  const std::optional<OpeningContext>& context,
                  const FlowPacket& packet, TimePoint now,
                  RelayActions& actions) {
  const std::optional<RefusalReason> refusal =
      CheckUpstream(relay, header, now);
  if (refusal.has_value()) {
    ForwardOpening(relay, header, context, packet, *refusal, actions);
    return false;
  }
  if (IsDecidedByClass(relay, context)) {
    // The upstream may have accepted an earlier copy that it has not answered.
    if (relay.openings.count(FlowFromCaller(packet)) != 0) return true;
    const OpeningDecision decision =
        DecideByClass(relay, header, *context, false, now);
    return ApplyDecision(relay, header, *context, packet, decision,
                         RefusalReason::kBusy, actions);
  }
  if (HasRoom(relay, header, now)) return true;
  ForwardOpening(relay, header, context, packet, RefusalReason::kBusy, actions);
  return false;
}

}  // namespace

void HandleOpening(AgentRelay& relay, const RelayHeader& header,
                   const std::optional<OpeningContext>& context,
                   const FlowPacket& packet, Millis waited, TimePoint now,
                   RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  // The attempt may have ended, or a later copy may have opened the flow at
  // another upstream.
  if (waited >= TimeToAttemptEnd(packet.acknowledged)) {
    DropOutdated(relay, flow, actions);
    return;
  }
  if (IsCopyOfKnownOpening(relay, packet)) {
    // A first copy can come late, after a later one has opened the flow.
    if (relay.flow_tracker.flows.at(flow).is_open) {
      DropOutdated(relay, flow, actions);
      return;
    }
    // The upstream has answered an earlier copy, so that the flow may open: the
    // copy is neither delivered nor refused.
    if (CheckOpeningGate(relay, now).has_value()) {
      LeaveToNextCopy(relay, packet, actions);
      return;
    }
  } else if (!AdmitOpening(relay, header, context, packet, now, actions)) {
    return;
  }
  relay.openings.insert_or_assign(
      flow, AgentRelay::Opening{header, context, packet.sequence, now});
  if (!relay.unanswered_since.has_value()) relay.unanswered_since = now;
  ++relay.counters.delivered;
  RecordDeliveredOpening(relay.gate, now);
  actions.push_back(DeliverToUpstream{});
}

void HandleBouncedOpening(AgentRelay& relay, const FlowPacket& packet,
                          TimePoint now, RelayActions& actions) {
  const auto opening = relay.openings.find(FlowFromCaller(packet));
  if (opening == relay.openings.end()) return;
  AgentRelay::Opening bounced = std::move(opening->second);
  relay.openings.erase(opening);
  if (IsDecidedByClass(relay, bounced.context)) {
    const OpeningDecision decision =
        DecideByClass(relay, bounced.header, *bounced.context, true, now);
    ApplyDecision(relay, bounced.header, *bounced.context, packet, decision,
                  RefusalReason::kBounced, actions);
    return;
  }
  ForwardOpening(relay, std::move(bounced.header), bounced.context, packet,
                 RefusalReason::kBounced, actions);
}

}  // namespace medlarwinch
