#include "medlarwinch/coordination/request_path/slow_start.h"

#include <algorithm>
#include <cmath>

#include "medlarwinch/coordination/request_path/flow_acceptance.h"

namespace medlarwinch {

double SlowStartTableShare(const SlowStartPolicy& policy, Millis since_ready) {
  const double share = SlowStartShare(policy, since_ready);
  // Adding 1e-9 compensates for rounding errors of shares that are whole steps.
  // The result is at least one step, so that an upstream that starts at 0 % is
  // still in the table, where established flows look it up.
  const double steps =
      std::max(std::floor(share * kSlowStartSteps + 1e-9), 1.0);
  return steps / kSlowStartSteps;
}

}  // namespace medlarwinch
