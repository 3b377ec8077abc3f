#pragma once

#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Monotonic time since an arbitrary epoch; stops for no adjustment of the wall
/// clock.
TimePoint MonotonicNow();

/// Wall-clock time since 1970.
TimePoint WallNow();

/// Formats a wall-clock time as "2026-01-31T12:00:00.000Z".
std::string FormatTime(TimePoint time);

}  // namespace medlarwinch
