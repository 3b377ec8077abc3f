#pragma once

#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Monotonic time since an arbitrary epoch. Not affected by adjustments of the
/// wall clock.
TimePoint MonotonicNow();

/// Wall-clock time since the Unix epoch (1970).
TimePoint WallNow();

/// Formats a wall-clock time in UTC, as in "2026-01-31T12:00:00.000Z".
std::string FormatTime(TimePoint time);

}  // namespace medlarwinch
