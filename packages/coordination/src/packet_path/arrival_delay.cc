#include "medlarwinch/coordination/packet_path/arrival_delay.h"

namespace medlarwinch {
namespace {

// Timers fire some milliseconds late on a loop that is not busy.
constexpr Millis kTickTolerance{10};

}  // namespace

void RecordLoopTick(LoopTicks& ticks, Millis interval, TimePoint now) {
  const bool is_late = ticks.last_tick != TimePoint{} &&
                       now - ticks.last_tick > interval + kTickTolerance;
  ticks.late_since =
      is_late ? std::optional<TimePoint>(ticks.last_tick) : std::nullopt;
  ticks.last_tick = now;
}

void RecordBacklog(SocketBacklog& backlog, const LoopTicks& ticks,
                   uint64_t drains) {
  if (backlog.drains != drains) backlog.late_since.reset();
  backlog.drains = drains;
  if (!backlog.late_since.has_value()) backlog.late_since = ticks.late_since;
}

Millis MaxArrivalDelay(const LoopTicks& ticks, const SocketBacklog& backlog,
                       uint64_t drains, Millis interval, TimePoint now) {
  if (ticks.last_tick == TimePoint{}) return Millis{0};
  const bool has_backlog =
      backlog.late_since.has_value() && backlog.drains == drains;
  if (has_backlog) return now - *backlog.late_since;
  // The loop may have been busy or suspended since its last tick.
  const Millis since_tick = now - ticks.last_tick;
  return since_tick > interval ? since_tick : Millis{0};
}

}  // namespace medlarwinch
