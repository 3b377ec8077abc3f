#include "medlarwinch/cli/explain_command.h"

#include <boost/test/unit_test.hpp>

#include "fake_platform.h"
#include "medlarwinch/cli/apply_command.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/account_json.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// 2023-11-14T22:13:20Z; the minute of the account keys is 28333333.
constexpr TimePoint kNow{1'700'000'000'000};

AccountEntry Withdrawal(const std::string& subject, TimePoint time) {
  return AccountEntry{time,
                      "balancer/127.0.1.1:7100",
                      "withdraw_upstream",
                      "probe-hub",
                      subject,
                      Reason{"missed_heartbeats",
                             "probe-hub",
                             1,
                             "health.fail_after_ms",
                             {{"heartbeat_age_ms", "3120"}}}};
}

struct ExplainFixture {
  ExplainFixture() {
    context.platform = platform.Options().server;
    context.operator_name = "alice";
    context.timeout = Millis{1'000};
    context.now = kNow;
    BOOST_REQUIRE(IsOk(ApplyText(context, "d.yaml",
                                 "service: probe-hub\n"
                                 "owner: trinacria\n"
                                 "addresses: [\"10.1.0.1:443\"]\n"
                                 "health:\n"
                                 "  fail_after_ms: 4000\n",
                                 {})));
    const std::string line =
        FormatAccountLine(Withdrawal("10.2.0.1:7100", kNow)) + "\n";
    const std::string key =
        "account/probe-hub/balancer/127.0.1.1:7100-28333333";
    platform.Set(key, line);
    platform.Set(key + ".2",
                 line + FormatAccountLine(Withdrawal("10.2.0.2:7100", kNow)) +
                     "\nno json\n");
    platform.Set("account/report-desk/balancer/127.0.1.1:7100-28333333", line);
  }

  ExplainReport Explain(const std::string& subject, TimePoint until = kNow) {
    const Result<ExplainReport> report = RunExplain(
        context, ExplainQuery{subject, "", until - Millis{60'000}, until});
    BOOST_REQUIRE(IsOk(report));
    return ValueOf(report);
  }

  FakePlatform platform;
  CommandContext context;
};

BOOST_FIXTURE_TEST_SUITE(ExplainAccount, ExplainFixture)

// The report must include the rule, the document field that caused the action,
// and who applied it; a malformed account line only gives a warning.
BOOST_AUTO_TEST_CASE(
    UpstreamWithdrawn_Explained_ShowsActionTimeProcessAndCause) {
  const ExplainReport report = Explain("10.2.0.1:7100");
  BOOST_TEST(
      FormatText(report) ==
      "10.2.0.1:7100 from 2023-11-14T22:12:20.000Z to "
      "2023-11-14T22:13:20.000Z: 1 actions in 3 account objects\n"
      "2023-11-14T22:13:20.000Z withdraw_upstream 10.2.0.1:7100\n"
      "  service: probe-hub\n"
      "  process: balancer/127.0.1.1:7100\n"
      "  rule:    missed_heartbeats\n"
      "  because: health.fail_after_ms in document probe-hub version 1, "
      "applied by alice at 2023-11-14T22:13:20.000Z\n"
      "  now:     health.fail_after_ms: 4000 (version 1, line 5)\n"
      "  facts:   heartbeat_age_ms=3120\n"
      "warning: account/probe-hub/balancer/127.0.1.1:7100-28333333.2: the "
      "account line is not a JSON object with time_ms\n");
  BOOST_TEST(ToJson(report)["actions"][0]["facts"]["heartbeat_age_ms"] ==
             "3120");
}

// Objects of other services or outside the time range must not be read.
BOOST_AUTO_TEST_CASE(Service_Explained_ReadsOnlyItsObjectsInTimeRange) {
  const ExplainReport report = Explain("probe-hub");
  BOOST_TEST(report.objects_read == 2U);
  BOOST_TEST(report.actions.size() == 2U);
  const ExplainReport later = Explain("probe-hub", kNow + Millis{600'000});
  BOOST_TEST(later.objects_read == 0U);
  BOOST_TEST(ExitCodeOf(later) == 1);
}

// The account names the agent's address. An operator who knows only the
// upstream's listener must find the entries too.
BOOST_AUTO_TEST_CASE(ListenerOfUpstream_ExplainedWithAdmin_FindsItsAgent) {
  const Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Listen(TestAddress(1), [](const HttpRequest&) {
        return HttpResponse{200, "application/json",
                            R"({"members":[{"id":"10.2.0.2:7100",
                                "upstream":"10.2.0.2:9000"}]})"};
      });
  BOOST_REQUIRE(IsOk(server));
  BOOST_TEST(Explain("10.2.0.2:9000").actions.empty());
  context.admin = {TestAddress(1)};
  BOOST_TEST(Explain("10.2.0.2:9000").actions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TimesAndDurations_Parsed_AcceptOnlyValidOnes) {
  const Result<TimePoint> time = ParseTime("2023-11-14T22:13:20Z", TimePoint{});
  BOOST_REQUIRE(IsOk(time));
  BOOST_CHECK(ValueOf(time) == kNow);
  BOOST_CHECK(ValueOf(ParseTime("22:13:20.000", kNow)) == kNow);
  BOOST_TEST(FormatTime(kNow) == "2023-11-14T22:13:20.000Z");
  BOOST_TEST(ValueOf(ParseDuration("90s")).value == 90'000);
  for (const char* text :
       {"", "2023-02-30T00:00:00Z", "22:60", "2023-11-14", "22:13:20x", "x"}) {
    BOOST_CHECK_MESSAGE(!IsOk(ParseTime(text, kNow)), text);
  }
  BOOST_CHECK(!IsOk(ParseDuration("15")));
  BOOST_CHECK(!IsOk(ParseDuration("99999999999999h")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
