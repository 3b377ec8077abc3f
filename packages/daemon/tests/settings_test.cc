#include "medlarwinch/daemon/settings.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

const std::string kCommon =
    "failure_domain: catania\n"
    "fleet_key: " +
    std::string(64, 'a') +
    "\n"
    "control: 127.0.1.1:7100\n"
    "data: 127.0.1.1:7200\n"
    "admin: 127.0.1.1:7300\n"
    "platform: 127.0.9.1:8080\n";

BOOST_AUTO_TEST_SUITE(SettingsParser)

BOOST_AUTO_TEST_CASE(BalancerSettings_Parsed_HaveDefaults) {
  const Result<Settings> settings = ParseSettings("s.yaml", kCommon, false);
  BOOST_REQUIRE(IsOk(settings));
  BOOST_TEST(ValueOf(settings).name == "127.0.1.1:7100");
  BOOST_TEST(ValueOf(settings).control.port == 7100);
}

// Guards against an agent that starts without an upstream.
BOOST_AUTO_TEST_CASE(AgentSectionMissing_ParsedForAgent_IsRefused) {
  const Result<Settings> settings = ParseSettings("s.yaml", kCommon, true);
  BOOST_REQUIRE(!IsOk(settings));
  BOOST_TEST(ErrorOf(settings).message.find("agent: is required") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownField_Parsed_NamesNearest) {
  const Result<Settings> settings =
      ParseSettings("s.yaml", kCommon + "peer: []\n", false);
  BOOST_REQUIRE(!IsOk(settings));
  BOOST_TEST(ErrorOf(settings).message ==
             "s.yaml:7: peer: unknown field; the nearest known name is "
             "'peers'");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
