// The pacing of uploads at an agent.
#include "medlarwinch/node/agent_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void AgentNode::RecordLink(const Endpoint& balancer,
                           const BalancerTerms& terms) {
  const LinkChange change =
      RecordBalancerLink(relay_.ack_pacing, balancer, terms.link_kbps,
                         terms.upload_flows, MonotonicNow());
  if (change == LinkChange::kNone) return;
  Log(LogLevel::kInfo, "upload_pacing",
      {{"balancer", ToString(balancer)},
       {"state", change == LinkChange::kStarted ? "started" : "ended"},
       {"link_kbps", static_cast<int64_t>(terms.link_kbps)},
       {"upload_flows", static_cast<int64_t>(terms.upload_flows)}});
}

void AgentNode::RefreshPacing(TimePoint now) {
  for (const Endpoint& balancer : RefreshAckPacing(relay_.ack_pacing, now)) {
    Log(LogLevel::kInfo, "upload_pacing",
        {{"balancer", ToString(balancer)}, {"state", "silent"}});
  }
}

void AgentNode::SendToCaller(const Endpoint& caller, ByteView packet) {
  relay_socket_->Send(platform_.caller_gateway(caller), packet);
}

bool AgentNode::ExecutePacingAction(const RelayAction& action,
                                    ByteView packet) {
  if (const HoldPacket* hold = std::get_if<HoldPacket>(&action)) {
    held_packets_.Hold(hold->flow, hold->due, packet);
    return true;
  }
  if (const DiscardHeld* discard = std::get_if<DiscardHeld>(&action)) {
    held_packets_.Discard(discard->flow);
    return true;
  }
  return false;
}

}  // namespace medlarwinch
