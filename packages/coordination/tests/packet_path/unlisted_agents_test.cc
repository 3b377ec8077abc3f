#include "medlarwinch/coordination/packet_path/unlisted_agents.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

const Endpoint kUnlisted = AgentAddress(50);

struct RestartedBalancer : RelayWithAgents {
  // Applies the first list of an era, as a balancer does that has just started.
  void ListInEra(uint64_t era) {
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < kAgents; ++index) {
      entries.push_back(
          DirectoryEntry{AgentAddress(index), service, "catania", {era, 1}});
    }
    relay.directory = UpstreamDirectory{};
    ApplyListing(relay.directory, entries, StoreRevision{era, 1}, now);
    ReportAll();
    relay.directory_requested_at = now;
  }

  void PollAll(uint32_t rounds) {
    for (uint32_t round = 0; round < rounds; ++round) {
      RecordPollRound(relay.directory);
    }
  }

  // Lets every known agent deny the flow; returns the number of resets.
  size_t DenyAll(const FlowPacket& packet) {
    RelayActions actions = Send(packet);
    for (uint32_t index = 0; index < kAgents; ++index) {
      for (const RelayAction& action :
           Reply(AgentAddress(index), packet, FlowOwnership::kNotOwned)) {
        actions.push_back(action);
      }
    }
    return ActionsOf<ResetCaller>(actions).size();
  }
};

BOOST_FIXTURE_TEST_SUITE(UnlistedAgents, RestartedBalancer)

// Guards against the reset of an open flow whose agent a restored store does
// not list any more (platform_soak, seed 1053).
BOOST_AUTO_TEST_CASE(FirstListOfEra_ListedAgentsDeny_FlowIsNotReset) {
  ListInEra(2);
  PollAll(kPollsToProveList - 1);
  BOOST_TEST(DenyAll(CallerPacket(1, 77)) == 0U);
  now = now + kSearchTimeout;
  RelayActions actions;
  HandleBalancerTick(relay, Millis{0}, now, actions);
  BOOST_TEST(ActionsOf<ResetCaller>(actions).empty());
  BOOST_TEST(relay.counters.searches_unresolved == 1U);
}

// Guards against callers that wait for their deadline on a flow without an
// owner for as long as the era lasts.
BOOST_AUTO_TEST_CASE(ListPolledOftenEnough_ListedAgentsDeny_FlowIsReset) {
  ListInEra(2);
  PollAll(kPollsToProveList);
  BOOST_TEST(DenyAll(CallerPacket(1, 77)) == 1U);
}

// Guards against later resets on platforms whose store is never restored.
BOOST_AUTO_TEST_CASE(StoreWithoutEra_ListedAgentsDeny_FlowIsResetAtOnce) {
  ListInEra(0);
  BOOST_TEST(DenyAll(CallerPacket(1, 77)) == 1U);
  AddNamedAgents(relay.directory, std::span(&kUnlisted, 1), now);
  BOOST_TEST(relay.directory.upstreams.size() == kAgents);
}

// Guards against packets of an open flow that are dropped for as long as the
// store does not list the owner.
BOOST_AUTO_TEST_CASE(NamedAgent_OwnsFlow_GetsPacketsButNoNewFlows) {
  ListInEra(2);
  const FlowPacket packet = CallerPacket(1, 77);
  BOOST_TEST(DenyAll(packet) == 0U);
  AddNamedAgents(relay.directory, std::span(&kUnlisted, 1), now);
  relay.directory.upstreams.at(kUnlisted).report.service = service;
  Report(kUnlisted, UpstreamPhase::kReady);
  RelayActions actions;
  HandleBalancerTick(relay, Millis{0}, now, actions);
  const auto queried = ActionsOf<SendOwnershipQuery>(actions);
  BOOST_REQUIRE(queried.size() == 1);
  BOOST_CHECK(queried[0].to == kUnlisted);
  BOOST_TEST(ActionsOf<RelayBufferedPacket>(
                 Reply(kUnlisted, packet, FlowOwnership::kOwned))
                 .size() == 1U);
  KnownUpstream& upstream = relay.directory.upstreams.at(kUnlisted);
  BOOST_TEST(!AcceptsFlows(upstream, now));
  ApplyEntry(relay.directory,
             DirectoryEntry{kUnlisted, service, "catania", {2, 9}}, now);
  BOOST_TEST(AcceptsFlows(upstream, now));
}

// Guards against the reset of an opening of which another balancer has placed
// an earlier copy at an agent that the store does not list.
BOOST_AUTO_TEST_CASE(AllAgentsUnlisted_Opening_IsDroppedUntilListIsProven) {
  relay.directory = UpstreamDirectory{};
  ApplyListing(relay.directory, {}, StoreRevision{2, 1}, now);
  BOOST_TEST(
      AreOnlyDropped(Send(OpeningPacket(1)), PacketDropReason::kNoUpstreamYet));
  PollAll(kPollsToProveList);
  BOOST_TEST(ActionsOf<ResetCaller>(Send(OpeningPacket(2))).size() == 1U);
}

// Guards against a name that is passed around after the agent is lost.
BOOST_AUTO_TEST_CASE(UnlistedAgent_NamedOnlyWhileItReports) {
  ListInEra(2);
  ApplyRemoval(relay.directory, AgentAddress(0), StoreRevision{2, 5});
  AddNamedAgents(relay.directory, std::span(&kUnlisted, 1), now);
  const std::vector<Endpoint> unlisted =
      UnlistedAgentsInUse(relay.directory, now);
  BOOST_REQUIRE(unlisted.size() == 1);
  BOOST_CHECK(unlisted[0] == AgentAddress(0));
  BOOST_TEST(
      UnlistedAgentsInUse(relay.directory, now + kMaxReportAge + Millis{1})
          .empty());
  NamedAgents named;
  RecordNamedAgents(named, unlisted, now);
  BOOST_TEST(TakeCurrentlyNamed(named, now + kNamedAgentExpiry).size() == 1U);
  BOOST_TEST(
      TakeCurrentlyNamed(named, now + kNamedAgentExpiry + Millis{1}).empty());
}

// Guards against a proof from a message that could not hold all names.
BOOST_AUTO_TEST_CASE(FullMessageOfNames_Received_ListIsNotProven) {
  ListInEra(2);
  PollAll(kPollsToProveList);
  std::vector<Endpoint> agents;
  for (uint32_t index = 0; index < kMaxNamedAgents; ++index) {
    agents.push_back(AgentAddress(100 + index));
  }
  BOOST_TEST(IsListProven(relay.directory));
  AddNamedAgents(relay.directory, agents, now);
  BOOST_TEST(!IsListProven(relay.directory));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
