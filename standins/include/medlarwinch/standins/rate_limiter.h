#pragma once

#include <chrono>
#include <mutex>

namespace medlarwinch {

/// A token bucket that admits a bounded number of calls a second, with a burst
/// of one second's worth.
class RateLimiter {
 public:
  explicit RateLimiter(double calls_per_second)
      : calls_per_second_(calls_per_second), tokens_(calls_per_second) {}

  /// Takes one token; returns false when there is none.
  bool TryAcquire();

 private:
  using Clock = std::chrono::steady_clock;

  double calls_per_second_;
  std::mutex mutex_;
  double tokens_;
  Clock::time_point last_ = Clock::now();
};

}  // namespace medlarwinch
