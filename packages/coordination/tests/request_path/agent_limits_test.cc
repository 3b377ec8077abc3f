#include <algorithm>

#include "medlarwinch/coordination/request_path/agent_drain.h"
#include "medlarwinch/coordination/request_path/outlier_detection.h"
#include "medlarwinch/coordination/request_path/request_admission.h"
#include "property_check.h"

namespace medlarwinch {
namespace {

constexpr Endpoint kUpstream{0x7f000001, 8'080};

struct DefaultDocument {
  DefaultDocument() {
    context.document.service = "probe-hub";
    context.version = 3;
    request.slots = 1;
    request.deadline = now + Millis{1'000};
    slots = ServiceSlots{16, 0, 4};
  }
  // Steps the drain once and returns the actions.
  std::vector<DrainAction> NextDrainActions(const DrainInput& input) {
    DrainStep step = StepDrain(drain, input, context, now);
    drain = step.state;
    std::vector<DrainAction> actions;
    for (const DrainDecision& decision : step.actions) {
      BOOST_TEST(!decision.reason.rule.empty());
      actions.push_back(decision.action);
    }
    return actions;
  }
  void RecordOutcomes(int failed, int finished) {
    for (int index = 0; index < finished; ++index) {
      outlier = RecordOutcome(std::move(outlier), index < failed,
                              context.document.health.outlier, now);
    }
  }
  OutlierAction NextOutlierAction() {
    OutlierStep step = StepOutlier(std::move(outlier), slots, context, now);
    outlier = std::move(step.state);
    reason = step.reason;
    return step.action;
  }
  DocumentContext context;
  TimePoint now{100'000};
  AdmissionRequest request;
  DrainState drain;
  OutlierState outlier;
  ServiceSlots slots;
  Reason reason;
};

BOOST_FIXTURE_TEST_SUITE(AgentLimitsOfDefaultDocument, DefaultDocument)

BOOST_AUTO_TEST_CASE(EachBound_RequestBeyondIt_IsRefusedWithPath) {
  const auto path = [&](const AdmissionRequest& admission_request) {
    const AdmissionStep step =
        AdmitRequest({}, admission_request, context, now);
    return step.refusal.has_value() ? step.refusal->path : "admitted";
  };
  BOOST_TEST(path(request) == "admitted");
  AdmissionRequest large = request;
  large.body_bytes = 1'001;
  BOOST_TEST(path(large) == "requests.max_body_bytes");
  AdmissionRequest late = request;
  late.deadline = now;
  BOOST_TEST(path(late) == "requests.timeout_ms");
  AdmissionRequest busy = request;
  busy.requests_in_flight = 256;
  BOOST_TEST(path(busy) == "limits.max_requests_per_slot");
  AdmissionRequest drained = request;
  drained.draining = true;
  BOOST_TEST(path(drained) == "drain.upstreams");
}

// Guards against a tenant that exceeds its rate and burst, at any arrival
// times.
BOOST_AUTO_TEST_CASE(LimitedTenant_AnyArrivals_StaysWithinRate) {
  CheckProperty("tenant rate", [this] {
    context.document.limits.tenants = {TenantLimit{"t", 10, 5}};
    request.tenant = "t";
    AdmissionState state;
    TimePoint time = now;
    int admitted = 0;
    for (int index = 0; index < 200; ++index) {
      time = time + Millis{AnyNumber(0, 100)};
      request.deadline = time + Millis{1};
      AdmissionStep step =
          AdmitRequest(std::move(state), request, context, time);
      state = std::move(step.state);
      if (!step.refusal.has_value()) ++admitted;
    }
    const double seconds = static_cast<double>((time - now).value) / 1'000;
    RC_ASSERT(admitted <= 5 + 10 * seconds + 1);
    RC_ASSERT(admitted >= std::min(200.0, 5 + 10 * seconds - 1) * 0.5);
  });
}

BOOST_AUTO_TEST_CASE(NoSuccesses_RetryStorm_GetsMinimumRateOnly) {
  RetryBudget budget;
  budget.filled_at = now;
  int granted = 0;
  for (int index = 0; index < 10'000; ++index) {
    now = now + Millis{1};
    RetryStep step = TakeRetry(budget, context, now);
    budget = step.budget;
    if (!step.refusal.has_value()) ++granted;
  }
  BOOST_TEST(granted >= 9);
  BOOST_TEST(granted <= 11);
  for (int index = 0; index < 200; ++index) {
    budget = RecordSuccess(budget, context.document.retry);
  }
  granted = 0;
  while (true) {
    RetryStep step = TakeRetry(budget, context, now);
    budget = step.budget;
    if (step.refusal.has_value()) break;
    ++granted;
  }
  BOOST_TEST(granted >= 19);
  BOOST_TEST(granted <= 21);
}

BOOST_AUTO_TEST_CASE(FailingUpstream_Ejected_ReturnsAfterEjectionTime) {
  RecordOutcomes(10, 20);
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kEject);
  BOOST_TEST(reason.path == "health.outlier.error_percent");
  now = now + Millis{29'999};
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kNone);
  now = now + Millis{1};
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kReturn);
  BOOST_CHECK(outlier.returned_at == now);
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kNone);
}

BOOST_AUTO_TEST_CASE(FewOrOldFailures_Stepped_EjectNothing) {
  RecordOutcomes(19, 19);
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kNone);
  now = now + Millis{12'000};
  RecordOutcomes(0, 1);
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kNone);
}

// Guards against an ejection beyond health.max_withdrawn_percent.
BOOST_AUTO_TEST_CASE(HalfWithdrawn_FailingUpstream_RefusalReportedOnce) {
  slots.withdrawn = 8;
  RecordOutcomes(20, 20);
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kRefuseEjection);
  BOOST_TEST(reason.path == "health.max_withdrawn_percent");
  BOOST_CHECK(NextOutlierAction() == OutlierAction::kNone);
  BOOST_TEST(!outlier.ejected);
}

