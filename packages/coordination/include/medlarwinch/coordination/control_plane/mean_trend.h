#pragma once

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Trend of the mean flows per slot of a service, derived from the values that
/// the monitors report about once a second.
struct MeanTrend {
  /// Last reported mean; negative before the first report.
  double mean = -1;
  /// Time of the last report with a changed value.
  TimePoint reported_at;
  /// Mean and time that the rate is measured from.
  double anchor_mean = -1;
  TimePoint anchor_at;
  /// Rate of change of the mean per millisecond.
  double rate = 0;

  friend bool operator==(const MeanTrend&, const MeanTrend&) = default;
};

/// Time by which a reported mean lags behind the flows on arrival: half of the
/// heartbeat interval of one second.
inline constexpr Millis kMeanReportLag{500};
/// Maximum time over which a mean is extrapolated, so that the estimate stays
/// bounded when the monitors stop reporting.
inline constexpr Millis kMaxMeanExtrapolation{2'000};

/// Updates the trend with a reported mean. A negative value means that it is
/// unknown.
MeanTrend ObserveMean(MeanTrend trend, double mean, TimePoint now);

/// Estimates the mean at `now`; negative when it is unknown. Without
/// extrapolation, all first candidates refuse flows while the load ramps up,
/// and the last candidates take them regardless of their load.
double EstimateMean(const MeanTrend& trend, TimePoint now);

}  // namespace medlarwinch
