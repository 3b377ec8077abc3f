#include "medlarwinch/daemon/agent_actor.h"

#include <caf/all.hpp>
#include <chrono>

#include "medlarwinch/daemon/roles.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

using TickAtom = caf::atom_constant<caf::atom("ag_tick")>;
using ProbeAtom = caf::atom_constant<caf::atom("ag_probe")>;

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kProbeInterval{200};

caf::behavior AgentBehavior(caf::event_based_actor* self, AgentEngine* engine) {
  self->delayed_send(self, kTickInterval, TickAtom::value);
  engine->ProbeUpstream();
  self->delayed_send(self, kProbeInterval, ProbeAtom::value);
  return {
      [engine](const AgentViewMessage& message) {
        engine->OnView(*message.view);
      },
      [self, engine](TickAtom) {
        // Further signals have no effect: the drain does not abort requests.
        if (g_termination_signal_count > 0) engine->DrainBySignal();
        engine->Tick();
        self->delayed_send(self, kTickInterval, TickAtom::value);
      },
      [self, engine](ProbeAtom) {
        if (engine->IsReady()) return;
        engine->ProbeUpstream();
        self->delayed_send(self, kProbeInterval, ProbeAtom::value);
      },
  };
}

}  // namespace

caf::actor SpawnAgentActor(caf::actor_system& system, AgentEngine* engine) {
  return system.spawn(AgentBehavior, engine);
}

}  // namespace medlarwinch
