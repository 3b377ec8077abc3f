#pragma once

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Monotonic time since an arbitrary epoch; stops for no adjustment of the wall
/// clock.
TimePoint MonotonicNow();

/// Wall-clock time since 1970.
TimePoint WallNow();

}  // namespace medlarwinch
