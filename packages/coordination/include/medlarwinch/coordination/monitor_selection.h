#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// Balancers that keep one service.
inline constexpr size_t kMonitorsPerGroup = 3;
/// Balancers of each failure domain that watch the platform.
inline constexpr size_t kWatchersPerDomain = 2;

/// Key of the group that keeps a member: the service of an agent, the own
/// address of a balancer.
uint64_t MonitorGroupKey(const MemberEntry& entry);

/// Key of the group that keeps the agents of a service.
uint64_t ServiceGroupKey(const std::string& service);

/// Returns the `count` candidates with the highest rendezvous hashes for `key`,
/// best first; `excluded` is passed over.
std::vector<Endpoint> SelectByRendezvousHash(
    uint64_t key, const std::vector<Endpoint>& candidates, size_t count,
    const Endpoint& excluded);

/// Returns the keepers of a member among the ready balancers. A balancer never
/// keeps itself.
std::vector<Endpoint> MonitorsOf(const MemberEntry& entry,
                                 const std::vector<Endpoint>& ready_balancers);

/// True when `self` is one of MonitorsOf(entry, ready_balancers). Compares only
/// until enough better candidates were found, because a balancer asks this for
/// every member whenever a balancer comes or goes.
bool IsMonitorOf(const Endpoint& self, const MemberEntry& entry,
                 const std::vector<Endpoint>& ready_balancers);

/// Returns the watchers of a failure domain among its ready balancers.
std::vector<Endpoint> WatchersOf(const std::string& failure_domain,
                                 const std::vector<Endpoint>& ready_balancers);

}  // namespace medlarwinch
