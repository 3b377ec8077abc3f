#include "medlarwinch/coordination/packet_path/agent_relay.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/packet_path/flow_ownership.h"
#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kUpstreamSequence = 5'000;

struct AgentWithUpstream {
  AgentWithUpstream() {
    relay.service = MakeServiceId("probe-hub");
    relay.started = now;
    relay.flow_tracker.integrated_until = now;
    relay.flow_tracker.averaged_until = now;
    relay.heartbeat_interval = Millis{1'000};
    heartbeat.id = "i-1";
    heartbeat.service = "probe-hub";
    heartbeat.slots = 4;
    heartbeat.sequence = 1;
    heartbeat.started_ms = 100;
    header.balancer = kBalancerAddress;
    header.allowed = {relay.service};
    // Nothing ran at the upstream's address when the agent started.
    BeginUpstreamCheck(relay, now);
    Refuse();
    SendHeartbeat();
  }

  RelayActions Refuse() {
    RelayActions actions;
    HandleConnectionRefused(relay, now, actions);
    return actions;
  }

  // Refuses a connection in a check that begins now.
  RelayActions CheckAndRefuse() {
    BeginUpstreamCheck(relay, now);
    return Refuse();
  }

  // Forgets what the agent knows, as a restart does.
  void RestartAgent() {
    AgentRelay restarted;
    restarted.service = relay.service;
    restarted.started = now;
    restarted.flow_history.seen_since = now;
    restarted.flow_tracker.integrated_until = now;
    restarted.flow_tracker.averaged_until = now;
    restarted.heartbeat_interval = relay.heartbeat_interval;
    restarted.upstream_checked_at = now;
    restarted.upstream_accepted_at = now;
    relay = restarted;
  }

  void NextHeartbeat(Millis delay = Millis{1'000}) {
    now = now + delay;
    ++heartbeat.sequence;
    SendHeartbeat();
  }

  RelayActions SendHeartbeat() {
    RelayActions actions;
    HandleUpstreamHeartbeat(relay, heartbeat, now, actions);
    return actions;
  }

  RelayActions Relay(const FlowPacket& packet,
                     RelayPurpose purpose = RelayPurpose::kEstablished) {
    header.purpose = packet.is_syn ? RelayPurpose::kOpen : purpose;
    RelayActions actions;
    HandleRelayedPacket(relay, header, context, packet, waited, now, actions);
    return actions;
  }

  RelayActions FromUpstream(const FlowPacket& packet) {
    RelayActions actions;
    HandleUpstreamPacket(relay, packet, now, actions);
    return actions;
  }

  void Deregister() {
    BOOST_TEST(
        HandleDeregistration(relay, {heartbeat.id, heartbeat.started_ms}, now));
  }

  void Tick(Millis delay = Millis{0}) { HandleAgentTick(relay, delay, now); }

  // Opens a flow from `port` and sends a request on it.
  void OpenWithRequest(uint16_t port) {
    Relay(OpeningPacket(port));
    FlowPacket response;
    response.source = kServiceAddress;
    response.destination = OpeningPacket(port).source;
    response.is_syn = true;
    response.is_ack = true;
    response.sequence = kUpstreamSequence;
    FromUpstream(response);
    FlowPacket request = CallerPacket(port, kUpstreamSequence + 1);
    request.sequence = 1'001;
    request.data_bytes = 100;
    Relay(request);
  }

  FlowOwnership QueryOwnership(uint16_t port, uint32_t acknowledged) {
    RelayActions actions;
    HandleOwnershipQuery(relay, kBalancerAddress,
                         OwnershipQuery{FlowFromCaller(CallerPacket(port, 0)),
                                        acknowledged,
                                        {relay.service}},
                         now, actions);
    return ActionsOf<SendOwnershipReply>(actions).at(0).ownership;
  }

  TimePoint now{1'000};
  UpstreamHeartbeat heartbeat;
  RelayHeader header;
  std::optional<OpeningContext> context;
  Millis waited{0};
  AgentRelay relay;
};

BOOST_FIXTURE_TEST_SUITE(AgentRelayWithUpstream, AgentWithUpstream)

BOOST_AUTO_TEST_CASE(ReadyUpstream_Opening_IsDelivered) {
  BOOST_TEST(ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(1))).size() ==
             1U);
}

// Guards against pacing of flows that are not uploads.
BOOST_AUTO_TEST_CASE(NarrowBalancer_Acknowledgements_AreHeldOfUploadsOnly) {
  RecordBalancerLink(relay.ack_pacing, kBalancerAddress, 10'000, 4, now);
  for (const RequestKind kind :
       {RequestKind::kUpload, RequestKind::kDownload}) {
    context = OpeningContext{now, 0, RouteTerms{kind}};
    const uint16_t port = static_cast<uint16_t>(kind);
    OpenWithRequest(port);
    FlowPacket answer;
    answer.source = kServiceAddress;
    answer.destination = CallerPacket(port, 0).source;
    answer.is_ack = true;
    answer.acknowledged = 3'400;
    FromUpstream(answer);
    answer.acknowledged = 5'800;
    const bool is_held = !ActionsOf<HoldPacket>(FromUpstream(answer)).empty();
    BOOST_TEST(is_held == (kind == RequestKind::kUpload));
  }
}

// Guards against new flows at an upstream whose drain was acknowledged.
BOOST_AUTO_TEST_CASE(DrainingUpstream_Opening_IsForwardedNeverDelivered) {
  header.alternates = {AgentAddress(3)};
  ++heartbeat.sequence;
  heartbeat.is_draining = true;
  SendHeartbeat();
  const RelayActions actions = Relay(OpeningPacket(1));
  BOOST_TEST(ActionsOf<DeliverToUpstream>(actions).empty());
  BOOST_REQUIRE(ActionsOf<RelayToAgent>(actions).size() == 1);
  BOOST_CHECK(ActionsOf<RelayToAgent>(actions)[0].to == AgentAddress(3));
  // A late heartbeat from before the drain does not revert it.
  heartbeat.is_draining = false;
  ++heartbeat.sequence;
  SendHeartbeat();
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kDraining);
}

// Guards against resets of flows at an upstream that has deregistered but not
// exited yet. When the acknowledgement of its notice is lost, it exits some
// seconds later.
BOOST_AUTO_TEST_CASE(DeregisteredUpstream_OpenFlow_IsResetOnlyOnceItHasExited) {
  OpenWithRequest(1);
  Deregister();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kDraining);
  now = now + kMinUpstreamCheckInterval;
  BOOST_TEST(NeedsUpstreamCheck(relay, now));
  BeginUpstreamCheck(relay, now);
  HandleConnectionAccepted(relay, now);
  now = now + Millis{3'000};
  Tick();
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 1) ==
              FlowOwnership::kOwned);
  BOOST_TEST(NeedsUpstreamCheck(relay, now));
  const std::vector<ResetCaller> resets =
      ActionsOf<ResetCaller>(CheckAndRefuse());
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kUpstreamRestarted);
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kAbsent);
}

