#include "medlarwinch/standins/invariant_checks.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace medlarwinch {
namespace {

constexpr size_t kMaxExamples = 10;
constexpr int64_t kStatusOk = 200;

// Returns whether a request ended without its complete response and without the
// caller cancelling it.
bool IsTruncated(const EventRecord& verdict) {
  if (verdict.Field("ended_by") != "answer") return false;
  if (verdict.Field("verdict") == "not_run") return false;
  // A feed has no regular end.
  if (verdict.Field("class") == "feed") {
    return verdict.Number("bytes") > 0 || verdict.Field("verdict") != "ran";
  }
  return verdict.Field("complete") != "1";
}

std::string Describe(const EventRecord& record) {
  std::string text = std::to_string(record.time) + " " + record.event;
  for (const char* name : {"flow", "upstream", "agent", "class", "token", "key",
                           "verdict", "status", "fault", "bytes", "ms"}) {
    const std::string& value = record.Field(name);
    if (!value.empty()) text += " " + std::string(name) + "=" + value;
  }
  return text;
}

// Identifies a session of a flow: a flow that breaks twice counts twice, and a
// break reported by two events counts once.
std::string SessionKey(const RunHistory& history, const std::string& flow,
                       int64_t time) {
  int64_t session_begin_ms = 0;
  for (const FlowSession& session : history.sessions()) {
    if (session.flow == flow && session.begin_ms <= time)
      session_begin_ms = session.begin_ms;
  }
  return flow + "@" + std::to_string(session_begin_ms);
}

struct FlowLosses {
  std::map<std::string, std::string> unexplained;
  std::set<std::string> with_upstream;
};

FlowLosses FindLostFlows(const RunLogs& logs, const RunHistory& history) {
  FlowLosses losses;
  for (const EventRecord& record : logs.callers) {
    // A feed that is in a gap at the end of the run has stalled, even if the
    // caller was not notified.
    const bool is_stalled = record.event == "feed_stalled";
    const bool is_broken = record.event == "flow_broken" || is_stalled;
    const bool is_truncated = record.event == "verdict" && IsTruncated(record);
    if (!is_broken && !is_truncated) continue;
    const std::string& flow = record.Field("flow");
    const int64_t begin_ms =
        is_truncated || is_stalled
            ? record.time - std::max<int64_t>(0, record.Number("ms"))
            : record.time;
    const std::string key = SessionKey(history, flow, begin_ms);
    if (history.WasOnFailedUpstream(flow, begin_ms, record.time)) {
      losses.with_upstream.insert(key);
    } else {
      losses.unexplained.emplace(key, Describe(record));
    }
  }
  // A loss that is logged first for the flow and then for its request counts
  // once.
  for (const std::string& key : losses.with_upstream) {
    losses.unexplained.erase(key);
  }
  return losses;
}

std::string ExecutionKey(const EventRecord& run) {
  const std::string& key = run.Field("key");
  if (!key.empty()) return key;
  // The body contains the key as well, for agents that do not forward the
  // header.
  const std::string& body = run.Field("body");
  const std::string mark = ";key=";
  const size_t position = body.find(mark);
  return position == std::string::npos ? ""
                                       : body.substr(position + mark.size());
}

// "token/copy", which identifies a request.
std::string RequestId(const EventRecord& record) {
  const std::string& copy = record.Field("copy");
  return record.Field("token") + "/" + (copy.empty() ? "1" : copy);
}

// Identifiers of the requests that an upstream received.
std::set<std::string> ReceivedRequests(const RunLogs& logs) {
  std::set<std::string> received;
  for (const EventRecord& record : logs.upstreams) {
    if (record.event == "start" || record.event == "run") {
      received.insert(RequestId(record));
    }
  }
  return received;
}

double Percentile(const std::vector<int64_t>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const size_t index = static_cast<size_t>(std::max(1.0, rank)) - 1;
  return static_cast<double>(sorted[std::min(index, sorted.size() - 1)]);
}

void AddVerdictCounts(const RunLogs& logs, RunSummary& summary) {
  std::map<std::string, double>& metrics = summary.metrics;
  for (const char* name :
       {"verdict_ran", "verdict_not_run", "verdict_may_have_run",
        "ended_by_caller", "ended_by_deadline", "feed_gaps", "requests",
        "flows_opened", "flows_shed", "open_timeouts", "flows_moved"}) {
    metrics[name] = 0;
  }
  const std::map<std::string, std::string> counted{
      {"request", "requests"},
      {"feed_gap", "feed_gaps"},
      {"flow_opened", "flows_opened"},
      {"flow_shed", "flows_shed"},
      {"flow_open_timeout", "open_timeouts"},
      {"flow_go_away", "flows_moved"}};
  for (const EventRecord& record : logs.callers) {
    const auto found = counted.find(record.event);
    if (found != counted.end()) ++metrics[found->second];
    if (record.event != "verdict") continue;
    if (record.Field("ended_by") != "answer") {
      ++metrics["ended_by_" + record.Field("ended_by")];
      continue;
    }
    ++metrics["verdict_" + record.Field("verdict")];
  }
}

// Time at which the load generators began to stop: the last moment of full
// load.
int64_t LoadEndTime(const RunLogs& logs) {
  int64_t end = INT64_MAX;
  int64_t last = 0;
  for (const EventRecord& record : logs.callers) {
    last = std::max(last, record.time);
    if (record.event == "stopping") end = std::min(end, record.time);
  }
  return end == INT64_MAX ? last : end;
}

}  // namespace

