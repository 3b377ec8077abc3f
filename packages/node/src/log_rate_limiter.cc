#include "medlarwinch/node/log_rate_limiter.h"

#include <utility>

namespace medlarwinch {

bool LogRateLimiter::AllowLine(const char* event, double lines_per_second,
                               TimePoint now) {
  const auto [position, is_new] = token_buckets_.try_emplace(
      event,
      CallBudget{lines_per_second, lines_per_second, lines_per_second, now});
  const CallAdmission admission = AdmitCall(position->second, now);
  position->second = admission.budget;
  if (admission.wait <= Millis{0}) return true;
  ++suppressed_[event];
  return false;
}

std::map<std::string, uint64_t> LogRateLimiter::TakeSuppressed() {
  return std::exchange(suppressed_, {});
}

}  // namespace medlarwinch
