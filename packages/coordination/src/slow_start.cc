#include "medlarwinch/coordination/slow_start.h"

#include <algorithm>
#include <cmath>

#include "medlarwinch/coordination/flow_acceptance.h"

namespace medlarwinch {

double SlowStartTableShare(const SlowStartPolicy& policy, Millis since_ready) {
  const double share = SlowStartShare(policy, since_ready);
  // The small term makes up for rounding of shares that are whole steps.
  // At least one step, so that an upstream with 0 % at first is not left out of
  // the table, where established flows would not find it.
  const double steps =
      std::max(std::floor(share * kSlowStartSteps + 1e-9), 1.0);
  return steps / kSlowStartSteps;
}

}  // namespace medlarwinch
