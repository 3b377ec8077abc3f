#pragma once

#include <cstdint>

#include "medlarwinch/coordination/shared/random.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Initial and maximum delay between failed reads of the platform.
inline constexpr Millis kInitialRetryDelay{500};
inline constexpr Millis kMaxReadRetryDelay{30'000};
/// Maximum delay between failed watches. New documents wait for it when the
/// platform recovers. At full scale, 60 watchers make 12 attempts/s.
inline constexpr Millis kMaxWatchRetryDelay{5'000};
/// Interval at which a watcher reads the key ring and the bootstrap list. At
/// full scale, 60 watchers make 12 reads/s of the platform's 2,000.
inline constexpr Millis kPeriodicReadInterval{10'000};

/// State of this daemon's calls to the platform. All times are monotonic.
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

/// The calls that are due now.
struct DueCalls {
  PlatformSchedule schedule;
  bool read_all = false;
  bool read_periodic = false;
  bool watch = false;
};

/// Decides which calls are due. Every balancer reads all documents once at its
/// start, and again until that succeeds. Watchers also keep a watch open and
/// read the key ring and the bootstrap list at intervals.
DueCalls DecideCalls(PlatformSchedule schedule, bool is_watcher, TimePoint now);

/// Updates the schedule after a read has ended.
PlatformSchedule RecordReadResult(PlatformSchedule schedule, bool was_read_all,
                                  bool ok, TimePoint now, Random& random);

/// Updates the schedule after a watch has ended.
PlatformSchedule RecordWatchResult(PlatformSchedule schedule, uint64_t revision,
                                   bool ok, TimePoint now, Random& random);

}  // namespace medlarwinch