void CheckResult::Add(std::string text) {
  ++violations;
  if (examples.size() < kMaxExamples) examples.push_back(std::move(text));
}

CheckResult CheckEstablishedFlows(const RunLogs& logs,
                                  const RunHistory& history) {
  CheckResult result{"established flows survive", 0, {}};
  for (const auto& [key, text] : FindLostFlows(logs, history).unexplained) {
    result.Add(text);
  }
  return result;
}

uint64_t CountFlowsLostWithUpstream(const RunLogs& logs,
                                    const RunHistory& history) {
  return FindLostFlows(logs, history).with_upstream.size();
}

CheckResult CheckServiceIsolation(const RunLogs& logs) {
  CheckResult result{"services are isolated", 0, {}};
  std::map<std::string, std::string> service_of_token;
  for (const EventRecord& record : logs.callers) {
    const std::string& token = record.Field("token");
    if (record.event == "request") {
      service_of_token[token] = record.Field("service");
    }
    const bool is_foreign =
        (record.event == "head" &&
         record.Field("answered_by") != record.Field("service")) ||
        (record.event == "answer_fault" && record.Field("fault") == "service");
    if (is_foreign) result.Add(Describe(record));
  }
  for (const EventRecord& record : logs.upstreams) {
    if (record.event != "start") continue;
    const auto found = service_of_token.find(record.Field("token"));
    if (found == service_of_token.end()) continue;
    if (found->second != record.Field("service")) result.Add(Describe(record));
  }
  const auto misdelivered = logs.fabric.find("misdelivered");
  if (misdelivered != logs.fabric.end() && misdelivered->second > 0) {
    for (uint64_t index = 0; index < misdelivered->second; ++index) {
      result.Add("the fabric received a response on behalf of another service");
    }
  }
  return result;
}

CheckResult CheckResponses(const RunLogs& logs) {
  CheckResult result{"responses are complete and match requests", 0, {}};
  for (const EventRecord& record : logs.callers) {
    if (record.event != "verdict") continue;
    const std::string& fault = record.Field("fault");
    const bool is_ok = record.Number("status") == kStatusOk;
    const bool is_feed = record.Field("class") == "feed";
    // Error responses of the agent and the upstream have a body of their own.
    const bool is_mismatched =
        fault == "token" || fault == "service" || fault == "gap";
    if (is_mismatched || (!fault.empty() && (is_ok || is_feed))) {
      result.Add(Describe(record));
      continue;
    }
    const bool claims_complete = !is_feed && is_ok &&
                                 record.Field("complete") == "1" &&
                                 record.Field("verdict") == "ran";
    if (claims_complete && record.Field("whole") != "1") {
      result.Add(Describe(record));
    }
  }
  return result;
}

CheckResult CheckNotRunVerdicts(const RunLogs& logs) {
  CheckResult result{"\"not run\" verdicts are correct", 0, {}};
  const std::set<std::string> received = ReceivedRequests(logs);
  for (const EventRecord& record : logs.callers) {
    if (record.event != "verdict") continue;
    if (record.Field("verdict") != "not_run") continue;
    if (received.contains(RequestId(record))) result.Add(Describe(record));
  }
  return result;
}

CheckResult CheckAtMostOnce(const RunLogs& logs) {
  CheckResult result{"non-repeatable requests run at most once", 0, {}};
  std::map<std::string, std::vector<const EventRecord*>> runs;
  for (const EventRecord& record : logs.upstreams) {
    if (record.event != "run") continue;
    const std::string key = ExecutionKey(record);
    if (!key.empty()) runs[key].push_back(&record);
  }
  for (const auto& [key, records] : runs) {
    if (records.size() < 2) continue;
    std::string text = "key " + key + ":";
    for (const EventRecord* record : records) {
      text += " " + record->Field("upstream") + " at " +
              std::to_string(record->time);
    }
    result.Add(text);
  }
  return result;
}

CheckResult CheckDrainingUpstreams(const RunLogs& logs,
                                   const RunHistory& history) {
  CheckResult result{"no new work on a draining upstream", 0, {}};
  for (const EventRecord& record : logs.upstreams) {
    if (record.event != "start") continue;
    const UpstreamLifetime* lifetime =
        history.LifetimeAt(record.Field("upstream"), record.time);
    if (lifetime == nullptr || record.time <= lifetime->new_work_deadline)
      continue;
    result.Add(Describe(record) + " started after its drain at " +
               std::to_string(lifetime->draining_since));
  }
  return result;
}

