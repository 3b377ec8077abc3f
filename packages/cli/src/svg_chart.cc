#include "medlarwinch/cli/svg_chart.h"

#include <algorithm>
#include <cstdio>

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/coordination/document_fields.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr int kWidth = 960;
constexpr int kPanelHeight = 300;
constexpr int kLeft = 70;
constexpr int kRight = 260;
constexpr int kTop = 40;
constexpr int kBottom = 40;
constexpr int kGridLines = 4;
constexpr int kLegendStep = 16;
constexpr const char* kColors[] = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd",
                                   "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f"};
constexpr size_t kColorCount = 8;

struct Bounds {
  TimePoint begin;
  TimePoint end;
  double max = 1;
};

Bounds BoundsOf(const Chart& chart) {
  Bounds bounds;
  bool has_point = false;
  for (const ChartSeries& series : chart.series) {
    for (const ChartPoint& point : series.points) {
      if (!has_point) bounds = {point.time, point.time, point.value};
      has_point = true;
      bounds.begin = std::min(bounds.begin, point.time);
      bounds.end = std::max(bounds.end, point.time);
      bounds.max = std::max(bounds.max, point.value);
    }
  }
  if (bounds.max <= 0) bounds.max = 1;
  return bounds;
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

std::string Coordinate(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string Text(double x, double y, const std::string& anchor,
                 const std::string& text) {
  return "<text x=\"" + Coordinate(x) + "\" y=\"" + Coordinate(y) +
         "\" text-anchor=\"" + anchor + "\">" + Escape(text) + "</text>\n";
}

std::string RoundedValue(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

// Places the points of one panel.
class Panel {
 public:
  Panel(const Chart& chart, int top)
      : chart_(chart), bounds_(BoundsOf(chart)), top_(top) {}

  std::string Render() const {
    std::string svg = Text(kLeft, top_ + 24, "start", chart_.title);
    for (int line = 0; line <= kGridLines; ++line) {
      const double value = bounds_.max * line / kGridLines;
      const std::string y = Coordinate(Y(value));
      svg += "<line x1=\"" + Coordinate(kLeft) + "\" x2=\"" +
             Coordinate(kWidth - kRight) + "\" y1=\"" + y + "\" y2=\"" + y +
             "\" stroke=\"#ddd\"/>\n";
      svg += Text(kLeft - 8, Y(value) + 4, "end", RoundedValue(value));
    }
    const double below = top_ + kPanelHeight - 18;
    svg += Text(kLeft, below, "start", FormatTime(bounds_.begin));
    svg += Text(kWidth - kRight, below, "end", FormatTime(bounds_.end));
    for (size_t index = 0; index < chart_.series.size(); ++index) {
      svg += RenderSeries(index);
    }
    return svg;
  }

 private:
  double X(TimePoint time) const {
    const double span =
        std::max(static_cast<double>((bounds_.end - bounds_.begin).value), 1.0);
    const double offset = static_cast<double>((time - bounds_.begin).value);
    return kLeft + offset / span * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    const double height = kPanelHeight - kTop - kBottom;
    return top_ + kTop + height * (1 - value / bounds_.max);
  }

  std::string RenderSeries(size_t index) const {
    const ChartSeries& series = chart_.series[index];
    const std::string color = kColors[index % kColorCount];
    std::string svg = "<polyline fill=\"none\" stroke=\"" + color +
                      "\" stroke-width=\"1.5\" points=\"";
    for (const ChartPoint& point : series.points) {
      svg += Coordinate(X(point.time)) + "," + Coordinate(Y(point.value)) + " ";
    }
    svg += "\"/>\n";
    const double y = top_ + kTop + kLegendStep * static_cast<double>(index);
    const double x = kWidth - kRight + 16;
    svg += "<rect x=\"" + Coordinate(x) + "\" y=\"" + Coordinate(y - 8) +
           "\" width=\"10\" height=\"10\" fill=\"" + color + "\"/>\n";
    return svg + Text(x + 16, y + 1, "start", series.name);
  }

  const Chart& chart_;
  Bounds bounds_;
  int top_;
};

}  // namespace

std::string RenderSvg(const std::vector<Chart>& charts) {
  const int height = kPanelHeight * static_cast<int>(charts.size());
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(kWidth) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  int top = 0;
  for (const Chart& chart : charts) {
    svg += Panel(chart, top).Render();
    top += kPanelHeight;
  }
  return svg + "</svg>\n";
}

}  // namespace medlarwinch
