#include "medlarwinch/coordination/packet_path/arrival_delay.h"

#include <algorithm>

namespace medlarwinch {

void RecordLoopTick(LoopTicks& ticks, Millis interval, TimePoint now) {
  const bool is_first = ticks.last_tick == TimePoint{};
  ticks.last_delay =
      is_first ? Millis{0}
               : std::max(Millis{0}, now - ticks.last_tick - interval);
  ticks.last_tick = now;
}

Millis MaxArrivalDelay(const LoopTicks& ticks, Millis interval, TimePoint now) {
  if (ticks.last_tick == TimePoint{}) return Millis{0};
  const Millis since_tick = now - ticks.last_tick;
  // The loop may have been busy since its last tick.
  if (since_tick > interval) return since_tick;
  if (ticks.last_delay == Millis{0}) return Millis{0};
  // What arrived before a late tick may still be unread.
  return ticks.last_delay + interval + since_tick;
}

}  // namespace medlarwinch
