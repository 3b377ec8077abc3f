#pragma once

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Number of steps from 0 to the full weight. This limits how often the weight
/// changes during a slow start, and so how often tables are rebuilt.
inline constexpr int kSlowStartSteps = 20;

/// Returns the share of its slots, in (0, 1], that an upstream gets in the
/// routing tables `since_ready` after it became ready: SlowStartShare(),
/// rounded down to a multiple of 1 / kSlowStartSteps but never to 0.
double SlowStartTableShare(const SlowStartPolicy& policy, Millis since_ready);

}  // namespace medlarwinch
