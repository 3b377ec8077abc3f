#include "medlarwinch/coordination/control_plane/mean_trend.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(MeanTrendOfService)

// Guards against first candidates that refuse every flow while the load grows:
// the estimate must follow a ramp although the reports lag behind.
BOOST_AUTO_TEST_CASE(RampReported_Estimated_TracksFlows) {
  constexpr double kRatePerMs = 0.1;
  MeanTrend trend;
  for (int64_t at = 0; at <= 10'000; at += 1'000) {
    const double reported =
        std::max(0.0, kRatePerMs * static_cast<double>(at - 500));
    trend = ObserveMean(trend, reported, TimePoint{at});
  }
  for (const int64_t at : {10'000, 10'400, 10'900}) {
    const double actual = kRatePerMs * static_cast<double>(at);
    const double estimate = EstimateMean(trend, TimePoint{at});
    BOOST_TEST(estimate > actual * 0.99);
    BOOST_TEST(estimate < actual * 1.01);
  }
}

BOOST_AUTO_TEST_CASE(SteadyMean_Estimated_IsUnchanged) {
  MeanTrend trend;
  for (int64_t at = 0; at <= 5'000; at += 300) {
    trend = ObserveMean(trend, 40, TimePoint{at});
  }
  BOOST_TEST(EstimateMean(trend, TimePoint{9'000}) == 40);
}

// Guards against an estimate that grows without bound while no monitor sends
// acks.
BOOST_AUTO_TEST_CASE(ReportsStop_Estimated_IsBounded) {
  MeanTrend trend = ObserveMean(MeanTrend{}, 10, TimePoint{0});
  trend = ObserveMean(trend, 20, TimePoint{1'000});
  BOOST_TEST(EstimateMean(trend, TimePoint{60'000}) ==
             EstimateMean(trend, TimePoint{3'000}));
}

BOOST_AUTO_TEST_CASE(MeanUnknown_Estimated_IsUnknown) {
  BOOST_TEST(EstimateMean(MeanTrend{}, TimePoint{0}) < 0);
  const MeanTrend known = ObserveMean(MeanTrend{}, 10, TimePoint{0});
  BOOST_TEST(
      EstimateMean(ObserveMean(known, -1, TimePoint{10}), TimePoint{20}) < 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
