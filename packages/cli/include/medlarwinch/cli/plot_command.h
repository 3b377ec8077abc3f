#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"
#include "medlarwinch/cli/svg_chart.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Result of `medlarwinch plot`.
struct PlotReport {
  /// From metrics: flows by upstream, and request latency by tenant and
  /// upstream (99th percentile in ms over each interval between two samples).
  std::vector<Chart> charts;
  size_t samples = 0;

  friend bool operator==(const PlotReport&, const PlotReport&) = default;
};

/// Builds the charts from concatenated outputs of `medlarwinch metrics`.
PlotReport PlotMetricSamples(const std::string& text);

/// Builds the charts from files of samples. Fails with kNotFound when a file
/// cannot be read and with kInvalidInput when there is no sample in them.
Result<PlotReport> RunPlot(const std::vector<std::string>& files);

/// Builds the charts from log records: flows by agent as last reported to the
/// balancers when they opened a flow there, flow resets by reason, and flows
/// forwarded or packets dropped by reason. The last two are rates in log lines
/// per second.
PlotReport PlotFromLogs(const LogCollection& logs);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const PlotReport& report);
/// Renders the charts as an SVG document.
std::string FormatText(const PlotReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const PlotReport& report);

}  // namespace medlarwinch
