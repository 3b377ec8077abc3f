#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/address_owners.h"
#include "medlarwinch/coordination/routing_table.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Entries of agents by the name of their service.
using AgentsByService =
    std::unordered_map<std::string, std::vector<const MemberEntry*>>;

/// Groups the agents among the members.
AgentsByService GroupAgents(const RoutingInput& input);

/// What decides on the upstreams of one service.
struct ServiceInput {
  const RoutingInput& input;
  const AgentsByService& agents;
  const ServiceDocument& document;
  uint64_t version = 0;
  ServiceIndex index = 0;
  TimePoint now{0};
};

/// What the member table and the document say about one upstream.
struct UpstreamState {
  TableUpstream upstream;
  /// It takes new flows although it looks lost.
  bool is_doubtful = false;
  /// True when its process announced that it ended, so that it owns no flow.
  bool has_left = false;
  Reason reason;
};

/// States by data address.
using UpstreamStates = std::map<Endpoint, UpstreamState>;

/// True when the upstream is a candidate for new flows.
bool TakesNewFlows(const UpstreamState& state);

/// Returns a reason with the document of the service.
Reason MakeServiceReason(const ServiceInput& service, std::string rule,
                         std::string path);

/// Time since the member became ready; nothing when it is not known.
std::optional<Millis> TimeSinceReady(const ServiceInput& service,
                                     const MemberEntry& member);

/// Returns the agents of the service by data address, without those whose
/// address `owners` assigns to another service. Of several members with one
/// address the newest one counts.
std::map<Endpoint, const MemberEntry*> FindAgents(const ServiceInput& service,
                                                  const EndpointMap& owners);

/// Decides for each agent whether it takes new flows, only owns established
/// ones, or neither. Withdrawals for health never leave a service without an
/// upstream: when no other one takes new flows, those that look failed do.
UpstreamStates DecideUpstreams(
    const ServiceInput& service,
    const std::map<Endpoint, const MemberEntry*>& agents);

}  // namespace medlarwinch
