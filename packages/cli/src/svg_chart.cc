#include "medlarwinch/cli/svg_chart.h"

#include <algorithm>
#include <cstdio>

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/coordination/control_plane/document_fields.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr int kWidthPx = 960;
constexpr int kPanelHeightPx = 300;
constexpr int kLeftMarginPx = 70;
constexpr int kRightMarginPx = 260;
constexpr int kTopMarginPx = 40;
constexpr int kBottomMarginPx = 40;
constexpr int kGridLines = 4;
constexpr int kLegendRowHeightPx = 16;
constexpr const char* kColors[] = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd",
                                   "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f"};
constexpr size_t kColorCount = 8;

struct AxisRange {
  TimePoint begin;
  TimePoint end;
  double max = 1;
};

AxisRange AxisRangeOf(const Chart& chart) {
  AxisRange range;
  bool has_point = false;
  for (const ChartSeries& series : chart.series) {
    for (const ChartPoint& point : series.points) {
      if (!has_point) range = {point.time, point.time, point.value};
      has_point = true;
      range.begin = std::min(range.begin, point.time);
      range.end = std::max(range.end, point.time);
      range.max = std::max(range.max, point.value);
    }
  }
  if (range.max <= 0) range.max = 1;
  return range;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '&') {
      escaped += "&amp;";
    } else if (character == '<') {
      escaped += "&lt;";
    } else if (character == '"') {
      escaped += "&quot;";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

std::string FormatCoordinate(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string RenderText(double x, double y, const std::string& anchor,
                       const std::string& text) {
  return "<text x=\"" + FormatCoordinate(x) + "\" y=\"" + FormatCoordinate(y) +
         "\" text-anchor=\"" + anchor + "\">" + Escape(text) + "</text>\n";
}

std::string FormatTickLabel(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

// Renders one chart at a vertical offset of the document.
class Panel {
 public:
  Panel(const Chart& chart, int top)
      : chart_(chart), range_(AxisRangeOf(chart)), top_(top) {}

  std::string Render() const {
    std::string svg =
        RenderText(kLeftMarginPx, top_ + 24, "start", chart_.title);
    for (int line = 0; line <= kGridLines; ++line) {
      const double value = range_.max * line / kGridLines;
      const std::string y = FormatCoordinate(Y(value));
      svg += "<line x1=\"" + FormatCoordinate(kLeftMarginPx) + "\" x2=\"" +
             FormatCoordinate(kWidthPx - kRightMarginPx) + "\" y1=\"" + y +
             "\" y2=\"" + y + "\" stroke=\"#ddd\"/>\n";
      svg += RenderText(kLeftMarginPx - 8, Y(value) + 4, "end",
                        FormatTickLabel(value));
    }
    const double axis_label_y = top_ + kPanelHeightPx - 18;
    svg += RenderText(kLeftMarginPx, axis_label_y, "start",
                      FormatTime(range_.begin));
    svg += RenderText(kWidthPx - kRightMarginPx, axis_label_y, "end",
                      FormatTime(range_.end));
    for (size_t index = 0; index < chart_.series.size(); ++index) {
      svg += RenderSeries(index);
    }
    return svg;
  }

 private:
  double X(TimePoint time) const {
    const double span =
        std::max(static_cast<double>((range_.end - range_.begin).value), 1.0);
    const double offset = static_cast<double>((time - range_.begin).value);
    return kLeftMarginPx +
           offset / span * (kWidthPx - kLeftMarginPx - kRightMarginPx);
  }
  double Y(double value) const {
    const double height = kPanelHeightPx - kTopMarginPx - kBottomMarginPx;
    return top_ + kTopMarginPx + height * (1 - value / range_.max);
  }

  std::string RenderSeries(size_t index) const {
    const ChartSeries& series = chart_.series[index];
    const std::string color = kColors[index % kColorCount];
    std::string svg = "<polyline fill=\"none\" stroke=\"" + color +
                      "\" stroke-width=\"1.5\" points=\"";
    for (const ChartPoint& point : series.points) {
      svg += FormatCoordinate(X(point.time)) + "," +
             FormatCoordinate(Y(point.value)) + " ";
    }
    svg += "\"/>\n";
    const double y =
        top_ + kTopMarginPx + kLegendRowHeightPx * static_cast<double>(index);
    const double x = kWidthPx - kRightMarginPx + 16;
    svg += "<rect x=\"" + FormatCoordinate(x) + "\" y=\"" +
           FormatCoordinate(y - 8) + "\" width=\"10\" height=\"10\" fill=\"" +
           color + "\"/>\n";
    return svg + RenderText(x + 16, y + 1, "start", series.name);
  }

  const Chart& chart_;
  AxisRange range_;
  int top_;
};

}  // namespace

std::string RenderSvg(const std::vector<Chart>& charts) {
  const int height = kPanelHeightPx * static_cast<int>(charts.size());
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(kWidthPx) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  int top = 0;
  for (const Chart& chart : charts) {
    svg += Panel(chart, top).Render();
    top += kPanelHeightPx;
  }
  return svg + "</svg>\n";
}

}  // namespace medlarwinch
