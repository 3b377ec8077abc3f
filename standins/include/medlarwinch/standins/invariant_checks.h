#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/standins/run_history.h"

namespace medlarwinch {

/// The result of one check.
struct CheckResult {
  std::string name;
  uint64_t violations = 0;
  /// The first violations, one line each.
  std::vector<std::string> examples;

  /// Counts a violation and keeps its text while the example limit is not
  /// reached.
  void Add(std::string text);
};

/// Invariant 1: established flows survive. Counts flows that were lost, or
/// whose request or feed ended early without the caller cancelling it, while
/// their upstream was neither killed nor frozen.
CheckResult CheckEstablishedFlows(const RunLogs& logs,
                                  const RunHistory& history);

/// Counts flows lost because their upstream was killed or frozen.
uint64_t CountFlowsLostWithUpstream(const RunLogs& logs,
                                    const RunHistory& history);

/// Invariant 2: no packet reaches another service. Counts responses from
/// another service, requests received by an upstream of another service, and
/// response packets that the fabric received on behalf of another service.
CheckResult CheckServiceIsolation(const RunLogs& logs);

/// Invariant 3: a caller gets the complete response to its own request. Counts
/// responses that belong to another request, are corrupt or are truncated.
CheckResult CheckResponses(const RunLogs& logs);

/// Invariant 4: a "not run" verdict is correct. Counts requests with that
/// verdict that an upstream received.
CheckResult CheckNotRunVerdicts(const RunLogs& logs);

/// Invariant 5: a non-repeatable request runs at most once. Counts idempotency
/// keys with more than one execution.
CheckResult CheckAtMostOnce(const RunLogs& logs);

/// Invariant 6: a draining upstream gets no new work. Counts requests that
/// started on it later than the allowed time after its drain was announced.
CheckResult CheckDrainingUpstreams(const RunLogs& logs,
                                   const RunHistory& history);

/// Invariant 7: a planned stop interrupts no request. Counts requests that an
/// upstream received but that ended without its response, and requests that got
/// no response before their deadline, although their upstream was neither
/// killed nor frozen.
CheckResult CheckGracefulStops(const RunLogs& logs, const RunHistory& history);

/// Counts requests with the verdict "may have run" that no upstream received.
/// They were not interrupted: the verdict is correct but less precise than "not
/// run".
uint64_t CountUnprovenNotRun(const RunLogs& logs);

/// Invariant 8: an accepted configuration is in force on every balancer within
/// `limit_ms` and is never rolled back.
CheckResult CheckConfiguration(const RunLogs& logs, int64_t limit_ms);

/// Delays in milliseconds from the acceptance of each configuration until it is
/// in force on each balancer, in ascending order.
std::vector<int64_t> ConfigurationActivationDelays(const RunLogs& logs);

/// Highest ratio, over all services, of the flows per slot on the most loaded
/// upstream to the service's mean, for the flows held at `time` on upstreams
/// that accept work. 1 without any flow.
double Imbalance(const RunHistory& history, int64_t time);

/// Check results and metrics of a run. Scenario expectations refer to metrics
/// by name, such as "broken_flows".
struct RunSummary {
  std::vector<CheckResult> checks;
  std::map<std::string, double> metrics;
};

/// Runs all checks. `config_limit_ms` is the time limit of invariant 8.
RunSummary Summarize(const RunLogs& logs, int64_t config_limit_ms);

}  // namespace medlarwinch
