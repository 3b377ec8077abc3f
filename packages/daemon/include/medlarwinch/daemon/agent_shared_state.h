#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/coordination/document_context.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Who this agent is.
struct AgentIdentity {
  std::string service;
  Endpoint data;
  int64_t boot = 0;
};

/// What the parts of an agent share of its surroundings. Changed under the
/// engine's lock only.
struct AgentSharedState {
  DocumentContext context;
  std::shared_ptr<const KeySet> keys;
  /// Data addresses of the ready agents of the service; this agent is among
  /// them unless it drains.
  std::vector<Endpoint> ready_agents;
  uint32_t slots = 1;
  bool draining = false;
  /// False while this agent's roster may differ from that of another agent by
  /// more than two changes, so that the homes of a key need not meet.
  bool is_roster_settled = false;
};

/// Takes a decision for the record and the log. `subject` names the flow,
/// request or upstream.
using DecisionReporter = std::function<void(
    const char* action, const std::string& subject, const Reason& reason)>;

}  // namespace medlarwinch
