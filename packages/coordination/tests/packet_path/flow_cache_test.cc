#include "medlarwinch/coordination/packet_path/flow_cache.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "relay_fixture.h"

namespace medlarwinch {
namespace {

FlowTuple FlowOf(uint32_t number) {
  return FlowTuple{Endpoint{0x64400000 + number / 50'000,
                            static_cast<uint16_t>(1 + number % 50'000)},
                   kServiceAddress};
}

struct EmptyFlowCache {
  FlowCache cache{10'000};
  TimePoint now{1'000};
};

BOOST_FIXTURE_TEST_SUITE(FlowCacheWhenEmpty, EmptyFlowCache)

// Guards against entries that are lost when others are removed: deletion in an
// open-addressing table has to move displaced entries back.
BOOST_AUTO_TEST_CASE(RandomChanges_Lookups_MatchReference) {
  std::mt19937 random(20261204);
  std::map<FlowTuple, Endpoint> reference;
  for (int step = 0; step < 50'000; ++step) {
    const FlowTuple flow = FlowOf(random() % 3'000);
    if (random() % 3 == 0) {
      cache.Remove(flow);
      reference.erase(flow);
    } else {
      const Endpoint agent = AgentAddress(random() % 20);
      cache.Put(flow, agent, true, now);
      reference[flow] = agent;
    }
  }
  BOOST_TEST(cache.size() == reference.size());
  for (uint32_t number = 0; number < 3'000; ++number) {
    const CachedFlow* found = cache.Find(FlowOf(number));
    const auto expected = reference.find(FlowOf(number));
    BOOST_REQUIRE((found != nullptr) == (expected != reference.end()));
    if (found != nullptr) BOOST_CHECK(found->agent == expected->second);
  }
}

// Guards against growth beyond the memory of the smallest VMs.
BOOST_AUTO_TEST_CASE(AboveBound_OldFlows_AreEvicted) {
  for (uint32_t number = 0; number < 30'000; ++number) {
    cache.Put(FlowOf(number), AgentAddress(0), true,
              now + Millis{static_cast<int64_t>(number)});
  }
  BOOST_TEST(cache.size() == 10'000U);
  BOOST_TEST(cache.evictions() == 20'000U);
  BOOST_TEST(cache.Find(FlowOf(29'999)) != nullptr);
}

BOOST_AUTO_TEST_CASE(IdleFlows_Swept_AreRemoved) {
  for (uint32_t number = 0; number < 1'000; ++number) {
    cache.Put(FlowOf(number), AgentAddress(0), true, now);
  }
  FlowCache::Touch(*cache.Find(FlowOf(5)), now + Millis{50});
  cache.RemoveIdle(now + Millis{100}, Millis{100}, 100'000);
  BOOST_TEST(cache.size() == 1U);
  BOOST_TEST(cache.Find(FlowOf(5)) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
