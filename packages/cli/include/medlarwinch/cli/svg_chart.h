#pragma once

#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// One value at a wall-clock time.
struct ChartPoint {
  TimePoint time;
  double value = 0;

  friend bool operator==(const ChartPoint&, const ChartPoint&) = default;
};

/// One line of a chart, with its points in time order.
struct ChartSeries {
  std::string name;
  std::vector<ChartPoint> points;

  friend bool operator==(const ChartSeries&, const ChartSeries&) = default;
};

/// A panel with a time axis and a value axis that starts at 0.
struct Chart {
  std::string title;
  std::vector<ChartSeries> series;

  friend bool operator==(const Chart&, const Chart&) = default;
};

/// Renders the charts, stacked vertically, as one SVG document.
std::string RenderSvg(const std::vector<Chart>& charts);

}  // namespace medlarwinch
