#include "medlarwinch/coordination/request_path/agent_drain.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace medlarwinch {
namespace {

std::optional<DrainTrigger> FindTrigger(const DrainInput& input,
                                        const DocumentContext& context) {
  const std::vector<Endpoint>& listed = context.document.drain.upstreams;
  if (std::find(listed.begin(), listed.end(), input.upstream) != listed.end()) {
    return DrainTrigger::kDocument;
  }
  if (input.termination_signal) return DrainTrigger::kSignal;
  if (input.upstream_drains) return DrainTrigger::kUpstream;
  return std::nullopt;
}

Reason StartReason(DrainTrigger trigger, const DocumentContext& context) {
  switch (trigger) {
    case DrainTrigger::kDocument:
      return MakeReason(context, "drain_by_document", "drain.upstreams");
    case DrainTrigger::kSignal:
      return MakeReason(context, "drain_by_signal", "");
    case DrainTrigger::kUpstream:
      return MakeReason(context, "drain_by_upstream", "");
  }
  return {};
}

}  // namespace

DrainStep StepDrain(DrainState state, const DrainInput& input,
                    const DocumentContext& context, TimePoint now) {
  DrainStep step;
  if (state.phase == DrainPhase::kServing) {
    const std::optional<DrainTrigger> trigger = FindTrigger(input, context);
    if (trigger.has_value()) {
      state.phase = DrainPhase::kDraining;
      state.trigger = *trigger;
      state.started = now;
      step.actions.push_back(
          DrainDecision{DrainAction::kStart, StartReason(*trigger, context)});
    }
    step.state = state;
    return step;
  }
  if (state.phase == DrainPhase::kLeft) {
    step.state = state;
    return step;
  }
  const Millis deadline = context.document.drain.deadline;
  const bool is_over = deadline.value > 0 && now - state.started >= deadline;
  if (input.in_progress > 0 && is_over && !state.aborted) {
    state.aborted = true;
    step.actions.push_back(DrainDecision{
        DrainAction::kAbort,
        MakeReason(context, "drain_deadline", "drain.deadline_ms",
                   {{"in_progress", std::to_string(input.in_progress)}})});
  }
  if (input.in_progress == 0 && input.is_announced) {
    state.phase = DrainPhase::kLeft;
    step.actions.push_back(DrainDecision{DrainAction::kLeave,
                                         StartReason(state.trigger, context)});
  }
  step.state = state;
  return step;
}

}  // namespace medlarwinch
