#include "medlarwinch/coordination/packet_path/relay_routes.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct TableWithSplit {
  TableWithSplit() {
    RelayConfiguration configuration;
    configuration.version = 1;
    configuration.routes[address] =
        RelayRoute{"r", {RouteTarget{hub, 90}, RouteTarget{desk, 10}}};
    ApplyConfiguration(table, configuration, StoreRevision{1, 5}, now);
  }

  static RelayConfiguration VersionWithoutRoutes(uint64_t version) {
    RelayConfiguration configuration;
    configuration.version = version;
    return configuration;
  }

  TimePoint now{1'000};
  const Endpoint address{1, 443};
  const ServiceId hub = MakeServiceId("probe-hub");
  const ServiceId desk = MakeServiceId("report-desk");
  RouteTable table;
};

BOOST_FIXTURE_TEST_SUITE(RouteTableWithSplit, TableWithSplit)

// Guards against a configuration that is reverted when replies arrive out of
// order, or when the store is restored from an older copy.
BOOST_AUTO_TEST_CASE(OlderVersion_Applied_IsRefused) {
  for (const StoreRevision& revision :
       {StoreRevision{1, 4}, StoreRevision{1, 5}, StoreRevision{1, 6},
        StoreRevision{2, 4}, StoreRevision{2, 6}}) {
    BOOST_TEST(
        !ApplyConfiguration(table, VersionWithoutRoutes(1), revision, now));
    BOOST_TEST(
        !ApplyConfiguration(table, VersionWithoutRoutes(0), revision, now));
    BOOST_TEST(FindRoute(table, address) != nullptr);
  }
}

// Guards against a confirmed change that is not applied: a restored store gives
// it a revision number that this process has already seen.
BOOST_AUTO_TEST_CASE(NewerVersion_RevisionSeenBefore_IsApplied) {
  BOOST_TEST(ApplyConfiguration(table, VersionWithoutRoutes(2),
                                StoreRevision{2, 5}, now));
  BOOST_TEST(ApplyConfiguration(table, VersionWithoutRoutes(3),
                                StoreRevision{3, 2}, now));
  BOOST_TEST(table.configuration.version == 3U);
}

// Guards against the loss of open flows when their service is removed from a
// traffic split.
BOOST_AUTO_TEST_CASE(ServiceLeavesSplit_OwnerServices_StillIncludeIt) {
  RelayConfiguration configuration = VersionWithoutRoutes(2);
  configuration.routes[address] = RelayRoute{"r", {RouteTarget{hub, 1}}};
  BOOST_TEST(
      ApplyConfiguration(table, configuration, StoreRevision{1, 6}, now));
  const RelayRoute& route = *FindRoute(table, address);
  BOOST_CHECK((route.owner_services == std::vector<ServiceId>{hub, desk}));
  BOOST_TEST(route.accepting_count == 1U);
}

BOOST_AUTO_TEST_CASE(RemovedRoute_LaterAddedAgain_IsNotRemoved) {
  BOOST_TEST(ApplyConfiguration(table, VersionWithoutRoutes(2),
                                StoreRevision{1, 6}, now));
  BOOST_TEST(table.removed.count(address) == 1U);
  RelayConfiguration configuration = VersionWithoutRoutes(3);
  configuration.routes[address] = RelayRoute{"r", {RouteTarget{hub, 1}}};
  BOOST_TEST(
      ApplyConfiguration(table, configuration, StoreRevision{1, 7}, now));
  BOOST_TEST(table.removed.empty());
}

// Guards against new flows to a removed service when a document names another
// service twice.
BOOST_AUTO_TEST_CASE(ServiceNamedTwice_Accepting_CountsItOnce) {
  RelayConfiguration configuration = VersionWithoutRoutes(2);
  configuration.routes[address] =
      RelayRoute{"r", {RouteTarget{hub, 1}, RouteTarget{hub, 2}}};
  ApplyConfiguration(table, configuration, StoreRevision{1, 6}, now);
  const RelayRoute& route = *FindRoute(table, address);
  BOOST_CHECK((route.owner_services == std::vector<ServiceId>{hub, desk}));
  BOOST_TEST(route.accepting_count == 1U);
}

// Guards against memory use that grows with every configuration that removes
// routes.
BOOST_AUTO_TEST_CASE(RemovedRoute_AfterFlowLifetime_IsDiscarded) {
  ApplyConfiguration(table, VersionWithoutRoutes(2), StoreRevision{1, 6}, now);
  now = now + kMaxFlowLifetime - Millis{1};
  ApplyConfiguration(table, VersionWithoutRoutes(3), StoreRevision{1, 7}, now);
  BOOST_TEST(table.removed.size() == 1U);
  now = now + Millis{1};
  ApplyConfiguration(table, VersionWithoutRoutes(4), StoreRevision{1, 8}, now);
  BOOST_TEST(table.removed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
