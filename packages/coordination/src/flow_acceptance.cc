#include "medlarwinch/coordination/flow_acceptance.h"

#include <algorithm>
#include <string>

namespace medlarwinch {
namespace {

bool HasNextCandidate(const CandidatePosition& position) {
  return position.hop + 1 < position.candidates;
}

FlowDecision PassOnOrShed(const CandidatePosition& position, Reason reason) {
  const FlowAction action =
      HasNextCandidate(position) ? FlowAction::kPassOn : FlowAction::kShed;
  return FlowDecision{action, std::move(reason)};
}

// Flows up to which the upstream takes another one.
double BalancedFlows(const AcceptanceState& state,
                     const DocumentContext& context) {
  const double margin = context.document.balance.margin_percent / 100.0;
  const double share =
      SlowStartShare(context.document.slow_start, state.warm_for);
  return state.mean_flows_per_slot * (1 + margin) * state.slots * share;
}

}  // namespace

double SlowStartShare(const SlowStartPolicy& policy, Millis warm_for) {
  if (policy.window.value <= 0 || warm_for >= policy.window) return 1;
  const double initial = policy.initial_percent / 100.0;
  const double elapsed =
      static_cast<double>(std::max<int64_t>(warm_for.value, 0)) /
      static_cast<double>(policy.window.value);
  return std::min(1.0, initial + (1 - initial) * elapsed);
}

FlowDecision DecideNewFlow(const AcceptanceState& state,
                           const CandidatePosition& position,
                           const DocumentContext& context) {
  if (position.hop >= position.candidates) {
    return FlowDecision{
        FlowAction::kDrop,
        MakeReason(context, "hop_out_of_bounds", "balance.candidates")};
  }
  if (state.draining) {
    return PassOnOrShed(position,
                        MakeReason(context, "draining", "drain.upstreams"));
  }
  if (position.hop >= position.accepting) {
    return PassOnOrShed(position, MakeReason(context, "not_in_current_table",
                                             "balance.candidates"));
  }
  const uint64_t limit = static_cast<uint64_t>(state.slots) *
                         context.document.limits.max_flows_per_slot;
  if (state.flows >= limit) {
    return PassOnOrShed(
        position, MakeReason(context, "flow_limit", "limits.max_flows_per_slot",
                             {{"flows", std::to_string(state.flows)}}));
  }
  const bool is_last = position.hop + 1 >= position.accepting;
  if (is_last) return FlowDecision{FlowAction::kAccept, {}};
  if (state.ejected) {
    return PassOnOrShed(position, MakeReason(context, "outlier",
                                             "health.outlier.error_percent"));
  }
  if (state.mean_flows_per_slot < 0)
    return FlowDecision{FlowAction::kAccept, {}};
  if (state.flows <= BalancedFlows(state, context)) {
    return FlowDecision{FlowAction::kAccept, {}};
  }
  return PassOnOrShed(
      position,
      MakeReason(context, "above_mean", "balance.margin_percent",
                 {{"flows", std::to_string(state.flows)},
                  {"mean", std::to_string(state.mean_flows_per_slot)}}));
}

FlowAction DecideUnownedPacket(const CandidatePosition& position) {
  if (position.hop >= position.candidates) return FlowAction::kShed;
  return HasNextCandidate(position) ? FlowAction::kPassOn : FlowAction::kShed;
}

}  // namespace medlarwinch
