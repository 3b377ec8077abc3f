#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Something that the runner does at a time of the run.
struct ScenarioStep {
  /// Line in the scenario file.
  int line = 0;
  /// Milliseconds since the load was up.
  int64_t at_ms = 0;
  /// Milliseconds after which it is undone; 0 never.
  int64_t for_ms = 0;
  /// The words that say what to do, such as {"kill", "balancer", "b2"}.
  std::vector<std::string> words;

  friend bool operator==(const ScenarioStep&, const ScenarioStep&) = default;
};

/// A bound on a number of the run's summary.
struct Expectation {
  int line = 0;
  std::string metric;
  /// One of "==", "<=", ">=", "<", ">".
  std::string comparison;
  double value = 0;

  friend bool operator==(const Expectation&, const Expectation&) = default;
};

/// A scenario file.
struct Scenario {
  std::string topology = "trinacria";
  int64_t balancers = 3;
  /// Connections for each upstream host.
  int64_t connections = 40;
  int64_t duration_ms = 20'000;
  /// Time between the readiness of all daemons and the start of the load. It
  /// covers the slow start of the documents that the scenarios use.
  int64_t warmup_ms = 4'000;
  /// Time between the end of the ramp and time 0 of the steps.
  int64_t settle_ms = 2'000;
  /// Bound of invariant 8.
  int64_t config_limit_ms = 4'000;
  /// Hosts by service where fewer than the topology's run.
  std::map<std::string, int64_t> hosts;
  /// Flows by class for each service, instead of shares of `connections`.
  std::map<std::string, int64_t> load;
  /// Further settings of the load tools and of the upstreams.
  std::map<std::string, std::string> caller;
  std::map<std::string, std::string> upstream;
  std::vector<ScenarioStep> steps;
  std::vector<Expectation> expectations;
};

/// Parses a scenario, one statement a line; '#' starts a comment. Fails with
/// kInvalidInput; the message has "file:line: ..." for every mistake.
Result<Scenario> ParseScenario(const std::string& file,
                               const std::string& text);

/// Parses "250ms", "5s" or "2m" into milliseconds; negative on anything else.
int64_t ParseDuration(const std::string& text);

/// Returns whether `value` meets the expectation.
bool IsSatisfied(const Expectation& expectation, double value);

}  // namespace medlarwinch
