#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Identity of this agent.
struct AgentIdentity {
  std::string service;
  Endpoint data;
  int64_t boot = 0;
};

/// State shared by the components of an agent. Modified only under the engine's
/// lock.
struct AgentSharedState {
  DocumentContext context;
  std::shared_ptr<const KeySet> keys;
  /// Data addresses of the ready agents of the service, including this agent
  /// unless it is draining.
  std::vector<Endpoint> ready_agents;
  uint32_t slots = 1;
  bool draining = false;
  /// False while this agent's roster may differ from another agent's by more
  /// than two changes. The home agents that both choose for a key may then have
  /// none in common.
  bool is_roster_settled = false;
};

/// Reports a decision for the account and the log. `subject` names the flow,
/// request or upstream.
using DecisionReporter = std::function<void(
    const char* action, const std::string& subject, const Reason& reason)>;

}  // namespace medlarwinch
