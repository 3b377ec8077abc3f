#pragma once

#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "medlarwinch/node/log_rate_limiter.h"

namespace medlarwinch {

/// Logs a reset that a balancer sends, with the number of agents it knows and
/// the revision of its configuration, unless `limiter` suppresses the line. A
/// reset for want of an owner also has the evidence of the search.
void LogBalancerReset(LogRateLimiter& limiter, const BalancerRelay& relay,
                      const ResetCaller& reset, TimePoint now);

/// Logs that a packet of `flow` is sent to `agent` to find out whether its
/// upstream owns the flow, unless `limiter` suppresses the line.
void LogProbe(LogRateLimiter& limiter, const FlowTuple& flow,
              const Endpoint& agent, TimePoint now);

}  // namespace medlarwinch
