#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarwinch {

/// Labels of one time series, by name.
using MetricLabels = std::map<std::string, std::string>;

/// Registry of the counters, gauges and histograms (Boost.Histogram) of one
/// process, rendered in the Prometheus text format. Thread-safe. The number of
/// series is bounded. Updates of series above the bound are counted in
/// `medlarwinch_metric_series_dropped_total`.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Increments a counter.
  void Add(const std::string& name, const MetricLabels& labels,
           double amount = 1);

  /// Sets a counter whose total is maintained by the caller.
  void SetTotal(const std::string& name, const MetricLabels& labels,
                double total);

  void Set(const std::string& name, const MetricLabels& labels, double value);

  /// Adds a value to a histogram with logarithmic buckets from 0.1 to 60,000.
  /// Latencies are in milliseconds.
  void Observe(const std::string& name, const MetricLabels& labels,
               double value);

  /// Returns all series in the Prometheus text format, sorted by name.
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
