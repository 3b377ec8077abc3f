#include "medlarwinch/standins/upstream_server.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "medlarwinch/standins/process_main.h"
#include "medlarwinch/standins/response_body.h"
#include "medlarwinch/transport/http_client.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kListen = TestEndpoint(17'421);
constexpr Millis kRequestTimeout{2'000};

struct RunningUpstream {
  RunningUpstream()
      : log_file((std::filesystem::temp_directory_path() /
                  ("standin-upstream-" + std::to_string(getpid()) + ".log"))
                     .string()) {
    UpstreamSettings settings;
    settings.listen = kListen;
    settings.service = "probe-hub";
    settings.name = "probe-hub/1";
    settings.execution_log = log_file;
    Result<std::unique_ptr<UpstreamServer>> started =
        UpstreamServer::Start(settings);
    BOOST_REQUIRE(IsOk(started));
    server = TakeValue(std::move(started));
  }
  ~RunningUpstream() {
    server.reset();
    std::filesystem::remove(log_file);
  }

  static Result<HttpResponse> Call(
      const std::string& method, const std::string& target,
      const std::string& body = "",
      const std::map<std::string, std::string>& headers = {},
      Millis wait = kRequestTimeout) {
    return SendHttpRequest(kListen, HttpRequest{method, target, body, headers},
                           wait);
  }

  std::string log_file;
  std::unique_ptr<UpstreamServer> server;
};

BOOST_FIXTURE_TEST_SUITE(StandinUpstream, RunningUpstream)

BOOST_AUTO_TEST_CASE(Echo_Called_NamesServiceAndToken) {
  const Result<HttpResponse> response = Call("POST", "/echo?token=t1", "hello");
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(ValueOf(response).body ==
             "service=probe-hub upstream=probe-hub/1 token=t1\nhello");
}

BOOST_AUTO_TEST_CASE(Report_Requested_HasThePatternOfItsToken) {
  const Result<HttpResponse> response =
      Call("GET", "/report?bytes=300000&token=t2");
  BOOST_REQUIRE(IsOk(response));
  const std::string& body = ValueOf(response).body;
  const size_t end = body.find('\n');
  BOOST_TEST(FindField(body.substr(0, end), "bytes") == "300000");
  BOOST_CHECK(body.substr(end + 1) == PatternBody("t2", 300'000));
  BOOST_CHECK(PatternBody("t2", 300'000) != PatternBody("t3", 300'000));
}

// Guards against feeds with missing or repeated lines.
BOOST_AUTO_TEST_CASE(FeedOfFiveLines_Read_IsNumbered) {
  const Result<HttpResponse> response =
      Call("GET", "/feed?interval_ms=5&lines=5&token=f");
  BOOST_REQUIRE(IsOk(response));
  std::string expected;
  for (int line = 0; line < 5; ++line) {
    expected += "service=probe-hub upstream=probe-hub/1 token=f line=" +
                std::to_string(line) + "\n";
  }
  BOOST_TEST(ValueOf(response).body == expected);
}

// Guards against executions that are missing in the log of the at-most-once
// check.
BOOST_AUTO_TEST_CASE(Samples_Posted_AreInExecutionLog) {
  const Result<HttpResponse> response = Call(
      "POST", "/samples?token=t4", "moisture=3", {{"idempotency-key", "k4"}});
  BOOST_REQUIRE(IsOk(response));
  const Result<std::string> log = ReadTextFile(log_file);
  BOOST_REQUIRE(IsOk(log));
  BOOST_TEST(
      ValueOf(log).find("event=run service=probe-hub "
                        "upstream=probe-hub/1 path=/samples token=t4 copy=1 "
                        "key=k4 body=moisture=3\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(DeadlineBelowWorkTime_Called_ExpiresAtTheDeadline) {
  const Result<HttpResponse> response =
      Call("GET", "/echo?work_ms=1500", "", {{"x-request-deadline-ms", "30"}});
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(ValueOf(response).status == 504);
}

BOOST_AUTO_TEST_CASE(ConnectionClosedDuringWork_Noticed_IsCancelled) {
  const Result<HttpResponse> response =
      Call("GET", "/echo?work_ms=5000", "", {}, Millis{50});
  BOOST_REQUIRE(!IsOk(response));
  for (int attempt = 0; attempt < 100 && server->state().cancelled == 0;
       ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(server->state().cancelled == 1U);
  BOOST_TEST(server->state().in_progress == 0);
}

BOOST_AUTO_TEST_CASE(LoadAboveLimit_Called_IsShedWithoutRunning) {
  BOOST_REQUIRE(IsOk(Call("POST", "/control/set?shed_above=1")));
  std::thread slow_request([] { Call("GET", "/echo?work_ms=300"); });
  for (int attempt = 0; attempt < 100 && server->state().in_progress == 0;
       ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  const Result<HttpResponse> response = Call("POST", "/samples?token=t5");
  slow_request.join();
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(ValueOf(response).status == 503);
  BOOST_TEST(server->state().executed == 0U);
}

BOOST_AUTO_TEST_CASE(FailingRequests_HealthChecked_ReportsHealthy) {
  BOOST_REQUIRE(IsOk(Call("POST", "/control/set?fail_percent=100")));
  const Result<HttpResponse> response = Call("GET", "/echo");
  const Result<HttpResponse> health = Call("GET", "/health");
  BOOST_REQUIRE(IsOk(response));
  BOOST_REQUIRE(IsOk(health));
  BOOST_TEST(ValueOf(response).status == 500);
  BOOST_TEST(ValueOf(health).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
