#include "medlarwinch/coordination/packet_path/flow_placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

#include "relay_fixture.h"

namespace medlarwinch {
namespace {

BOOST_FIXTURE_TEST_SUITE(FlowPlacementWithAgents, RelayWithAgents)

const RelayRoute& RouteOf(const RelayWithAgents& test) {
  return *FindRoute(test.relay.routes, kServiceAddress);
}

double MaxOverMean(const std::map<Endpoint, uint32_t>& flows) {
  uint32_t most = 0;
  uint32_t total = 0;
  for (const auto& [agent, count] : flows) {
    most = std::max(most, count);
    total += count;
  }
  return static_cast<double>(most) * RelayWithAgents::kAgents / total;
}

// Places long-lived flows with reports that are a quarter of a second old, and
// compares the distribution with placement by hash alone.
BOOST_AUTO_TEST_CASE(LongFlows_PlacedByLoad_AreMoreEvenThanByHash) {
  std::map<Endpoint, uint32_t> placed;
  std::map<Endpoint, uint32_t> hashed;
  constexpr int kFlowsPerReport = 10;
  for (uint16_t port = 1; port <= 400; ++port) {
    if (port % kFlowsPerReport == 0) {
      for (uint32_t index = 0; index < kAgents; ++index) {
        const uint32_t flows = placed[AgentAddress(index)];
        Report(AgentAddress(index), UpstreamPhase::kReady, flows, flows * 0.04);
      }
    }
    const FlowTuple flow = FlowFromCaller(CallerPacket(port, 0));
    const Endpoint chosen =
        RankUpstreams(relay.directory, RouteOf(*this), flow, 0, 1, now)[0]
            .agent;
    relay.directory.upstreams.at(chosen).placed_since_report += 1;
    ++placed[chosen];
    Endpoint best = AgentAddress(0);
    for (uint32_t index = 1; index < kAgents; ++index) {
      const Endpoint agent = AgentAddress(index);
      if (PlacementScore(flow, agent) > PlacementScore(flow, best)) {
        best = agent;
      }
    }
    ++hashed[best];
  }
  // 1.10 is the target for the steady state.
  BOOST_TEST(MaxOverMean(placed) <= 1.10);
  BOOST_TEST(MaxOverMean(placed) < MaxOverMean(hashed));
}

struct SplitRoute : RelayWithAgents {
  SplitRoute() {
    for (uint32_t index = 10; index < 13; ++index) {
      ApplyEntry(relay.directory,
                 DirectoryEntry{AgentAddress(index), other, "catania", {1, 1}},
                 now);
    }
    ReportAll();
  }
  const ServiceId other = MakeServiceId("report-desk");
  const RelayRoute route{"feed",
                         {RouteTarget{service, 90}, RouteTarget{other, 10}}};
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
};

BOOST_FIXTURE_TEST_CASE(IdleSplit_ServiceOfFirstChoice_FollowsWeights,
                        SplitRoute) {
  int to_other = 0;
  constexpr int kDraws = 2'000;
  for (int draw = 0; draw < kDraws; ++draw) {
    const PlacementCandidate first =
        RankUpstreams(relay.directory, route, flow, relay.random(), 1, now)[0];
    if (first.service == other) ++to_other;
  }
  BOOST_TEST(to_other > kDraws * 8 / 100);
  BOOST_TEST(to_other < kDraws * 12 / 100);
}

// After the loss of upstreams, a service with idle slots gets the flows that
// the busy service cannot accept.
BOOST_FIXTURE_TEST_CASE(BusyFirstService_NewFlow_GoesToIdleService,
                        SplitRoute) {
  for (uint32_t index = 0; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kReady, 100, 6);
  }
  for (int draw = 0; draw < 100; ++draw) {
    BOOST_CHECK(
        RankUpstreams(relay.directory, route, flow, relay.random(), 1, now)[0]
            .service == other);
  }
}

BOOST_FIXTURE_TEST_CASE(SplitRoute_Alternates_ReachBothServices, SplitRoute) {
  bool has_other = false;
  for (const PlacementCandidate& candidate :
       RankUpstreams(relay.directory, route, flow, 0, 3, now)) {
    has_other = has_other || candidate.service == other;
  }
  BOOST_TEST(has_other);
}

// Guards against callers that wait at slow upstreams while fast ones are idle.
BOOST_AUTO_TEST_CASE(SlowUpstream_EqualLoad_IsNotFirstIfPlacedByWait) {
  for (auto& [agent, upstream] : relay.directory.upstreams) {
    Report(agent, UpstreamPhase::kReady, 20, 2);
  }
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
  const auto first = [&] {
    return RankUpstreams(relay.directory, RouteOf(*this), flow, 0, 5, now)[0]
        .agent;
  };
  const Endpoint first_by_load = first();
  for (auto& [agent, upstream] : relay.directory.upstreams) {
    upstream.load.work_ms = agent == first_by_load ? 150 : 100;
  }
  BOOST_CHECK(first() == first_by_load);
  relay.directory.places_by_wait = true;
  BOOST_CHECK(first() != first_by_load);
}

// Guards against an upstream that fails its requests at once, and against
// service times from the wire that are no numbers.
BOOST_AUTO_TEST_CASE(ImplausibleWork_PlacedByWait_ShiftsLoadAtMostTwofold) {
  relay.directory.places_by_wait = true;
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
  for (const double work_ms : {0.001, 1e300, -5.0, std::nan("")}) {
    for (auto& [agent, upstream] : relay.directory.upstreams) {
      Report(agent, UpstreamPhase::kReady, 20, 2);
      upstream.load.work_ms = agent == AgentAddress(2) ? work_ms : 100;
    }
    const std::vector<PlacementCandidate> ranked =
        RankUpstreams(relay.directory, RouteOf(*this), flow, 0, 5, now);
    BOOST_TEST(ranked.front().load >= ranked.back().load / 2.5);
  }
}

// Guards against single requests that queue behind others because their
// upstream has few flows.
BOOST_AUTO_TEST_CASE(OneRequestKinds_PlacedByWait_GoWhereRequestsAreFew) {
  relay.directory.places_by_wait = true;
  RelayRoute route = RouteOf(*this);
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
  const auto rank = [&] {
    return RankUpstreams(relay.directory, route, flow, 0, 5, now);
  };
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    Report(agent, UpstreamPhase::kReady, 0, 3);
  }
  const Endpoint idle = rank().back().agent;
  Report(idle, UpstreamPhase::kReady, 100, 1);
  route.terms.kind = RequestKind::kUnsafe;
  BOOST_CHECK(rank().front().agent != idle);
  route.terms.kind = RequestKind::kDownload;
  BOOST_CHECK(rank().front().agent == idle);
}

BOOST_AUTO_TEST_CASE(DrainingUpstream_NewFlow_IsNeverRanked) {
  Report(AgentAddress(3), UpstreamPhase::kDraining);
  for (uint16_t port = 1; port < 200; ++port) {
    const FlowTuple flow = FlowFromCaller(CallerPacket(port, 0));
    for (const PlacementCandidate& candidate :
         RankUpstreams(relay.directory, RouteOf(*this), flow, 0, 5, now)) {
      BOOST_CHECK(candidate.agent != AgentAddress(3));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
