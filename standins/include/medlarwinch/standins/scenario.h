#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A timed action of the scenario.
struct ScenarioStep {
  /// Line number in the scenario file.
  int line = 0;
  /// Milliseconds since time 0 of the steps, which follows the load ramp-up and
  /// the settle time.
  int64_t at_ms = 0;
  /// Milliseconds after which the step is reverted; 0 for never.
  int64_t for_ms = 0;
  /// The words of the command, such as {"kill", "balancer", "b2"}.
  std::vector<std::string> words;

  friend bool operator==(const ScenarioStep&, const ScenarioStep&) = default;
};

/// A bound on a metric of the run summary.
struct Expectation {
  int line = 0;
  std::string metric;
  /// One of "==", "<=", ">=", "<", ">".
  std::string comparison;
  double value = 0;

  friend bool operator==(const Expectation&, const Expectation&) = default;
};

/// A parsed scenario file.
struct Scenario {
  std::string topology = "trinacria";
  int64_t balancers = 3;
  /// Connections per upstream host.
  int64_t connections = 40;
  int64_t duration_ms = 20'000;
  /// Time between the readiness of all daemons and the start of the load. It
  /// covers the slow-start window of the documents that the scenarios use.
  int64_t warmup_ms = 4'000;
  /// Time between the end of the ramp-up and time 0 of the steps.
  int64_t settle_ms = 2'000;
  /// Time limit of invariant 8.
  int64_t config_limit_ms = 4'000;
  /// Number of hosts by service, overriding the topology's.
  std::map<std::string, int64_t> hosts;
  /// Flows by class for each service, overriding the shares of `connections`.
  std::map<std::string, int64_t> load;
  /// Additional settings of the load generators and the upstreams.
  std::map<std::string, std::string> caller;
  std::map<std::string, std::string> upstream;
  std::vector<ScenarioStep> steps;
  std::vector<Expectation> expectations;
};

/// Parses a scenario with one statement per line; '#' starts a comment. Fails
/// with kInvalidInput and a message "file:line: ..." for every error.
Result<Scenario> ParseScenario(const std::string& file,
                               const std::string& text);

/// Parses "250ms", "5s" or "2m" into milliseconds; returns a negative value for
/// anything else.
int64_t ParseDuration(const std::string& text);

/// Returns whether `value` satisfies the expectation.
bool IsSatisfied(const Expectation& expectation, double value);

}  // namespace medlarwinch