// Guards against the denial of a flow by a restarted agent that has not seen
// it, while the upstream still runs.
BOOST_AUTO_TEST_CASE(DeregisteredUpstream_UnseenFlow_IsDeniedOnlyOnceExited) {
  RestartAgent();
  NextHeartbeat();
  Deregister();
  now = now + Millis{3'000};
  Tick();
  BOOST_CHECK(QueryOwnership(1, 999'999) == FlowOwnership::kUndetermined);
  CheckAndRefuse();
  BOOST_CHECK(QueryOwnership(1, 999'999) == FlowOwnership::kNotOwned);
}

// Guards against the loss of all flows of an upstream that has restarted under
// its id, by the late notice of the incarnation before.
BOOST_AUTO_TEST_CASE(LateDeregistration_OfEarlierStart_HasNoEffect) {
  OpenWithRequest(1);
  BOOST_TEST(!HandleDeregistration(relay, {heartbeat.id, 50}, now));
  BOOST_TEST(!HandleDeregistration(relay, {"i-0", 50}, now));
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
  NextHeartbeat();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
}

BOOST_AUTO_TEST_CASE(DeregisteredUpstream_NewIncarnation_IsReadyAtOnce) {
  Deregister();
  heartbeat.id = "i-2";
  heartbeat.started_ms = 200;
  heartbeat.sequence = 1;
  SendHeartbeat();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
  now = now + kDepartureCheckDelay;
  Tick();
  BOOST_TEST(!NeedsUpstreamCheck(relay, now + kMinUpstreamCheckInterval));
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
}

// Guards against the loss of all flows of an upstream that starts in the moment
// in which its agent checks whether one runs.
BOOST_AUTO_TEST_CASE(HeardInMillisecondOfCheck_ConnectionRefused_StaysReady) {
  BeginUpstreamCheck(relay, now);
  NextHeartbeat(Millis{0});
  OpenWithRequest(1);
  BOOST_TEST(Refuse().empty());
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 1) ==
              FlowOwnership::kOwned);
}

// Guards against searches that wait for an agent whose upstream has exited: the
// agent is requested to stop after that.
BOOST_AUTO_TEST_CASE(StoppingAgent_UpstreamAbsent_IsReportedAbsent) {
  Deregister();
  relay.is_stopping = true;
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kAgentRestarting);
  CheckAndRefuse();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kAbsent);
}

// Guards against delivery of one service's traffic to another service. Only a
// balancer that found no owner at the allowed services sends a probe to
// another one, whose upstream returns what it does not own.
BOOST_AUTO_TEST_CASE(OtherService_Packets_AreDeliveredAsProbesOnly) {
  RestartAgent();
  NextHeartbeat();
  header.allowed = {MakeServiceId("report-desk")};
  BOOST_TEST(ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(1))).empty());
  const RelayActions actions = Relay(CallerPacket(1, 1));
  BOOST_TEST(ActionsOf<DeliverToUpstream>(actions).empty());
  const std::vector<SendOwnershipReply> replies =
      ActionsOf<SendOwnershipReply>(actions);
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_CHECK(replies[0].ownership == FlowOwnership::kUndetermined);
  BOOST_TEST(replies[0].returns_packet);
  BOOST_TEST(ActionsOf<DeliverToUpstream>(
                 Relay(CallerPacket(1, 1), RelayPurpose::kProbe))
                 .size() == 1U);
}

