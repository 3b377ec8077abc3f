#include "medlarwinch/coordination/request_path/routing_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/request_path/routing_decision.h"
#include "medlarwinch/coordination/request_path/slow_start.h"

namespace medlarwinch {
namespace {

constexpr Endpoint kHubAddress{0x0a000001, 443};
constexpr Endpoint kDeskAddress{0x0a000002, 443};
constexpr TimePoint kStart{1'000'000};

Endpoint ControlAt(uint32_t index) { return Endpoint{0x7f000101 + index, 71}; }
Endpoint DataAt(uint32_t index) { return Endpoint{0x7f000101 + index, 72}; }
Endpoint UpstreamAt(uint32_t index) { return Endpoint{0x7f000101 + index, 80}; }

struct HubWithThreeUpstreams {
  HubWithThreeUpstreams() {
    hub.service = "probe-hub";
    hub.addresses = {kHubAddress};
    desk.service = "report-desk";
    desk.addresses = {kDeskAddress};
    for (uint32_t index = 0; index < 3; ++index) AddAgent(index, "probe-hub");
    Build(kStart);
  }

  MemberEntry& AddAgent(uint32_t index, const std::string& service) {
    MemberEntry member;
    member.id = ControlAt(index);
    member.version = MemberVersion{10, 0, MemberPhase::kReady};
    member.service = service;
    member.slots = 4;
    member.data = DataAt(index);
    member.upstream = UpstreamAt(index);
    return members[member.id] = member;
  }

  void SetPhase(uint32_t index, MemberPhase phase) {
    members.at(ControlAt(index)).version.phase = phase;
  }

  const std::vector<TableChange>& Build(TimePoint now) {
    const RoutingInput input{
        members, doubtful, ready_since, {{1, &hub}, {2, &desk}}, means};
    update = BuildRoutingTables(input, update.tables, now);
    return update.changes;
  }

  UpstreamWeights WeightsOf(uint32_t index) const {
    for (const TableUpstream& upstream : update.tables.services[0].upstreams) {
      if (upstream.agent == DataAt(index)) return upstream.weights;
    }
    return UpstreamWeights{};
  }

  ServiceDocument hub;
  ServiceDocument desk;
  std::map<Endpoint, MemberEntry> members;
  std::set<Endpoint> doubtful;
  std::map<Endpoint, TimePoint> ready_since;
  std::map<std::string, double> means;
  RoutingUpdate update;
};

BOOST_FIXTURE_TEST_SUITE(RoutingTableOfHub, HubWithThreeUpstreams)

BOOST_AUTO_TEST_CASE(ReadyUpstreams_Built_AcceptNewFlows) {
  BOOST_TEST(update.changes.size() == 3U);
  BOOST_TEST(update.changes[0].action == "accept_upstream");
  BOOST_CHECK((WeightsOf(0) == UpstreamWeights{4, 4, 0}));
  BOOST_TEST(Build(kStart).empty());
}

// Guards against a drain by document that admits new flows or loses established
// ones, and against a table change without a reason.
BOOST_AUTO_TEST_CASE(UpstreamInDrainList_Built_OwnsOnly) {
  hub.drain.upstreams = {UpstreamAt(1)};
  const std::vector<TableChange>& changes = Build(kStart);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].action == "drain_upstream");
  BOOST_TEST(changes[0].reason.path == "drain.upstreams");
  BOOST_TEST(changes[0].reason.document_version == 1U);
  BOOST_CHECK((WeightsOf(1) == UpstreamWeights{0, 4, 4}));
}

// Guards against a previous table that is dropped too early or never.
BOOST_AUTO_TEST_CASE(UpstreamFailed_Built_IsPreviousUntilLifetimeEnds) {
  SetPhase(2, MemberPhase::kFailed);
  Build(kStart);
  BOOST_CHECK((WeightsOf(2) == UpstreamWeights{0, 0, 4}));
  BOOST_CHECK(update.next_change == kStart + kPreviousTableLifetime);
  Build(kStart + kPreviousTableLifetime - Millis{1});
  BOOST_CHECK((WeightsOf(2) == UpstreamWeights{0, 0, 4}));
  Build(kStart + kPreviousTableLifetime);
  BOOST_CHECK(WeightsOf(2) == UpstreamWeights{});
  BOOST_CHECK((WeightsOf(0) == UpstreamWeights{4, 4, 0}));
}

BOOST_AUTO_TEST_CASE(UpstreamLeft_Built_OwnsNothing) {
  SetPhase(2, MemberPhase::kLeft);
  Build(kStart);
  BOOST_CHECK(WeightsOf(2) == UpstreamWeights{});
}

// Guards against withdrawals for health that leave a service without upstreams.
BOOST_AUTO_TEST_CASE(AllUpstreamsFailed_Built_AllAreKept) {
  for (uint32_t index = 0; index < 3; ++index) {
    SetPhase(index, MemberPhase::kFailed);
  }
  const std::vector<TableChange>& changes = Build(kStart);
  BOOST_REQUIRE(changes.size() == 3U);
  BOOST_TEST(changes[0].action == "keep_doubtful_upstream");
  BOOST_TEST(WeightsOf(1).accepting == 4);
  SetPhase(0, MemberPhase::kReady);
  Build(kStart);
  BOOST_TEST(WeightsOf(0).accepting == 4);
  BOOST_TEST(WeightsOf(1).accepting == 0);
}

