// What an agent learns from the extended polls of balancers, and what it
// reports of its upstream's load.
#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/node/agent_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void AgentNode::ApplyPolledTerms(const Endpoint& from,
                                 const ExtendedPoll& poll) {
  if (!ApplyBalancerTerms(relay_.gate, poll.terms,
                          poll.poll.configuration_version)) {
    return;
  }
  const EvacuationView& view = relay_.gate.evacuations;
  const bool is_evacuated = IsEvacuated(view, settings_.failure_domain);
  Log(LogLevel::kInfo, "evacuations_in_force",
      {{"failure_domains", FormatEvacuations(view)},
       {"own_evacuated", is_evacuated ? "true" : "false"},
       {"flows", static_cast<int64_t>(relay_.flow_tracker.open)},
       {"revision", static_cast<int64_t>(view.revision.number)},
       {"era", static_cast<int64_t>(view.revision.era)},
       {"source", ToString(from)}});
}

void AgentNode::ApplyPolledBaselines(const BalancerTerms& terms) {
  std::optional<ResponseStatistics>& responses = relay_.flow_tracker.responses;
  const bool detects_outliers =
      settings_.features.outlier_detection || !terms.baselines.empty();
  if (detects_outliers && !responses.has_value()) responses.emplace();
  if (!responses.has_value()) return;
  ApplyBaselines(*responses, terms.baselines, MonotonicNow());
}

AgentLoad AgentNode::MakeLoad() {
  const TimePoint now = MonotonicNow();
  AgentLoad load;
  load.work_ms = KnownWorkMs(relay_.work_time);
  load.cold_openings_left = ColdOpeningsLeft(relay_, now);
  if (relay_.flow_tracker.responses.has_value()) {
    ReportOutcomes(*relay_.flow_tracker.responses, now, load);
  }
  return load;
}

}  // namespace medlarwinch
