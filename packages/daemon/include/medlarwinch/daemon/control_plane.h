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

/// What the control plane calls; each function may be called from any thread
/// and must return at once.
struct ControlPlaneHooks {
  /// Called with each new view.
  std::function<void(std::shared_ptr<const ControlView>)> on_view;
  /// Returns the load that the next heartbeat reports; only for an agent.
  std::function<UpstreamLoad()> load;
  /// Takes a record of a decision.
  std::function<void(AccountEntry)> record_account_entry;
};

/// Membership, liveness, dissemination and configuration of one daemon: CAF
/// actors around the decisions of the coordination package.
class ControlPlane {
 public:
  /// Binds the control address and starts. Fails when the address can't be
  /// bound. `metrics` outlives the control plane.
  static Result<std::unique_ptr<ControlPlane>> Start(caf::actor_system& system,
                                                     const Settings& settings,
                                                     MemberKind kind,
                                                     ControlPlaneHooks hooks,
                                                     Metrics& metrics);

  /// Stops the actors and closes the sockets.
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// The newest view; never null.
  std::shared_ptr<const ControlView> view() const;

  /// Enters a later phase of this daemon's life and announces it at once.
  void SetPhase(MemberPhase phase);

  /// The state of the control plane as a JSON object, for /status.
  std::string StatusJson() const;

 private:
  struct State;
  explicit ControlPlane(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
