#pragma once

#include <cstdint>
#include <optional>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// When an event loop last ran its periodic tick, on a clock that also counts
/// suspension.
struct LoopTicks {
  TimePoint last_tick;
  /// Start of the span without a tick that the last tick has ended, if that
  /// tick was late.
  std::optional<TimePoint> late_since;

  friend bool operator==(const LoopTicks&, const LoopTicks&) = default;
};

/// What a socket may hold unread since its event loop was late.
struct SocketBacklog {
  /// Start of the span for which the loop was late; empty if nothing is left of
  /// it.
  std::optional<TimePoint> late_since;
  /// How often the socket had been read until it was empty at the end of the
  /// span.
  uint64_t drains = 0;

  friend bool operator==(const SocketBacklog&, const SocketBacklog&) = default;
};

/// Records a tick at `now`, `interval` after the one before if it is on time.
void RecordLoopTick(LoopTicks& ticks, Millis interval, TimePoint now);

/// Records what the last tick says of a socket that has been read until it was
/// empty `drains` times. To be called after each tick.
void RecordBacklog(SocketBacklog& backlog, const LoopTicks& ticks,
                   uint64_t drains);

/// Returns how long a datagram that is read at `now` may have waited in the
/// socket because the loop was late; 0 while the loop is on time and the socket
/// has been read until it was empty since it was late last.
Millis MaxArrivalDelay(const LoopTicks& ticks, const SocketBacklog& backlog,
                       uint64_t drains, Millis interval, TimePoint now);

}  // namespace medlarwinch
