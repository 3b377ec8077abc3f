#include "medlarwinch/node/admission_report.h"

#include <cmath>
#include <string>

#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {

void LogOpeningDecision(LogRateLimiter& limiter,
                        const ReportOpeningDecision& report, TimePoint now) {
  if (!limiter.AllowLine("opening_decided", kFailureLogLinesPerSecond, now)) {
    return;
  }
  const OpeningDecision& decision = report.decision;
  Log(LogLevel::kInfo, "opening_decided",
      {{"flow", FormatFlow(report.flow)},
       {"verdict", OpeningVerdictName(decision.verdict)},
       {"reason", AdmissionReasonName(decision.reason)},
       {"kind", RequestKindName(decision.admission_class.kind)},
       {"priority", static_cast<int64_t>(decision.admission_class.priority)},
       {"wait_ms", std::llround(decision.wait_ms)},
       {"max_wait_ms", std::llround(decision.max_wait_ms)},
       {"work_ms", std::llround(decision.work_ms)},
       {"left_ms", std::llround(decision.left_ms)}});
}

void SetAdmissionMetrics(const AgentRelay& relay, const MetricLabels& labels,
                         Metrics& metrics) {
  metrics.Set("medlarwinch_agent_work_ms", labels,
              KnownWorkMs(relay.work_time));
  for (size_t index = 0; index < kAdmissionClasses; ++index) {
    const AdmissionClass admission_class = ClassAt(index);
    for (size_t reason = 0; reason < kAdmissionReasons; ++reason) {
      const uint64_t count = relay.admission.decisions[index][reason];
      // Few of the classes exist in a deployment.
      if (count == 0) continue;
      MetricLabels series = labels;
      series["kind"] = RequestKindName(admission_class.kind);
      series["priority"] = std::to_string(admission_class.priority);
      series["reason"] =
          AdmissionReasonName(static_cast<AdmissionReason>(reason));
      metrics.SetTotal("medlarwinch_agent_openings_decided_total", series,
                       static_cast<double>(count));
    }
  }
}

}  // namespace medlarwinch
