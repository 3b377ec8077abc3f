#include "medlarwinch/coordination/shared/store_watch_policy.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// Coalesces the entries of agents that start together with this balancer.
constexpr Millis kInitialCoalescingDelay{200};
// Number of agents from which one agent is a small part of the deployment.
constexpr size_t kLargeDeploymentAgents = 32;
constexpr Millis kLargeDeploymentCoalescingDelay{500};

}  // namespace

Millis SharedWatchWait(size_t balancers, uint64_t random_value) {
  const Millis longest =
      std::min(kMinSharedWatchWait +
                   kWatchWaitPerBalancer * static_cast<int64_t>(balancers),
               kMaxSharedWatchWait);
  const uint64_t span =
      static_cast<uint64_t>((longest - kMinSharedWatchWait).value);
  return kMinSharedWatchWait +
         Millis{static_cast<int64_t>(random_value % (span + 1))};
}

Millis AgentListCoalescingDelay(size_t known_agents, bool has_traffic) {
  if (known_agents >= kLargeDeploymentAgents) {
    return kLargeDeploymentCoalescingDelay;
  }
  return has_traffic ? Millis{0} : kInitialCoalescingDelay;
}

}  // namespace medlarwinch
