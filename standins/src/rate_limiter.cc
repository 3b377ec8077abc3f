#include "medlarwinch/standins/rate_limiter.h"

#include <algorithm>

namespace medlarwinch {

bool RateLimiter::TryAcquire() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Clock::time_point now = Clock::now();
  const double elapsed = std::chrono::duration<double>(now - last_).count();
  last_ = now;
  tokens_ = std::min(calls_per_second_, tokens_ + elapsed * calls_per_second_);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace medlarwinch
