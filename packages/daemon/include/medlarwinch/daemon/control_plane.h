#pragma once

#include <caf/fwd.hpp>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/settings.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Functions that the control plane calls. Each may be called from any thread
/// and must return at once.
struct ControlPlaneHooks {
  /// Called with each new view.
  std::function<void(std::shared_ptr<const ControlView>)> on_view;
  /// Returns the load that the next heartbeat reports; set for agents only.
  std::function<UpstreamLoad()> load;
  /// Records a decision in the account.
  std::function<void(AccountEntry)> record_account_entry;
};

/// Membership, failure detection, dissemination and configuration of one
/// daemon: CAF actors that run the decision logic of the coordination package.
class ControlPlane {
 public:
  /// Binds the control address and starts the actors. Fails when the address
  /// can't be bound. `metrics` must outlive the control plane.
  static Result<std::unique_ptr<ControlPlane>> Start(caf::actor_system& system,
                                                     const Settings& settings,
                                                     MemberKind kind,
                                                     ControlPlaneHooks hooks,
                                                     Metrics& metrics);

  /// Stops the actors and closes the sockets.
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Returns the newest view; never null.
  std::shared_ptr<const ControlView> view() const;

  /// Moves this daemon to a later phase and announces the change at once.
  void SetPhase(MemberPhase phase);

  /// Returns the state of the control plane as a JSON object, for /status.
  std::string StatusJson() const;

 private:
  struct State;
  explicit ControlPlane(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
