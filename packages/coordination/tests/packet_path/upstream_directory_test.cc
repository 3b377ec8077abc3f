#include "medlarwinch/coordination/packet_path/upstream_directory.h"

#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace medlarwinch {
namespace {

BOOST_FIXTURE_TEST_SUITE(UpstreamDirectoryWithAgents, RelayWithAgents)

BOOST_AUTO_TEST_CASE(LateReport_SameProcess_IsIgnored) {
  AgentReport report;
  report.agent_boot = 1;
  report.sequence = 1;
  report.phase = UpstreamPhase::kDraining;
  BOOST_TEST(!ApplyAgentReport(relay.directory, AgentAddress(0), report, now)
                  .is_applied);
  report.agent_boot = 2;
  const ReportEffect effect =
      ApplyAgentReport(relay.directory, AgentAddress(0), report, now);
  BOOST_TEST(effect.is_applied);
  BOOST_TEST(effect.is_new_process);
}

// Guards against traffic to the wrong service when an address is reused: an
// agent's own report takes precedence over an older entry in the store.
BOOST_AUTO_TEST_CASE(ReusedAddress_ReportNamesOtherService_ReportWins) {
  AgentReport report;
  report.agent_boot = 9;
  report.sequence = 1;
  report.phase = UpstreamPhase::kReady;
  report.service = MakeServiceId("report-desk");
  ApplyAgentReport(relay.directory, AgentAddress(0), report, now);
  ApplyEntry(relay.directory,
             DirectoryEntry{AgentAddress(0), service, "catania", {1, 5}}, now);
  BOOST_CHECK(relay.directory.upstreams.at(AgentAddress(0)).report.service ==
              MakeServiceId("report-desk"));
}

// Guards against an agent that left and is in use again: the list that a search
// requests travels on another connection than the changes, and may be older.
BOOST_AUTO_TEST_CASE(RemovedEntry_OlderListArrives_StaysRemoved) {
  std::vector<DirectoryEntry> older_list;
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    older_list.push_back(upstream.entry);
  }
  ApplyRemoval(relay.directory, AgentAddress(0), StoreRevision{1, 5});
  ApplyListing(relay.directory, older_list, StoreRevision{1, 4}, now);
  BOOST_TEST(!relay.directory.upstreams.at(AgentAddress(0)).is_listed);
  BOOST_TEST(relay.directory.upstreams.at(AgentAddress(1)).is_listed);
  ApplyEntry(relay.directory,
             DirectoryEntry{AgentAddress(0), service, "catania", {1, 6}}, now);
  BOOST_TEST(relay.directory.upstreams.at(AgentAddress(0)).is_listed);
}

// Guards against flows that balancers without the entry take for flows without
// an owner: an agent that has left is in use again before its entry is stored.
BOOST_AUTO_TEST_CASE(
    WithdrawnEntry_AgentReportsReady_GetsFlowsOnceListedAgain) {
  const Endpoint agent = AgentAddress(0);
  ApplyRemoval(relay.directory, agent, StoreRevision{1, 5});
  Report(agent, UpstreamPhase::kReady);
  BOOST_TEST(!AcceptsFlows(relay.directory.upstreams.at(agent), now));
  ApplyEntry(relay.directory, DirectoryEntry{agent, service, "catania", {1, 6}},
             now);
  BOOST_TEST(AcceptsFlows(relay.directory.upstreams.at(agent), now));
}

// Guards against the loss of all capacity when a restored store lacks entries
// of agents that are in use.
BOOST_AUTO_TEST_CASE(
    EntryLostByRestoredStore_AgentReportsReady_KeepsGettingFlows) {
  ApplyListing(relay.directory, {}, StoreRevision{2, 3}, now);
  const KnownUpstream& upstream = relay.directory.upstreams.at(AgentAddress(0));
  BOOST_TEST(!upstream.is_listed);
  BOOST_TEST(AcceptsFlows(upstream, now));
}

// Guards against the withdrawal of an agent that has just registered.
BOOST_AUTO_TEST_CASE(NewEntry_OlderListOrRemovalArrives_StaysListed) {
  const Endpoint added = AgentAddress(50);
  std::vector<DirectoryEntry> older_list;
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    older_list.push_back(upstream.entry);
  }
  ApplyEntry(relay.directory, DirectoryEntry{added, service, "catania", {1, 9}},
             now);
  ApplyListing(relay.directory, older_list, StoreRevision{1, 8}, now);
  BOOST_TEST(relay.directory.upstreams.at(added).is_listed);
  // A stale watch reports the removal of the predecessor at this address.
  ApplyRemoval(relay.directory, added, StoreRevision{1, 7});
  BOOST_TEST(relay.directory.upstreams.at(added).is_listed);
  ApplyRemoval(relay.directory, added, StoreRevision{1, 9});
  BOOST_TEST(!relay.directory.upstreams.at(added).is_listed);
}

