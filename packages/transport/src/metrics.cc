#include "medlarwinch/transport/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <mutex>
#include <string_view>
#include <tuple>
#include <variant>

namespace medlarwinch {
namespace {

// A daemon has a few hundred series. The bound prevents label values from the
// network, such as tenants, from exhausting memory.
constexpr size_t kMaxSeries = 2'000;
constexpr unsigned kHistogramBuckets = 24;
constexpr double kSmallestBound = 0.1;
constexpr double kLargestBound = 60'000;
constexpr const char* kDroppedSeries =
    "medlarwinch_metric_series_dropped_total";

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Buckets =
    decltype(boost::histogram::make_histogram(LogAxis(1, 1.0, 2.0)));

struct Counter {
  double value = 0;
};

struct Gauge {
  double value = 0;
};

struct Histogram {
  Buckets buckets = boost::histogram::make_histogram(
      LogAxis(kHistogramBuckets, kSmallestBound, kLargestBound));
  double sum = 0;
};

using Series = std::variant<Counter, Gauge, Histogram>;

std::string FormatNumber(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> text{};
  const std::to_chars_result end =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return std::string(text.data(), end.ptr);
}

std::string EscapeLabelValue(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') escaped += '\\';
    escaped += character;
  }
  return escaped;
}

// Formats labels as `a="x",b="y"`, without braces.
std::string FormatLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += name + "=\"" + EscapeLabelValue(value) + '"';
  }
  return text;
}

std::string FormatSample(const std::string& name, const std::string& labels,
                         double value) {
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  return name + braces + " " + FormatNumber(value) + "\n";
}

// Rounds to four significant digits, because the logarithmic axis yields bounds
// such as 59999.999999999985.
std::string FormatBound(double bound) {
  const double magnitude = std::pow(10.0, 3 - std::floor(std::log10(bound)));
  return FormatNumber(std::round(bound * magnitude) / magnitude);
}

// Boost.Histogram buckets exclude their upper bound, while Prometheus buckets
// include it. The difference is irrelevant for measured times.
std::string FormatHistogram(const std::string& name, const std::string& labels,
                            const Histogram& histogram) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const LogAxis& axis = histogram.buckets.axis();
  std::string text;
  double cumulative = histogram.buckets.at(-1);
  for (int index = 0; index <= axis.size(); ++index) {
    text += FormatSample(
        name + "_bucket",
        prefix + "le=\"" + FormatBound(axis.value(index)) + '"', cumulative);
    cumulative += histogram.buckets.at(index);
  }
  text += FormatSample(name + "_bucket", prefix + "le=\"+Inf\"", cumulative);
  text += FormatSample(name + "_sum", labels, histogram.sum);
  text += FormatSample(name + "_count", labels, cumulative);
  return text;
}

const char* TypeName(const Series& series) {
  constexpr std::array<const char*, 3> kTypeNames = {"counter", "gauge",
                                                     "histogram"};
  return kTypeNames.at(series.index());
}

std::string FormatSeries(const std::string& name, const std::string& labels,
                         const Series& series) {
  if (const Counter* counter = std::get_if<Counter>(&series)) {
    return FormatSample(name, labels, counter->value);
  }
  if (const Gauge* gauge = std::get_if<Gauge>(&series)) {
    return FormatSample(name, labels, gauge->value);
  }
  return FormatHistogram(name, labels, std::get<Histogram>(series));
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  /// Series by metric name, then by formatted labels.
  std::map<std::string, std::map<std::string, Series>> families;
  size_t series_count = 0;
  double dropped_series = 0;

  // Returns the series, creating it if needed. Returns nullptr if the bound is
  // reached or the name belongs to a metric of another type.
  template <typename Kind>
  Kind* FindOrAdd(const std::string& name, const MetricLabels& labels) {
    std::map<std::string, Series>& family = families[name];
    const std::string text = FormatLabels(labels);
    const auto found = family.find(text);
    if (found != family.end()) return std::get_if<Kind>(&found->second);
    const bool is_other_type = !family.empty() && !std::holds_alternative<Kind>(
                                                      family.begin()->second);
    if (series_count >= kMaxSeries || is_other_type) {
      if (family.empty()) families.erase(name);
      ++dropped_series;
      return nullptr;
    }
    ++series_count;
    return &std::get<Kind>(family.emplace(text, Kind{}).first->second);
  }
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, const MetricLabels& labels,
                  double amount) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  Counter* counter = state_->FindOrAdd<Counter>(name, labels);
  if (counter != nullptr) counter->value += amount;
}

void Metrics::SetTotal(const std::string& name, const MetricLabels& labels,
                       double total) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  Counter* counter = state_->FindOrAdd<Counter>(name, labels);
  if (counter != nullptr) counter->value = total;
}

void Metrics::Set(const std::string& name, const MetricLabels& labels,
                  double value) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  Gauge* gauge = state_->FindOrAdd<Gauge>(name, labels);
  if (gauge != nullptr) gauge->value = value;
}

void Metrics::Observe(const std::string& name, const MetricLabels& labels,
                      double value) {
  if (std::isnan(value)) return;
  const double counted = std::max(value, 0.0);
  const std::lock_guard<std::mutex> lock(state_->mutex);
  Histogram* histogram = state_->FindOrAdd<Histogram>(name, labels);
  if (histogram == nullptr) return;
  histogram->buckets(counted);
  histogram->sum += counted;
}

std::string Metrics::Render() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  std::string text;
  for (const auto& [name, family] : state_->families) {
    text += "# TYPE " + name + " " + TypeName(family.begin()->second) + "\n";
    for (const auto& [labels, series] : family) {
      text += FormatSeries(name, labels, series);
    }
  }
  text += std::string("# TYPE ") + kDroppedSeries + " counter\n";
  text += FormatSample(kDroppedSeries, "", state_->dropped_series);
  return text;
}

}  // namespace medlarwinch
