#include "medlarwinch/cli/plot_command.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <sstream>

#include "medlarwinch/cli/metrics_text.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/system_clock.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
namespace {

const std::string kSampleHeaderPrefix = "# sample ";
const std::string kFlowsMetric = "medlarwinch_flows";
const std::string kLatencyBucketMetric =
    "medlarwinch_request_latency_ms_bucket";
constexpr double kLatencyQuantile = 0.99;
constexpr int64_t kMillisPerSecond = 1'000;

// Cumulative counts of a histogram, by upper bound of the bucket.
using Buckets = std::map<double, double>;

struct Sample {
  TimePoint time;
  std::string address;
  std::string text;
};

std::vector<Sample> SplitSamples(const std::string& text) {
  std::vector<Sample> samples;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(kSampleHeaderPrefix, 0) != 0) {
      if (!samples.empty()) samples.back().text += line + "\n";
      continue;
    }
    std::istringstream words(line.substr(kSampleHeaderPrefix.size()));
    std::string time;
    Sample sample;
    words >> time >> sample.address;
    const Result<TimePoint> parsed = ParseTime(time, TimePoint{0});
    if (!IsOk(parsed)) continue;
    sample.time = ValueOf(parsed);
    samples.push_back(sample);
  }
  std::stable_sort(
      samples.begin(), samples.end(),
      [](const Sample& a, const Sample& b) { return a.time < b.time; });
  return samples;
}

std::map<std::string, Buckets> LatencyByTenant(
    const std::vector<MetricSample>& metrics) {
  std::map<std::string, Buckets> tenants;
  for (const MetricSample& metric : metrics) {
    const auto bound = metric.labels.find("le");
    if (metric.name != kLatencyBucketMetric || bound == metric.labels.end())
      continue;
    const auto tenant = metric.labels.find("tenant");
    const std::string name =
        tenant == metric.labels.end() ? "" : tenant->second;
    // strtod reads "+Inf" as infinity.
    tenants[name][std::strtod(bound->second.c_str(), nullptr)] = metric.value;
  }
  return tenants;
}

// Returns the upper bound of the bucket that holds the quantile of the values
// recorded between two samples; -1 when there are none.
double LatencyQuantileBetween(const Buckets& before, const Buckets& after) {
  if (after.empty()) return -1;
  Buckets counts;
  for (const auto& [bound, count] : after) {
    const auto previous = before.find(bound);
    counts[bound] = count - (previous == before.end() ? 0 : previous->second);
  }
  const double total = counts.rbegin()->second;
  if (total <= 0) return -1;
  double last_bound = 0;
  for (const auto& [bound, count] : counts) {
    // Values above the last finite bound are plotted at that bound.
    const bool is_last = bound == counts.rbegin()->first;
    if (count >= kLatencyQuantile * total) return is_last ? last_bound : bound;
    last_bound = bound;
  }
  return last_bound;
}

std::vector<ChartSeries> ToSeries(
    std::map<std::string, std::vector<ChartPoint>> points) {
  std::vector<ChartSeries> series;
  series.reserve(points.size());
  for (auto& [name, list] : points) {
    series.push_back(ChartSeries{name, std::move(list)});
  }
  return series;
}

// Returns a point for every second from the first to the last, so that the line
// returns to zero between two bursts.
std::map<std::string, std::vector<ChartPoint>> ToPointsPerSecond(
    const std::map<std::string, std::map<int64_t, double>>& counts) {
  std::map<std::string, std::vector<ChartPoint>> points;
  for (const auto& [name, seconds] : counts) {
    for (int64_t second = seconds.begin()->first;
         second <= seconds.rbegin()->first; ++second) {
      const auto found = seconds.find(second);
      points[name].push_back({TimePoint{second * kMillisPerSecond},
                              found == seconds.end() ? 0 : found->second});
    }
  }
  return points;
}

}  // namespace

