#pragma once

#include "medlarwinch/coordination/control_plane/balancer_control.h"

namespace medlarwinch {

/// Builds the HeartbeatAck for a heartbeat and caches the summary of the
/// member's service in `state`.
HeartbeatAck MakeAck(BalancerControl& state, const Heartbeat& heartbeat);

/// True when the sender of a heartbeat needs an ack. The monitors of a member
/// take turns, one ack per heartbeat, unless there is something new to report,
/// since each ack carries the same mean: acks to every heartbeat would be a
/// quarter of a balancer's traffic.
bool NeedsAck(const BalancerControl& state, const Endpoint& to,
              const Heartbeat& heartbeat, const HeartbeatAck& ack);

/// Restores the fields that a brief heartbeat omits from the member table.
/// Returns false when the sender is unknown or has restarted, since another
/// process may then use its address.
bool CompleteEntry(const MemberTable& table, Heartbeat& heartbeat);

}  // namespace medlarwinch
