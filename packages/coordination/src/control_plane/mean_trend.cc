#include "medlarwinch/coordination/control_plane/mean_trend.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// The three monitors report within one second of each other with slightly
// different values. Over a shorter span the rate would reflect those
// differences.
constexpr Millis kMinRateSpan{900};

}  // namespace

MeanTrend ObserveMean(MeanTrend trend, double mean, TimePoint now) {
  if (mean < 0) return MeanTrend{};
  if (trend.mean < 0) return MeanTrend{mean, now, mean, now, 0};
  if (mean != trend.mean) trend.reported_at = now;
  trend.mean = mean;
  const Millis span = now - trend.anchor_at;
  if (span < kMinRateSpan) return trend;
  trend.rate = (mean - trend.anchor_mean) / static_cast<double>(span.value);
  trend.anchor_mean = mean;
  trend.anchor_at = now;
  return trend;
}

double EstimateMean(const MeanTrend& trend, TimePoint now) {
  if (trend.mean < 0) return trend.mean;
  const Millis age =
      std::min(now - trend.reported_at + kMeanReportLag, kMaxMeanExtrapolation);
  const double estimate =
      trend.mean + trend.rate * static_cast<double>(age.value);
  return std::max(0.0, estimate);
}

}  // namespace medlarwinch
