#pragma once

#include "medlarwinch/coordination/control_plane/balancer_control.h"

namespace medlarwinch {

/// Restarts the heartbeat timeouts of all members and drops open suspicions if
/// this process was paused since its last tick. Every event calls this first,
/// because the first event after a pause may be a suspicion query.
BalancerStep DetectPause(BalancerControl state, TimePoint now);

/// Checks the monitored members: queries the other monitors about those whose
/// heartbeats are overdue, and records those with a confirmed failure as
/// failed, within the withdrawal bound of their service.
BalancerStep CheckLiveness(BalancerControl state, TimePoint now,
                           Random& random);

/// Whether accepted entries are gossiped to other balancers.
enum class Propagation { kNo, kYes };

/// Merges entries into the table, gossips those that are new, and refutes a
/// record of this balancer's own failure. Entries for which this table holds a
/// newer version are returned to `reply_to`, unless its port is 0.
BalancerStep MergeRemoteEntries(BalancerControl state,
                                const std::vector<MemberEntry>& entries,
                                const Endpoint& reply_to,
                                Propagation propagation, TimePoint now,
                                Random& random);

/// Sends a heartbeat to each monitor of this balancer.
BalancerStep SendHeartbeats(BalancerControl state, TimePoint now);

/// Appends messages that push updates to kGossipFanout random balancers.
void PushUpdates(const BalancerControl& state, ControlActions& actions,
                 const std::vector<MemberEntry>& members,
                 const std::vector<RecordVersion>& records,
                 const std::vector<ServiceMean>& means, Random& random);

/// Appends the actions of a later step.
void AppendActions(ControlActions& actions, ControlActions more);

}  // namespace medlarwinch
