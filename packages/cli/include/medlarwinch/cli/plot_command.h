#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"
#include "medlarwinch/cli/svg_chart.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Answer of `medlarwinch plot`.
struct PlotReport {
  /// Flows by upstream, and latency by tenant and upstream (99th percentile of
  /// each interval between two samples, in ms).
  std::vector<Chart> charts;
  size_t samples = 0;

  friend bool operator==(const PlotReport&, const PlotReport&) = default;
};

/// Makes the charts from the text of metrics samples, as `medlarwinch metrics`
/// prints them one after the other.
PlotReport PlotMetricSamples(const std::string& text);

/// Reads the files of samples. Fails with kNotFound when a file can't be read,
/// kInvalidInput when there is no sample in them.
Result<PlotReport> RunPlot(const std::vector<std::string>& files);

/// Makes the charts from log lines: flows by agent as the balancers that open
/// flows there know them, resets by reason, and flows that were passed on or
/// dropped, the last two as lines a second.
PlotReport PlotFromLogs(const LogCollection& logs);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const PlotReport& report);
/// The charts as an SVG document.
std::string FormatText(const PlotReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const PlotReport& report);

}  // namespace medlarwinch