CheckResult CheckGracefulStops(const RunLogs& logs, const RunHistory& history) {
  CheckResult result{"planned stops interrupt no request", 0, {}};
  const std::set<std::string> received = ReceivedRequests(logs);
  for (const EventRecord& record : logs.callers) {
    if (record.event != "verdict" || record.Field("class") == "feed") continue;
    const std::string& ended_by = record.Field("ended_by");
    const bool is_unanswered = ended_by == "deadline";
    const bool is_interrupted =
        ended_by == "answer" &&
        (IsTruncated(record) || record.Field("verdict") == "may_have_run") &&
        received.contains(RequestId(record));
    if (!is_unanswered && !is_interrupted) continue;
    const int64_t begin_ms =
        record.time - std::max<int64_t>(0, record.Number("ms"));
    if (history.WasOnFailedUpstream(record.Field("flow"), begin_ms,
                                    record.time)) {
      continue;
    }
    result.Add(Describe(record));
  }
  return result;
}

uint64_t CountUnprovenNotRun(const RunLogs& logs) {
  const std::set<std::string> received = ReceivedRequests(logs);
  return static_cast<uint64_t>(std::count_if(
      logs.callers.begin(), logs.callers.end(), [&](const EventRecord& record) {
        return record.event == "verdict" && record.Field("class") != "feed" &&
               record.Field("ended_by") == "answer" &&
               record.Field("verdict") == "may_have_run" &&
               !received.contains(RequestId(record));
      }));
}

double Imbalance(const RunHistory& history, int64_t time) {
  struct Load {
    double flows = 0;
    double slots = 0;
  };
  std::map<std::string, std::map<std::string, Load>> services;
  for (const UpstreamLifetime& lifetime : history.upstream_lifetimes()) {
    const bool accepts_work =
        lifetime.begin_ms <= time && lifetime.killed_at > time &&
        lifetime.draining_since > time &&
        &lifetime == history.LifetimeAt(lifetime.upstream, time);
    if (!accepts_work) continue;
    services[lifetime.service][lifetime.upstream].slots =
        static_cast<double>(lifetime.slots);
  }
  for (const FlowSession& session : history.sessions()) {
    if (session.begin_ms > time || session.end_ms <= time) continue;
    std::map<std::string, Load>& loads = services[session.service];
    const auto found = loads.find(session.upstream);
    if (found != loads.end()) ++found->second.flows;
  }
  double worst = 1;
  for (const auto& [service, loads] : services) {
    double flows = 0;
    double slots = 0;
    double highest = 0;
    for (const auto& [upstream, load] : loads) {
      flows += load.flows;
      slots += load.slots;
      highest = std::max(highest, load.flows / load.slots);
    }
    if (flows > 0) worst = std::max(worst, highest / (flows / slots));
  }
  return worst;
}

RunSummary Summarize(const RunLogs& logs, int64_t config_limit_ms) {
  const RunHistory history(logs);
  RunSummary summary;
  summary.checks = {CheckEstablishedFlows(logs, history),
                    CheckServiceIsolation(logs),
                    CheckResponses(logs),
                    CheckNotRunVerdicts(logs),
                    CheckAtMostOnce(logs),
                    CheckDrainingUpstreams(logs, history),
                    CheckGracefulStops(logs, history),
                    CheckConfiguration(logs, config_limit_ms)};
  const char* const names[] = {"broken_flows",  "misdelivered", "wrong_answers",
                               "false_not_run", "double_runs",  "late_new_work",
                               "cut_requests",  "config_faults"};
  for (size_t index = 0; index < summary.checks.size(); ++index) {
    summary.metrics[names[index]] =
        static_cast<double>(summary.checks[index].violations);
  }
  AddVerdictCounts(logs, summary);
  std::set<std::string> flows;
  for (const FlowSession& session : history.sessions()) {
    flows.insert(session.flow);
  }
  const std::vector<int64_t> delays = ConfigurationActivationDelays(logs);
  summary.metrics["flows"] = static_cast<double>(flows.size());
  summary.metrics["lost_with_upstream"] =
      static_cast<double>(CountFlowsLostWithUpstream(logs, history));
  summary.metrics["unproven_not_run"] =
      static_cast<double>(CountUnprovenNotRun(logs));
  summary.metrics["imbalance"] = Imbalance(history, LoadEndTime(logs));
  summary.metrics["config_in_force_p99_ms"] = Percentile(delays, 0.99);
  summary.metrics["config_in_force_samples"] =
      static_cast<double>(delays.size());
  return summary;
}

}  // namespace medlarwinch
