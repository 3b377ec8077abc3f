#include "medlarwinch/coordination/shared/rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace medlarwinch {
namespace {

constexpr uint64_t kKeys = 20'000;

struct TenNodes {
  TenNodes() {
    for (uint32_t index = 0; index < 10; ++index) {
      nodes.push_back(WeightedNode{Endpoint{0x7f000001 + index, 80}, 1});
    }
  }
  std::vector<WeightedNode> nodes;
};

BOOST_FIXTURE_TEST_SUITE(RendezvousOverTenNodes, TenNodes)

// Guards against a removal that moves keys of the remaining nodes.
BOOST_AUTO_TEST_CASE(OneNodeRemoved_KeysChosen_OnlyItsKeysMove) {
  const Endpoint removed = nodes[3].id;
  std::vector<WeightedNode> fewer = nodes;
  fewer.erase(fewer.begin() + 3);
  for (uint64_t key = 0; key < kKeys; ++key) {
    const Endpoint before = ChooseByRendezvous(key, nodes, 1).front();
    const Endpoint after = ChooseByRendezvous(key, fewer, 1).front();
    if (before == removed) continue;
    BOOST_REQUIRE(before == after);
  }
}

BOOST_AUTO_TEST_CASE(DoubledWeight_KeysChosen_DoublesShare) {
  nodes[0].weight = 2;
  uint64_t chosen = 0;
  for (uint64_t key = 0; key < kKeys; ++key) {
    if (ChooseByRendezvous(key, nodes, 1).front() == nodes[0].id) ++chosen;
  }
  const double share = static_cast<double>(chosen) / kKeys;
  BOOST_TEST(share > 2.0 / 11 * 0.93);
  BOOST_TEST(share < 2.0 / 11 * 1.07);
}

BOOST_AUTO_TEST_CASE(ZeroWeight_AllChosen_IsLeftOut) {
  nodes[5].weight = 0;
  BOOST_TEST(ChooseByRendezvous(1, nodes, 20).size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
