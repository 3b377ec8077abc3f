#pragma once

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Steps from 0 to the full weight. A weight changes at most this often during
/// a slow start, which bounds how often tables are rebuilt.
inline constexpr int kSlowStartSteps = 20;

/// Returns the share of its slots, in (0, 1], with which an upstream stands in
/// the routing tables `since_ready` after it became ready: SlowStartShare(),
/// rounded down to kSlowStartSteps steps but never to 0.
double SlowStartTableShare(const SlowStartPolicy& policy, Millis since_ready);

}  // namespace medlarwinch
