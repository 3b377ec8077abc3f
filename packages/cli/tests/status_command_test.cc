#include "medlarwinch/cli/status_command.h"

#include <boost/test/unit_test.hpp>

#include "fake_platform.h"
#include "medlarwinch/cli/metrics_command.h"

namespace medlarwinch {
namespace {

const std::string kBalancerStatus = R"({
  "id": "10.3.0.1:7100", "phase": "ready", "key_ring_version": 4,
  "documents": {"probe-hub": 1}, "platform_age_ms": 420,
  "control": {"members": [
    {"id": "10.2.0.1:7100", "kind": "agent", "phase": "draining", "boot": 7,
     "incarnation": 1, "service": "probe-hub", "domain": "catania",
     "slots": 4, "upstream": "10.2.0.1:9000", "doubtful": false},
    {"id": "10.2.0.2:7100", "kind": "agent", "phase": "ready", "boot": 7,
     "service": "probe-hub", "domain": "ragusa", "slots": 4,
     "upstream": "10.2.0.2:9000", "doubtful": true}],
    "means": {"probe-hub": 12.5}}})";
const std::string kAgentStatus = R"({
  "service": "probe-hub", "phase": "draining", "flows": 40,
  "requests_in_flight": 3,
  "drain": {"active": true, "trigger": "document", "elapsed_ms": 900},
  "control": {"self": {"id": "10.2.0.1:7100"}, "members": []}})";

struct TwoDaemonsFixture {
  TwoDaemonsFixture() {
    platform.Set("config/probe-hub", "1");
    platform.Set("config/probe-hub", "2");
    for (const std::string* status : {&kBalancerStatus, &kAgentStatus}) {
      const Endpoint address =
          TestAddress(static_cast<uint16_t>(servers.size() + 1));
      Result<std::unique_ptr<HttpServer>> server =
          HttpServer::Listen(address, [status](const HttpRequest& request) {
            if (request.target == "/metrics") {
              return HttpResponse{200, "text/plain",
                                  "# TYPE f gauge\nf{a=\"x\\\"y\"} 2.5\n"};
            }
            return HttpResponse{200, "application/json", *status};
          });
      BOOST_REQUIRE(IsOk(server));
      servers.push_back(TakeValue(std::move(server)));
      context.admin.push_back(address);
    }
    context.platform = platform.Options().server;
    context.timeout = Millis{500};
  }

  FakePlatform platform;
  CommandContext context;
  std::vector<std::unique_ptr<HttpServer>> servers;
};

BOOST_FIXTURE_TEST_SUITE(StatusCommand, TwoDaemonsFixture)

// The report must show a daemon that is behind the platform's document version
// and the progress of a drain.
BOOST_AUTO_TEST_CASE(DaemonsAnswer_StatusRead_ShowsLagLoadAndDrain) {
  const Result<StatusReport> report = RunStatus(context);
  BOOST_REQUIRE(IsOk(report));
  BOOST_TEST(ExitCodeOf(ValueOf(report)) == 0);
  const std::string text = FormatText(ValueOf(report));
  for (const char* part :
       {"probe-hub=1(behind 2)", "420 ms", "ready doubtful",
        "3 requests left after 900 ms, by document", "10.2.0.1:9000"}) {
    BOOST_CHECK_MESSAGE(text.find(part) != std::string::npos,
                        part << " is not in\n"
                             << text);
  }
  const nlohmann::json json = ToJson(ValueOf(report));
  BOOST_TEST(json["upstreams"].size() == 2U);
  BOOST_TEST(json["upstreams"][0]["flows"] == 40);
  BOOST_TEST(json["daemons"][0]["platform_age_ms"] == 420);
}

BOOST_AUTO_TEST_CASE(DaemonAndPlatformDown_StatusRead_ReportsRemainingDaemons) {
  servers[1].reset();
  platform.SetDown(true);
  const Result<StatusReport> report = RunStatus(context);
  BOOST_REQUIRE(IsOk(report));
  BOOST_TEST(ExitCodeOf(ValueOf(report)) == 4);
  BOOST_TEST(!ValueOf(report).platform_error.empty());
  BOOST_TEST(ValueOf(report).upstreams.size() == 2U);
}

BOOST_AUTO_TEST_CASE(BootstrapListsOnly_StatusRead_QueriesListedBalancers) {
  context.admin.clear();
  BOOST_CHECK(!IsOk(RunStatus(context)));
  Endpoint control = TestAddress(1);
  control.port = 7'100;
  platform.Set("bootstrap/catania", ToString(control) + "\n");
  context.admin_port = TestAddress(1).port;
  const Result<StatusReport> report = RunStatus(context);
  BOOST_REQUIRE(IsOk(report));
  BOOST_REQUIRE(ValueOf(report).daemons.size() == 1U);
  BOOST_TEST(ValueOf(report).daemons[0].id == "10.3.0.1:7100");
}

// A malformed response of a daemon must not abort the command.
BOOST_AUTO_TEST_CASE(MalformedStatus_Parsed_IsRejectedOrKeepsDefaults) {
  const Endpoint admin{1, 1};
  BOOST_CHECK(!IsOk(ParseDaemonStatus(admin, "[]")));
  BOOST_CHECK(!IsOk(ParseDaemonStatus(admin, "{")));
  const Result<DaemonStatus> status = ParseDaemonStatus(
      admin, R"({"members": [1, {"id": 2, "slots": "x"}], "documents": []})");
  BOOST_REQUIRE(IsOk(status));
  BOOST_TEST(ValueOf(status).members.size() == 1U);
}

BOOST_AUTO_TEST_CASE(MetricsRead_Parsed_HaveLabelsAndValues) {
  const Result<MetricsReport> report = RunMetrics(context, context.admin[0]);
  BOOST_REQUIRE(IsOk(report));
  const nlohmann::json json = ToJson(ValueOf(report));
  BOOST_REQUIRE(json["samples"].size() == 1U);
  BOOST_TEST(json["samples"][0]["labels"]["a"] == "x\"y");
  BOOST_TEST(json["samples"][0]["value"] == 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
