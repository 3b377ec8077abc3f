#include "medlarwinch/coordination/request_path/outlier_detection.h"

#include <string>
#include <utility>

namespace medlarwinch {
namespace {

constexpr int64_t kCountIntervalMs = 1'000;

OutlierState TrimWindow(OutlierState state, const OutlierPolicy& policy,
                        TimePoint now) {
  while (!state.window.empty() &&
         now - state.window.front().second > policy.window) {
    state.window.pop_front();
  }
  return state;
}

bool MayEject(const ServiceSlots& slots, const DocumentContext& context) {
  const uint64_t withdrawn = uint64_t{slots.withdrawn} + slots.own;
  return withdrawn * 100 <=
         uint64_t{slots.total} * context.document.health.max_withdrawn_percent;
}

}  // namespace

OutlierState RecordOutcome(OutlierState state, bool failed,
                           const OutlierPolicy& policy, TimePoint now) {
  state = TrimWindow(std::move(state), policy, now);
  const TimePoint second{now.value - now.value % kCountIntervalMs};
  if (state.window.empty() || state.window.back().second != second) {
    state.window.push_back(OutcomeCount{second, 0, 0});
  }
  ++state.window.back().finished;
  if (failed) ++state.window.back().failed;
  return state;
}

OutlierStep StepOutlier(OutlierState state, const ServiceSlots& slots,
                        const DocumentContext& context, TimePoint now) {
  const OutlierPolicy& policy = context.document.health.outlier;
  OutlierStep step;
  if (state.ejected) {
    if (now >= state.ejected_until) {
      state.ejected = false;
      state.returned_at = now;
      // Outcomes from before the ejection do not reflect the current state of
      // the upstream.
      state.window.clear();
      step.action = OutlierAction::kReturn;
      step.reason =
          MakeReason(context, "ejection_over", "health.outlier.ejection_ms");
    }
    step.state = std::move(state);
    return step;
  }
  state = TrimWindow(std::move(state), policy, now);
  uint64_t finished = 0;
  uint64_t failed = 0;
  for (const OutcomeCount& count : state.window) {
    finished += count.finished;
    failed += count.failed;
  }
  const bool exceeds_threshold =
      finished >= policy.min_requests && finished > 0 &&
      failed * 100 >= finished * policy.error_percent;
  if (!exceeds_threshold) {
    state.refusal_reported = false;
    step.state = std::move(state);
    return step;
  }
  step.reason = MakeReason(context, "outlier", "health.outlier.error_percent",
                           {{"finished", std::to_string(finished)},
                            {"failed", std::to_string(failed)}});
  if (MayEject(slots, context)) {
    state.ejected = true;
    state.ejected_until = now + policy.ejection;
    step.action = OutlierAction::kEject;
  } else if (!state.refusal_reported) {
    state.refusal_reported = true;
    step.action = OutlierAction::kRefuseEjection;
    step.reason.rule = "withdrawal_bound";
    step.reason.path = "health.max_withdrawn_percent";
    step.reason.facts["withdrawn_slots"] = std::to_string(slots.withdrawn);
    step.reason.facts["total_slots"] = std::to_string(slots.total);
  }
  step.state = std::move(state);
  return step;
}

}  // namespace medlarwinch
