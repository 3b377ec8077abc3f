// What an agent tells a balancer in addition to its status.
#include <variant>

#include "medlarwinch/node/agent_node.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Number of reports after which the polling balancer is told the number of
// balancers.
constexpr uint64_t kReportsPerBalancerCount = 64;

}  // namespace

void AgentNode::SendProtocolOffer(const Endpoint& balancer) {
  EncodeRelayMessage(ProtocolOffer{kExtendedProtocolVersion}, message_buffer_);
  relay_socket_->Send(balancer, message_buffer_);
}

// Repeats what a balancer would miss if one datagram were lost.
void AgentNode::SendPeriodicNotices(const Endpoint& balancer) {
  SendNamedAgents(balancer);
  if (report_sequence_ % kReportsPerBalancerCount != 0) return;
  EncodeRelayMessage(
      BalancerCount{static_cast<uint32_t>(polls_by_balancer_.size())},
      message_buffer_);
  relay_socket_->Send(balancer, message_buffer_);
  SendProtocolOffer(balancer);
}

bool AgentNode::RecordNamedByBalancer(const Endpoint& from,
                                      const RelayMessage& message) {
  const UnlistedAgents* unlisted = std::get_if<UnlistedAgents>(&message);
  if (unlisted == nullptr) return false;
  if (polls_by_balancer_.count(from) == 0) return true;
  RecordNamedAgents(named_agents_, unlisted->agents, MonotonicNow());
  return true;
}

void AgentNode::SendNamedAgents(const Endpoint& balancer) {
  if (named_agents_.empty()) return;
  UnlistedAgents message{TakeCurrentlyNamed(named_agents_, MonotonicNow())};
  if (message.agents.empty()) return;
  EncodeRelayMessage(message, message_buffer_);
  relay_socket_->Send(balancer, message_buffer_);
}

}  // namespace medlarwinch
