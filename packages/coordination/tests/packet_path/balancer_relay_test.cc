#include "medlarwinch/coordination/packet_path/balancer_relay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

#include "relay_fixture.h"

namespace medlarwinch {
namespace {

BOOST_FIXTURE_TEST_SUITE(BalancerRelayWithAgents, RelayWithAgents)

BOOST_AUTO_TEST_CASE(KnownRoute_Opening_GoesToOneAgentWithAlternates) {
  const std::vector<RelayToAgent> sent =
      ActionsOf<RelayToAgent>(Send(OpeningPacket(1)));
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_CHECK(sent[0].header.purpose == RelayPurpose::kOpen);
  BOOST_TEST(sent[0].header.alternates.size() == kPlacementChoices - 1);
  BOOST_CHECK(sent[0].header.allowed == std::vector<ServiceId>{service});
}

BOOST_AUTO_TEST_CASE(OpenedFlow_NextPacket_GoesToTheSameAgent) {
  const Endpoint agent = ActionsOf<RelayToAgent>(Send(OpeningPacket(1)))[0].to;
  const std::vector<RelayToAgent> sent =
      ActionsOf<RelayToAgent>(Send(CallerPacket(1, 77)));
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_CHECK(sent[0].to == agent);
  BOOST_CHECK(sent[0].header.purpose == RelayPurpose::kEstablished);
}

// Guards against an opening that is lost with a failed upstream.
BOOST_AUTO_TEST_CASE(UnansweredOpening_Retransmission_GoesToAnotherAgent) {
  const Endpoint first = ActionsOf<RelayToAgent>(Send(OpeningPacket(1)))[0].to;
  const Endpoint second =
      ActionsOf<RelayToAgent>(Send(OpeningPacket(1, 1)))[0].to;
  BOOST_CHECK(first != second);
  // It is not known yet which of the two agents the caller chose.
  BOOST_TEST(!ActionsOf<SendOwnershipQuery>(Send(CallerPacket(1, 77))).empty());
}

// Guards against flows that break when the routers move them to a balancer that
// has not seen them.
BOOST_AUTO_TEST_CASE(UnknownFlow_OwnerReplies_PacketFollowsToOwner) {
  const FlowPacket packet = CallerPacket(1, 77);
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(Send(packet));
  BOOST_REQUIRE(!queried.empty());
  BOOST_TEST(queried[0].query.acknowledged == 77U);
  const std::vector<RelayBufferedPacket> buffered =
      ActionsOf<RelayBufferedPacket>(
          Reply(queried[1].to, packet, FlowOwnership::kOwned));
  BOOST_REQUIRE(buffered.size() == 1);
  BOOST_CHECK(buffered[0].to == queried[1].to);
  BOOST_CHECK(buffered[0].packet == raw);
  BOOST_CHECK(ActionsOf<RelayToAgent>(Send(packet))[0].to == queried[1].to);
}

// Guards against a search that misses the owner: a flow is placed only among
// the agents that are queried in the first round.
BOOST_AUTO_TEST_CASE(
    PlacedFlow_OtherBalancerSearches_QueriesOwnerInFirstRound) {
  for (uint16_t port = 1; port <= 200; ++port) {
    const Endpoint owner =
        ActionsOf<RelayToAgent>(Send(OpeningPacket(port)))[0].to;
    relay.cache.Remove(FlowFromCaller(CallerPacket(port, 0)));
    std::set<Endpoint> queried;
    for (const SendOwnershipQuery& query :
         ActionsOf<SendOwnershipQuery>(Send(CallerPacket(port, 5)))) {
      queried.insert(query.to);
    }
    BOOST_TEST(queried.count(owner) == 1U);
  }
}

// Guards against packets of an open flow that go to many upstreams which do not
// own it: probes go one at a time, after all agents have said what they know.
BOOST_AUTO_TEST_CASE(UnknownFlow_OwnershipUndetermined_IsProbedOneByOne) {
  const FlowPacket packet = CallerPacket(1, 77);
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(Send(packet));
  BOOST_REQUIRE(queried.size() > 2);
  RelayActions actions;
  for (const SendOwnershipQuery& query : queried) {
    BOOST_TEST(ActionsOf<RelayBufferedPacket>(actions).empty());
    actions = Reply(query.to, packet, FlowOwnership::kUndetermined);
  }
  const std::vector<RelayBufferedPacket> first =
      ActionsOf<RelayBufferedPacket>(actions);
  BOOST_REQUIRE(first.size() == 1);
  BOOST_CHECK(first[0].header.purpose == RelayPurpose::kProbe);
  const std::vector<RelayBufferedPacket> second =
      ActionsOf<RelayBufferedPacket>(
          Reply(first[0].to, packet, FlowOwnership::kNotOwned));
  BOOST_REQUIRE(second.size() == 1);
  BOOST_CHECK(second[0].to != first[0].to);
}

// Guards against a search that waits for an agent that does not reply although
// another one could be probed.
BOOST_AUTO_TEST_CASE(UndeterminedAgent_OthersDoNotReply_IsProbedAfterDelay) {
  const FlowPacket packet = CallerPacket(1, 77);
  const Endpoint queried = ActionsOf<SendOwnershipQuery>(Send(packet))[0].to;
  BOOST_TEST(ActionsOf<RelayBufferedPacket>(
                 Reply(queried, packet, FlowOwnership::kUndetermined))
                 .empty());
  now = now + kProbeDelay;
  RelayActions actions;
  HandleBalancerTick(relay, Millis{0}, now, actions);
  BOOST_TEST(ActionsOf<RelayBufferedPacket>(actions).size() == 1U);
}

// Guards against packets that reach several other upstreams while the agent of
// the flow's own upstream restarts and can't reply.
BOOST_AUTO_TEST_CASE(OwnersAgentRestarting_OthersUndetermined_FewAreProbed) {
  Report(AgentAddress(2), UpstreamPhase::kAgentRestarting);
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions = Send(packet);
  std::set<Endpoint> probed;
  const TimePoint end = now + kSearchTimeout;
  while (now < end) {
    RelayActions next;
    const auto append = [&next](const RelayActions& added) {
      next.insert(next.end(), added.begin(), added.end());
    };
    for (const SendOwnershipQuery& query :
         ActionsOf<SendOwnershipQuery>(actions)) {
      if (query.to == AgentAddress(2)) continue;
      append(Reply(query.to, packet, FlowOwnership::kUndetermined));
    }
    for (const RelayBufferedPacket& probe :
         ActionsOf<RelayBufferedPacket>(actions)) {
      probed.insert(probe.to);
      append(Reply(probe.to, packet, FlowOwnership::kNotOwned));
    }
    now = now + Millis{20};
    ReportAll();
    Report(AgentAddress(2), UpstreamPhase::kAgentRestarting);
    HandleBalancerTick(relay, Millis{0}, now, next);
    actions = next;
  }
  BOOST_TEST(!probed.empty());
  BOOST_TEST(probed.size() <= kMaxProbesWhileUnanswered);
}

// Guards against packets that reach several other upstreams because the flow's
// own is slow to answer: an upstream that does not own a flow answers at once.
BOOST_AUTO_TEST_CASE(SlowOwner_OthersUndetermined_FewAreProbed) {
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions = Send(packet);
  std::set<Endpoint> probed;
  std::optional<Endpoint> owner;
  const TimePoint end = now + kSearchTimeout;
  while (now < end) {
    RelayActions next;
    const auto append = [&next](const RelayActions& added) {
      next.insert(next.end(), added.begin(), added.end());
    };
    for (const SendOwnershipQuery& query :
         ActionsOf<SendOwnershipQuery>(actions)) {
      append(Reply(query.to, packet, FlowOwnership::kUndetermined));
    }
    for (const RelayBufferedPacket& probe :
         ActionsOf<RelayBufferedPacket>(actions)) {
      if (!owner.has_value()) owner = probe.to;
      probed.insert(probe.to);
      if (probe.to == *owner) continue;
      append(Reply(probe.to, packet, FlowOwnership::kNotOwned));
    }
    now = now + Millis{20};
    ReportAll();
    HandleBalancerTick(relay, Millis{0}, now, next);
    actions = next;
  }
  BOOST_TEST(probed.size() <= kMaxProbesWhileUnanswered);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
}

// Guards against a flow that stays without an owner because its upstream does
// not answer a bare acknowledgement: it remains when all others have denied.
BOOST_AUTO_TEST_CASE(SilentProbedAgent_AllOthersDeny_IsTheOwner) {
  const FlowPacket packet = CallerPacket(1, 77);
  std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(Send(packet));
  const Endpoint owner = queried[0].to;
  std::vector<Endpoint> denied;
  while (!queried.empty()) {
    RelayActions actions;
    for (const SendOwnershipQuery& query : queried) {
      const bool is_owner = query.to == owner;
      actions = Reply(
          query.to, packet,
          is_owner ? FlowOwnership::kUndetermined : FlowOwnership::kNotOwned);
    }
    queried = ActionsOf<SendOwnershipQuery>(actions);
  }
  RelayActions actions;
  while (relay.searches.size() == 1 && now < TimePoint{11'000}) {
    now = now + kProbeTimeout;
    ReportAll();
    HandleBalancerTick(relay, Millis{0}, now, actions);
    for (const SendOwnershipQuery& query :
         ActionsOf<SendOwnershipQuery>(actions)) {
      if (query.to == owner || Contains(denied, query.to)) continue;
      denied.push_back(query.to);
      Reply(query.to, packet, FlowOwnership::kNotOwned);
    }
  }
  const CachedFlow* cached = relay.cache.Find(FlowFromCaller(packet));
  BOOST_REQUIRE(cached != nullptr);
  BOOST_CHECK(cached->agent == owner);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
}

// Replies to every query of a search with a denial and returns the resets.
std::vector<ResetCaller> DenyAll(RelayWithAgents& test,
                                 const FlowPacket& packet) {
  RelayActions actions = test.Send(packet);
  std::vector<ResetCaller> resets;
  for (int round = 0; round < 10 && resets.empty(); ++round) {
    const std::vector<SendOwnershipQuery> queried =
        ActionsOf<SendOwnershipQuery>(actions);
    if (queried.empty()) break;
    actions.clear();
    for (const SendOwnershipQuery& query : queried) {
      for (const RelayAction& action :
           test.Reply(query.to, packet, FlowOwnership::kNotOwned)) {
        actions.push_back(action);
      }
    }
    resets = ActionsOf<ResetCaller>(actions);
  }
  return resets;
}

// Guards against callers that wait for their deadline on a flow that no
// upstream owns.
BOOST_AUTO_TEST_CASE(UnknownFlow_EveryAgentDenies_IsResetNearAcknowledged) {
  const std::vector<ResetCaller> resets = DenyAll(*this, CallerPacket(1, 77));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_TEST(resets[0].sequence == 77U);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kNoOwner);
}

// Guards against resets whose cause can't be told from the logs afterwards.
BOOST_AUTO_TEST_CASE(FlowWithoutOwner_Reset_NamesWhatIsKnownOfEachAgent) {
  Report(AgentAddress(1), UpstreamPhase::kAbsent);
  now = now + Millis{40};
  const std::vector<ResetCaller> resets = DenyAll(*this, CallerPacket(1, 77));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_REQUIRE(resets[0].evidence.has_value());
  // The agent of the absent upstream was asked and has denied the flow, too.
  BOOST_TEST(resets[0].evidence->denied == kAgents);
  BOOST_TEST(resets[0].evidence->absent == 0U);
  BOOST_TEST(resets[0].evidence->silent == 0U);
  BOOST_CHECK(resets[0].evidence->list_age == Millis{40});
}

// Guards against the reset of a flow at an upstream that only other balancers
// know.
BOOST_AUTO_TEST_CASE(StoreLost_EveryAgentDenies_IsNotReset) {
  relay.directory_requested_at.reset();
  BOOST_TEST(DenyAll(*this, CallerPacket(1, 77)).empty());
  now = now + kSearchTimeout;
  RelayActions actions;
  HandleBalancerTick(relay, Millis{0}, now, actions);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  BOOST_TEST(relay.counters.searches_unresolved == 1U);
}

// Guards against the reset of a flow that an upstream has taken since its agent
// reported it absent.
BOOST_AUTO_TEST_CASE(UpstreamStartedSinceReportOfAbsence_OthersDeny_IsAsked) {
  const Endpoint started = AgentAddress(1);
  Report(started, UpstreamPhase::kAbsent);
  now = now + Millis{100};
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions = Send(packet);
  for (uint32_t index = 0; index < kAgents; ++index) {
    if (AgentAddress(index) == started) continue;
    for (const RelayAction& action :
         Reply(AgentAddress(index), packet, FlowOwnership::kNotOwned)) {
      actions.push_back(action);
    }
  }
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(actions);
  BOOST_TEST(std::any_of(
      queried.begin(), queried.end(),
      [&](const SendOwnershipQuery& query) { return query.to == started; }));
  BOOST_TEST(ActionsOf<RelayBufferedPacket>(
                 Reply(started, packet, FlowOwnership::kOwned))
                 .size() == 1U);
}

// Guards against searches that wait for the agent of an upstream that has left.
BOOST_AUTO_TEST_CASE(AbsentUpstreamWithdrewItsEntry_OthersDeny_IsReset) {
  Report(AgentAddress(1), UpstreamPhase::kAbsent);
  ApplyRemoval(relay.directory, AgentAddress(1), StoreRevision{1, 20});
  now = now + Millis{40};
  const std::vector<ResetCaller> resets = DenyAll(*this, CallerPacket(1, 77));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_TEST(resets[0].evidence->absent == 1U);
  BOOST_CHECK(resets[0].evidence->oldest_absence == Millis{40});
}

// Guards against the same reset when the list of agents is seconds old.
BOOST_AUTO_TEST_CASE(StaleList_RefreshNamesNewAgent_NewAgentIsQueried) {
  now = now + kMaxDirectoryAge + Millis{1};
  const FlowPacket packet = CallerPacket(1, 77);
  BOOST_TEST(DenyAll(*this, packet).empty());
  const Endpoint new_agent = AgentAddress(50);
  ApplyEntry(relay.directory,
             DirectoryEntry{new_agent, service, "catania", {1, 9}}, now);
  RelayActions actions;
  HandleDirectoryRefreshed(relay, now, now, actions);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(actions);
  BOOST_REQUIRE(queried.size() == 1);
  BOOST_CHECK(queried[0].to == new_agent);
  BOOST_TEST(
      ActionsOf<ResetCaller>(Reply(new_agent, packet, FlowOwnership::kNotOwned))
          .size() == 1U);
}

// Guards against flows that are not reset after a power failure. A balancer
// that has just started suspends failure detection, but every agent has
// replied.
BOOST_AUTO_TEST_CASE(DetectionSuspended_EveryAgentDenies_IsReset) {
  relay.directory.detection_suspended_until = now + kDetectionSuspension;
  BOOST_TEST(DenyAll(*this, CallerPacket(1, 77)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(DetectionSuspended_OneAgentUnreachable_IsNotReset) {
  now = now + kAgentTimeout;
  relay.directory_requested_at = now;
  for (uint32_t index = 1; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kReady);
  }
  relay.directory.detection_suspended_until = now + kDetectionSuspension;
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions = Send(packet);
  for (uint32_t index = 1; index < kAgents; ++index) {
    for (const RelayAction& action :
         Reply(AgentAddress(index), packet, FlowOwnership::kNotOwned)) {
      actions.push_back(action);
    }
  }
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
}

// Guards against a reset while one agent restarts and cannot reply.
BOOST_AUTO_TEST_CASE(OneAgentRestarting_OthersDeny_IsNotReset) {
  Report(AgentAddress(2), UpstreamPhase::kAgentRestarting);
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions = Send(packet);
  for (uint32_t index = 0; index < kAgents; ++index) {
    if (index == 2) continue;
    for (const RelayAction& action :
         Reply(AgentAddress(index), packet, FlowOwnership::kNotOwned)) {
      actions.push_back(action);
    }
  }
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
}

// Guards against an overloaded balancer that misses the reports of all agents
// and then resets every flow that it does not know.
BOOST_AUTO_TEST_CASE(LateBalancer_AllAgentsUnreachable_IsNotReset) {
  now = now + Millis{1'900};
  RelayActions actions;
  HandleBalancerTick(relay, Millis{500}, now, actions);
  for (const RelayAction& action : Send(CallerPacket(1, 77))) {
    actions.push_back(action);
  }
  now = now + Millis{100};
  HandleBalancerTick(relay, Millis{0}, now, actions);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  BOOST_TEST(ActionsOf<ResetCaller>(Send(OpeningPacket(2))).empty());
}

BOOST_AUTO_TEST_CASE(ReturnedPacket_CachedAgent_IsSearchedElsewhere) {
  const Endpoint agent = ActionsOf<RelayToAgent>(Send(OpeningPacket(1)))[0].to;
  const FlowPacket packet = CallerPacket(1, 77);
  RelayActions actions;
  HandleOwnershipReply(
      relay,
      OwnershipReply{agent, FlowFromCaller(packet), FlowOwnership::kNotOwned},
      packet, raw, now, actions);
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(actions);
  BOOST_REQUIRE(!queried.empty());
  for (const SendOwnershipQuery& query : queried)
    BOOST_CHECK(query.to != agent);
}

BOOST_AUTO_TEST_CASE(RemovedRoute_OpenFlow_IsReset) {
  Send(OpeningPacket(1));
  RelayConfiguration without_routes;
  without_routes.version = 4;
  ApplyConfiguration(relay.routes, without_routes, StoreRevision{1, 11}, now);
  const std::vector<ResetCaller> resets =
      ActionsOf<ResetCaller>(Send(CallerPacket(1, 77)));
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kRouteDropped);
}

// Guards against the reset of a flow on a route that this balancer does not
// know yet.
BOOST_AUTO_TEST_CASE(UnknownRoute_OpenFlow_IsNotReset) {
  FlowPacket packet = CallerPacket(1, 77);
  packet.destination.port = 9'999;
  BOOST_TEST(AreOnlyDropped(Send(packet), PacketDropReason::kRouteNotKnown));
  packet.is_syn = true;
  BOOST_TEST(ActionsOf<ResetCaller>(Send(packet)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(NoReadyUpstream_Opening_IsResetOnlyWhenAllAreAbsent) {
  for (uint32_t index = 0; index < kAgents; ++index) {
    Report(AgentAddress(index),
           index == 0 ? UpstreamPhase::kUnknown : UpstreamPhase::kDraining);
  }
  BOOST_TEST(
      AreOnlyDropped(Send(OpeningPacket(1)), PacketDropReason::kNoUpstreamYet));
  Report(AgentAddress(0), UpstreamPhase::kAbsent);
  BOOST_TEST(ActionsOf<ResetCaller>(Send(OpeningPacket(1))).size() == 1U);
}

// A caller's opening, of which copies are relayed, declined and refused.
struct BalancerWithOpening : RelayWithAgents {
  void RelayCopy(uint32_t copy) { Send(OpeningPacket(1, copy)); }

  RelayActions Refuse(uint32_t copy, int64_t age) {
    RelayActions actions;
    HandleOpeningRefused(relay, flow, copy, Millis{age}, actions);
    return actions;
  }

  bool IsReset(uint32_t copy, int64_t age) {
    const RelayActions actions = Refuse(copy, age);
    BOOST_TEST(actions.size() == 1U);
    return ActionsOf<ResetCaller>(actions).size() == 1;
  }

  const FlowTuple flow = FlowFromCaller(OpeningPacket(1));
};

// Guards against the reset of an open flow by the refusal of an earlier copy,
// which was held by a suspended agent while a later copy opened the flow.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_LaterCopyPossible_IsDropped,
                        BalancerWithOpening) {
  RelayCopy(0);
  BOOST_TEST(!IsReset(0, 200));
  BOOST_TEST(!IsReset(0, -1));
  BOOST_TEST(IsReset(0, 199));
  for (const uint32_t copy : {0U, 1U, 2U}) {
    RelayCopy(copy);
    if (copy < 2) HandleOpeningDeclined(relay, flow, copy);
  }
  BOOST_TEST(
      AreOnlyDropped(Refuse(2, 800), PacketDropReason::kOutdatedRefusal));
  BOOST_TEST(
      AreOnlyDropped(Refuse(9, 800), PacketDropReason::kOutdatedRefusal));
  BOOST_TEST(IsReset(2, 799));
}

// Guards against the reset of a flow that an earlier copy has opened: its
// response was lost or late, and the agent of the next copy refuses.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_EarlierCopyMayHaveOpened_IsDropped,
                        BalancerWithOpening) {
  RelayCopy(0);
  RelayCopy(1);
  BOOST_TEST(!IsReset(1, 1));
  HandleOpeningDeclined(relay, flow, 0);
  BOOST_TEST(IsReset(1, 1));
}

// Guards against the reset of a flow that a later copy has opened: both copies
// were relayed at once by a balancer that was late.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_LaterCopyRelayed_IsDropped,
                        BalancerWithOpening) {
  RelayCopy(0);
  RelayCopy(1);
  BOOST_TEST(!IsReset(0, 1));
}

// Guards against the reset of a flow that an earlier copy has opened through
// another balancer, before the routers moved the caller here.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_EarlierCopyPassedElsewhere_IsDropped,
                        BalancerWithOpening) {
  RelayCopy(2);
  BOOST_TEST(!IsReset(2, 1));
}

// Guards against the reset of a flow whose opening waited in the kernel while a
// later copy has opened the flow through another balancer.
BOOST_FIXTURE_TEST_CASE(NoUpstream_OpeningReadLate_IsLeftToNextCopy,
                        BalancerWithOpening) {
  for (uint32_t index = 0; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kDraining);
  }
  relay.arrival_delay = Millis{200};
  BOOST_TEST(AreOnlyDropped(Send(OpeningPacket(1)),
                            PacketDropReason::kLeftToRetransmission));
  relay.arrival_delay = Millis{199};
  BOOST_TEST(ActionsOf<ResetCaller>(Send(OpeningPacket(2))).size() == 1U);
}

// Guards against callers that wait for the end of their attempt although the
// balancer itself has dropped the earlier copies.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_EarlierCopyDroppedHere_IsReset,
                        BalancerWithOpening) {
  for (uint32_t index = 0; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kUnknown);
  }
  BOOST_TEST(
      AreOnlyDropped(Send(OpeningPacket(1)), PacketDropReason::kNoUpstreamYet));
  ReportAll();
  RelayCopy(1);
  BOOST_TEST(IsReset(1, 1));
}

