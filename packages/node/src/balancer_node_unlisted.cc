// The agents that a restored store does not list.
#include <variant>

#include "medlarwinch/coordination/packet_path/unlisted_agents.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void BalancerNode::PollPeriodically() {
  RecordPollRound(relay_.directory);
  PollAgents();
  NameUnlistedAgents();
}

void BalancerNode::NameUnlistedAgents() {
  const TimePoint now = MonotonicNow();
  const std::vector<Endpoint> unlisted =
      UnlistedAgentsInUse(relay_.directory, now);
  if (unlisted.empty()) return;
  EncodeRelayMessage(UnlistedAgents{unlisted}, message_buffer_);
  for (const Endpoint& target : NamingTargets(relay_.directory, now)) {
    agent_socket_->Send(target, message_buffer_);
  }
}

bool BalancerNode::HandleNamedAgents(const Endpoint& from,
                                     const RelayMessage& message) {
  const UnlistedAgents* named = std::get_if<UnlistedAgents>(&message);
  if (named == nullptr) return false;
  // Only agents that this balancer polls are asked.
  if (relay_.directory.upstreams.count(from) == 0) return true;
  const size_t known_count = relay_.directory.upstreams.size();
  AddNamedAgents(relay_.directory, named->agents, MonotonicNow());
  const size_t added = relay_.directory.upstreams.size() - known_count;
  if (added == 0) return true;
  Log(LogLevel::kWarning, "agents_named",
      {{"by", ToString(from)}, {"added", static_cast<int64_t>(added)}});
  PollStartingAgents();
  return true;
}

}  // namespace medlarwinch
