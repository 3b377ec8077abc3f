#pragma once

#include <map>
#include <string>
#include <vector>

namespace medlarwinch {

/// One sample of the Prometheus text format.
struct MetricSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;

  friend bool operator==(const MetricSample&, const MetricSample&) = default;
};

/// Parses the Prometheus text format. Comments and malformed lines are skipped.
std::vector<MetricSample> ParseMetrics(const std::string& text);

}  // namespace medlarwinch