// Guards against a balancer that sends packets of a flow on to other upstreams
// although the flow's own has answered its probe: the routers had moved the
// flow and another balancer had probed it, too.
BOOST_AUTO_TEST_CASE(TwoBalancersProbe_UpstreamAnswers_BothAreTold) {
  RestartAgent();
  NextHeartbeat();
  const Endpoint other{kBalancerAddress.ip + 1, kBalancerAddress.port};
  Relay(CallerPacket(1, 7'000), RelayPurpose::kProbe);
  header.balancer = other;
  Relay(CallerPacket(1, 7'000), RelayPurpose::kProbe);
  FlowPacket answer;
  answer.source = kServiceAddress;
  answer.destination = CallerPacket(1, 0).source;
  answer.is_ack = true;
  answer.sequence = 7'000;
  std::vector<SendOwnershipReply> replies =
      ActionsOf<SendOwnershipReply>(FromUpstream(answer));
  BOOST_REQUIRE(replies.size() == 2);
  BOOST_CHECK(replies[0].balancer == kBalancerAddress);
  BOOST_CHECK(replies[1].balancer == other);
  FlowPacket returned = CallerPacket(2, 7'000);
  Relay(returned, RelayPurpose::kProbe);
  header.balancer = kBalancerAddress;
  Relay(returned);
  returned.is_bounced = true;
  replies = ActionsOf<SendOwnershipReply>(FromUpstream(returned));
  BOOST_REQUIRE(replies.size() == 2);
  BOOST_TEST(!replies[0].returns_packet);
  BOOST_TEST(replies[1].returns_packet);
}

// Guards against the denial of a flow that was open before its route moved to
// another service: balancers that have started since name the new service only.
BOOST_AUTO_TEST_CASE(RestartedAgent_QueryForOtherService_IsUndetermined) {
  RestartAgent();
  NextHeartbeat();
  const FlowOwnership ownership = [&] {
    RelayActions actions;
    HandleOwnershipQuery(relay, kBalancerAddress,
                         OwnershipQuery{FlowFromCaller(CallerPacket(1, 0)),
                                        77,
                                        {MakeServiceId("report-desk")}},
                         now, actions);
    return ActionsOf<SendOwnershipReply>(actions).at(0).ownership;
  }();
  BOOST_CHECK(ownership == FlowOwnership::kUndetermined);
}

// Guards against the denial of a flow in the middle of an answer: the upstream
// repeats its oldest packet to a restarted agent, and the caller acknowledges
// later ones, which it got before the restart.
BOOST_AUTO_TEST_CASE(
    RestartedAgent_AcknowledgementAboveSeenPackets_IsDelivered) {
  RestartAgent();
  FlowPacket repeated;
  repeated.source = kServiceAddress;
  repeated.destination = CallerPacket(1, 0).source;
  repeated.sequence = kUpstreamSequence;
  repeated.data_bytes = 1'200;
  FromUpstream(repeated);
  const uint32_t acknowledged = kUpstreamSequence + 16 * 1'200;
  BOOST_CHECK(QueryOwnership(1, acknowledged) == FlowOwnership::kUndetermined);
  BOOST_TEST(ActionsOf<DeliverToUpstream>(Relay(CallerPacket(1, acknowledged)))
                 .size() == 1U);
  repeated.sequence = acknowledged;
  const std::vector<SendOwnershipReply> replies =
      ActionsOf<SendOwnershipReply>(FromUpstream(repeated));
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_CHECK(replies[0].ownership == FlowOwnership::kOwned);
  BOOST_CHECK(QueryOwnership(1, acknowledged) == FlowOwnership::kOwned);
}

// Guards against the denial of all flows of an upstream by an agent that was
// suspended before the first heartbeat after its start.
BOOST_AUTO_TEST_CASE(
    RestartedAgent_SuspendedBeforeFirstHeartbeat_DeniesNothing) {
  heartbeat.sequence = 7;
  RestartAgent();
  now = now + Millis{9'000};
  Tick(Millis{8'900});
  BOOST_TEST(!NeedsUpstreamCheck(relay, now));
  NextHeartbeat(Millis{1});
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
}

// Guards against the loss of all flows of a living upstream when a restarted
// agent first hears a late heartbeat of the incarnation before.
BOOST_AUTO_TEST_CASE(RestartedAgent_LateHeartbeatFirst_FlowsAreKept) {
  RestartAgent();
  UpstreamHeartbeat late = heartbeat;
  late.id = "i-0";
  late.started_ms = 50;
  RelayActions actions;
  HandleUpstreamHeartbeat(relay, late, now, actions);
  FlowPacket response;
  response.source = kServiceAddress;
  response.destination = CallerPacket(1, 0).source;
  response.sequence = kUpstreamSequence;
  response.data_bytes = 100;
  FromUpstream(response);
  heartbeat.sequence = 8;
  BOOST_TEST(ActionsOf<ResetCaller>(SendHeartbeat()).empty());
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 7) ==
              FlowOwnership::kUndetermined);
  BOOST_CHECK(QueryOwnership(2, 77) == FlowOwnership::kUndetermined);
}

// Guards against the denial of flows because of a first heartbeat that was
// delayed until after a restart of the agent.
BOOST_AUTO_TEST_CASE(FirstHeartbeat_NextOneNotConsecutive_ProvesNothing) {
  RestartAgent();
  heartbeat.sequence = 0;
  SendHeartbeat();
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
  heartbeat.sequence = 8;
  NextHeartbeat();
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
  RestartAgent();
  heartbeat.sequence = 0;
  SendHeartbeat();
  NextHeartbeat();
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kNotOwned);
}

// Guards against the denial of flows that were opened through the agent's
// earlier process: an upstream that counts from 0 had sent its first heartbeat
// to that process, and this one hears the numbers 1 and 2.
BOOST_AUTO_TEST_CASE(
    SecondHeartbeatAfterRestart_CountedFromZero_ProvesNothing) {
  for (const int64_t age : {500, 600, 999, 1'200}) {
    RestartAgent();
    heartbeat.sequence = 1;
    heartbeat.age = Millis{age};
    SendHeartbeat();
    BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
    *heartbeat.age = *heartbeat.age + Millis{1'000};
    NextHeartbeat();
    BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
  }
}

// Guards against the reset of flows of a new incarnation whose first heartbeat
// was lost.
BOOST_AUTO_TEST_CASE(NewIncarnation_SecondHeartbeatCountedFromZero_ResetsNone) {
  NextHeartbeat();
  OpenWithRequest(1);
  heartbeat.id = "i-2";
  heartbeat.started_ms = 200;
  heartbeat.sequence = 1;
  heartbeat.age = Millis{1'000};
  BOOST_TEST(ActionsOf<ResetCaller>(SendHeartbeat()).empty());
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 7) ==
              FlowOwnership::kUndetermined);
}

// Guards against searches that wait for the second heartbeat of every upstream
// after a loss of power, and against trust in a first heartbeat that was
// delayed.
BOOST_AUTO_TEST_CASE(FirstHeartbeat_OfRecentStart_ProvesThatNoFlowIsUnseen) {
  for (const auto& [sequence, latest] :
       std::vector<std::pair<uint64_t, int64_t>>{{0, 999}, {1, 499}}) {
    for (const int64_t age : {int64_t{50}, latest, latest + 1, int64_t{-1}}) {
      RestartAgent();
      heartbeat.sequence = sequence;
      heartbeat.age = Millis{age};
      SendHeartbeat();
      const bool is_recent = age == 50 || age == latest;
      BOOST_CHECK(QueryOwnership(1, 77) ==
                  (is_recent ? FlowOwnership::kNotOwned
                             : FlowOwnership::kUndetermined));
    }
  }
}

// Guards against the same wait when the first heartbeat found no listener and
// was repeated at once.
BOOST_AUTO_TEST_CASE(RepeatedFirstHeartbeat_OfRecentStart_IsProofToo) {
  BOOST_TEST(HasJustStarted(2, Millis{499}, Millis{1'000}));
  BOOST_TEST(!HasJustStarted(2, Millis{500}, Millis{1'000}));
  BOOST_TEST(!HasJustStarted(4, Millis{499}, Millis{1'000}));
}

// Guards against an upstream that is never used again because the time of day
// was set back between two of its starts, and against the acknowledgement of a
// drain that has no effect.
BOOST_AUTO_TEST_CASE(EarlierStart_RepeatedWhilePresentIsSilent_ReplacesIt) {
  UpstreamHeartbeat earlier = heartbeat;
  earlier.id = "i-2";
  earlier.started_ms = 40;
  earlier.is_draining = true;
  const auto send = [&] {
    RelayActions actions;
    ++earlier.sequence;
    return HandleUpstreamHeartbeat(relay, earlier, now, actions);
  };
  BOOST_CHECK(send() == HeartbeatEffect::kRefused);
  NextHeartbeat(Millis{600});
  BOOST_CHECK(send() == HeartbeatEffect::kRefused);
  now = now + relay.heartbeat_interval * kReplaceableAfterIntervals;
  BOOST_CHECK(send() == HeartbeatEffect::kNewIncarnation);
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kDraining);
}

// Guards against the reset of an open flow by a late first copy of its opening,
// which a suspended agent has passed on.
BOOST_AUTO_TEST_CASE(LateFirstCopy_FlowOpenedByLaterCopy_IsDropped) {
  OpenWithRequest(1);
  ++heartbeat.sequence;
  heartbeat.is_draining = true;
  SendHeartbeat();
  BOOST_TEST(AreOnlyDropped(Relay(OpeningPacket(1)),
                            PacketDropReason::kOutdatedOpening));
}

// Guards against flows that nobody uses at an upstream, and at those to which
// the opening is passed on: the agent was suspended until after the attempt.
BOOST_AUTO_TEST_CASE(OpeningUnread_UntilAttemptEnds_IsDropped) {
  for (const auto& [copy, end] : std::vector<std::pair<uint32_t, Millis>>{
           {0, Millis{1'400}}, {1, Millis{1'200}}, {2, Millis{800}}}) {
    const uint16_t port = static_cast<uint16_t>(1 + copy);
    waited = end;
    BOOST_TEST(AreOnlyDropped(Relay(OpeningPacket(port, copy)),
                              PacketDropReason::kOutdatedOpening));
    waited = end - Millis{1};
    BOOST_TEST(
        ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(port, copy))).size() ==
        1U);
  }
  BOOST_TEST(relay.counters.outdated_openings == 3U);
}

BOOST_AUTO_TEST_CASE(RestartedAgent_BeforeFirstHeartbeat_DeliversNoOpening) {
  relay.upstream = LocalUpstream{};
  const RelayActions actions = Relay(OpeningPacket(1));
  BOOST_TEST(AreOnlyDropped(actions, PacketDropReason::kLeftToRetransmission));
}

BOOST_AUTO_TEST_CASE(BouncedOpening_WithAlternate_IsForwarded) {
  header.alternates = {AgentAddress(3)};
  Relay(OpeningPacket(1));
  FlowPacket bounced = OpeningPacket(1);
  bounced.is_bounced = true;
  const std::vector<RelayToAgent> sent =
      ActionsOf<RelayToAgent>(FromUpstream(bounced));
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST(sent[0].header.hops == 1);
}

BOOST_AUTO_TEST_CASE(OpenFlow_OwnershipQuery_IsOwnedOnlyForItsOwnSequence) {
  OpenWithRequest(1);
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 1) ==
              FlowOwnership::kOwned);
  // Another upstream accepted the opening too, and the caller chose that one.
  BOOST_CHECK(QueryOwnership(1, 999'999) == FlowOwnership::kNotOwned);
  BOOST_CHECK(QueryOwnership(2, kUpstreamSequence + 1) ==
              FlowOwnership::kNotOwned);
}

// Guards against searches that no agent can settle: after a loss of power the
// upstream of an agent did not return, and the agent announced its own restart
// when its VM was taken away.
BOOST_AUTO_TEST_CASE(UpstreamNeverHeard_StopAndRefusedConnection_IsAbsent) {
  AgentRelay restarted;
  restarted.service = relay.service;
  restarted.started = now;
  restarted.heartbeat_interval = Millis{1'200};
  BeginUpstreamCheck(restarted, now);
  BOOST_TEST(!NeedsUpstreamCheck(restarted, now));
  BeginAgentStop(restarted);
  BOOST_REQUIRE(NeedsUpstreamCheck(restarted, now));
  BeginUpstreamCheck(restarted, now);
  BOOST_TEST(!NeedsUpstreamCheck(restarted, now));
  RelayActions actions;
  BOOST_TEST(HandleConnectionRefused(restarted, now, actions));
  BOOST_CHECK(ReportedPhase(restarted, now) == UpstreamPhase::kAbsent);
  BOOST_TEST(KnowsAllFlows(restarted.flow_history, now));
}

// Guards against callers that are rejected because upstreams start later than
// their agents after a loss of power, and against searches that wait for them.
BOOST_AUTO_TEST_CASE(StartingAgent_ConnectionRefused_OwnsNothingAndMayStart) {
  RestartAgent();
  CheckAndRefuse();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kUnknown);
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kNotOwned);
}

BOOST_AUTO_TEST_CASE(FirstHeartbeatOverdue_Upstream_IsChecked) {
  AgentRelay restarted;
  restarted.started = now;
  restarted.heartbeat_interval = Millis{1'200};
  BOOST_TEST(NeedsUpstreamCheck(restarted, now));
  BeginUpstreamCheck(restarted, now);
  BOOST_TEST(!NeedsUpstreamCheck(restarted, now + Millis{1'799}));
  BOOST_TEST(NeedsUpstreamCheck(restarted, now + Millis{1'800}));
}

// Guards against callers that wait seconds for the missed heartbeats of an
// upstream that has crashed.
BOOST_AUTO_TEST_CASE(CrashedUpstream_ConnectionRefused_FlowsAreResetAtOnce) {
  OpenWithRequest(1);
  now = now + Millis{100};
  Relay(OpeningPacket(2));
  now = now + kMinUpstreamCheckInterval - Millis{100};
  BOOST_REQUIRE(NeedsUpstreamCheck(relay, now));
  const RelayActions actions = CheckAndRefuse();
  const std::vector<ResetCaller> resets = ActionsOf<ResetCaller>(actions);
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kUpstreamRestarted);
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 1) ==
              FlowOwnership::kNotOwned);
}

// Guards against the loss of an upstream that only restarted its listener.
BOOST_AUTO_TEST_CASE(HeardSinceCheckBegan_ConnectionRefused_IsIgnored) {
  relay.is_stopping = true;
  BeginUpstreamCheck(relay, now);
  now = now + Millis{1};
  ++heartbeat.sequence;
  SendHeartbeat();
  RelayActions actions;
  BOOST_TEST(!HandleConnectionRefused(relay, now, actions));
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kReady);
}

// Guards against an upstream that stays unused for good after it was silent:
// its flows are not known any more, but it accepts new ones.
BOOST_AUTO_TEST_CASE(AbsentUpstream_NewerHeartbeatOfSameStart_IsReadyAgain) {
  OpenWithRequest(1);
  BeginUpstreamCheck(relay, now);
  RelayActions actions;
  BOOST_REQUIRE(HandleConnectionRefused(relay, now, actions));
  SendHeartbeat();
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kAbsent);
  ++heartbeat.sequence;
  SendHeartbeat();
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kReady);
  BOOST_CHECK(QueryOwnership(1, kUpstreamSequence + 1) ==
              FlowOwnership::kUndetermined);
}

// Guards against a batch that claims or denies another flow than it names.
BOOST_AUTO_TEST_CASE(OwnedAndUnknownFlow_BatchQuery_EachIsAnswered) {
  OpenWithRequest(1);
  const FlowTuple owned = FlowFromCaller(CallerPacket(1, 0));
  const FlowTuple unknown = FlowFromCaller(CallerPacket(2, 0));
  RelayActions actions;
  HandleOwnershipBatchQuery(
      relay, kBalancerAddress,
      OwnershipBatchQuery{{relay.service},
                          {{owned, kUpstreamSequence + 1},
                           {owned, kUpstreamSequence + 9'000},
                           {unknown, 7}}},
      now, actions);
  const std::vector<SendOwnershipBatchReply> replies =
      ActionsOf<SendOwnershipBatchReply>(actions);
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_CHECK(replies[0].balancer == kBalancerAddress);
  const std::vector<ReportedOwnership> expected = {
      {owned, FlowOwnership::kOwned},
      {owned, FlowOwnership::kNotOwned},
      {unknown, FlowOwnership::kNotOwned}};
  BOOST_CHECK(replies[0].flows == expected);
}

BOOST_AUTO_TEST_CASE(
    RestartedAgent_OwnershipQuery_IsUndeterminedUntilPacketReturned) {
  RestartAgent();
  NextHeartbeat();
  BOOST_CHECK(QueryOwnership(1, 77) == FlowOwnership::kUndetermined);
  const FlowPacket packet = CallerPacket(1, 77);
  BOOST_TEST(ActionsOf<DeliverToUpstream>(Relay(packet, RelayPurpose::kProbe))
                 .size() == 1U);
  FlowPacket bounced = packet;
  bounced.is_bounced = true;
  const std::vector<SendOwnershipReply> replies =
      ActionsOf<SendOwnershipReply>(FromUpstream(bounced));
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_CHECK(replies[0].ownership == FlowOwnership::kNotOwned);
}

// Guards against the reset of a flow that is open at another upstream: an
// upstream that has just started responds to a probe with a reset.
BOOST_AUTO_TEST_CASE(ProbedFlow_UpstreamResets_IsDeniedAndCallerGetsNothing) {
  RestartAgent();
  Relay(CallerPacket(1, 77), RelayPurpose::kProbe);
  FlowPacket reset;
  reset.source = kServiceAddress;
  reset.destination = CallerPacket(1, 77).source;
  reset.is_reset = true;
  const RelayActions actions = FromUpstream(reset);
  BOOST_TEST(ActionsOf<DeliverToCaller>(actions).empty());
  BOOST_REQUIRE(ActionsOf<SendOwnershipReply>(actions).size() == 1);
  BOOST_CHECK(ActionsOf<SendOwnershipReply>(actions)[0].ownership ==
              FlowOwnership::kNotOwned);
}

// Guards against searches that never end because an agent started after its
// upstream had exited for good, and against a denial because of silence: an
// upstream need not answer a bare acknowledgement.
BOOST_AUTO_TEST_CASE(UpstreamWithoutContact_Probe_IsDeniedOnceRefused) {
  RestartAgent();
  Relay(CallerPacket(1, 77), RelayPurpose::kProbe);
  now = now + Millis{400};
  Tick();
  BOOST_TEST(relay.probes.size() == 1U);
  BOOST_TEST(ActionsOf<SendOwnershipReply>(CheckAndRefuse()).size() == 1U);
  BOOST_CHECK(QueryOwnership(2, 77) == FlowOwnership::kNotOwned);
}

// Guards against callers that wait for their deadline after an upstream has
// crashed.
BOOST_AUTO_TEST_CASE(NewIncarnation_OpenFlows_AreReset) {
  NextHeartbeat();
  OpenWithRequest(1);
  heartbeat.id = "i-2";
  heartbeat.started_ms = 200;
  heartbeat.sequence = 1;
  const std::vector<ResetCaller> resets =
      ActionsOf<ResetCaller>(SendHeartbeat());
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kUpstreamRestarted);
  BOOST_TEST(resets[0].sequence - kUpstreamSequence <= kSequenceWindow);
}

BOOST_AUTO_TEST_CASE(LateHeartbeatOfEarlierIncarnation_IsIgnored) {
  UpstreamHeartbeat late = heartbeat;
  late.id = "i-0";
  late.started_ms = 50;
  late.is_draining = true;
  RelayActions actions;
  BOOST_CHECK(HandleUpstreamHeartbeat(relay, late, now, actions) ==
              HeartbeatEffect::kRefused);
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kReady);
}

BOOST_AUTO_TEST_CASE(UnansweredOpening_Reported_AsNotReadyUntilNextContact) {
  Relay(OpeningPacket(1));
  now = now + kOpeningResponseTimeout;
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kUnknown);
  ++heartbeat.sequence;
  SendHeartbeat();
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kReady);
}

// Guards against flows that wait for a dark upstream, and against resets while
// the upstream still accepts connections or the agent itself was suspended.
BOOST_AUTO_TEST_CASE(SilentUpstream_FlowsAreResetOnlyIfConnectionTimesOut) {
  const auto time_out = [&] {
    BeginUpstreamCheck(relay, now);
    RelayActions actions;
    HandleConnectionTimeout(relay, now, actions);
    return actions;
  };
  OpenWithRequest(1);
  now = now + Millis{500};
  BOOST_TEST(time_out().empty());
  now = now + relay.heartbeat_interval * kMaxMissedHeartbeats + Millis{1'000};
  BOOST_CHECK(ReportedPhase(relay, now) == UpstreamPhase::kUnknown);
  BOOST_TEST(NeedsUpstreamCheck(relay, now));
  Tick(kMaxAgentTickDelay);
  BOOST_TEST(time_out().empty());
  now = now + relay.heartbeat_interval * kMaxMissedHeartbeats + Millis{1'000};
  Tick();
  BOOST_TEST(ActionsOf<ResetCaller>(time_out()).size() == 1U);
  BOOST_CHECK(relay.upstream.phase == UpstreamPhase::kAbsent);
}

// Many callers open flows at once, as after a power failure. An opening is
// forwarded while the agent has no idle slot, and then left to the caller's
// retransmission instead of using up one of the caller's attempts.
BOOST_AUTO_TEST_CASE(
    BusyUpstream_Openings_AreForwardedThenLeftToRetransmission) {
  header.alternates = {AgentAddress(3)};
  for (uint16_t port = 1; port <= 4; ++port) OpenWithRequest(port);
  BOOST_TEST(CommittedRequests(relay.flow_tracker, now) == 4U);
  BOOST_TEST(ActionsOf<RelayToAgent>(Relay(OpeningPacket(5))).size() == 1U);
  // As the last candidate it accepts what its queue has room for.
  header.alternates.clear();
  uint16_t port = 5;
  while (!ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(port))).empty()) {
    OpenWithRequest(port++);
    BOOST_REQUIRE(port < 100);
  }
  BOOST_TEST(port > 10);
  for (uint32_t retransmissions = 0; retransmissions < 2; ++retransmissions) {
    BOOST_TEST(AreOnlyDropped(Relay(OpeningPacket(200, retransmissions)),
                              PacketDropReason::kLeftToRetransmission));
  }
  // Without a context nothing tells whether an earlier copy was taken.
  BOOST_TEST(AreOnlyDropped(Relay(OpeningPacket(200, 2)),
                            PacketDropReason::kLeftToRetransmission));
  context = OpeningContext{now, 2, {}};
  BOOST_TEST(
      ActionsOf<SendOpeningRefused>(Relay(OpeningPacket(200, 2))).size() == 1U);
}

// Guards against responses that miss the callers' latency objective while other
// requests could still meet it: a request behind more than two rounds of queued
// work waits longer than until the caller's next retransmission.
BOOST_AUTO_TEST_CASE(BusyUpstream_LastCandidate_QueuesTwoRoundsOfWork) {
  for (const uint32_t slots : {2U, 3U, 4U, 6U}) {
    AgentWithUpstream agent;
    agent.relay.upstream.slots = slots;
    uint16_t port = 1;
    while (!ActionsOf<DeliverToUpstream>(agent.Relay(OpeningPacket(port)))
                .empty()) {
      agent.OpenWithRequest(port++);
      BOOST_REQUIRE(port < 100);
    }
    BOOST_TEST(port - 1U == 3 * slots);
  }
}

// Guards against flows that balancers without the entry take for flows without
// an owner: the upstream is back, and the agent's entry is not stored yet.
BOOST_AUTO_TEST_CASE(RemovedEntry_Opening_IsLeftToAnotherAgent) {
  relay.is_entry_removed = true;
  header.alternates = {AgentAddress(3)};
  const RelayActions actions = Relay(OpeningPacket(1));
  BOOST_TEST(ActionsOf<DeliverToUpstream>(actions).empty());
  BOOST_TEST(ActionsOf<RelayToAgent>(actions).size() == 1U);
  relay.is_entry_removed = false;
  BOOST_TEST(ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(1))).size() ==
             1U);
}

// Guards against a reset by an agent, which does not know how old an opening
// is: a later copy may have opened the flow elsewhere.
BOOST_AUTO_TEST_CASE(RefusedOpening_WithContext_IsReportedToItsBalancer) {
  context = OpeningContext{TimePoint{77}, 0, {}};
  ++heartbeat.sequence;
  heartbeat.is_draining = true;
  SendHeartbeat();
  const RelayActions actions = Relay(OpeningPacket(1));
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  const std::vector<SendOpeningRefused> refusals =
      ActionsOf<SendOpeningRefused>(actions);
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_CHECK(refusals[0].balancer == kBalancerAddress);
  BOOST_CHECK(refusals[0].context == *context);
}

// Guards against a last copy whose refusal is never final, because the balancer
// does not know that no upstream took the earlier ones.
BOOST_AUTO_TEST_CASE(CopyLeftToNext_WithContext_IsReportedToItsBalancer) {
  uint16_t port = 1;
  while (!ActionsOf<DeliverToUpstream>(Relay(OpeningPacket(port))).empty()) {
    OpenWithRequest(port++);
    BOOST_REQUIRE(port < 100);
  }
  context = OpeningContext{TimePoint{77}, 1, {}};
  const RelayActions actions = Relay(OpeningPacket(200, 1));
  BOOST_TEST(IsOnlyDeclined(actions));
  const std::vector<SendOpeningDeclined> notices =
      ActionsOf<SendOpeningDeclined>(actions);
  BOOST_REQUIRE(notices.size() == 1);
  BOOST_CHECK(notices[0].balancer == kBalancerAddress);
  BOOST_TEST(notices[0].copy == 1U);
}

BOOST_AUTO_TEST_CASE(AnsweredRequest_Outstanding_ReturnsToZero) {
  OpenWithRequest(1);
  BOOST_TEST(relay.flow_tracker.outstanding == 1U);
  FlowPacket response;
  response.source = kServiceAddress;
  response.destination = CallerPacket(1, 0).source;
  response.sequence = kUpstreamSequence + 1;
  response.data_bytes = 200;
  now = now + Millis{30};
  const UpstreamPacketEffect effect = [&] {
    RelayActions actions;
    return HandleUpstreamPacket(relay, response, now, actions);
  }();
  BOOST_TEST(effect.starts_response);
  BOOST_TEST(effect.response_time.value == 30);
  BOOST_TEST(relay.flow_tracker.outstanding == 0U);
  // A retransmission does not count as a new request.
  FlowPacket again = CallerPacket(1, kUpstreamSequence + 1);
  again.sequence = 1'001;
  again.data_bytes = 100;
  Relay(again);
  BOOST_TEST(relay.flow_tracker.outstanding == 0U);
}

// Guards against a new flow that is taken for ended because an earlier flow
// with the same addresses and ports had ended.
BOOST_AUTO_TEST_CASE(EndedFlow_PortUsedAgain_NewFlowIsOpen) {
  OpenWithRequest(1);
  FlowPacket reset = CallerPacket(1, kUpstreamSequence + 1);
  reset.is_reset = true;
  Relay(reset);
  BOOST_TEST(relay.flow_tracker.open == 0U);
  OpenWithRequest(1);
  BOOST_TEST(relay.flow_tracker.open == 1U);
  BOOST_TEST(relay.flow_tracker.outstanding == 1U);
}

BOOST_AUTO_TEST_CASE(HalfOpenFlow_NeverCompleted_IsRemoved) {
  Relay(OpeningPacket(1));
  FlowPacket response;
  response.source = kServiceAddress;
  response.destination = OpeningPacket(1).source;
  response.is_syn = true;
  FromUpstream(response);
  BOOST_TEST(relay.flow_tracker.open == 0U);
  now = now + kHalfOpenTimeout;
  Tick();
  BOOST_TEST(relay.flow_tracker.flows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
