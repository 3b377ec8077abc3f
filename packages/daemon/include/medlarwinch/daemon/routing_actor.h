#pragma once

#include <caf/actor.hpp>
#include <caf/fwd.hpp>
#include <functional>
#include <memory>

#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/data_path.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// A new view for the routing actor.
struct ViewMessage {
  std::shared_ptr<const ControlView> view;
};

/// Objects that the routing actor uses; they must outlive it.
struct RoutingActorContext {
  DataPath* data_path = nullptr;
  Metrics* metrics = nullptr;
  /// Records each change of a table in the account; called on the actor's
  /// thread.
  std::function<void(AccountEntry)> record_account_entry;
};

/// Starts the actor that rebuilds the routing tables when it receives a view
/// (ViewMessage) or a timed change is due, publishes them to the data path and
/// flushes the data path's counters.
caf::actor SpawnRoutingActor(caf::actor_system& system,
                             RoutingActorContext context);

}  // namespace medlarwinch

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::ViewMessage)