// Guards against changes that are ignored after the store was restored, because
// they have lower revision numbers than the entries that they replace.
BOOST_AUTO_TEST_CASE(RestoredStore_ListApplied_ReplacesEntriesOfEarlierEra) {
  const Endpoint lost = AgentAddress(50);
  ApplyEntry(relay.directory, DirectoryEntry{lost, service, "catania", {1, 9}},
             now);
  const DirectoryEntry kept{AgentAddress(0), service, "catania", {2, 1}};
  ApplyListing(relay.directory, {kept}, StoreRevision{2, 3}, now);
  BOOST_TEST(relay.directory.upstreams.at(AgentAddress(0)).is_listed);
  BOOST_TEST(!relay.directory.upstreams.at(lost).is_listed);
  ApplyEntry(relay.directory, DirectoryEntry{lost, service, "catania", {2, 4}},
             now);
  BOOST_TEST(relay.directory.upstreams.at(lost).is_listed);
  ApplyRemoval(relay.directory, AgentAddress(0), StoreRevision{2, 5});
  BOOST_TEST(!relay.directory.upstreams.at(AgentAddress(0)).is_listed);
}

// Guards against a list or change that was sent before the store was restored
// and arrives after it.
BOOST_AUTO_TEST_CASE(RestoredStore_EarlierEraArrives_IsIgnored) {
  const DirectoryEntry kept{AgentAddress(0), service, "catania", {2, 1}};
  ApplyListing(relay.directory, {kept}, StoreRevision{2, 3}, now);
  const UpstreamDirectory before = relay.directory;
  ApplyListing(relay.directory, {}, StoreRevision{1, 20}, now);
  ApplyRemoval(relay.directory, AgentAddress(0), StoreRevision{1, 20});
  ApplyEntry(relay.directory,
             DirectoryEntry{AgentAddress(50), service, "catania", {1, 20}},
             now);
  BOOST_CHECK(relay.directory == before);
}

// Guards against departed agents that a restored store lists again: many of
// them would suspend failure detection until they are given up as lost.
BOOST_AUTO_TEST_CASE(RestoredStore_RemovedEntryIsBack_IsGivenUpSoon) {
  const Endpoint departed = AgentAddress(50);
  const DirectoryEntry removed{departed, service, "catania", {1, 9}};
  ApplyEntry(relay.directory, removed, now);
  ApplyRemoval(relay.directory, departed, StoreRevision{1, 10});
  RemoveUnlistedAgents(relay.directory, now + kAgentRestartTimeout);
  DirectoryEntry back = removed;
  back.revision.era = 2;
  ApplyListing(relay.directory, {back}, StoreRevision{2, 9}, now);
  const auto& upstream = relay.directory.upstreams.at(departed);
  BOOST_TEST(upstream.is_listed);
  BOOST_TEST(CountReachableAgents(relay.directory, now).known == kAgents);
  relay.directory.detection_suspended_until = now + kAgentTimeout + Millis{1};
  BOOST_TEST(!MayOwnFlows(relay.directory, upstream, now + kAgentTimeout));
  const TimePoint later = now + kResurrectedAgentTimeout;
  BOOST_TEST(FindLostAgents(relay.directory, later - Millis{1}).empty());
  BOOST_TEST(FindLostAgents(relay.directory, later).size() == 1U);
  Report(departed, UpstreamPhase::kReady);
  BOOST_TEST(FindLostAgents(relay.directory, later).empty());
}

BOOST_AUTO_TEST_CASE(UnreachableAgent_ReportTooOld_AcceptsNoFlows) {
  const KnownUpstream& upstream = relay.directory.upstreams.at(AgentAddress(0));
  BOOST_TEST(AcceptsFlows(upstream, now + kMaxReportAge));
  BOOST_TEST(!AcceptsFlows(upstream, now + kMaxReportAge + Millis{1}));
}

BOOST_AUTO_TEST_CASE(
    UnreachableAgent_MayOwnFlows_UntilTimeoutUnlessRestarting) {
  Report(AgentAddress(1), UpstreamPhase::kAgentRestarting);
  const TimePoint later = now + kAgentTimeout;
  const auto& upstreams = relay.directory.upstreams;
  BOOST_TEST(
      !MayOwnFlows(relay.directory, upstreams.at(AgentAddress(0)), later));
  BOOST_TEST(
      MayOwnFlows(relay.directory, upstreams.at(AgentAddress(1)), later));
  relay.directory.detection_suspended_until = later + Millis{1};
  BOOST_TEST(
      MayOwnFlows(relay.directory, upstreams.at(AgentAddress(0)), later));
}

