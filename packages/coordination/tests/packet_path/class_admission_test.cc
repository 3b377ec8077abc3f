#include "medlarwinch/coordination/packet_path/class_admission.h"

#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kUpstreamSequence = 5'000;

struct AgentWithFeature {
  AgentWithFeature() {
    relay.admits_by_class = true;
    relay.service = MakeServiceId("probe-hub");
    relay.upstream.phase = UpstreamPhase::kReady;
    relay.upstream.slots = 4;
    relay.flow_tracker.integrated_until = now;
    relay.flow_tracker.averaged_until = now;
    header.balancer = kBalancerAddress;
    header.allowed = {relay.service};
    context.terms = {RequestKind::kSafe, 2, Millis{300}, Millis{2'500}};
  }

  RelayActions Open(uint16_t port, uint32_t copy = 0) {
    context.copy = copy;
    RelayActions actions;
    HandleRelayedPacket(relay, header, context, OpeningPacket(port, copy),
                        Millis{0}, now, actions);
    return actions;
  }

  RelayActions Send(const FlowPacket& from_upstream) {
    RelayActions actions;
    HandleUpstreamPacket(relay, from_upstream, now, actions);
    return actions;
  }

  FlowPacket FromUpstream(uint16_t port) {
    FlowPacket packet;
    packet.source = kServiceAddress;
    packet.destination = OpeningPacket(port).source;
    packet.sequence = kUpstreamSequence;
    return packet;
  }

  void AnswerOpening(uint16_t port) {
    FlowPacket answer = FromUpstream(port);
    answer.is_syn = true;
    Send(answer);
  }

  void Request(uint16_t port, uint32_t sequence) {
    FlowPacket request = CallerPacket(port, kUpstreamSequence + 1);
    request.sequence = sequence;
    request.data_bytes = 100;
    RelayActions actions;
    HandleRelayedPacket(relay, header, std::nullopt, request, Millis{0}, now,
                        actions);
  }

  // Makes a lasting overload: requests run, queue, and did so on average.
  void Overload() {
    for (uint16_t port = 101; port <= 116; ++port) {
      Open(port);
      AnswerOpening(port);
      Request(port, 1'001);
    }
    relay.flow_tracker.mean_outstanding = 16;
  }

  TimePoint now{1'000};
  RelayHeader header;
  OpeningContext context;
  AgentRelay relay;
};

BOOST_FIXTURE_TEST_SUITE(ClassAdmissionTest, AgentWithFeature)

// Guards against a refusal of an opening that the upstream may have accepted:
// the caller would be told that nothing ran.
BOOST_AUTO_TEST_CASE(DeliveredOpening_LaterCopyUnderOverload_IsNotRefused) {
  Open(1);
  Overload();
  for (const uint32_t copy : {1U, 2U}) {
    BOOST_TEST(ActionsOf<SendOpeningRefused>(Open(1, copy)).empty());
  }
  // Once the upstream has returned it, nothing was delivered.
  FlowPacket returned = OpeningPacket(1, 2);
  returned.is_bounced = true;
  BOOST_TEST(ActionsOf<SendOpeningRefused>(Send(returned)).size() == 1U);
}

// Guards against refusals that no log line explains.
BOOST_AUTO_TEST_CASE(Overload_NewOpening_IsRefusedAtOnceWithReason) {
  Overload();
  const RelayActions actions = Open(1);
  BOOST_TEST(ActionsOf<SendOpeningRefused>(actions).size() == 1U);
  const auto reports = ActionsOf<ReportOpeningDecision>(actions);
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_CHECK(reports[0].decision.reason == AdmissionReason::kOverloaded);
}

// Guards against a changed decision in deployments that don't ask for it.
BOOST_AUTO_TEST_CASE(FeatureOffOrNoObjective_FullQueue_IsLeftToNextCopy) {
  Overload();
  relay.admits_by_class = false;
  BOOST_TEST(IsOnlyDeclined(Open(1)));
  relay.admits_by_class = true;
  context.terms.latency_objective = Millis{0};
  BOOST_TEST(IsOnlyDeclined(Open(1)));
}

// Guards against a burst of openings that is taken whole because none of them
// was answered yet.
BOOST_AUTO_TEST_CASE(UnansweredOpenings_InBurst_CountAsRequests) {
  uint16_t port = 1;
  while (!ActionsOf<DeliverToUpstream>(Open(port)).empty()) {
    ++port;
    BOOST_REQUIRE(port < 100);
  }
  BOOST_TEST(port - 1 <= 16);
}

// Guards against a service time that contains the transfer of an upload.
BOOST_AUTO_TEST_CASE(Request_OfSeveralPackets_IsMeasuredFromItsLast) {
  Open(1);
  AnswerOpening(1);
  uint32_t sequence = 1'001;
  FlowPacket answer = FromUpstream(1);
  answer.data_bytes = 10;
  for (int request = 0; request < 12; ++request) {
    for (int packet = 0; packet < 3; ++packet) {
      now = now + Millis{200};
      Request(1, sequence += 100);
    }
    now = now + Millis{50};
    answer.sequence += answer.data_bytes;
    Send(answer);
  }
  BOOST_TEST(KnownWorkMs(relay.work_time, RequestKind::kSafe) == 50);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
