#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/request_path/address_owners.h"
#include "medlarwinch/coordination/request_path/routing_table.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Member entries of agents by service name.
using AgentsByService =
    std::unordered_map<std::string, std::vector<const MemberEntry*>>;

/// Groups the agents among the members by service.
AgentsByService GroupAgents(const RoutingInput& input);

/// The input of the decisions on one service's upstreams.
struct ServiceInput {
  const RoutingInput& input;
  const AgentsByService& agents;
  const ServiceDocument& document;
  uint64_t version = 0;
  ServiceIndex index = 0;
  TimePoint now{0};
};

/// The state of one upstream according to the member table and the document.
struct UpstreamState {
  TableUpstream upstream;
  /// True when the upstream accepts new flows although it appears to have
  /// failed.
  bool is_doubtful = false;
  /// True when the process announced its exit, so that the upstream owns no
  /// flow.
  bool has_left = false;
  Reason reason;
};

/// Upstream states by data address.
using UpstreamStates = std::map<Endpoint, UpstreamState>;

/// Returns true if the upstream is a candidate for new flows.
bool AcceptsNewFlows(const UpstreamState& state);

/// Makes a reason that refers to the service's document.
Reason MakeServiceReason(const ServiceInput& service, std::string rule,
                         std::string path);

/// Returns the time since the member became ready, if known.
std::optional<Millis> TimeSinceReady(const ServiceInput& service,
                                     const MemberEntry& member);

/// Returns the agents of the service by data address, except those whose
/// address `owners` assigns to another service. Of several members with the
/// same address the newest one is returned.
std::map<Endpoint, const MemberEntry*> FindAgents(const ServiceInput& service,
                                                  const EndpointMap& owners);

/// Decides for each agent whether it accepts new flows, only owns established
/// flows, or neither. Withdrawals for health never leave a service without an
/// upstream: when no other upstream accepts new flows, the failed ones do.
UpstreamStates DecideUpstreams(
    const ServiceInput& service,
    const std::map<Endpoint, const MemberEntry*>& agents);

}  // namespace medlarwinch
