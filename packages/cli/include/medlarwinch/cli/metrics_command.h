#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/metrics_text.h"

namespace medlarwinch {

/// Result of `medlarwinch metrics`.
struct MetricsReport {
  Endpoint admin;
  TimePoint time;
  /// Metrics of the daemon in the Prometheus text format.
  std::string text;

  friend bool operator==(const MetricsReport&, const MetricsReport&) = default;
};

/// Reads the metrics of the daemon at the admin address. Fails with
/// kUnavailable or kTimeout.
Result<MetricsReport> RunMetrics(const CommandContext& context,
                                 const Endpoint& admin);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const MetricsReport& report);
/// The metrics after a header line "# sample TIME ADDRESS", as `plot` expects.
std::string FormatText(const MetricsReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const MetricsReport& report);

}  // namespace medlarwinch
