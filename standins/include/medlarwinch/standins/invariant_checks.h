#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/standins/run_history.h"

namespace medlarwinch {

/// The finding of one check.
struct CheckResult {
  std::string name;
  uint64_t violations = 0;
  /// The first violations, each in one line.
  std::vector<std::string> examples;

  /// Counts a violation and keeps its text while there are few.
  void Add(std::string text);
};

/// Invariant 1: an established flow survives. Counts flows that were lost, or
/// whose request or feed stopped before its end, without the caller asking for
/// it, while their upstream was neither killed nor frozen.
CheckResult CheckEstablishedFlows(const RunLogs& logs,
                                  const RunHistory& history);

/// Counts the flows of killed or frozen upstreams that were lost.
uint64_t CountFlowsLostWithUpstream(const RunLogs& logs,
                                    const RunHistory& history);

/// Invariant 2: no packet reaches another service. Counts answers of another
/// service, requests that an upstream of another service received, and packets
/// that the fabric saw answered in the name of another service.
CheckResult CheckServiceIsolation(const RunLogs& logs);

/// Invariant 3: a caller gets the whole answer to its own request. Counts
/// crossed, damaged and truncated answers.
CheckResult CheckResponses(const RunLogs& logs);

/// Invariant 4: "not run" is true. Counts requests with that verdict which an
/// upstream received.
CheckResult CheckNotRunVerdicts(const RunLogs& logs);

/// Invariant 5: a request that may not be repeated runs at most once. Counts
/// idempotency keys with more than one execution.
CheckResult CheckAtMostOnce(const RunLogs& logs);

/// Invariant 6: an upstream that leaves gets no new work. Counts requests that
/// started on it after the limit of its announcement.
CheckResult CheckDrainingUpstreams(const RunLogs& logs,
                                   const RunHistory& history);

/// Invariant 7: a planned stop interrupts no request. Counts requests that an
/// upstream received and that ended without its answer, and requests without
/// any answer until their deadline, although their upstream was neither killed
/// nor frozen.
CheckResult CheckGracefulStops(const RunLogs& logs, const RunHistory& history);

/// Counts requests that ended with "may have run" although no upstream received
/// them. They are not interrupted; the verdict is true, but not as good as it
/// could be.
uint64_t CountUnprovenNotRun(const RunLogs& logs);

/// Invariant 8: an accepted configuration is in force on every balancer within
/// `limit_ms` and never reverts.
CheckResult CheckConfiguration(const RunLogs& logs, int64_t limit_ms);

/// Times from the acceptance of each configuration until each balancer had it
/// in force, in milliseconds, in ascending order.
std::vector<int64_t> ConfigurationActivationDelays(const RunLogs& logs);

/// Highest ratio, over the services, of the most loaded slot to the mean, of
/// the flows held at `time` on upstreams that take work. 1 without any flow.
double Imbalance(const RunHistory& history, int64_t time);

/// Numbers of a run by name, such as "broken_flows"; scenarios' expectations
/// refer to them.
struct RunSummary {
  std::vector<CheckResult> checks;
  std::map<std::string, double> metrics;
};

/// Runs all checks. `config_limit_ms` bounds the time of invariant 8.
RunSummary Summarize(const RunLogs& logs, int64_t config_limit_ms);

}  // namespace medlarwinch
