#include "medlarwinch/coordination/request_path/upstream_state.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/request_path/slow_start.h"

namespace medlarwinch {
namespace {

bool IsDrainedByDocument(const ServiceDocument& document,
                         const MemberEntry& member) {
  const std::vector<Endpoint>& drained = document.drain.upstreams;
  return std::find(drained.begin(), drained.end(), member.upstream) !=
         drained.end();
}

void SetAcceptingWeights(const ServiceInput& service, const MemberEntry& member,
                         UpstreamState& state) {
  const Millis since_ready = TimeSinceReady(service, member)
                                 .value_or(service.document.slow_start.window);
  state.upstream.weights.accepting =
      member.slots *
      SlowStartTableShare(service.document.slow_start, since_ready);
  state.upstream.weights.owning = member.slots;
}

UpstreamState Classify(const ServiceInput& service, const MemberEntry& member) {
  const MemberPhase phase = member.version.phase;
  UpstreamState state;
  state.upstream.agent = member.data;
  if (service.input.doubtful.contains(member.id) &&
      (phase == MemberPhase::kReady || phase == MemberPhase::kFailed) &&
      !IsDrainedByDocument(service.document, member)) {
    SetAcceptingWeights(service, member, state);
    state.is_doubtful = true;
    state.reason = MakeServiceReason(service, "withdrawal_refused",
                                     "health.max_withdrawn_percent");
    return state;
  }
  state.upstream.is_unhealthy = phase == MemberPhase::kFailed;
  state.has_left = phase == MemberPhase::kLeft;
  if (phase == MemberPhase::kDraining) {
    state.upstream.weights.owning = member.slots;
    state.reason = MakeServiceReason(service, "member_draining", "");
    return state;
  }
  if (phase != MemberPhase::kReady) {
    state.reason = MakeServiceReason(
        service, std::string("member_") + MemberPhaseName(phase), "");
    return state;
  }
  if (IsDrainedByDocument(service.document, member)) {
    state.upstream.weights.owning = member.slots;
    state.reason =
        MakeServiceReason(service, "document_drain", "drain.upstreams");
    return state;
  }
  SetAcceptingWeights(service, member, state);
  state.reason = MakeServiceReason(service, "member_ready", "");
  return state;
}

void KeepLastUpstreamsInUse(
    const ServiceInput& service,
    const std::map<Endpoint, const MemberEntry*>& agents,
    UpstreamStates& states) {
  for (const auto& [address, state] : states) {
    if (AcceptsNewFlows(state)) return;
  }
  for (const auto& [address, member] : agents) {
    if (member->version.phase != MemberPhase::kFailed ||
        IsDrainedByDocument(service.document, *member)) {
      continue;
    }
    UpstreamState& state = states[address];
    SetAcceptingWeights(service, *member, state);
    state.upstream.is_unhealthy = false;
    state.is_doubtful = true;
    state.reason = MakeServiceReason(service, "last_upstreams_kept",
                                     "health.max_withdrawn_percent");
  }
}

}  // namespace

AgentsByService GroupAgents(const RoutingInput& input) {
  AgentsByService agents;
  for (const auto& [id, member] : input.members) {
    if (member.kind == MemberKind::kAgent) {
      agents[member.service].push_back(&member);
    }
  }
  return agents;
}

bool AcceptsNewFlows(const UpstreamState& state) {
  return state.upstream.weights.accepting > 0;
}

Reason MakeServiceReason(const ServiceInput& service, std::string rule,
                         std::string path) {
  Reason reason;
  reason.rule = std::move(rule);
  reason.document = service.document.service;
  reason.document_version = service.version;
  reason.path = std::move(path);
  return reason;
}

std::optional<Millis> TimeSinceReady(const ServiceInput& service,
                                     const MemberEntry& member) {
  const auto found = service.input.ready_since.find(member.id);
  if (found == service.input.ready_since.end()) return std::nullopt;
  return service.now - found->second;
}

std::map<Endpoint, const MemberEntry*> FindAgents(const ServiceInput& service,
                                                  const EndpointMap& owners) {
  std::map<Endpoint, const MemberEntry*> agents;
  const auto group = service.agents.find(service.document.service);
  if (group == service.agents.end()) return agents;
  for (const MemberEntry* member : group->second) {
    const auto owner = owners.find(member->data);
    if (owner == owners.end() || owner->second != service.index) continue;
    const auto [entry, is_added] = agents.emplace(member->data, member);
    if (!is_added && HasPrecedenceAtAddress(*member, *entry->second)) {
      entry->second = member;
    }
  }
  return agents;
}

UpstreamStates DecideUpstreams(
    const ServiceInput& service,
    const std::map<Endpoint, const MemberEntry*>& agents) {
  UpstreamStates states;
  for (const auto& [address, member] : agents) {
    states.emplace(address, Classify(service, *member));
  }
  KeepLastUpstreamsInUse(service, agents, states);
  return states;
}

}  // namespace medlarwinch
