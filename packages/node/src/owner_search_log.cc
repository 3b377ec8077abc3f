#include "medlarwinch/node/owner_search_log.h"

#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr double kProbeLogLinesPerSecond = 20;

}  // namespace

void LogBalancerReset(LogRateLimiter& limiter, const BalancerRelay& relay,
                      const ResetCaller& reset, TimePoint now) {
  if (!AllowResetLogLine(limiter, now)) return;
  const LogField flow{"flow", FormatFlow(reset.flow)};
  const LogField reason{"reason", FlowResetReasonName(reset.reason)};
  const LogField sequence{"sequence", static_cast<int64_t>(reset.sequence)};
  const LogField agents{"agents",
                        static_cast<int64_t>(relay.directory.upstreams.size())};
  const LogField revision{"revision",
                          static_cast<int64_t>(relay.routes.revision.number)};
  if (!reset.evidence.has_value()) {
    Log(LogLevel::kWarning, "flow_reset",
        {flow, reason, sequence, agents, revision});
    return;
  }
  const OwnerSearchEvidence& evidence = *reset.evidence;
  Log(LogLevel::kWarning, "flow_reset",
      {flow, reason, sequence, agents, revision,
       LogField{"denied", static_cast<int64_t>(evidence.denied)},
       LogField{"absent", static_cast<int64_t>(evidence.absent)},
       LogField{"oldest_absence_ms", evidence.oldest_absence.value},
       LogField{"silent", static_cast<int64_t>(evidence.silent)},
       LogField{"list_age_ms", evidence.list_age.value},
       LogField{"search_ms", evidence.search_age.value}});
}

void LogProbe(LogRateLimiter& limiter, const FlowTuple& flow,
              const Endpoint& agent, TimePoint now) {
  if (!limiter.AllowLine("flow_probed", kProbeLogLinesPerSecond, now)) return;
  Log(LogLevel::kInfo, "flow_probed",
      {{"flow", FormatFlow(flow)}, {"agent", ToString(agent)}});
}

}  // namespace medlarwinch
