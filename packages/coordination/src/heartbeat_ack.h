#pragma once

#include "medlarwinch/coordination/balancer_control.h"

namespace medlarwinch {

/// The answer to a heartbeat; keeps the summary of the member's service.
HeartbeatAck MakeAck(BalancerControl& state, const Heartbeat& heartbeat);

/// True when the sender of a heartbeat needs the answer. The keepers of a
/// member answer in turn unless there is news, since each answer carries the
/// same mean: answers to every heartbeat would be a quarter of a balancer's
/// traffic.
bool NeedsAck(const BalancerControl& state, const Endpoint& to,
              const Heartbeat& heartbeat, const HeartbeatAck& ack);

/// Fills in what a brief heartbeat leaves out; false when the sender is unknown
/// or has restarted, since another process may then use its address.
bool CompleteEntry(const MemberTable& table, Heartbeat& heartbeat);

}  // namespace medlarwinch
