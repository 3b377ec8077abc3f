#include "medlarwinch/coordination/shared/platform_calls.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(PlatformCalls)

// Guards against a daemon that exceeds its share of the platform's rate limit.
BOOST_AUTO_TEST_CASE(BudgetOfTwoPerSecond_CallsForTenSeconds_StayWithinShare) {
  CallBudget budget{2, 5, 5, TimePoint{0}};
  int admitted = 0;
  for (int64_t now = 0; now < 10'000; now += 10) {
    const CallAdmission admission = AdmitCall(budget, TimePoint{now});
    budget = admission.budget;
    if (admission.wait == Millis{0}) ++admitted;
  }
  BOOST_TEST(admitted >= 24);
  BOOST_TEST(admitted <= 25);
}

// Guards against a caller that waits for the returned time and is refused
// again.
BOOST_AUTO_TEST_CASE(EmptyBudget_WaitIsOver_CallIsAdmitted) {
  const CallAdmission refused =
      AdmitCall(CallBudget{0.3, 1, 0, TimePoint{0}}, TimePoint{0});
  BOOST_TEST(refused.wait.value == 3'334);
  const CallAdmission admitted =
      AdmitCall(refused.budget, TimePoint{0} + refused.wait);
  BOOST_TEST(admitted.wait.value == 0);
}

BOOST_AUTO_TEST_CASE(ClockSetBack_CallAdmitted_AddsNothing) {
  const CallAdmission admission =
      AdmitCall(CallBudget{2, 5, 0, TimePoint{9'000}}, TimePoint{1'000});
  BOOST_TEST(admission.wait.value == 500);
  BOOST_CHECK(admission.budget.updated == TimePoint{9'000});
}

BOOST_AUTO_TEST_CASE(FailedAttempts_Delayed_GrowToMaximumWithJitter) {
  const BackoffPolicy policy{Millis{100}, Millis{1'000}};
  BOOST_TEST(BackoffDelay(policy, 0, 0).value == 50);
  BOOST_TEST(BackoffDelay(policy, 0, 50).value == 100);
  BOOST_TEST(BackoffDelay(policy, 2, 0).value == 200);
  BOOST_TEST(BackoffDelay(policy, 4'000'000'000U, 0).value == 500);
  BOOST_TEST(BackoffDelay(policy, 4'000'000'000U, 500).value == 1'000);
}

// Guards against repeating a write that took effect, and against reporting
// success for a version that another writer produced.
BOOST_AUTO_TEST_CASE(LostWrite_ObjectReadBack_IsResolvedByOperation) {
  const LostWrite update{"op-1", 7};
  BOOST_CHECK(ResolveLostWrite(update, {8, "op-1"}) ==
              LostWriteResult::kApplied);
  BOOST_CHECK(ResolveLostWrite(update, {7, "op-0"}) ==
              LostWriteResult::kUnchanged);
  BOOST_CHECK(ResolveLostWrite(update, {9, "op-2"}) ==
              LostWriteResult::kUnknown);
  const LostWrite creation{"op-1", 0};
  BOOST_CHECK(ResolveLostWrite(creation, {0, ""}) ==
              LostWriteResult::kUnchanged);
  BOOST_CHECK(ResolveLostWrite(LostWrite{"", 0}, {0, ""}) ==
              LostWriteResult::kUnchanged);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
