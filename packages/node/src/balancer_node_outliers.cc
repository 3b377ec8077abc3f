// Detection of outliers by a balancer.
#include <cstdio>
#include <string>
#include <vector>

#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/coordination/packet_path/response_statistics.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kPollsPerBaseline =
    kRouteReportInterval.value / kAgentPollInterval.value;
// Log lines about shares. Each upstream changes its share at most about once a
// second.
constexpr double kShareLogLinesPerSecond = 20;

std::string FormatFigure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

}  // namespace

bool BalancerNode::SendsBaselines() const {
  return settings_.features.outlier_detection &&
         poll_round_ % kPollsPerBaseline == 0;
}

void BalancerNode::RefreshBaselines(TimePoint now) {
  if (!SendsBaselines()) return;
  baselines_ = ComputeBaselines(relay_.directory, now);
}

void BalancerNode::UpdateOutliers(TimePoint now) {
  relay_.directory.detects_outliers = settings_.features.outlier_detection;
  for (const FlowShareChange& change :
       UpdateFlowShares(relay_.directory, baselines_, now)) {
    if (!log_limiter_.AllowLine("outlier_share", kShareLogLinesPerSecond,
                                now)) {
      continue;
    }
    Log(change.after < change.before ? LogLevel::kWarning : LogLevel::kInfo,
        "outlier_share",
        {{"agent", ToString(change.agent)},
         {"share", FormatFigure(change.after)},
         {"before", FormatFigure(change.before)},
         {"reason", FlowShareReasonName(change.reason)},
         {"suspected_failures", FormatFigure(change.suspected_failures)},
         {"slowness", FormatFigure(change.slowness)},
         {"upstreams", static_cast<int64_t>(change.upstreams)},
         {"suspected", static_cast<int64_t>(change.suspected)},
         {"withdrawn_slots", static_cast<int64_t>(change.withdrawn_slots)},
         {"slots", static_cast<int64_t>(change.slots)}});
  }
}

}  // namespace medlarwinch
