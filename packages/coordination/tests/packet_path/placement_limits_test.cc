#include "medlarwinch/coordination/packet_path/placement_limits.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

// Agents 0 and 1 are in the domain d1, the others in d2.
struct TwoDomains : RelayWithAgents {
  TwoDomains() {
    for (uint32_t index = 0; index < kAgents; ++index) {
      Upstream(index).entry.failure_domain = index < 2 ? "d1" : "d2";
    }
  }

  KnownUpstream& Upstream(uint32_t index) {
    return relay.directory.upstreams.at(AgentAddress(index));
  }

  void Evacuate(const std::set<std::string>& domains) {
    ++revision;
    MergeEvacuations(relay.directory.evacuations,
                     MakeEvacuationView(domains, {1, revision}));
  }

  // Makes the upstream cold with `left` openings left in the present second.
  void MakeCold(uint32_t index, uint32_t left) {
    relay.directory.services_with_cold_limit = {service};
    Upstream(index).report.is_cold = true;
    Upstream(index).reads_extended = true;
    Upstream(index).load.cold_openings_left = left;
  }

  // Opens flows and returns how many went to each agent.
  std::map<Endpoint, int> Open(int flows) {
    std::map<Endpoint, int> placed;
    for (int count = 0; count < flows; ++count) {
      for (const RelayToAgent& sent :
           ActionsOf<RelayToAgent>(Send(OpeningPacket(++port)))) {
        ++placed[sent.to];
      }
    }
    return placed;
  }

  uint16_t port = 0;
  uint64_t revision = 1;
};

BOOST_FIXTURE_TEST_SUITE(PlacementLimits, TwoDomains)

// Guards against openings that reach the evacuated domain, also as alternates.
BOOST_AUTO_TEST_CASE(EvacuatedDomain_Openings_GoToOtherDomains) {
  Evacuate({"d2", "nowhere"});
  for (uint16_t flow = 1; flow <= 50; ++flow) {
    const std::vector<RelayToAgent> sent =
        ActionsOf<RelayToAgent>(Send(OpeningPacket(flow)));
    BOOST_REQUIRE(sent.size() == 1);
    std::vector<Endpoint> receivers = sent[0].header.alternates;
    receivers.push_back(sent[0].to);
    for (const Endpoint& agent : receivers) {
      BOOST_TEST((agent == AgentAddress(0) || agent == AgentAddress(1)));
    }
  }
}

// Guards against callers that wait for their deadline while nobody may serve
// them.
BOOST_AUTO_TEST_CASE(AllDomainsEvacuated_FirstCopy_IsResetAtOnce) {
  Evacuate({"d1", "d2"});
  const std::vector<ResetCaller> resets =
      ActionsOf<ResetCaller>(Send(OpeningPacket(1)));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kEvacuated);
}

// Guards against a reset of a flow that an earlier copy has opened before the
// evacuation.
BOOST_AUTO_TEST_CASE(AllDomainsEvacuated_CopyOfPlacedOpening_IsDropped) {
  BOOST_REQUIRE(ActionsOf<RelayToAgent>(Send(OpeningPacket(1))).size() == 1);
  Evacuate({"d1", "d2"});
  BOOST_TEST(AreOnlyDropped(Send(OpeningPacket(1, 1)),
                            PacketDropReason::kLeftToRetransmission));
}

// As above, when upstreams elsewhere exist but take no flows.
BOOST_AUTO_TEST_CASE(OtherDomainDrains_CopyOfPlacedOpening_IsDropped) {
  for (uint32_t index = 2; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kDraining);
  }
  BOOST_REQUIRE(ActionsOf<RelayToAgent>(Send(OpeningPacket(1))).size() == 1);
  Evacuate({"d1"});
  BOOST_TEST(AreOnlyDropped(Send(OpeningPacket(1, 1)),
                            PacketDropReason::kLeftToRetransmission));
  const std::vector<ResetCaller> resets =
      ActionsOf<ResetCaller>(Send(OpeningPacket(2)));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kNoUpstream);
}

// Guards against an evacuation that moves flows which are open.
BOOST_AUTO_TEST_CASE(EvacuatedDomain_OpenFlow_StaysAtItsAgent) {
  const Endpoint agent = ActionsOf<RelayToAgent>(Send(OpeningPacket(1)))[0].to;
  Evacuate({"d1", "d2"});
  const std::vector<RelayToAgent> sent =
      ActionsOf<RelayToAgent>(Send(CallerPacket(1, 77)));
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_CHECK(sent[0].to == agent);
}

// Guards against openings that are passed from agent to agent because every
// balancer places all that a cold upstream may get.
BOOST_AUTO_TEST_CASE(ColdUpstream_BetweenReports_GetsShareOfBalancer) {
  relay.directory.reported_balancers = 3;
  MakeCold(0, 10);
  BOOST_TEST(Open(200)[AgentAddress(0)] == 3);
  MakeCold(1, 2);
  Upstream(1).placed_since_report = 0;
  BOOST_TEST(Open(200)[AgentAddress(1)] == 1);
}

// Guards against a cold upstream that gets nothing while the others are loaded,
// and against openings that circulate when all are cold and have got theirs.
BOOST_AUTO_TEST_CASE(AllUpstreamsCold_ShareUsed_OpeningsWaitForNextCopy) {
  relay.directory.reported_balancers = 2;
  for (uint32_t index = 0; index < kAgents; ++index) MakeCold(index, 4);
  const std::map<Endpoint, int> placed = Open(100);
  BOOST_TEST(placed.size() == kAgents);
  for (const auto& [agent, flows] : placed) BOOST_TEST(flows == 2);
  BOOST_TEST(AreOnlyDropped(Send(OpeningPacket(900)),
                            PacketDropReason::kNoUpstreamYet));
}

// Guards against a limit that is applied to agents which do not report what is
// left of it.
BOOST_AUTO_TEST_CASE(ColdUpstream_AgentWithoutExtendedMessages_IsNotLimited) {
  for (uint32_t index = 0; index < kAgents; ++index) {
    MakeCold(index, 0);
    Upstream(index).reads_extended = false;
  }
  BOOST_TEST(Open(20).size() > 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