BOOST_AUTO_TEST_CASE(ListedInDocument_Stepped_DrainsAndLeavesWhenIdle) {
  context.document.drain.upstreams = {kUpstream};
  DrainInput input;
  input.upstream = kUpstream;
  input.in_progress = 1;
  BOOST_CHECK(NextDrainActions(input) == std::vector{DrainAction::kStart});
  BOOST_TEST(NextDrainActions(input).empty());
  input.in_progress = 0;
  BOOST_TEST(NextDrainActions(input).empty());
  input.is_announced = true;
  BOOST_CHECK(NextDrainActions(input) == std::vector{DrainAction::kLeave});
  BOOST_TEST(NextDrainActions(input).empty());
}

// Guards against requests that are aborted before the document's drain
// deadline.
BOOST_AUTO_TEST_CASE(AnyTriggers_Draining_AbortedOnlyAtDeadline) {
  CheckProperty("only the deadline aborts requests", [this] {
    drain = DrainState{};
    const bool has_deadline = AnyNumber(0, 1) == 1;
    context.document.drain.deadline = Millis{has_deadline ? 5'000 : 0};
    TimePoint time = now;
    DrainInput input;
    for (int index = 0; index < 50; ++index) {
      time = time + Millis{AnyNumber(0, 400)};
      input.termination_signal |= AnyNumber(0, 5) == 0;
      input.upstream_drains |= AnyNumber(0, 5) == 0;
      input.in_progress = static_cast<size_t>(AnyNumber(0, 2));
      input.is_announced = AnyNumber(0, 1) == 1;
      const DrainState before = drain;
      const DrainStep step = StepDrain(drain, input, context, time);
      drain = step.state;
      for (const DrainDecision& decision : step.actions) {
        if (decision.action == DrainAction::kAbort) {
          RC_ASSERT(has_deadline);
          RC_ASSERT(time - before.started >= Millis{5'000});
        }
        if (decision.action == DrainAction::kLeave) {
          RC_ASSERT(input.in_progress == 0U);
        }
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
