#include "medlarwinch/standins/invariant_checks.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

std::vector<EventRecord> ParseRecords(const std::vector<std::string>& lines) {
  std::vector<EventRecord> records;
  for (const std::string& line : lines) {
    const std::optional<EventRecord> record = ParseEventLine(line);
    BOOST_REQUIRE_MESSAGE(record.has_value(), line);
    records.push_back(*record);
  }
  return records;
}

// A run without violations: two upstreams, one feed and one upload flow.
struct CleanRun {
  CleanRun() {
    AddStep(
        "time=1000 event=upstream_started service=probe-hub "
        "upstream=probe-hub/1 agent=127.0.21.1:7200 slots=4");
    AddStep(
        "time=1000 event=upstream_started service=probe-hub "
        "upstream=probe-hub/2 agent=127.0.21.2:7200 slots=4");
    AddStep("time=1000 event=balancer_started balancer=b1");
    AddStep(
        "time=1100 event=config_seen balancer=b1 service=probe-hub version=1");
    AddStep("time=5000 event=config_applied service=probe-hub version=2");
    AddStep(
        "time=5300 event=config_seen balancer=b1 service=probe-hub "
        "version=2");
    AddCaller(
        "time=2000 event=flow_opened service=probe-hub flow=f1 "
        "agent=127.0.21.1:7200");
    AddCaller("time=2000 event=request service=probe-hub flow=f1 token=t1");
    AddCaller(
        "time=2010 event=head service=probe-hub flow=f1 token=t1 "
        "answered_by=probe-hub upstream=probe-hub/1");
    AddCaller(
        "time=2000 event=flow_opened service=probe-hub flow=f2 "
        "agent=127.0.21.2:7200");
    AddCaller(
        "time=2100 event=request service=probe-hub flow=f2 token=t2 key=k2");
    AddCaller(
        "time=2110 event=head service=probe-hub flow=f2 token=t2 "
        "answered_by=probe-hub upstream=probe-hub/2");
    AddCaller(Verdict("2120", "f2", "t2", "k2", "ran"));
    AddCaller("time=9000 event=stopping service=probe-hub");
    AddUpstream(
        "time=2005 event=start service=probe-hub upstream=probe-hub/1 "
        "path=/feed token=t1 copy=1");
    AddUpstream(
        "time=2105 event=start service=probe-hub upstream=probe-hub/2 "
        "path=/samples token=t2 copy=1 key=k2");
    AddUpstream(
        "time=2105 event=run service=probe-hub upstream=probe-hub/2 "
        "path=/samples token=t2 copy=1 key=k2 body=moisture=1;key=k2");
    logs.fabric = {{"misdelivered", 0}};
  }

  static std::string Verdict(const std::string& time, const std::string& flow,
                             const std::string& token, const std::string& key,
                             const std::string& verdict,
                             const std::string& more =
                                 "complete=1 whole=1 fault= ended_by=answer "
                                 "status=200 bytes=40 ms=20") {
    return "time=" + time + " event=verdict service=probe-hub class=upload" +
           " flow=" + flow + " token=" + token + " key=" + key +
           " copy=1 verdict=" + verdict + " " + more;
  }

  void AddCaller(const std::string& line) { Add(logs.callers, line); }
  void AddUpstream(const std::string& line) { Add(logs.upstreams, line); }
  void AddStep(const std::string& line) { Add(logs.steps, line); }

