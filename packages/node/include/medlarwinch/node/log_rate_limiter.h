#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "medlarwinch/coordination/platform_calls.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Bounds the log lines of each event that packets cause, so that a flood of
/// packets is not a flood of lines. Lines that were left out are counted and
/// reported by TakeSuppressed().
class LogRateLimiter {
 public:
  /// Whether a line of `event` may be written at `now`. `lines_per_second` is
  /// the rate of this event; a burst of one second's lines is allowed.
  bool AllowLine(const char* event, double lines_per_second, TimePoint now);

  /// Returns the lines left out by event since the last call, and forgets them.
  std::map<std::string, uint64_t> TakeSuppressed();

 private:
  std::map<std::string, CallBudget> token_buckets_;
  std::map<std::string, uint64_t> suppressed_;
};

}  // namespace medlarwinch
