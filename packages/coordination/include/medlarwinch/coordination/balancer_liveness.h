#pragma once

#include "medlarwinch/coordination/balancer_control.h"

namespace medlarwinch {

/// Counts all members as heard from when the process was paused since its last
/// tick, and drops its open suspicions. Every event calls this first, because
/// the first event after a pause may be a query.
BalancerStep DetectPause(BalancerControl state, TimePoint now);

/// Checks the kept members: asks about silent ones, and records those as failed
/// that the keepers agree on, within the bound of their service.
BalancerStep CheckLiveness(BalancerControl state, TimePoint now,
                           Random& random);

/// Whether accepted entries are pushed to other balancers.
enum class Propagation { kNo, kYes };

/// Merges entries into the table, passes on what is new, and answers a record
/// of the own failure. `reply_to` gets entries that are newer here; a zero
/// address gets none.
BalancerStep MergeRemoteEntries(BalancerControl state,
                                const std::vector<MemberEntry>& entries,
                                const Endpoint& reply_to,
                                Propagation propagation, TimePoint now,
                                Random& random);

/// Sends a heartbeat to each keeper of this balancer.
BalancerStep SendHeartbeats(BalancerControl state, TimePoint now);

/// Adds pushes of news to random balancers.
void PushUpdates(const BalancerControl& state, ControlActions& actions,
                 const std::vector<MemberEntry>& members,
                 const std::vector<RecordVersion>& records,
                 const std::vector<ServiceMean>& means, Random& random);

/// Appends the actions of a later step.
void AppendActions(ControlActions& actions, ControlActions more);

}  // namespace medlarwinch