BOOST_AUTO_TEST_CASE(FewAgentsReachable_Updated_SuspendsDetection) {
  const TimePoint later = now + kMaxReportAge + Millis{1};
  UpdateDetectionSuspension(relay.directory, Millis{0}, now);
  BOOST_CHECK(relay.directory.detection_suspended_until < now);
  UpdateDetectionSuspension(relay.directory, Millis{0}, later);
  BOOST_CHECK(relay.directory.detection_suspended_until ==
              later + kDetectionSuspension);
}

BOOST_AUTO_TEST_CASE(UnlistedAgent_WhileItReports_StaysKnown) {
  ApplyRemoval(relay.directory, AgentAddress(0), StoreRevision{1, 1});
  RemoveUnlistedAgents(relay.directory, now);
  BOOST_TEST(relay.directory.upstreams.count(AgentAddress(0)) == 1U);
  RemoveUnlistedAgents(relay.directory, now + kAgentRestartTimeout);
  BOOST_TEST(relay.directory.upstreams.count(AgentAddress(0)) == 0U);
  BOOST_TEST(relay.directory.upstreams.count(AgentAddress(1)) == 1U);
}

// Guards against entries of lost VMs that every balancer polls forever.
BOOST_AUTO_TEST_CASE(
    ListedAgent_LossTimeoutPassed_IsLostUnlessDetectionSuspended) {
  const TimePoint later = now + kAgentLossTimeout;
  now = later;
  for (uint32_t index = 1; index < kAgents; ++index) {
    Report(AgentAddress(index), UpstreamPhase::kReady);
  }
  BOOST_TEST(FindLostAgents(relay.directory, later - Millis{1}).empty());
  const std::vector<DirectoryEntry> lost =
      FindLostAgents(relay.directory, later);
  BOOST_REQUIRE(lost.size() == 1);
  BOOST_CHECK(lost[0].agent == AgentAddress(0));
  relay.directory.detection_suspended_until = later + Millis{1};
  BOOST_TEST(FindLostAgents(relay.directory, later).empty());
}

// Guards against an entry that is alternately removed and rewritten during a
// partition in which only one side can reach the agent.
BOOST_AUTO_TEST_CASE(UnreachableAgent_EntryWrittenAgain_IsNotLostForAsLong) {
  now = now + kAgentLossTimeout;
  ApplyEntry(relay.directory,
             DirectoryEntry{AgentAddress(0), service, "catania", {1, 9}}, now);
  for (const DirectoryEntry& lost : FindLostAgents(relay.directory, now)) {
    BOOST_CHECK(lost.agent != AgentAddress(0));
  }
  now = now + kAgentLossTimeout;
  BOOST_TEST(FindLostAgents(relay.directory, now).size() == kAgents);
}

// Guards against flows that are reset although their upstream is sound: an
// entry that another writer has overwritten is no withdrawal.
BOOST_AUTO_TEST_CASE(UndecodableEntry_KnownAgent_MayOwnFlowsAndGetsNone) {
  const Endpoint agent = AgentAddress(0);
  const KnownUpstream& upstream = relay.directory.upstreams.at(agent);
  const DirectoryEntry entry = upstream.entry;
  ApplyListing(relay.directory, {}, StoreRevision{1, 8}, now);
  ApplyUndecodableEntry(relay.directory, agent, StoreRevision{1, 7}, now);
  BOOST_TEST(!upstream.is_listed);
  BOOST_TEST(!AcceptsFlows(upstream, now));
  AgentReport report = upstream.report;
  ++report.sequence;
  report.phase = UpstreamPhase::kAbsent;
  ApplyAgentReport(relay.directory, agent, report, now);
  BOOST_TEST(MayOwnFlows(relay.directory, upstream, now));
  report.phase = UpstreamPhase::kReady;
  ++report.sequence;
  ApplyAgentReport(relay.directory, agent, report, now);
  DirectoryEntry written = entry;
  written.revision = StoreRevision{1, 9};
  ApplyEntry(relay.directory, written, now);
  ApplyUndecodableEntry(relay.directory, agent, StoreRevision{1, 7}, now);
  BOOST_TEST(upstream.is_listed);
  BOOST_TEST(AcceptsFlows(upstream, now));
}

// Guards against a balancer that starts while an entry is overwritten and does
// not ask its agent for the owner of a flow.
BOOST_AUTO_TEST_CASE(UndecodableEntry_UnknownAgent_IsAskedUntilSilent) {
  const Endpoint agent{0x0a0900ff, 8'172};
  ApplyUndecodableEntry(relay.directory, agent, StoreRevision{1, 7}, now);
  const KnownUpstream& upstream = relay.directory.upstreams.at(agent);
  BOOST_TEST(!upstream.is_listed);
  BOOST_TEST(MayOwnFlows(relay.directory, upstream, now));
  BOOST_TEST(!MayOwnFlows(relay.directory, upstream, now + kAgentTimeout));
  RemoveUnlistedAgents(relay.directory, now + kAgentRestartTimeout);
  BOOST_TEST(relay.directory.upstreams.count(agent) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
