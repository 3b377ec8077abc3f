#include "medlarwinch/cli/plot_command.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

std::string SampleAt(int second, int flows, int up_to_10_ms, int total) {
  const std::string bucket =
      "medlarwinch_request_latency_ms_bucket{tenant=\"dawn\",le=\"";
  return "# sample 2026-01-31T12:00:0" + std::to_string(second) +
         ".000Z 10.2.0.1:7300\nmedlarwinch_flows " + std::to_string(flows) +
         "\n" + bucket + "10\"} " + std::to_string(up_to_10_ms) + "\n" +
         bucket + "100\"} " + std::to_string(total) + "\n" + bucket +
         "+Inf\"} " + std::to_string(total) + "\n";
}

BOOST_AUTO_TEST_SUITE(MetricsPlot)

// The histograms are cumulative; the latency must cover only the interval
// between two samples and not the lifetime of the process.
BOOST_AUTO_TEST_CASE(ThreeSamples_Plotted_LatencyIsPerInterval) {
  const PlotReport report = PlotMetricSamples(SampleAt(0, 10, 1'000, 1'000) +
                                              SampleAt(1, 20, 1'100, 1'100) +
                                              SampleAt(2, 30, 1'100, 1'200));
  BOOST_REQUIRE(report.charts.size() == 2U);
  BOOST_TEST(report.charts[0].series.at(0).name == "10.2.0.1:7300");
  BOOST_TEST(report.charts[0].series.at(0).points.size() == 3U);
  const ChartSeries& latency = report.charts[1].series.at(0);
  BOOST_TEST(latency.name == "dawn at 10.2.0.1:7300");
  BOOST_REQUIRE(latency.points.size() == 2U);
  BOOST_TEST(latency.points[0].value == 10);
  BOOST_TEST(latency.points[1].value == 100);
}

BOOST_AUTO_TEST_CASE(Charts_Rendered_AreOneSvgWithEscapedNames) {
  const std::string svg =
      RenderSvg({Chart{"a<b", {ChartSeries{"\"x\"", {{TimePoint{1}, 2}}}}}});
  BOOST_TEST(svg.rfind("<svg ", 0) == 0U);
  BOOST_TEST(svg.find("a&lt;b") != std::string::npos);
  BOOST_TEST(svg.find("&quot;x&quot;") != std::string::npos);
  BOOST_TEST(svg.find("nan") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(NoSample_Plotted_HasNoSeries) {
  BOOST_TEST(PlotMetricSamples("medlarwinch_flows 3\n").samples == 0U);
  BOOST_CHECK(!IsOk(RunPlot({"/nonexistent"})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
