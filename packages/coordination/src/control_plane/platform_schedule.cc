#include "medlarwinch/coordination/control_plane/platform_schedule.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// Returns the time of the next attempt after a failure, and doubles the delay.
TimePoint BackOff(Millis& delay, Millis max_delay, TimePoint now,
                  Random& random) {
  const TimePoint next = now + Jitter(delay, random);
  delay = std::min(delay * 2, max_delay);
  return next;
}

}  // namespace

DueCalls DecideCalls(PlatformSchedule schedule, bool is_watcher,
                     TimePoint now) {
  DueCalls due;
  const bool may_read = !schedule.is_reading && now >= schedule.next_read;
  due.read_all = may_read && !schedule.has_read_all;
  due.read_periodic = may_read && schedule.has_read_all && is_watcher;
  due.watch = is_watcher && !schedule.is_watching && now >= schedule.next_watch;
  schedule.is_reading |= due.read_all || due.read_periodic;
  schedule.is_watching |= due.watch;
  due.schedule = schedule;
  return due;
}

PlatformSchedule RecordReadResult(PlatformSchedule schedule, bool was_read_all,
                                  bool ok, TimePoint now, Random& random) {
  schedule.is_reading = false;
  if (!ok) {
    schedule.next_read =
        BackOff(schedule.read_retry_delay, kMaxReadRetryDelay, now, random);
    return schedule;
  }
  schedule.has_read_all |= was_read_all;
  schedule.read_retry_delay = kInitialRetryDelay;
  schedule.next_read = now + Jitter(kPeriodicReadInterval, random);
  return schedule;
}

PlatformSchedule RecordWatchResult(PlatformSchedule schedule, uint64_t revision,
                                   bool ok, TimePoint now, Random& random) {
  schedule.is_watching = false;
  if (!ok) {
    schedule.next_watch =
        BackOff(schedule.watch_retry_delay, kMaxWatchRetryDelay, now, random);
    return schedule;
  }
  schedule.watch_retry_delay = kInitialRetryDelay;
  schedule.watch_revision = revision;
  schedule.next_watch = now;
  return schedule;
}

}  // namespace medlarwinch
