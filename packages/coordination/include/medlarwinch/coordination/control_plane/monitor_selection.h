#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// Balancers that monitor the agents of one service, or one balancer.
inline constexpr size_t kMonitorsPerGroup = 3;
/// Balancers of each failure domain that watch the platform for changes.
inline constexpr size_t kWatchersPerDomain = 2;

/// Hash key of the group that monitors a member: derived from the service of an
/// agent, or from a balancer's own address.
uint64_t MonitorGroupKey(const MemberEntry& entry);

/// Hash key of the group that monitors the agents of a service.
uint64_t ServiceGroupKey(const std::string& service);

/// Returns the `count` candidates with the highest rendezvous hashes for `key`,
/// in descending order, leaving out `excluded`.
std::vector<Endpoint> SelectByRendezvousHash(
    uint64_t key, const std::vector<Endpoint>& candidates, size_t count,
    const Endpoint& excluded);

/// Returns the monitors of a member, chosen among the ready balancers. A
/// balancer never monitors itself.
std::vector<Endpoint> MonitorsOf(const MemberEntry& entry,
                                 const std::vector<Endpoint>& ready_balancers);

/// True when `self` is one of MonitorsOf(entry, ready_balancers). Stops as soon
/// as enough candidates rank higher, because a balancer evaluates this for
/// every member whenever a balancer joins or leaves.
bool IsMonitorOf(const Endpoint& self, const MemberEntry& entry,
                 const std::vector<Endpoint>& ready_balancers);

/// Returns the watchers of a failure domain among its ready balancers.
std::vector<Endpoint> WatchersOf(const std::string& failure_domain,
                                 const std::vector<Endpoint>& ready_balancers);

}  // namespace medlarwinch
