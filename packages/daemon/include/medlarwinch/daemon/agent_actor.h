#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <memory>

#include "medlarwinch/daemon/agent_engine.h"

namespace medlarwinch {

/// Passes the newest view to the agent's actor.
struct AgentViewMessage {
  std::shared_ptr<const ControlView> view;
};

/// Starts the actor that drives an agent's timers, readiness and drain: it
/// calls the engine's Tick(), passes views and termination signals to it, and
/// marks it as ready once the upstream accepts connections. `engine` must
/// outlive the actor.
caf::actor SpawnAgentActor(caf::actor_system& system, AgentEngine* engine);

}  // namespace medlarwinch

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::AgentViewMessage)
