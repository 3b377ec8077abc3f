#pragma once

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// How the mean flows per slot of a service develops, from the values that the
/// keepers report about once a second.
struct MeanTrend {
  /// Last reported mean; negative before the first report.
  double mean = -1;
  /// When the last report with a new value arrived.
  TimePoint reported_at;
  /// Mean and time from which the rate is measured.
  double anchor_mean = -1;
  TimePoint anchor_at;
  /// Change of the mean per millisecond.
  double rate = 0;

  friend bool operator==(const MeanTrend&, const MeanTrend&) = default;
};

/// Time by which a reported mean lags behind the flows when it arrives: half of
/// the heartbeat interval of one second.
inline constexpr Millis kMeanReportLag{500};
/// A mean is extrapolated over at most this time, so that a silent keeper does
/// not make the estimate grow without bound.
inline constexpr Millis kMaxMeanExtrapolation{2'000};

/// Takes a reported mean; a negative one means that it is unknown.
MeanTrend ObserveMean(MeanTrend trend, double mean, TimePoint now);

/// Estimates the mean at `now`; negative when it is unknown. Without the
/// extrapolation all first candidates refuse while flows arrive in a ramp, and
/// the last candidates take them without regard to their load.
double EstimateMean(const MeanTrend& trend, TimePoint now);

}  // namespace medlarwinch
