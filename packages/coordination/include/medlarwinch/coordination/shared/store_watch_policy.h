#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Shortest long-poll time of a configuration watch. A connection that has gone
/// silent is detected only after it, and it must be less than 4 s, the time
/// after which the platform counts a VM as undisturbed again.
inline constexpr Millis kMinConfigurationWatchWait{3'000};
/// Longest long-poll time; the platform's store allows 30 s.
inline constexpr Millis kMaxConfigurationWatchWait{28'000};
/// Growth of the longest wait with the number of balancers. The first of many
/// balancers then ends its wait within a second of the shortest one with a
/// probability above 0.99.
inline constexpr Millis kWatchWaitPerBalancer{200};

/// Returns the long-poll time of a balancer's next watch of the configuration.
///
/// All balancers share the detection of silent connections: the first one whose
/// wait ends reads the configuration again, and the agents report its revision
/// to all others. The waits are therefore spread at random between the shortest
/// time and one that grows with the number of balancers, so that the number of
/// idle calls a second grows much less than the deployment.
Millis ConfigurationWatchWait(size_t balancers, uint64_t random_value);

/// Delay between a change of the configuration and the next watch. A series of
/// changes is then read a few times instead of once for each change.
inline constexpr Millis kConfigurationCoalescingDelay{250};

/// Returns the delay between a change of the agents' entries and the next
/// watch. A new upstream is a small part of a large deployment, where a release
/// changes several entries a second and each change costs a call of every
/// balancer.
Millis AgentListCoalescingDelay(size_t known_agents, bool has_traffic);

}  // namespace medlarwinch
