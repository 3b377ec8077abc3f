#include "medlarwinch/daemon/flow_forwarding.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct FlowWithTwoCandidates {
  // Offers the flow to agents with these numbers of flows, one slot each, and
  // returns the index of the agent that accepts it.
  size_t OfferUntilAccepted(uint32_t first, uint32_t second) {
    const uint32_t flows[] = {first, second};
    DocumentContext context;
    for (int hops = 0; hops < 4; ++hops) {
      AcceptanceState state;
      state.flows = flows[packet.candidate_index];
      state.mean_flows_per_slot = 10;
      state.time_since_ready = Millis{60'000};
      const FlowDecision decision =
          DecideNewFlow(state, CandidatePositionOf(packet), context);
      if (decision.action == FlowAction::kAccept) return packet.candidate_index;
      BOOST_REQUIRE(AdvanceToNextCandidate(packet, decision).has_value());
    }
    BOOST_FAIL("no agent accepted the flow within 4 hops");
    return 2;
  }

  ForwardedPacket packet = [] {
    ForwardedPacket made;
    made.candidates = {Endpoint{1, 1}, Endpoint{2, 2}};
    made.accepting_candidates = 2;
    return made;
  }();
};

BOOST_FIXTURE_TEST_SUITE(FlowForwarding, FlowWithTwoCandidates)

BOOST_AUTO_TEST_CASE(FirstBelowMean_Offered_FirstAccepts) {
  BOOST_TEST(OfferUntilAccepted(5, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(FirstAboveMean_Offered_LessLoadedSecondAccepts) {
  BOOST_TEST(OfferUntilAccepted(20, 15) == 1U);
}

// Guards against a last candidate that accepts flows regardless of its load
// while the mean lags behind.
BOOST_AUTO_TEST_CASE(BothAboveMean_Offered_ReturnedToLessLoadedFirst) {
  BOOST_TEST(OfferUntilAccepted(15, 20) == 0U);
}

// Guards against an out-of-bounds index from the network.
BOOST_AUTO_TEST_CASE(LeastLoadedIndexOutOfBounds_Returned_NamesNoCandidate) {
  packet.least_loaded_index = 9;
  BOOST_CHECK(
      !AdvanceToNextCandidate(packet, FlowDecision{FlowAction::kReturn, {}, -1})
           .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
