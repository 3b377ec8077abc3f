#pragma once

#include <chrono>
#include <mutex>

namespace medlarwinch {

/// A token bucket that limits calls per second, with a burst of one second's
/// worth of calls.
class RateLimiter {
 public:
  explicit RateLimiter(double calls_per_second)
      : calls_per_second_(calls_per_second), tokens_(calls_per_second) {}

  /// Takes one token; returns false if none is available.
  bool TryAcquire();

 private:
  using Clock = std::chrono::steady_clock;

  double calls_per_second_;
  std::mutex mutex_;
  double tokens_;
  Clock::time_point last_ = Clock::now();
};

}  // namespace medlarwinch
