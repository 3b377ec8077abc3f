#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "medlarwinch/coordination/shared/platform_calls.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Rate limiter for log events that are triggered by packets, so that a packet
/// flood does not flood the log. Suppressed lines are counted for each event;
/// see TakeSuppressed().
class LogRateLimiter {
 public:
  /// Returns whether a line of `event` may be written at `now`, and counts it
  /// as suppressed if not. `lines_per_second` is the rate limit of this event;
  /// the burst is one second's worth of lines.
  bool AllowLine(const char* event, double lines_per_second, TimePoint now);

  /// Returns the number of suppressed lines for each event and resets the
  /// counts.
  std::map<std::string, uint64_t> TakeSuppressed();

 private:
  std::map<std::string, CallBudget> token_buckets_;
  std::map<std::string, uint64_t> suppressed_;
};

}  // namespace medlarwinch
