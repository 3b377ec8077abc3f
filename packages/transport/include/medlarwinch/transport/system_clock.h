#pragma once

#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Monotonic time since an arbitrary epoch. Not affected by adjustments of the
/// wall clock.
TimePoint MonotonicNow();

/// Time since the VM started. Unlike MonotonicNow(), it also counts the time
/// for which the VM was suspended.
TimePoint BootTimeNow();

/// Wall-clock time since the Unix epoch (1970).
TimePoint WallNow();

/// Formats a wall-clock time in UTC, as in "2026-01-31T12:00:00.000Z".
std::string FormatTime(TimePoint time);

}  // namespace medlarwinch
