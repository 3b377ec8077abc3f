#include "medlarwinch/coordination/relay_routes.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct TableWithSplit {
  TableWithSplit() {
    RelayConfiguration configuration;
    configuration.version = 1;
    configuration.routes[address] =
        RelayRoute{"r", {RouteTarget{hub, 90}, RouteTarget{desk, 10}}};
    ApplyConfiguration(table, configuration, 5, now);
  }

  TimePoint now{1'000};
  const Endpoint address{1, 443};
  const ServiceId hub = MakeServiceId("probe-hub");
  const ServiceId desk = MakeServiceId("report-desk");
  RouteTable table;
};

BOOST_FIXTURE_TEST_SUITE(RouteTableWithSplit, TableWithSplit)

// Guards against a configuration that is reverted when replies arrive out of
// order.
BOOST_AUTO_TEST_CASE(OlderRevision_Applied_IsRefused) {
  BOOST_TEST(!ApplyConfiguration(table, RelayConfiguration{}, 5, now));
  BOOST_TEST(!ApplyConfiguration(table, RelayConfiguration{}, 4, now));
  BOOST_TEST(FindRoute(table, address) != nullptr);
}

// Guards against the loss of open flows when their service is removed from a
// traffic split.
BOOST_AUTO_TEST_CASE(ServiceLeavesSplit_OwnerServices_StillIncludeIt) {
  RelayConfiguration configuration;
  configuration.routes[address] = RelayRoute{"r", {RouteTarget{hub, 1}}};
  BOOST_TEST(ApplyConfiguration(table, configuration, 6, now));
  const RelayRoute& route = *FindRoute(table, address);
  BOOST_CHECK((route.owner_services == std::vector<ServiceId>{hub, desk}));
  BOOST_TEST(route.accepting_count == 1U);
}

BOOST_AUTO_TEST_CASE(RemovedRoute_LaterAddedAgain_IsNotRemoved) {
  BOOST_TEST(ApplyConfiguration(table, RelayConfiguration{}, 6, now));
  BOOST_TEST(table.removed.count(address) == 1U);
  RelayConfiguration configuration;
  configuration.routes[address] = RelayRoute{"r", {RouteTarget{hub, 1}}};
  BOOST_TEST(ApplyConfiguration(table, configuration, 7, now));
  BOOST_TEST(table.removed.empty());
}

// Guards against new flows to a removed service when a document names another
// service twice.
BOOST_AUTO_TEST_CASE(ServiceNamedTwice_Accepting_CountsItOnce) {
  RelayConfiguration configuration;
  configuration.routes[address] =
      RelayRoute{"r", {RouteTarget{hub, 1}, RouteTarget{hub, 2}}};
  ApplyConfiguration(table, configuration, 6, now);
  const RelayRoute& route = *FindRoute(table, address);
  BOOST_CHECK((route.owner_services == std::vector<ServiceId>{hub, desk}));
  BOOST_TEST(route.accepting_count == 1U);
}

// Guards against memory use that grows with every configuration that removes
// routes.
BOOST_AUTO_TEST_CASE(RemovedRoute_AfterFlowLifetime_IsDiscarded) {
  ApplyConfiguration(table, RelayConfiguration{}, 6, now);
  now = now + kMaxFlowLifetime - Millis{1};
  ApplyConfiguration(table, RelayConfiguration{}, 7, now);
  BOOST_TEST(table.removed.size() == 1U);
  now = now + Millis{1};
  ApplyConfiguration(table, RelayConfiguration{}, 8, now);
  BOOST_TEST(table.removed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
