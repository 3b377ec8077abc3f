// The polls by which a balancer learns the state of the agents and tells them
// its terms.
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void BalancerNode::PollAgent(const Endpoint& agent, bool is_listed) {
  const AgentPoll poll{is_listed, relay_.routes.configuration.version};
  const auto known = relay_.directory.upstreams.find(agent);
  const bool is_extended = UsesExtendedPolls() &&
                           known != relay_.directory.upstreams.end() &&
                           known->second.reads_extended;
  if (is_extended) {
    EncodeRelayMessage(ExtendedPoll{poll, MakeTerms(known->second)},
                       message_buffer_);
  } else {
    EncodeRelayMessage(poll, message_buffer_);
  }
  agent_socket_->Send(agent, message_buffer_);
}

// Deployments that ask for no feature with extended polls get the shorter ones.
bool BalancerNode::UsesExtendedPolls() const {
  return settings_.features != NodeFeatures{} || PacesUploads() ||
         !relay_.directory.services_with_cold_limit.empty();
}

BalancerTerms BalancerNode::MakeTerms(const KnownUpstream& upstream) const {
  BalancerTerms terms;
  terms.evacuations = relay_.directory.evacuations;
  const std::map<ServiceId, ServiceTerms>& services =
      relay_.routes.configuration.services;
  const auto service = services.find(upstream.report.service);
  if (service != services.end()) terms.service = service->second;
  terms.link_kbps = settings_.link_kbps;
  terms.upload_flows = CountUploads(relay_.uploads, MonotonicNow());
  const auto baselines = baselines_.find(upstream.report.service);
  if (SendsBaselines() && baselines != baselines_.end()) {
    terms.baselines = baselines->second;
  }
  return terms;
}

void BalancerNode::PollAgents() {
  RefreshUploadFlows(relay_.uploads, MonotonicNow());
  ++poll_round_;
  RefreshBaselines(MonotonicNow());
  UpdateSpills(MonotonicNow());
  for (const auto& [agent, upstream] : relay_.directory.upstreams) {
    PollAgent(agent, upstream.is_listed);
  }
}

// Polls agents in phase kUnknown at every tick, not only every
// kAgentPollInterval: when many VMs start together, agents become ready within
// milliseconds of each other, and new flows are spread over all of them only if
// all are known soon.
void BalancerNode::PollStartingAgents() {
  for (const auto& [agent, upstream] : relay_.directory.upstreams) {
    if (upstream.report.phase != UpstreamPhase::kUnknown) continue;
    PollAgent(agent, upstream.is_listed);
  }
}

}  // namespace medlarwinch