BOOST_AUTO_TEST_CASE(DoubtfulUpstream_Built_StaysInUse) {
  SetPhase(1, MemberPhase::kFailed);
  doubtful = {ControlAt(1)};
  Build(kStart);
  BOOST_TEST(WeightsOf(1).accepting == 4);
  BOOST_TEST(update.tables.services[0].doubtful.size() == 1U);
}

// Guards against a slow start that replaces the previous table at each step.
BOOST_AUTO_TEST_CASE(ColdUpstream_BuiltAsTimePasses_RisesToFullWeight) {
  AddAgent(3, "probe-hub");
  ready_since[ControlAt(3)] = kStart;
  Build(kStart);
  BOOST_TEST(WeightsOf(3).accepting == 0.8, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(WeightsOf(3).owning == 4);
  double last = 0;
  while (update.next_change.value >= 0 &&
         update.next_change < kStart + Millis{10'001}) {
    Build(update.next_change);
    BOOST_TEST(WeightsOf(3).accepting >= last);
    BOOST_TEST(WeightsOf(3).previous == 0);
    BOOST_TEST(WeightsOf(0).previous == 4);
    last = WeightsOf(3).accepting;
  }
  BOOST_TEST(last == 4);
}

// Guards against packets of one service that reach an agent whose address is
// now used by another service.
BOOST_AUTO_TEST_CASE(AddressReusedByOtherService_Built_LeavesTables) {
  SetPhase(2, MemberPhase::kFailed);
  MemberEntry& reused = AddAgent(9, "report-desk");
  reused.data = DataAt(2);
  Build(kStart);
  BOOST_CHECK(WeightsOf(2) == UpstreamWeights{});
  FlowIdentifier identifier;
  identifier.agent = DataAt(2);
  const RoutingDecision decision =
      DecideRoute(update.tables, 0, identifier, Endpoint{1, 2}, {});
  BOOST_CHECK(decision ==
              RoutingDecision(DropPacket{DropReason::kAgentOfOtherService}));
}

BOOST_AUTO_TEST_CASE(UnknownAgent_IdentifierVerified_IsRoutedTo) {
  FlowIdentifier identifier;
  identifier.agent = DataAt(77);
  const RoutingDecision decision =
      DecideRoute(update.tables, 0, identifier, Endpoint{1, 2}, {});
  BOOST_CHECK(decision == RoutingDecision(RouteToOwner{DataAt(77)}));
}

// Guards against a document that takes over another service's address.
BOOST_AUTO_TEST_CASE(AddressClaimedTwice_Built_StaysWithHolder) {
  desk.addresses.push_back(kHubAddress);
  const std::vector<TableChange>& changes = Build(kStart);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].action == "refuse_contested_address");
  BOOST_TEST(changes[0].service == "report-desk");
  BOOST_TEST(std::get<ServiceIndex>(FindService(update.tables, kHubAddress)) ==
             0U);
  BOOST_TEST(Build(kStart).empty());
  update = RoutingUpdate{};
  Build(kStart);
  BOOST_CHECK(std::get<DropReason>(FindService(update.tables, kHubAddress)) ==
              DropReason::kContestedServiceAddress);
  hub.addresses.clear();
  Build(kStart);
  BOOST_TEST(std::get<ServiceIndex>(FindService(update.tables, kHubAddress)) ==
             1U);
}

BOOST_AUTO_TEST_CASE(NoUpstreamOrUnknownAddress_Decided_IsDropped) {
  BOOST_CHECK(DecideRoute(update.tables, 1, std::nullopt, Endpoint{1, 2}, {}) ==
              RoutingDecision(DropPacket{DropReason::kNoUpstream}));
  BOOST_CHECK(
      std::get<DropReason>(FindService(update.tables, Endpoint{5, 5})) ==
      DropReason::kUnknownServiceAddress);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlowStart)

BOOST_AUTO_TEST_CASE(ElapsedTimes_ShareComputed_RisesFromInitialToOne) {
  const SlowStartPolicy policy;
  BOOST_TEST(SlowStartTableShare(policy, Millis{-5}) == 0.2);
  BOOST_TEST(SlowStartTableShare(policy, Millis{0}) == 0.2);
  BOOST_TEST(SlowStartTableShare(policy, Millis{5'000}) == 0.6);
  BOOST_TEST(SlowStartTableShare(policy, Millis{10'000}) == 1);
  BOOST_TEST(SlowStartTableShare(SlowStartPolicy{Millis{0}, 0}, Millis{0}) ==
             1);
  BOOST_TEST(SlowStartTableShare(SlowStartPolicy{Millis{100}, 0}, Millis{0}) >
             0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