PlotReport PlotMetricSamples(const std::string& text) {
  PlotReport report;
  std::map<std::string, std::vector<ChartPoint>> flows;
  std::map<std::string, std::vector<ChartPoint>> latency;
  std::map<std::string, Buckets> previous_buckets;
  for (const Sample& sample : SplitSamples(text)) {
    ++report.samples;
    const std::vector<MetricSample> metrics = ParseMetrics(sample.text);
    for (const MetricSample& metric : metrics) {
      if (metric.name != kFlowsMetric) continue;
      flows[sample.address].push_back({sample.time, metric.value});
    }
    for (const auto& [tenant, buckets] : LatencyByTenant(metrics)) {
      const std::string name =
          (tenant.empty() ? "(no tenant)" : tenant) + " at " + sample.address;
      const auto before = previous_buckets.find(name);
      if (before != previous_buckets.end()) {
        const double value = LatencyQuantileBetween(before->second, buckets);
        if (value >= 0) latency[name].push_back({sample.time, value});
      }
      previous_buckets[name] = buckets;
    }
  }
  report.charts = {Chart{"Flows by upstream", ToSeries(std::move(flows))},
                   Chart{"Request latency by tenant, 99th percentile, ms",
                         ToSeries(std::move(latency))}};
  return report;
}

Result<PlotReport> RunPlot(const std::vector<std::string>& files) {
  std::string text;
  for (const std::string& file : files) {
    const Result<std::string> content = ReadTextFile(file);
    if (!IsOk(content)) return ErrorOf(content);
    text += ValueOf(content) + "\n";
  }
  PlotReport report = PlotMetricSamples(text);
  if (report.samples > 0) return report;
  return Error{
      ErrorCode::kInvalidInput,
      "the files contain no sample: a sample starts with a line '# sample "
      "TIME ADDRESS', as printed by `medlarwinch metrics`"};
}

PlotReport PlotFromLogs(const LogCollection& logs) {
  using Points = std::map<std::string, std::vector<ChartPoint>>;
  Points flows;
  std::map<std::string, std::map<int64_t, double>> resets;
  std::map<std::string, std::map<int64_t, double>> forwarded_or_dropped;
  for (const LogRecord& record : logs.records) {
    const int64_t second = record.time.value / kMillisPerSecond;
    const std::string reason = FieldOf(record, "reason");
    if (record.event == "flow_opening") {
      const double count =
          std::strtod(FieldOf(record, "flows").c_str(), nullptr);
      flows[FieldOf(record, "agent")].push_back({record.time, count});
    } else if (record.event == "flow_reset") {
      ++resets[reason][second];
    } else if (record.event == "flow_passed_on" ||
               record.event == "packet_dropped") {
      ++forwarded_or_dropped[reason][second];
    }
  }
  PlotReport report;
  report.samples = logs.records.size();
  report.charts = {
      Chart{"Flows by agent", ToSeries(std::move(flows))},
      Chart{"Flow resets per second, by reason",
            ToSeries(ToPointsPerSecond(resets))},
      Chart{"Flows forwarded or packets dropped per second, by reason",
            ToSeries(ToPointsPerSecond(forwarded_or_dropped))}};
  return report;
}

ExitCode ExitCodeOf(const PlotReport& /*report*/) { return kExitOk; }

std::string FormatText(const PlotReport& report) {
  return RenderSvg(report.charts);
}

nlohmann::json ToJson(const PlotReport& report) {
  nlohmann::json charts = nlohmann::json::array();
  for (const Chart& chart : report.charts) {
    nlohmann::json list = nlohmann::json::array();
    for (const ChartSeries& series : chart.series) {
      nlohmann::json points = nlohmann::json::array();
      for (const ChartPoint& point : series.points) {
        points.push_back({FormatTime(point.time), point.value});
      }
      list.push_back({{"name", series.name}, {"points", points}});
    }
    charts.push_back({{"title", chart.title}, {"series", list}});
  }
  return {{"samples", report.samples}, {"charts", charts}};
}

}  // namespace medlarwinch
