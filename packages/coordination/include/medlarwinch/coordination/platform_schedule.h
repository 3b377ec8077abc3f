#pragma once

#include <cstdint>

#include "medlarwinch/coordination/random.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// First and longest pause between failed reads of the platform.
inline constexpr Millis kInitialRetryDelay{500};
inline constexpr Millis kMaxReadRetryDelay{30'000};
/// Longest pause between failed watches; new documents wait for it when the
/// platform returns. At full scale, 60 watchers make 12 attempts/s.
inline constexpr Millis kMaxWatchRetryDelay{5'000};
/// Interval at which a watcher reads the key ring and the bootstrap list. At
/// full scale, 60 watchers make 12 reads/s of the platform's 2,000.
inline constexpr Millis kPeriodicReadInterval{10'000};

/// When this daemon calls the platform next. All times are monotonic.
struct PlatformSchedule {
  /// True once all documents were read.
  bool has_read_all = false;
  bool is_reading = false;
  bool is_watching = false;
  uint64_t watch_revision = 0;
  TimePoint next_read{-1};
  TimePoint next_watch{-1};
  Millis read_retry_delay = kInitialRetryDelay;
  Millis watch_retry_delay = kInitialRetryDelay;
};

/// What is due now.
struct DueCalls {
  PlatformSchedule schedule;
  bool read_all = false;
  bool read_periodic = false;
  bool watch = false;
};

/// Decides which calls are due. Every balancer reads once at its start, and
/// again while that fails; watchers also watch and read at intervals.
DueCalls DecideCalls(PlatformSchedule schedule, bool is_watcher, TimePoint now);

/// Notes the end of a read.
PlatformSchedule RecordReadResult(PlatformSchedule schedule, bool was_read_all,
                                  bool ok, TimePoint now, Random& random);

/// Notes the end of a watch.
PlatformSchedule RecordWatchResult(PlatformSchedule schedule, uint64_t revision,
                                   bool ok, TimePoint now, Random& random);

}  // namespace medlarwinch