// Guards against copies of an earlier opening on the same port that account for
// copies of this one, which passed elsewhere.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_EarlierAttemptOnPort_IsDropped,
                        BalancerWithOpening) {
  RelayCopy(0);
  HandleOpeningDeclined(relay, flow, 0);
  now = now + Millis{1'400};
  ReportAll();
  RelayCopy(1);
  BOOST_TEST(!IsReset(1, 1));
}

// Guards against a refusal that is never final because the first copy was held
// while the balancer dropped the next one.
BOOST_FIXTURE_TEST_CASE(RefusedOpening_FirstCopyWasHeld_IsReset,
                        BalancerWithOpening) {
  RecordUnrelayedCopy(relay, flow, 1, now);
  RelayCopy(0);
  HandleOpeningDeclined(relay, flow, 0);
  RelayCopy(2);
  BOOST_TEST(IsReset(2, 1));
}

// Guards against the same reset by a balancer that knows no ready upstream.
BOOST_FIXTURE_TEST_CASE(NoUpstream_EarlierCopyMayHaveOpened_IsLeftToNextCopy,
                        BalancerWithOpening) {
  RelayCopy(0);
  for (uint32_t index = 0; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kDraining);
  }
  BOOST_TEST(AreOnlyDropped(Send(OpeningPacket(1, 1)),
                            PacketDropReason::kLeftToRetransmission));
  HandleOpeningDeclined(relay, flow, 0);
  BOOST_TEST(ActionsOf<ResetCaller>(Send(OpeningPacket(1, 1))).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
