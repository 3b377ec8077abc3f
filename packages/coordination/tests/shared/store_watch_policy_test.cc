#include "medlarwinch/coordination/shared/store_watch_policy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {
namespace {

struct BalancersWatching {
  /// Returns the time until the first of `balancers` watches that began
  /// together ends.
  Millis FirstEnd(size_t balancers) {
    Millis first = kMaxSharedWatchWait;
    for (size_t index = 0; index < balancers; ++index) {
      first = std::min(first, SharedWatchWait(balancers, random()));
    }
    return first;
  }

  /// Returns the mean number of calls a second of `balancers` idle balancers.
  double CallsPerSecond(size_t balancers) {
    constexpr int kSamples = 2'000;
    double total_ms = 0;
    for (int sample = 0; sample < kSamples; ++sample) {
      total_ms +=
          static_cast<double>(SharedWatchWait(balancers, random()).value);
    }
    return static_cast<double>(balancers) * 1'000.0 * kSamples / total_ms;
  }

  Random random{7};
};

BOOST_FIXTURE_TEST_SUITE(StoreWatchPolicy, BalancersWatching)

// Guards against a configuration that is not in force in time because the
// connections of all balancers have gone silent at the same moment.
BOOST_AUTO_TEST_CASE(AllConnectionsSilent_AnySize_IsDetectedWithinFourSeconds) {
  for (const size_t balancers : {1, 4, 15, 26, 59, 500}) {
    int late = 0;
    for (int trial = 0; trial < 200; ++trial) {
      if (FirstEnd(balancers) > Millis{4'000}) ++late;
    }
    BOOST_TEST(late <= 200 / 50);
    BOOST_CHECK(FirstEnd(balancers) < Millis{6'000});
  }
}

// Guards against a configuration that is in force too late after all
// connections have gone silent just as their waits began: besides the wait, the
// response's slack and the way through the agents take time.
BOOST_AUTO_TEST_CASE(AllConnectionsSilent_SmallDeployment_AreReplacedInTime) {
  // Reconnection, a slow store's response, and two polls of the agents.
  constexpr Millis kSpread{60 + 240 + 2 * 250};
  // Of the deployments with the shortest window, which have 4 balancers.
  constexpr Millis kStabilityWindow{4'000};
  int late = 0;
  for (int trial = 0; trial < 1'000; ++trial) {
    const Millis detected = FirstEnd(4) + kWatchResponseSlack;
    if (detected + kSpread >= kStabilityWindow) ++late;
  }
  BOOST_TEST(late <= 1'000 / 50);
}

// Guards against idle calls to the store that grow with the deployment.
BOOST_AUTO_TEST_CASE(IdleCalls_LargerDeployment_GrowLess) {
  BOOST_TEST(CallsPerSecond(60) <= CallsPerSecond(15) * 2.5);
  // Fewer than half of the calls of balancers that all wait 3 s.
  BOOST_TEST(CallsPerSecond(60) <= 60 / 3.0 / 2);
}

BOOST_AUTO_TEST_CASE(UnknownNumberOfBalancers_Wait_IsTheShortest) {
  BOOST_CHECK(SharedWatchWait(0, 12'345) == kMinSharedWatchWait);
}

BOOST_AUTO_TEST_CASE(SmallDeployment_NewAgentUnderTraffic_IsReadAtOnce) {
  BOOST_CHECK(AgentListCoalescingDelay(10, true) == Millis{0});
  BOOST_CHECK(AgentListCoalescingDelay(10, false) > Millis{0});
  BOOST_CHECK(AgentListCoalescingDelay(136, true) > Millis{0});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
