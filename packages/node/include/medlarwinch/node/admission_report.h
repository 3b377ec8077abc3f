#pragma once

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/node/log_rate_limiter.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Logs a decision on an opening with its class, its reason and the figures
/// behind it, unless `limiter` suppresses the line.
void LogOpeningDecision(LogRateLimiter& limiter,
                        const ReportOpeningDecision& report, TimePoint now);

/// Sets an agent's service time, and the number of its decisions on openings by
/// class and reason. `labels` are those of the agent's other metrics.
void SetAdmissionMetrics(const AgentRelay& relay, const MetricLabels& labels,
                         Metrics& metrics);

}  // namespace medlarwinch
