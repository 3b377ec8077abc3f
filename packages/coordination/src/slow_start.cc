#include "medlarwinch/coordination/slow_start.h"

#include <algorithm>
#include <cmath>

namespace medlarwinch {

double SlowStartShare(Millis since_ready, const SlowStartPolicy& policy) {
  if (since_ready >= policy.window) return 1;
  const double elapsed =
      static_cast<double>(std::max<int64_t>(since_ready.value, 0));
  const double initial = std::min(policy.initial_percent, 100U) / 100.0;
  const double share = initial + (1 - initial) * elapsed /
                                     static_cast<double>(policy.window.value);
  // At least one step, so that an upstream with 0 % at first is not left out of
  // the table, where established flows would not find it.
  const double steps = std::max(std::floor(share * kSlowStartSteps), 1.0);
  return steps / kSlowStartSteps;
}

}  // namespace medlarwinch
