#include "medlarwinch/transport/metrics.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(MetricsRegistry)

BOOST_AUTO_TEST_CASE(CounterAndGauge_Rendered_HaveTypeAndValue) {
  Metrics metrics;
  metrics.Add("packets_total", {{"service", "a"}, {"kind", "new"}}, 2);
  metrics.Add("packets_total", {{"service", "a"}, {"kind", "new"}});
  metrics.Set("age_ms", {}, 1.5);
  metrics.Set("age_ms", {}, 2.5);
  const std::string text = metrics.Render();
  BOOST_TEST(Contains(text,
                      "# TYPE packets_total counter\n"
                      "packets_total{kind=\"new\",service=\"a\"} 3\n"));
  BOOST_TEST(Contains(text, "# TYPE age_ms gauge\nage_ms 2.5\n"));
}

// Guards against a label value from the network that injects another line.
BOOST_AUTO_TEST_CASE(HostileLabelValue_Rendered_IsEscaped) {
  Metrics metrics;
  metrics.Add("c", {{"tenant", "x\"} 9\nforged 1\\"}});
  BOOST_TEST(
      Contains(metrics.Render(), "c{tenant=\"x\\\"} 9\\nforged 1\\\\\"} 1\n"));
}

// Guards against buckets that are not cumulative, and against losing values
// outside the histogram's range.
BOOST_AUTO_TEST_CASE(ValuesInAndOutOfRange_Rendered_AllAreCounted) {
  Metrics metrics;
  for (const double value : {0.0, -1.0, 0.05, 3.0, 70'000.0}) {
    metrics.Observe("latency_ms", {{"class", "read"}}, value);
  }
  const std::string text = metrics.Render();
  BOOST_TEST(Contains(text, "latency_ms_bucket{class=\"read\",le=\"0.1\"} 3"));
  BOOST_TEST(
      Contains(text, "latency_ms_bucket{class=\"read\",le=\"60000\"} 4"));
  BOOST_TEST(Contains(text, "latency_ms_bucket{class=\"read\",le=\"+Inf\"} 5"));
  BOOST_TEST(Contains(text, "latency_ms_count{class=\"read\"} 5"));
}

// Guards against unbounded memory growth with the number of label values.
BOOST_AUTO_TEST_CASE(ManyLabelValues_Added_NumberOfSeriesIsBounded) {
  Metrics metrics;
  for (int index = 0; index < 3'000; ++index) {
    metrics.Add("c", {{"tenant", std::to_string(index)}});
  }
  metrics.Add("c", {{"tenant", "1"}});
  const std::string text = metrics.Render();
  BOOST_TEST(Contains(text, "c{tenant=\"1\"} 2\n"));
  BOOST_TEST(!Contains(text, "c{tenant=\"2999\"}"));
  BOOST_TEST(Contains(text, "medlarwinch_metric_series_dropped_total 1000\n"));
}

BOOST_AUTO_TEST_CASE(NameOfCounter_SetAsGauge_IsIgnored) {
  Metrics metrics;
  metrics.Add("c", {});
  metrics.Set("c", {}, 7);
  metrics.Set("c", {{"a", "b"}}, 7);
  BOOST_TEST(Contains(metrics.Render(), "# TYPE c counter\nc 1\n#"));
}

// Guards against totals that are exposed with the wrong metric type.
BOOST_AUTO_TEST_CASE(TotalSetTwice_Rendered_IsCounterWithLastValue) {
  Metrics metrics;
  metrics.SetTotal("drops_total", {{"reason", "full"}}, 3);
  metrics.SetTotal("drops_total", {{"reason", "full"}}, 5);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("# TYPE drops_total counter") != std::string::npos);
  BOOST_TEST(text.find("drops_total{reason=\"full\"} 5\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
