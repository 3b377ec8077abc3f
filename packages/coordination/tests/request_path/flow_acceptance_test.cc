#include "medlarwinch/coordination/request_path/flow_acceptance.h"

#include "property_check.h"

namespace medlarwinch {
namespace {

struct WarmUpstream {
  WarmUpstream() {
    context.document.service = "probe-hub";
    context.version = 7;
    state.slots = 4;
    state.flows = 40;
    state.mean_flows_per_slot = 10;
    state.time_since_ready = Millis{60'000};
  }
  AcceptanceState state;
  CandidatePosition first{0, 3, 2};
  CandidatePosition last{1, 3, 2};
  DocumentContext context;
};

BOOST_FIXTURE_TEST_SUITE(FlowAcceptanceOfWarmUpstream, WarmUpstream)

BOOST_AUTO_TEST_CASE(AtMean_NewFlow_IsAccepted) {
  BOOST_CHECK(DecideNewFlow(state, first, context).action ==
              FlowAction::kAccept);
}

BOOST_AUTO_TEST_CASE(AboveMargin_NewFlow_IsForwardedWithReason) {
  state.flows = 41;
  const FlowDecision decision = DecideNewFlow(state, first, context);
  BOOST_CHECK(decision.action == FlowAction::kForward);
  BOOST_TEST(decision.reason.path == "balance.margin_percent");
  BOOST_TEST(decision.reason.document_version == 7U);
}

// Guards against a flow that no candidate accepts because all are near the
// mean.
BOOST_AUTO_TEST_CASE(AboveMarginOrEjected_LastCandidate_Accepts) {
  state.flows = 60;
  state.ejected = true;
  BOOST_CHECK(DecideNewFlow(state, last, context).action ==
              FlowAction::kAccept);
}

BOOST_AUTO_TEST_CASE(AtFlowLimit_LastHop_Sheds) {
  context.document.limits.max_flows_per_slot = 10;
  const CandidatePosition only{0, 1, 1};
  const FlowDecision decision = DecideNewFlow(state, only, context);
  BOOST_CHECK(decision.action == FlowAction::kShed);
  BOOST_TEST(decision.reason.path == "limits.max_flows_per_slot");
}

BOOST_AUTO_TEST_CASE(ColdUpstream_NewFlow_GetsInitialShareOnly) {
  state.time_since_ready = Millis{0};
  state.flows = 9;
  BOOST_CHECK(DecideNewFlow(state, first, context).action ==
              FlowAction::kForward);
  state.flows = 8;
  BOOST_CHECK(DecideNewFlow(state, first, context).action ==
              FlowAction::kAccept);
}

BOOST_AUTO_TEST_CASE(HopOutOfBounds_NewFlow_IsDropped) {
  BOOST_CHECK(
      DecideNewFlow(state, CandidatePosition{3, 3, 2}, context).action ==
      FlowAction::kDrop);
}

// Guards against acceptance while draining, by a candidate of the previous
// table only, or above the flow limit, and against a hop beyond the candidates.
BOOST_AUTO_TEST_CASE(AnyLoad_NewFlow_RespectsLimits) {
  CheckProperty("acceptance respects the limits", [this] {
    state.flows = static_cast<uint32_t>(AnyNumber(0, 200));
    state.mean_flows_per_slot = static_cast<double>(AnyNumber(-1, 30));
    state.time_since_ready = Millis{AnyNumber(0, 20'000)};
    state.draining = AnyNumber(0, 1) == 1;
    state.ejected = AnyNumber(0, 1) == 1;
    context.document.limits.max_flows_per_slot =
        static_cast<uint32_t>(AnyNumber(1, 40));
    CandidatePosition position;
    position.hop = static_cast<size_t>(AnyNumber(0, 6));
    position.candidates = static_cast<size_t>(AnyNumber(1, 6));
    position.accepting = static_cast<size_t>(AnyNumber(1, 4));
    position.best_load = static_cast<double>(AnyNumber(-1, 30));
    position.must_accept = AnyNumber(0, 1) == 1;
    const FlowDecision decision = DecideNewFlow(state, position, context);
    if (decision.action == FlowAction::kAccept) {
      RC_ASSERT(!state.draining);
      RC_ASSERT(position.hop < position.accepting);
      RC_ASSERT(state.flows <
                state.slots * context.document.limits.max_flows_per_slot);
      return;
    }
    RC_ASSERT(!decision.reason.rule.empty());
    if (decision.action == FlowAction::kForward) {
      RC_ASSERT(position.hop + 1 < position.candidates);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
