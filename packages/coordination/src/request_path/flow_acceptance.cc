#include "medlarwinch/coordination/request_path/flow_acceptance.h"

#include <algorithm>
#include <string>

namespace medlarwinch {
namespace {

// Bounds the load of an upstream whose share of its slots is 0.
constexpr double kMinSlots = 0.01;

bool HasNextCandidate(const CandidatePosition& position) {
  return position.hop + 1 < position.candidates;
}

FlowDecision ForwardOrShed(const CandidatePosition& position, Reason reason) {
  const FlowAction action =
      HasNextCandidate(position) ? FlowAction::kForward : FlowAction::kShed;
  return FlowDecision{action, std::move(reason), -1};
}

// Returns the flows per slot. An upstream in slow start counts only a share of
// its slots.
double LoadOf(const AcceptanceState& state, const DocumentContext& context) {
  const double share =
      SlowStartShare(context.document.slow_start, state.time_since_ready);
  return state.flows / std::max(state.slots * share, kMinSlots);
}

}  // namespace

double SlowStartShare(const SlowStartPolicy& policy, Millis time_since_ready) {
  if (policy.window.value <= 0 || time_since_ready >= policy.window) return 1;
  const double initial = policy.initial_percent / 100.0;
  const double elapsed =
      static_cast<double>(std::max<int64_t>(time_since_ready.value, 0)) /
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
    return ForwardOrShed(position,
                         MakeReason(context, "draining", "drain.upstreams"));
  }
  if (position.hop >= position.accepting) {
    return ForwardOrShed(position, MakeReason(context, "not_in_current_table",
                                              "balance.candidates"));
  }
  const uint64_t limit = static_cast<uint64_t>(state.slots) *
                         context.document.limits.max_flows_per_slot;
  if (state.flows >= limit) {
    return ForwardOrShed(
        position, MakeReason(context, "flow_limit", "limits.max_flows_per_slot",
                             {{"flows", std::to_string(state.flows)}}));
  }
  if (position.must_accept) return FlowDecision{FlowAction::kAccept, {}, -1};
  const double load = LoadOf(state, context);
  const bool is_last = position.hop + 1 >= position.accepting;
  if (is_last) {
    const bool is_least_loaded = position.best_load < 0 ||
                                 (!state.ejected && load <= position.best_load);
    if (is_least_loaded) return FlowDecision{FlowAction::kAccept, {}, -1};
    return FlowDecision{FlowAction::kReturn,
                        MakeReason(context, "earlier_candidate_less_loaded",
                                   "balance.margin_percent"),
                        -1};
  }
  if (state.ejected) {
    return ForwardOrShed(position, MakeReason(context, "outlier",
                                              "health.outlier.error_percent"));
  }
  const double margin = context.document.balance.margin_percent / 100.0;
  const bool is_balanced = state.mean_flows_per_slot < 0 ||
                           load <= state.mean_flows_per_slot * (1 + margin);
  if (is_balanced) return FlowDecision{FlowAction::kAccept, {}, -1};
  FlowDecision decision = ForwardOrShed(
      position,
      MakeReason(context, "above_mean", "balance.margin_percent",
                 {{"flows", std::to_string(state.flows)},
                  {"mean", std::to_string(state.mean_flows_per_slot)}}));
  decision.load = load;
  return decision;
}

FlowAction DecideUnownedPacket(const CandidatePosition& position) {
  if (position.hop >= position.candidates) return FlowAction::kShed;
  return HasNextCandidate(position) ? FlowAction::kForward : FlowAction::kShed;
}

}  // namespace medlarwinch
