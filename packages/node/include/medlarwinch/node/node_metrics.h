#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Sets the metrics of a balancer from its state and the numbers of malformed
/// packets and messages.
void SetBalancerMetrics(const BalancerRelay& relay, uint64_t malformed_packets,
                        uint64_t malformed_messages, Metrics& metrics);

/// Sets the metrics of an agent of `service` from its state.
void SetAgentMetrics(const AgentRelay& relay, const std::string& service,
                     Metrics& metrics);

}  // namespace medlarwinch
