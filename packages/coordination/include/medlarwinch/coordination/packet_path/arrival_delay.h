#pragma once

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// When an event loop last ran its periodic tick, on a clock that also counts
/// suspension.
struct LoopTicks {
  TimePoint last_tick;
  /// How late that tick was.
  Millis last_delay{0};

  friend bool operator==(const LoopTicks&, const LoopTicks&) = default;
};

/// Records a tick at `now`, `interval` after the one before if it is on time.
void RecordLoopTick(LoopTicks& ticks, Millis interval, TimePoint now);

/// Returns how long a datagram that is read at `now` may have waited in the
/// kernel because the loop was late; 0 while the loop is on time.
Millis MaxArrivalDelay(const LoopTicks& ticks, Millis interval, TimePoint now);

}  // namespace medlarwinch
