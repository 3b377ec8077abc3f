#include <boost/test/unit_test.hpp>

#include "medlarwinch/cli/log_explain.h"
#include "medlarwinch/cli/log_status.h"
#include "medlarwinch/cli/plot_command.h"

namespace medlarwinch {
namespace {

const std::string kFlow = "100.64.0.15:1044>198.18.0.1:443";

std::string LineAt(int second, const std::string& process,
                   const std::string& rest) {
  const std::string digits = second < 10 ? "0" : "";
  return "time=2026-01-31T12:00:" + digits + std::to_string(second) +
         ".000Z level=info process=" + process + " " + rest + "\n";
}

struct CollectedLogsFixture {
  CollectedLogsFixture() {
    Add(1, "side-1",
        "event=start role=agent service=probe-hub relay=10.1.0.8:8172 "
        "upstream=10.1.0.8:8080");
    Add(1, "front-1", "event=start role=balancer relay=10.1.0.1:7000");
    Add(2, "side-1",
        "event=upstream_phase upstream=i-1 phase=ready cause=first_beat");
    Add(2, "front-1",
        "event=upstream_phase agent=10.1.0.8:8172 phase=ready before=unknown");
    Add(3, "front-1", "event=configuration_in_force version=7 revision=12");
    Add(4, "front-1",
        "event=store_lost watch=agents reason=\"store answered 429\"");
    Add(5, "front-1",
        "event=flow_opening flow=" + kFlow +
            " agent=10.1.0.8:8172 flows=30 report_age_ms=40");
    Add(9, "side-1",
        "event=upstream_phase upstream=i-1 phase=absent cause=liveness");
    Add(9, "front-1",
        "event=upstream_phase agent=10.1.0.8:8172 phase=absent before=ready");
    Add(10, "front-1",
        "event=flow_reset flow=" + kFlow + " reason=nobody_holds agents=9");
    Add(10, "front-1", "event=lines_suppressed of=flow_opening count=14");
    Add(40, "side-1",
        "event=upstream_phase upstream=i-2 phase=ready cause=new_incarnation");
    SortLogs(logs);
  }

  void Add(int second, const std::string& process, const std::string& rest) {
    AddLogText(LineAt(second, process, rest), logs);
  }

  LogExplanation Explain(const std::string& subject) {
    return ExplainFromLogs(logs, LogQuery{subject, logs.records.front().time,
                                          logs.records.back().time});
  }

  LogCollection logs;
};

BOOST_FIXTURE_TEST_SUITE(LogCommands, CollectedLogsFixture)

BOOST_AUTO_TEST_CASE(LineWithPrefixAndQuotes_Parsed_FieldsAreUnquoted) {
  const std::optional<LogRecord> record = ParseLogLine(
      "  36.1 front-1 time=2026-01-31T12:00:00.000Z level=info "
      "process=front-1 event=store_lost reason=\"can't \\\"read\\\"\" n=1");
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->event == "store_lost");
  BOOST_TEST(FieldOf(*record, "reason") == "can't \"read\"");
  BOOST_TEST(FieldOf(*record, "n") == "1");
  BOOST_TEST(!ParseLogLine("time=yesterday process=a event=b").has_value());
  BOOST_TEST(!ParseLogLine("a line of another program").has_value());
}

// A decision must be shown with the state that it was based on.
BOOST_AUTO_TEST_CASE(ResetFlow_Explained_ShowsReasonAndKnownStateWithAge) {
  const LogExplanation report = Explain(kFlow);
  BOOST_REQUIRE(report.records.size() == 2U);
  const ExplainedRecord& reset = report.records[1];
  BOOST_TEST(reset.record.process == "front-1");
  BOOST_TEST(!reset.meaning.empty());
  const auto configuration =
      std::find_if(reset.known_state.begin(), reset.known_state.end(),
                   [](const KnownState& state) {
                     return state.record.event == "configuration_in_force";
                   });
  BOOST_REQUIRE((configuration != reset.known_state.end()));
  BOOST_CHECK(configuration->age == Millis{7'000});
  BOOST_TEST(report.suppressed.at("flow_opening") == 14U);
  BOOST_TEST(Explain("100.64.0.15:1044").records.size() == 2U);
}

// Other processes log an upstream only under its agent's address. Their records
// must be found, because the process that withdrew the upstream may have
// exited.
BOOST_AUTO_TEST_CASE(Upstream_Explained_IncludesBalancerRecordsOfItsAgent) {
  const LogExplanation report = Explain("i-1");
  size_t by_balancer = 0;
  for (const ExplainedRecord& explained : report.records) {
    if (explained.record.process == "front-1") ++by_balancer;
    BOOST_TEST(FieldOf(explained.record, "upstream") != "i-2");
  }
  BOOST_TEST(by_balancer == 2U);
  BOOST_TEST(report.aliases.size() == 3U);
}

// Records of the agent's loss come long after the last record of the agent
// itself and must still be included.
BOOST_AUTO_TEST_CASE(UpstreamWithoutLaterRecords_Explained_ExtendsToSuccessor) {
  Add(38, "front-1", "event=agent_unlisted agent=10.1.0.8-8172 revision=30");
  SortLogs(logs);
  const LogExplanation report = Explain("i-1");
  BOOST_TEST(report.records.back().record.event == "agent_unlisted");
}

BOOST_AUTO_TEST_CASE(FieldAndValue_Explained_FindsTheRecords) {
  BOOST_TEST(Explain("revision=12").records.size() == 1U);
  BOOST_CHECK(ExitCodeOf(Explain("revision=13")) == kExitFailed);
}

BOOST_AUTO_TEST_CASE(Status_AsOfTime_IgnoresLaterRecords) {
  const TimePoint begin = logs.records.front().time;
  const LogStatus early = StatusFromLogs(logs, begin + Millis{5'000});
  BOOST_REQUIRE(early.processes.size() == 2U);
  BOOST_TEST(early.processes[0].configuration_version == "7");
  BOOST_TEST(early.processes[0].lost_watches.at("agents") ==
             "store answered 429");
  BOOST_TEST(early.processes[1].phase == "ready");
  const LogStatus late = StatusFromLogs(logs, begin + Millis{60'000});
  BOOST_TEST(late.processes[1].upstream == "i-2");
}

// State from before a restart of the process must not be reported.
BOOST_AUTO_TEST_CASE(RestartedProcess_Status_IsReset) {
  Add(50, "front-1", "event=start role=balancer");
  SortLogs(logs);
  const LogStatus status = StatusFromLogs(logs, logs.records.back().time);
  BOOST_TEST(status.processes[0].starts == 2U);
  BOOST_TEST(status.processes[0].configuration_version.empty());
  BOOST_TEST(status.processes[0].lost_watches.empty());
}

BOOST_AUTO_TEST_CASE(Logs_Plotted_CountResetsByReason) {
  const PlotReport report = PlotFromLogs(logs);
  BOOST_REQUIRE(report.charts.size() == 3U);
  BOOST_TEST(report.charts[0].series.at(0).name == "10.1.0.8:8172");
  BOOST_TEST(report.charts[1].series.at(0).name == "nobody_holds");
  BOOST_TEST(report.charts[1].series.at(0).points.at(0).value == 1);
}

BOOST_AUTO_TEST_CASE(UnreadablePath_Read_Fails) {
  BOOST_CHECK(!IsOk(ReadLogs({"/nonexistent"})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
