#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/metrics_text.h"

namespace medlarwinch {

/// Answer of `medlarwinch metrics`.
struct MetricsReport {
  Endpoint admin;
  TimePoint time;
  /// The Prometheus text of the daemon.
  std::string text;

  friend bool operator==(const MetricsReport&, const MetricsReport&) = default;
};

/// Reads the metrics of the daemon at the admin address. Fails with
/// kUnavailable or kTimeout.
Result<MetricsReport> RunMetrics(const CommandContext& context,
                                 const Endpoint& admin);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const MetricsReport& report);
/// The text after a line "# sample TIME ADDRESS", which `plot` reads.
std::string FormatText(const MetricsReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const MetricsReport& report);

}  // namespace medlarwinch
