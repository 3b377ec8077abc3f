#include "medlarwinch/coordination/packet_path/response_statistics.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

// An agent's tracker with flows whose openings it has seen. The route's
// baseline is 40 ms and 4,000 bytes.
struct TrackedRequests {
  TrackedRequests() {
    tracker.responses.emplace();
    tracker.responses->condition.slots = 4;
    ApplyBaselines(*tracker.responses, baselines, now);
  }

  void Open(uint16_t port) { FromUpstream(port, 0, &FlowPacket::is_syn); }

  void FromUpstream(uint16_t port, uint16_t bytes, bool FlowPacket::*flag) {
    FlowPacket packet;
    packet.source = kServiceAddress;
    packet.destination = CallerPacket(port, 0).source;
    packet.sequence = 100;
    packet.data_bytes = bytes;
    packet.*flag = true;
    RecordUpstreamPacket(tracker, packet, now);
  }

  void SendRequest(uint16_t port, uint32_t sequence = 1) {
    FlowPacket request = CallerPacket(port, 100);
    request.sequence = sequence;
    request.data_bytes = 1'200;
    RecordCallerPacket(tracker, request, now);
  }

  void Wait(Millis time) {
    now = now + time;
    ApplyBaselines(*tracker.responses, baselines, now);
    RefreshFlows(tracker, kMaxFlowLifetime, now);
  }

  uint64_t Count(RequestOutcome outcome) const {
    return tracker.responses->totals[static_cast<size_t>(outcome)];
  }

  TimePoint now{10'000};
  const std::vector<RouteBaseline> baselines = {{kServiceAddress, 40, 4'000}};
  FlowTracker tracker;
};

BOOST_FIXTURE_TEST_SUITE(ResponseStatisticsOfFlows, TrackedRequests)

// Guards against a share that falls to 0 after the first good trial flows.
BOOST_AUTO_TEST_CASE(FewFailures_Reported_AreNeitherZeroNorSuspicious) {
  for (uint16_t port = 1; port <= 8; ++port) {
    Open(port);
    SendRequest(port);
    now = now + Millis{40};
    FromUpstream(port, 0,
                 port <= 2 ? &FlowPacket::is_reset : &FlowPacket::is_ack);
    if (port > 2) FromUpstream(port, 1'000, &FlowPacket::is_fin);
  }
  BOOST_TEST(SuspectedFailures(*tracker.responses, now) > 0.05);
  BOOST_TEST(SuspectedFailures(*tracker.responses, now) < 0.2);
}

// Guards against a suspended agent that blames its upstream.
BOOST_AUTO_TEST_CASE(AgentWasLate_WaitingRequest_IsNotUnanswered) {
  Open(1);
  SendRequest(1);
  tracker.responses->condition.agent_late_until = now + Millis{1'500};
  Wait(Millis{1'500});
  BOOST_TEST(Count(RequestOutcome::kUnanswered) == 0U);
  Wait(Millis{1'000});
  BOOST_TEST(Count(RequestOutcome::kUnanswered) == 1U);
}

// Guards against callers that stall in the middle of an upload.
BOOST_AUTO_TEST_CASE(LongRequest_SilentFor1600Ms_IsNotUnanswered) {
  Open(1);
  for (uint32_t packet = 0; packet < 20; ++packet) {
    SendRequest(1, 1 + packet * 1'200);
  }
  Wait(Millis{1'600});
  BOOST_TEST(Count(RequestOutcome::kUnanswered) == 0U);
}

// Guards against resets by an upstream that has restarted: its agent cannot
// tell the flows of the two incarnations apart.
BOOST_AUTO_TEST_CASE(DistrustedFlow_Reset_IsNoFailure) {
  Open(1);
  DistrustFlows(tracker);
  SendRequest(1);
  FromUpstream(1, 0, &FlowPacket::is_reset);
  BOOST_TEST(Count(RequestOutcome::kReset) == 0U);
}

// Guards against refusals by an upstream whose queue is full: only the first
// request found it idle.
BOOST_AUTO_TEST_CASE(CrowdedUpstream_ShortResponse_IsNoFailure) {
  for (uint16_t port = 1; port <= 13; ++port) {
    Open(port);
    SendRequest(port);
  }
  FromUpstream(1, 140, &FlowPacket::is_fin);
  FromUpstream(13, 140, &FlowPacket::is_fin);
  BOOST_TEST(Count(RequestOutcome::kEarlyAndShort) == 1U);
  BOOST_TEST(Count(RequestOutcome::kAnswered) == 0U);
}

// Guards against growth with the number of routes.
BOOST_AUTO_TEST_CASE(ManyRoutes_Summarized_AreTheLatestOnes) {
  for (uint16_t port = 1; port <= 20; ++port) {
    RequestProgress request;
    FlowPacket packet = CallerPacket(1, 100);
    packet.data_bytes = 100;
    const Endpoint route{0x0a000001, port};
    now = now + Millis{1};
    RecordRequestData(*tracker.responses, route, request, packet, 0, now);
    packet.is_fin = true;
    RecordResponsePacket(*tracker.responses, route, request, packet, true, now);
  }
  const auto routes = SummarizeRoutes(*tracker.responses, now);
  BOOST_TEST(routes.size() == kMaxReportedRoutes);
  BOOST_TEST(routes.front().service_address.port > 12);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
