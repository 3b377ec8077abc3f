#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarwinch {

/// Label names and values of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process: counters, gauges and histograms
/// (Boost.Histogram), rendered in the Prometheus text format. All functions may
/// be called from any thread. The number of series is bounded; series above the
/// bound are counted in `medlarwinch_metric_series_dropped_total`.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  void Add(const std::string& name, const MetricLabels& labels,
           double amount = 1);

  /// Sets a counter that the caller keeps to its present total.
  void SetTotal(const std::string& name, const MetricLabels& labels,
                double total);

  /// Sets a gauge.
  void Set(const std::string& name, const MetricLabels& labels, double value);

  /// Adds a value to a histogram with logarithmic buckets from 0.1 to 60,000;
  /// latencies are given in milliseconds.
  void Observe(const std::string& name, const MetricLabels& labels,
               double value);

  /// Returns all series in the Prometheus text format, ordered by name.
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
