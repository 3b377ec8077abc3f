#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "medlarwinch/bench/control_fixture.h"

namespace medlarwinch {
namespace {

// Control traffic target of the design per daemon.
constexpr uint64_t kMaxBytesPerSecond = 4'096;
constexpr uint32_t kSeconds = 12;

BOOST_AUTO_TEST_SUITE(ControlTrafficAtDesignScale)

// Guards against control traffic above the target. Measures the mean of sent
// and received bytes over balancers spread across a region in a steady state.
BOOST_AUTO_TEST_CASE(SteadyRegion_Run_MeanTrafficIsWithinTarget) {
  uint64_t bytes = 0;
  uint64_t highest = 0;
  uint32_t measured = 0;
  for (uint32_t own_number = 0; own_number < kRegionBalancers;
       own_number += 170) {
    ControlFixture fixture(kRegionBalancers, kRegionAgents, own_number);
    const uint64_t one = fixture.RunSteadyState(kSeconds).bytes() / kSeconds;
    bytes += one;
    highest = std::max(highest, one);
    ++measured;
  }
  BOOST_TEST_MESSAGE("bytes_per_s mean=" << bytes / measured
                                         << " highest=" << highest);
  BOOST_TEST(bytes / measured <= kMaxBytesPerSecond);
}

// Guards against a number of messages per change that grows with the number of
// balancers.
BOOST_AUTO_TEST_CASE(MoreBalancers_OneChanges_MessagesStayFew) {
  ControlFixture small(20, 100, 0);
  ControlFixture large(1'000, 100, 0);
  const size_t few = small.HandleBalancerChange();
  BOOST_TEST(few <= kGossipFanout);
  BOOST_TEST(large.HandleBalancerChange() <= kGossipFanout);
  BOOST_TEST(large.HandleMatchingDigest() == 0U);
  BOOST_TEST(large.RunTick() <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