  // Value of a summary metric.
  double Metric(const std::string& name) const {
    return Summarize(logs, 4'000).metrics.at(name);
  }

  RunLogs logs;

 private:
  static void Add(std::vector<EventRecord>& records, const std::string& line) {
    const std::vector<EventRecord> added = ParseRecords({line});
    records.push_back(added.front());
  }
};

const char kTruncatedOutcome[] =
    "complete=0 whole=0 fault= ended_by=answer status=0 bytes=10 ms=500";

BOOST_FIXTURE_TEST_SUITE(InvariantChecks, CleanRun)

// Guards against checks that report violations in a clean run.
BOOST_AUTO_TEST_CASE(RunWithoutViolation_Checked_IsClean) {
  const RunSummary summary = Summarize(logs, 4'000);
  BOOST_REQUIRE(summary.checks.size() == 8U);
  for (const CheckResult& check : summary.checks) {
    BOOST_TEST(check.violations == 0U, check.name);
  }
  BOOST_TEST(summary.metrics.at("imbalance") == 1.0);
  BOOST_TEST(summary.metrics.at("flows") == 2.0);
  BOOST_TEST(summary.metrics.at("verdict_ran") == 1.0);
  BOOST_TEST(summary.metrics.at("config_in_force_p99_ms") == 300.0);
}

BOOST_AUTO_TEST_CASE(FlowLost_UpstreamAlive_IsBroken) {
  AddCaller("time=6000 event=flow_broken service=probe-hub flow=f1");
  BOOST_TEST(Metric("broken_flows") == 1.0);
  BOOST_TEST(Metric("lost_with_upstream") == 0.0);
}

BOOST_AUTO_TEST_CASE(FeedStopped_UpstreamAlive_IsBrokenOnce) {
  AddCaller(
      "time=6000 event=verdict service=probe-hub class=feed flow=f1 token=t1 "
      "verdict=ran complete=1 ended_by=answer status=200 bytes=900 ms=4000");
  AddCaller("time=6001 event=flow_broken service=probe-hub flow=f1");
  BOOST_TEST(Metric("broken_flows") == 1.0);
}

// Guards against a feed that stalls without the caller being notified.
BOOST_AUTO_TEST_CASE(FeedStalledAtEndOfRun_UpstreamAlive_IsBroken) {
  AddCaller(
      "time=9000 event=feed_stalled service=probe-hub flow=f1 token=t1 "
      "ms=5000");
  BOOST_TEST(Metric("broken_flows") == 1.0);
}

// Guards against reporting flows as broken that no system can preserve.
BOOST_AUTO_TEST_CASE(FlowLost_UpstreamKilled_IsCountedAsLostWithUpstream) {
  AddStep("time=5500 event=upstream_killed upstream=probe-hub/1");
  AddCaller("time=6000 event=flow_broken service=probe-hub flow=f1");
  BOOST_TEST(Metric("broken_flows") == 0.0);
  BOOST_TEST(Metric("lost_with_upstream") == 1.0);
}

// Guards against a kill that excuses flows on other upstreams, or flows that
// were opened after a restart.
BOOST_AUTO_TEST_CASE(FlowLost_OtherUpstreamKilled_IsBroken) {
  AddStep("time=5500 event=upstream_killed upstream=probe-hub/2");
  AddCaller("time=6000 event=flow_broken service=probe-hub flow=f1");
  BOOST_TEST(Metric("broken_flows") == 1.0);
}

BOOST_AUTO_TEST_CASE(FlowOpenedAfterRestart_Lost_IsBroken) {
  AddStep("time=5500 event=upstream_killed upstream=probe-hub/1");
  AddStep(
      "time=6000 event=upstream_started service=probe-hub "
      "upstream=probe-hub/1 agent=127.0.21.1:7200 slots=4");
  AddCaller(
      "time=7000 event=flow_opened service=probe-hub flow=f3 "
      "agent=127.0.21.1:7200");
  AddCaller("time=8000 event=flow_broken service=probe-hub flow=f3");
  BOOST_TEST(Metric("broken_flows") == 1.0);
}

BOOST_AUTO_TEST_CASE(ResponseFromOtherService_Checked_IsMisdelivered) {
  AddCaller(
      "time=6000 event=head service=probe-hub flow=f1 token=t1 "
      "answered_by=report-desk upstream=report-desk/1");
  BOOST_TEST(Metric("misdelivered") == 1.0);
}

BOOST_AUTO_TEST_CASE(OtherServiceReceivesRequest_Checked_IsMisdelivered) {
  AddUpstream(
      "time=6000 event=start service=report-desk upstream=report-desk/1 "
      "path=/samples token=t2 copy=1");
  BOOST_TEST(Metric("misdelivered") == 1.0);
}

BOOST_AUTO_TEST_CASE(FabricCountsForeignResponse_Checked_IsMisdelivered) {
  logs.fabric["misdelivered"] = 3;
  BOOST_TEST(Metric("misdelivered") == 3.0);
}

BOOST_AUTO_TEST_CASE(ResponseToOtherRequest_Checked_IsWrong) {
  AddCaller(Verdict("6000", "f2", "t3", "k3", "ran",
                    "complete=1 whole=0 fault=token ended_by=answer "
                    "status=200 bytes=40 ms=20"));
  BOOST_TEST(Metric("wrong_answers") == 1.0);
}

BOOST_AUTO_TEST_CASE(TruncatedResponseReportedComplete_Checked_IsWrong) {
  AddCaller(Verdict("6000", "f2", "t3", "k3", "ran",
                    "complete=1 whole=0 fault= ended_by=answer status=200 "
                    "bytes=40 ms=20"));
  BOOST_TEST(Metric("wrong_answers") == 1.0);
}

// Guards against reporting the body of an error response as corrupt.
BOOST_AUTO_TEST_CASE(ErrorResponse_WithItsOwnBody_IsNotWrong) {
  AddCaller(Verdict("6000", "f2", "t3", "k3", "ran",
                    "complete=1 whole=0 fault=content ended_by=answer "
                    "status=504 bytes=40 ms=20"));
  BOOST_TEST(Metric("wrong_answers") == 0.0);
}

BOOST_AUTO_TEST_CASE(NotRunVerdict_RequestStarted_IsFalse) {
  AddCaller(Verdict("6000", "f2", "t3", "k3", "not_run", kTruncatedOutcome));
  BOOST_TEST(Metric("false_not_run") == 0.0);
  AddUpstream(
      "time=5990 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/samples token=t3 copy=1");
  BOOST_TEST(Metric("false_not_run") == 1.0);
}

BOOST_AUTO_TEST_CASE(SameKeyTwice_Checked_IsDoubleRun) {
  AddUpstream(
      "time=6000 event=run service=probe-hub upstream=probe-hub/1 "
      "path=/samples token=t2 copy=2 key=k2 body=x");
  BOOST_TEST(Metric("double_runs") == 1.0);
}

// Guards against missing a double execution when the agent forwards no key
// header.
BOOST_AUTO_TEST_CASE(SameKeyOnlyInBody_Checked_IsDoubleRun) {
  AddUpstream(
      "time=6000 event=run service=probe-hub upstream=probe-hub/1 "
      "path=/samples token=t2 copy=2 key= body=moisture=1;key=k2");
  BOOST_TEST(Metric("double_runs") == 1.0);
}

BOOST_AUTO_TEST_CASE(WorkAfterDrain_BeyondLimit_IsLate) {
  AddStep(
      "time=6000 event=upstream_leaving upstream=probe-hub/2 limit_ms=2000");
  AddUpstream(
      "time=7900 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/echo token=t7 copy=1");
  BOOST_TEST(Metric("late_new_work") == 0.0);
  AddUpstream(
      "time=8100 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/echo token=t8 copy=1");
  BOOST_TEST(Metric("late_new_work") == 1.0);
}

BOOST_AUTO_TEST_CASE(WorkAfterRestart_OfDrainingUpstream_IsNotLate) {
  AddStep(
      "time=6000 event=upstream_leaving upstream=probe-hub/2 limit_ms=2000");
  AddStep(
      "time=8500 event=upstream_started service=probe-hub "
      "upstream=probe-hub/2 agent=127.0.21.2:7200 slots=4");
  AddUpstream(
      "time=8600 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/echo token=t8 copy=1");
  BOOST_TEST(Metric("late_new_work") == 0.0);
}

BOOST_AUTO_TEST_CASE(RequestTruncated_ByPlannedStop_IsCounted) {
  AddUpstream(
      "time=6100 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/samples token=t4 copy=1");
  AddStep(
      "time=6000 event=upstream_leaving upstream=probe-hub/2 limit_ms=2000");
  AddCaller(
      Verdict("6200", "f2", "t4", "k4", "may_have_run", kTruncatedOutcome));
  BOOST_TEST(Metric("cut_requests") == 1.0);
}

// Guards against reporting a request as interrupted that was never forwarded:
// the agent rejects it if it cannot reserve the idempotency key.
BOOST_AUTO_TEST_CASE(RequestNeverReceived_MayHaveRun_IsCountedAsUnproven) {
  AddCaller(Verdict("6200", "f2", "t4", "k4", "may_have_run",
                    "complete=1 whole=0 fault= ended_by=answer status=503 "
                    "bytes=0 ms=500"));
  BOOST_TEST(Metric("cut_requests") == 0.0);
  BOOST_TEST(Metric("unproven_not_run") == 1.0);
}

BOOST_AUTO_TEST_CASE(RequestTruncated_ByKill_IsNotCounted) {
  AddUpstream(
      "time=5900 event=start service=probe-hub upstream=probe-hub/2 "
      "path=/samples token=t4 copy=1");
  AddStep("time=6000 event=upstream_killed upstream=probe-hub/2");
  AddCaller(
      Verdict("6200", "f2", "t4", "k4", "may_have_run", kTruncatedOutcome));
  BOOST_TEST(Metric("cut_requests") == 0.0);
}

BOOST_AUTO_TEST_CASE(RequestPastItsDeadline_UpstreamAlive_IsCounted) {
  AddCaller(Verdict("6200", "f2", "t4", "k4", "may_have_run",
                    "complete=0 whole=0 fault= ended_by=deadline status=0 "
                    "bytes=0 ms=500"));
  BOOST_TEST(Metric("cut_requests") == 1.0);
  BOOST_TEST(Metric("ended_by_deadline") == 1.0);
}

BOOST_AUTO_TEST_CASE(VersionReverts_Checked_IsFault) {
  AddStep(
      "time=6000 event=config_seen balancer=b1 service=probe-hub version=1");
  BOOST_TEST(Metric("config_faults") == 1.0);
}

BOOST_AUTO_TEST_CASE(VersionNeverInForce_OnOneBalancer_IsFault) {
  AddStep("time=6000 event=config_applied service=probe-hub version=3");
  BOOST_TEST(Metric("config_faults") == 1.0);
}

// Guards against a freeze that excuses more than its own duration.
BOOST_AUTO_TEST_CASE(VersionInForce_AfterThaw_IsMeasuredFromThaw) {
  AddStep("time=6000 event=balancer_frozen balancer=b1");
  AddStep("time=6500 event=config_applied service=probe-hub version=3");
  AddStep("time=12000 event=balancer_thawed balancer=b1");
  AddStep(
      "time=13000 event=config_seen balancer=b1 service=probe-hub version=3");
  BOOST_TEST(Metric("config_faults") == 0.0);
  AddStep("time=14000 event=config_applied service=probe-hub version=4");
  AddStep(
      "time=18100 event=config_seen balancer=b1 service=probe-hub version=4");
  BOOST_TEST(Metric("config_faults") == 1.0);
}

// Guards against reporting a balancer that was killed before the limit.
BOOST_AUTO_TEST_CASE(VersionNeverInForce_OnStoppedBalancer_IsNoFault) {
  AddStep("time=6000 event=config_applied service=probe-hub version=3");
  AddStep("time=7000 event=balancer_gone balancer=b1");
  BOOST_TEST(Metric("config_faults") == 0.0);
}

BOOST_AUTO_TEST_CASE(UnequalFlows_Measured_GiveTheRatioPerSlot) {
  AddCaller(
      "time=3000 event=flow_opened service=probe-hub flow=f3 "
      "agent=127.0.21.1:7200");
  AddCaller(
      "time=3010 event=head service=probe-hub flow=f3 token=t9 "
      "answered_by=probe-hub upstream=probe-hub/1");
  BOOST_TEST(Metric("imbalance") == 2.0 / 1.5);
  AddStep(
      "time=6000 event=upstream_leaving upstream=probe-hub/2 limit_ms=2000");
  BOOST_TEST(Metric("imbalance") == 1.0);
}

BOOST_AUTO_TEST_CASE(PartialLine_Parsed_IsDropped) {
  BOOST_TEST(!ParseEventLine("").has_value());
  BOOST_TEST(!ParseEventLine("flow=f1 event=").has_value());
  BOOST_TEST(!ParseEventLine("event=run key=k").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
