#pragma once

#include <cstdint>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Steps from 0 to the full weight. A weight changes at most this often during
/// a slow start, which bounds how often tables are rebuilt.
inline constexpr int kSlowStartSteps = 20;

/// Returns the share of its slots, in (0, 1], with which an upstream takes new
/// flows `since_ready` after it became ready: `initial_percent` at first and a
/// linear rise to 1 at the end of the window, in kSlowStartSteps steps. A
/// negative time counts as 0, and a window of 0 as no slow start.
double SlowStartShare(Millis since_ready, const SlowStartPolicy& policy);

}  // namespace medlarwinch
