#include "medlarwinch/coordination/packet_path/opening_gate.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kLimit = 6;

// An agent in the failure domain d1 whose upstream has just started and is cold
// for 2 s, with evacuations on.
struct AgentWithGate {
  AgentWithGate() {
    relay.service = MakeServiceId("probe-hub");
    relay.started = now;
    relay.heartbeat_interval = Millis{1'000};
    relay.gate.requires_evacuations = true;
    relay.gate.failure_domain = "d1";
    // Nothing ran at the upstream's address when the agent started.
    BeginUpstreamCheck(relay, now);
    RelayActions actions;
    HandleConnectionRefused(relay, now, actions);
    heartbeat.id = "i-1";
    heartbeat.slots = 100;
    heartbeat.started_ms = 100;
    SendHeartbeat(Millis{2'000});
    header.balancer = kBalancerAddress;
    header.allowed = {relay.service};
  }

  void SendHeartbeat(Millis cold_remaining) {
    ++heartbeat.sequence;
    heartbeat.cold_remaining = cold_remaining;
    RelayActions actions;
    HandleUpstreamHeartbeat(relay, heartbeat, now, actions);
  }

  bool Poll(const std::set<std::string>& evacuated, uint64_t revision,
            double cold_openings = 0, uint64_t configuration_version = 1) {
    BalancerTerms terms;
    terms.evacuations = MakeEvacuationView(evacuated, {1, revision});
    terms.service.cold_openings_per_second = cold_openings;
    return ApplyBalancerTerms(relay.gate, terms, configuration_version);
  }

  RelayActions Relay(const FlowPacket& packet) {
    RelayActions actions;
    HandleRelayedPacket(relay, header, context, packet, Millis{0}, now,
                        actions);
    return actions;
  }

  bool Delivers(const FlowPacket& packet) {
    return ActionsOf<DeliverToUpstream>(Relay(packet)).size() == 1;
  }

  // Sends an opening every 10 ms for `duration`, which the upstream answers.
  // Returns the number delivered.
  uint32_t OpenFor(Millis duration) {
    uint32_t delivered = 0;
    for (const TimePoint end = now + duration; now < end;
         now = now + Millis{10}) {
      const FlowPacket opening = OpeningPacket(++port);
      if (!Delivers(opening)) continue;
      AnswerOpening(opening);
      ++delivered;
    }
    return delivered;
  }

  RelayActions AnswerOpening(const FlowPacket& opening) {
    FlowPacket response;
    response.source = opening.destination;
    response.destination = opening.source;
    response.is_syn = true;
    response.is_ack = true;
    response.sequence = 5'000;
    RelayActions actions;
    HandleUpstreamPacket(relay, response, now, actions);
    return actions;
  }

  TimePoint now{10'000};
  uint16_t port = 100;
  UpstreamHeartbeat heartbeat;
  RelayHeader header;
  std::optional<OpeningContext> context = OpeningContext{};
  AgentRelay relay;
};

BOOST_FIXTURE_TEST_SUITE(OpeningGateWithUpstream, AgentWithGate)

// Guards against an agent that restarts during an evacuation and admits
// openings before it has heard of it.
BOOST_AUTO_TEST_CASE(RestartedAgent_NoViewYet_LeavesOpeningsToNextCopy) {
  BOOST_TEST(IsOnlyDeclined(Relay(OpeningPacket(1))));
  BOOST_TEST(Poll({}, 1));
  BOOST_TEST(Delivers(OpeningPacket(1)));
}

// Guards against openings that reach an evacuated upstream through a balancer
// that does not know of the evacuation.
BOOST_AUTO_TEST_CASE(EvacuatedDomain_Opening_IsPassedOnOrRefused) {
  Poll({"d1", "d2"}, 5);
  header.alternates = {AgentAddress(3)};
  const std::vector<RelayToAgent> forwarded =
      ActionsOf<RelayToAgent>(Relay(OpeningPacket(1)));
  BOOST_REQUIRE(forwarded.size() == 1);
  BOOST_CHECK(forwarded[0].refusal == RefusalReason::kEvacuated);
  header.alternates.clear();
  BOOST_TEST(ActionsOf<SendOpeningRefused>(Relay(OpeningPacket(2))).size() ==
             1U);
}

// Guards against an evacuation that ends, or an unknown domain, and still keeps
// openings away.
BOOST_AUTO_TEST_CASE(EvacuationEnded_Opening_IsDelivered) {
  Poll({"d1"}, 5);
  BOOST_TEST(!Delivers(OpeningPacket(1)));
  BOOST_TEST(Poll({"nowhere"}, 6));
  BOOST_TEST(Delivers(OpeningPacket(1)));
}

// Guards against an evacuation that breaks flows which are open.
BOOST_AUTO_TEST_CASE(EvacuatedDomain_OpenFlow_ContinuesUntouched) {
  Poll({}, 1);
  const FlowPacket opening = OpeningPacket(1);
  BOOST_REQUIRE(Delivers(opening));
  AnswerOpening(opening);
  FlowPacket request = CallerPacket(1, 5'001);
  request.sequence = 1'001;
  BOOST_TEST(Delivers(request));
  Poll({"d1"}, 2);
  request.sequence = 1'002;
  BOOST_TEST(Delivers(request));
}

// Guards against a copy of an opening that opens a flow at an evacuated
// upstream, and against a reset of the flow that an earlier copy is opening.
BOOST_AUTO_TEST_CASE(EvacuatedDomain_CopyOfAnsweredOpening_IsDropped) {
  Poll({}, 1);
  BOOST_REQUIRE(Delivers(OpeningPacket(1)));
  AnswerOpening(OpeningPacket(1));
  Poll({"d1"}, 2);
  for (const uint32_t copy : {0U, 2U}) {
    BOOST_TEST(AreOnlyDropped(Relay(OpeningPacket(1, copy)),
                              PacketDropReason::kLeftToRetransmission));
  }
}

// Guards against a limit that counts whole seconds: two bursts around the turn
// of a second would together be twice the limit.
BOOST_AUTO_TEST_CASE(ColdUpstream_AnySecond_GetsAtMostItsLimit) {
  Poll({}, 1, kLimit + 0.9);
  BOOST_TEST(OpenFor(Millis{900}) == kLimit);
  now = now + Millis{90};
  BOOST_TEST(ColdOpeningsLeft(relay, now) == 0U);
  BOOST_TEST(OpenFor(Millis{20}) <= 1U);
  SendHeartbeat(Millis{990});
  BOOST_TEST(OpenFor(Millis{900}) <= kLimit);
}

// Guards against an upstream that stays limited once it is warm.
BOOST_AUTO_TEST_CASE(WarmUpstream_Openings_AreNotLimited) {
  Poll({}, 1, kLimit);
  now = now + Millis{1'000};
  SendHeartbeat(Millis{0});
  now = now + Millis{300};
  BOOST_TEST(OpenFor(Millis{300}) == 30U);
}

// Guards against an upstream that is never warmed up.
BOOST_AUTO_TEST_CASE(LimitBelowOne_ColdUpstream_GetsOneOpening) {
  Poll({}, 1, 0.5);
  BOOST_TEST(OpenFor(Millis{500}) == 1U);
}

// Guards against openings that waited while the agent was suspended, and that
// it delivers to a new incarnation before its first heartbeat.
BOOST_AUTO_TEST_CASE(HeartbeatsOverdue_Openings_AreLimitedAsIfCold) {
  Poll({}, 1, kLimit);
  SendHeartbeat(Millis{0});
  now = now + Millis{3'000};
  uint32_t delivered = 0;
  for (uint16_t waiting = 1; waiting <= 50; ++waiting) {
    if (Delivers(OpeningPacket(waiting))) ++delivered;
  }
  BOOST_TEST(delivered <= kLimit);
}

// Guards against too many openings at upstreams that became cold shortly before
// the evacuation of their domain ended, and have not said so yet.
BOOST_AUTO_TEST_CASE(EvacuationEnded_BeforeNextHeartbeat_OpeningsAreLimited) {
  SendHeartbeat(Millis{0});
  now = now + Millis{300};
  Poll({"d1"}, 1, kLimit);
  now = now + Millis{300};
  BOOST_TEST(Poll({}, 2, kLimit));
  BOOST_TEST(OpenFor(Millis{500}) == kLimit);
  now = now + kColdOpeningSpan;
  SendHeartbeat(Millis{2'000});
  BOOST_TEST(OpenFor(Millis{500}) == kLimit);
}

// Guards against upstreams that stay limited after an evacuation although they
// are warm, and against a limit after the evacuation of another domain.
BOOST_AUTO_TEST_CASE(EvacuationEnded_WarmUpstreamsHeartbeat_EndsLimit) {
  SendHeartbeat(Millis{0});
  now = now + Millis{300};
  Poll({"d2"}, 1, kLimit);
  Poll({}, 2, kLimit);
  BOOST_TEST(OpenFor(Millis{300}) == 30U);
  Poll({"d1"}, 3, kLimit);
  Poll({}, 4, kLimit);
  SendHeartbeat(Millis{0});
  now = now + Millis{300};
  BOOST_TEST(OpenFor(Millis{300}) == 30U);
}

// Guards against two processes of the agent that together deliver twice the
// limit within a second.
BOOST_AUTO_TEST_CASE(RestartedAgent_FirstSecond_GetsHalfTheLimit) {
  Poll({}, 1, kLimit);
  relay.flow_history.is_complete = false;
  relay.flow_history.seen_since = now;
  BOOST_TEST(OpenFor(Millis{500}) == kLimit / 2);
}

// Guards against a balancer with an old configuration that lifts a limit.
BOOST_AUTO_TEST_CASE(NewerLimit_OlderConfiguration_IsKept) {
  Poll({}, 1, kLimit, 4);
  Poll({}, 1, 0, 3);
  BOOST_TEST(OpenFor(Millis{500}) == kLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
