#pragma once

#include <string>

#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Returns the JSON object that a balancer serves at /status: its own phase,
/// the active version of each document and of the key ring, the members by kind
/// and phase, and the age of its view of the platform in milliseconds (null
/// before the first response). `control` is the JSON of the control plane;
/// `now` is monotonic.
std::string BalancerStatusJson(const ControlView& view,
                               const std::string& control, TimePoint now);

}  // namespace medlarwinch
