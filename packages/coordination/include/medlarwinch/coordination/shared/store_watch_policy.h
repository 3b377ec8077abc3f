#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Time that the store may take to respond once the long-poll time of a watch
/// is over. Twice the response time of a slow store, 240 ms.
inline constexpr Millis kWatchResponseSlack{500};
/// Shortest long-poll time of a shared watch. A connection that has gone silent
/// is detected only after this time and kWatchResponseSlack, and what is read
/// then must reach all balancers within 4 s of the silence, the time after
/// which the platform counts a VM as undisturbed again.
inline constexpr Millis kMinSharedWatchWait{2'000};
/// Longest long-poll time; the platform's store allows 30 s.
inline constexpr Millis kMaxSharedWatchWait{28'000};
/// Growth of the longest wait with the number of balancers. The first of many
/// balancers then ends its wait within a second of the shortest one with a
/// probability above 0.99.
inline constexpr Millis kWatchWaitPerBalancer{200};

/// Returns the long-poll time of a balancer's next watch of objects that agents
/// pass on between balancers: the configuration and the evacuations.
///
/// All balancers share the detection of silent connections: the first one whose
/// wait ends reads the objects again, and the agents report them to all others.
/// The waits are therefore spread at random between the shortest time and one
/// that grows with the number of balancers, so that the number of idle calls a
/// second grows much less than the deployment. Each kind of object needs such a
/// wait of its own: the connection of another watch may stay sound.
Millis SharedWatchWait(size_t balancers, uint64_t random_value);

/// Delay between a change of the configuration and the next watch. A series of
/// changes is then read a few times instead of once for each change.
inline constexpr Millis kConfigurationCoalescingDelay{250};

/// Returns the delay between a change of the agents' entries and the next
/// watch. A new upstream is a small part of a large deployment, where a release
/// changes several entries a second and each change costs a call of every
/// balancer.
Millis AgentListCoalescingDelay(size_t known_agents, bool has_traffic);

}  // namespace medlarwinch
