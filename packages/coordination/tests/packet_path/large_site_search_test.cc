#include <boost/test/unit_test.hpp>
#include <set>

#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

/// A balancer that knows 136 agents of one service and has no flow in its
/// cache, as after a loss of power.
struct LargeSite : RelayWithAgents {
  static constexpr uint32_t kLargeSiteAgents = 136;

  LargeSite() {
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < kLargeSiteAgents; ++index) {
      entries.push_back(
          DirectoryEntry{AgentAddress(index), service, "catania", {1, 1}});
    }
    ApplyListing(relay.directory, entries, StoreRevision{1, 1}, now);
    ReportAll();
  }

  std::vector<SendOwnershipBatchQuery> Flush() {
    RelayActions actions;
    FlushOwnershipQueries(relay, actions);
    return ActionsOf<SendOwnershipBatchQuery>(actions);
  }

  RelayActions Tick() {
    RelayActions actions;
    HandleBalancerTick(relay, Millis{0}, now, actions);
    return actions;
  }

  /// Starts a search for the flow from `port`; the agents of the first round
  /// deny it.
  void DenyFirstRound(uint16_t port) {
    const FlowPacket packet = CallerPacket(port, 77);
    for (const SendOwnershipQuery& query :
         ActionsOf<SendOwnershipQuery>(Send(packet))) {
      Reply(query.to, packet, FlowOwnership::kNotOwned);
    }
  }

  /// Denies every flow of `batches` except at `silent`, and returns the resets.
  std::vector<ResetCaller> DenyBatches(
      const std::vector<SendOwnershipBatchQuery>& batches,
      const Endpoint& silent = {}) {
    std::vector<ResetCaller> resets;
    for (const SendOwnershipBatchQuery& batch : batches) {
      if (batch.to == silent) continue;
      for (const QueriedFlow& queried : batch.query.flows) {
        RelayActions actions;
        HandleOwnershipReply(
            relay,
            OwnershipReply{batch.to, queried.flow, FlowOwnership::kNotOwned},
            {}, {}, now, actions);
        for (const ResetCaller& reset : ActionsOf<ResetCaller>(actions)) {
          resets.push_back(reset);
        }
      }
    }
    return resets;
  }
};

BOOST_FIXTURE_TEST_SUITE(OwnerSearchAtLargeSite, LargeSite)

// Guards against callers that wait for their deadline after a loss of power: a
// search that stops at a part of the agents proves nothing.
BOOST_AUTO_TEST_CASE(UnknownFlow_AllAgentsDeny_IsResetAfterTwoRounds) {
  DenyFirstRound(1);
  const std::vector<SendOwnershipBatchQuery> batches = Flush();
  BOOST_TEST(batches.size() == kLargeSiteAgents - kFirstRoundAgentsPerService);
  const std::vector<ResetCaller> resets = DenyBatches(batches);
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_TEST(resets[0].sequence == 77U);
  BOOST_CHECK(resets[0].reason == FlowResetReason::kNoOwner);
  BOOST_TEST(relay.searches.empty());
}

BOOST_AUTO_TEST_CASE(UnknownFlow_OneAgentSilent_IsNotReset) {
  DenyFirstRound(1);
  BOOST_TEST(DenyBatches(Flush(), AgentAddress(135)).empty());
}

// Guards against a storm of datagrams on slow links: the number of datagrams
// must not grow with flows times agents.
BOOST_AUTO_TEST_CASE(ManyUnknownFlows_LargeRound_OneDatagramPerAgent) {
  for (uint16_t port = 1; port <= kMaxBatchedFlows; ++port) {
    DenyFirstRound(port);
  }
  const std::vector<SendOwnershipBatchQuery> batches = Flush();
  std::set<Endpoint> agents;
  for (const SendOwnershipBatchQuery& batch : batches) {
    agents.insert(batch.to);
    BOOST_TEST(batch.query.flows.size() <= kMaxBatchedFlows);
  }
  BOOST_TEST(batches.size() <= kLargeSiteAgents);
  BOOST_TEST(agents.size() == batches.size());
  BOOST_TEST(DenyBatches(batches).size() == kMaxBatchedFlows);
  BOOST_TEST(Flush().empty());
}

// Guards against a search that ends without a conclusion because one datagram
// was lost.
BOOST_AUTO_TEST_CASE(LostReply_RetryInterval_AgentIsQueriedAgain) {
  const Endpoint silent = AgentAddress(135);
  DenyFirstRound(1);
  DenyBatches(Flush(), silent);
  now = now + kQueryRetryInterval;
  ReportAll();
  relay.directory_requested_at = now;
  const std::vector<SendOwnershipQuery> queried =
      ActionsOf<SendOwnershipQuery>(Tick());
  BOOST_REQUIRE(queried.size() == 1);
  BOOST_CHECK(queried[0].to == silent);
  BOOST_TEST(ActionsOf<ResetCaller>(
                 Reply(silent, CallerPacket(1, 77), FlowOwnership::kNotOwned))
                 .size() == 1U);
}

// Guards against callers that wait for their deadline when an upstream is lost
// together with its agent.
BOOST_AUTO_TEST_CASE(LostAgent_TimeoutPasses_SearchEndsWithReset) {
  const Endpoint silent = AgentAddress(135);
  const TimePoint last_report = now;
  now = now + Millis{100};
  DenyFirstRound(1);
  DenyBatches(Flush(), silent);
  std::vector<ResetCaller> resets;
  while (resets.empty() && now - last_report < Millis{4'000}) {
    now = now + Millis{100};
    for (const auto& [agent, upstream] : relay.directory.upstreams) {
      if (agent != silent) Report(agent, UpstreamPhase::kReady);
    }
    relay.directory_requested_at = now;
    resets = ActionsOf<ResetCaller>(Tick());
  }
  BOOST_REQUIRE(resets.size() == 1);
  BOOST_CHECK(now - last_report >= kAgentTimeout);
  BOOST_CHECK(now - last_report <= kAgentTimeout + Millis{100});
}

// Guards against packets that every undetermined agent gets again and again.
BOOST_AUTO_TEST_CASE(ProbedAgent_OwnsFlow_GetsEachBufferedPacketOnce) {
  const FlowPacket packet = CallerPacket(1, 77);
  const Endpoint owner = ActionsOf<SendOwnershipQuery>(Send(packet))[0].to;
  raw = {4, 5, 6};
  Send(packet);
  now = now + kProbeDelay;
  const std::vector<RelayBufferedPacket> probe = ActionsOf<RelayBufferedPacket>(
      Reply(owner, packet, FlowOwnership::kUndetermined));
  BOOST_REQUIRE(probe.size() == 1);
  BOOST_CHECK(probe[0].packet == std::vector<uint8_t>({1, 2, 3}));
  const std::vector<RelayBufferedPacket> rest = ActionsOf<RelayBufferedPacket>(
      Reply(owner, packet, FlowOwnership::kOwned));
  BOOST_REQUIRE(rest.size() == 1);
  BOOST_CHECK(rest[0].packet == raw);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
