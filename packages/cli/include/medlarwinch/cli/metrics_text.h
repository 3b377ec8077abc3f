#pragma once

#include <map>
#include <string>
#include <vector>

namespace medlarwinch {

/// One series of the Prometheus text format with its value.
struct MetricSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;

  friend bool operator==(const MetricSample&, const MetricSample&) = default;
};

/// Parses the Prometheus text format; comments and lines that can't be
/// understood are left out.
std::vector<MetricSample> ParseMetrics(const std::string& text);

}  // namespace medlarwinch
