#include "medlarwinch/standins/scenario.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(ScenarioParser)

BOOST_AUTO_TEST_CASE(AllStatements_Parsed_HaveTheirValues) {
  const Result<Scenario> parsed =
      ParseScenario("s.scenario",
                    "# A comment\n"
                    "topology bagmati\n"
                    "balancers 4\n"
                    "connections 100\n"
                    "duration 30s   # half a minute\n"
                    "settle 500ms\n"
                    "hosts kiosk-desk 3\n"
                    "load feeds 50\n"
                    "caller upload_work_ms 300\n"
                    "at 5s kill balancer b2\n"
                    "at 4s freeze agent kiosk-desk/3 for 5s\n"
                    "from 8s for 20s platform slow 500ms\n"
                    "from 3s for 5s fabric lose 1%\n"
                    "at 9s replace balancers over 10s\n"
                    "expect broken_flows == 0\n"
                    "expect imbalance <= 1.10\n");
  BOOST_REQUIRE_MESSAGE(IsOk(parsed),
                        (IsOk(parsed) ? "" : ErrorOf(parsed).message));
  const Scenario& scenario = ValueOf(parsed);
  BOOST_TEST(scenario.topology == "bagmati");
  BOOST_TEST(scenario.balancers == 4);
  BOOST_TEST(scenario.duration_ms == 30'000);
  BOOST_TEST(scenario.settle_ms == 500);
  BOOST_TEST(scenario.hosts.at("kiosk-desk") == 3);
  BOOST_TEST(scenario.load.at("feeds") == 50);
  BOOST_TEST(scenario.caller.at("upload_work_ms") == "300");
  BOOST_REQUIRE(scenario.steps.size() == 5U);
  const ScenarioStep kill{10, 5'000, 0, {"kill", "balancer", "b2"}};
  BOOST_CHECK(scenario.steps[0] == kill);
  const ScenarioStep freeze{
      11, 4'000, 5'000, {"freeze", "agent", "kiosk-desk/3"}};
  BOOST_CHECK(scenario.steps[1] == freeze);
  const ScenarioStep slow{12, 8'000, 20'000, {"platform", "slow", "500ms"}};
  BOOST_CHECK(scenario.steps[2] == slow);
  BOOST_REQUIRE(scenario.expectations.size() == 2U);
  BOOST_TEST(IsSatisfied(scenario.expectations[1], 1.1));
  BOOST_TEST(!IsSatisfied(scenario.expectations[1], 1.11));
}

// Guards against silently ignoring a misspelt step.
BOOST_AUTO_TEST_CASE(InvalidStatements_Parsed_AreReportedByLine) {
  const Result<Scenario> parsed = ParseScenario("s.scenario",
                                                "topology delhi\n"
                                                "\n"
                                                "at 5s kil balancer b2\n"
                                                "at 5 kill balancer b2\n"
                                                "from 5s platform down\n"
                                                "at 1s freeze agent a/1\n"
                                                "expect broken_flows = 0\n"
                                                "balancer 3\n");
  BOOST_REQUIRE(!IsOk(parsed));
  BOOST_TEST(ErrorOf(parsed).message ==
             "s.scenario:1: expected topology trinacria or bagmati\n"
             "s.scenario:3: unknown step\n"
             "s.scenario:4: expected a time such as 250ms or 5s\n"
             "s.scenario:5: expected 'from TIME for TIME ...'\n"
             "s.scenario:6: this step needs 'for TIME'\n"
             "s.scenario:7: expected ==, <=, >=, < or >\n"
             "s.scenario:8: unknown statement 'balancer'");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
