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

/// What the routing actor acts on. All of it outlives the actor.
struct RoutingActorContext {
  DataPath* data_path = nullptr;
  Metrics* metrics = nullptr;
  /// Takes a record of each change of a table; called on the actor's thread.
  std::function<void(AccountEntry)> record_account_entry;
};

/// Starts the actor that makes routing tables from the views it is sent
/// (ViewMessage) and as time passes, publishes them to the data path and
/// flushes the data path's counters.
caf::actor SpawnRoutingActor(caf::actor_system& system,
                             RoutingActorContext context);

}  // namespace medlarwinch

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::ViewMessage)
