#include <boost/test/unit_test.hpp>
#include <limits>

#include "outlier_simulation.h"

namespace medlarwinch {
namespace {

using Kind = UpstreamFault::Kind;

constexpr uint32_t kUpstreams = 24;
constexpr uint32_t kFaulty = 4;
// Time at which the fault begins; balancers have baselines by then.
constexpr int64_t kOnset = 10'000;
constexpr double kTenth = 0.1;

// Speeds from 0.7 to 1.7, as different as upstreams are.
std::vector<double> EvenSpeeds() {
  std::vector<double> speeds;
  for (uint32_t index = 0; index < kUpstreams; ++index) {
    speeds.push_back(0.7 + index * 1.0 / (kUpstreams - 1));
  }
  return speeds;
}

// Two thirds of the upstreams are fast.
std::vector<double> MostlyFast() {
  std::vector<double> speeds;
  for (uint32_t index = 0; index < kUpstreams; ++index) {
    speeds.push_back(index % 3 == 2 ? 1.7 : 0.7);
  }
  return speeds;
}

// A day on which a fault can be set at kOnset.
struct DayAtOnset : OutlierSimulation {
  DayAtOnset() : OutlierSimulation(EvenSpeeds()) { RunUntil(kOnset); }
};

// Returns the new flows of an upstream in multiples of its fair share, for four
// seconds from `detection_ms` after the onset of its fault. The mean of some
// days, because a tenth of the share is only some five flows on each.
double SharesAfter(const UpstreamFault& fault, int64_t detection_ms,
                   const std::vector<double>& speeds = EvenSpeeds(),
                   bool is_hidden = false) {
  constexpr uint64_t kDays = 5;
  double sum = 0;
  for (uint64_t seed = 1; seed <= kDays; ++seed) {
    OutlierSimulation day(speeds, 300, seed);
    if (is_hidden) day.HideFailures();
    day.RunUntil(kOnset);
    day.SetFault(kFaulty, fault);
    day.RunUntil(kOnset + detection_ms);
    sum += day.FairSharesUntil(kOnset + detection_ms + 4'000, kFaulty);
  }
  return sum / kDays;
}

BOOST_AUTO_TEST_SUITE(OutlierDetection)

void PlayQuietDay(const std::vector<double>& speeds, double flows_per_second) {
  OutlierSimulation day(speeds, flows_per_second);
  for (int64_t second = 2; second <= 31; ++second) {
    // Some upstreams start again and are cold for two seconds.
    day.SetCold(second % kUpstreams, true);
    day.SetCold((second - 2) % kUpstreams, false);
    day.RunUntil(second * 1'000);
  }
  BOOST_TEST(day.withdrawals() == 0);
}

// Guards against false alarms about upstreams of different speeds.
BOOST_AUTO_TEST_CASE(QuietDay_UpstreamsOfEvenSpeeds_NobodyIsWithdrawn) {
  PlayQuietDay(EvenSpeeds(), 300);
}

// Guards against false alarms about the slow third of a service.
BOOST_AUTO_TEST_CASE(QuietDay_MostUpstreamsFast_NobodyIsWithdrawn) {
  PlayQuietDay(MostlyFast(), 300);
}

// Guards against false alarms from the few responses of a quiet service.
BOOST_AUTO_TEST_CASE(QuietDay_FewRequests_NobodyIsWithdrawn) {
  PlayQuietDay(MostlyFast(), 40);
}

// Guards against false alarms when requests are queued.
BOOST_AUTO_TEST_CASE(BusyDay_RequestsQueue_NobodyIsWithdrawn) {
  PlayQuietDay(MostlyFast(), 900);
}

// Guards against an upstream that answers each request at once with an error.
BOOST_AUTO_TEST_CASE(FailsAtOnce_After1500Ms_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kErrors}, 1'500) < kTenth);
}

// Guards against an upstream that resets its flows.
BOOST_AUTO_TEST_CASE(ResetsRequests_After1500Ms_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kReset}, 1'500) < kTenth);
}

// Guards against a hang, which shows only when slow requests are answered.
BOOST_AUTO_TEST_CASE(NeverAnswers_After2500Ms_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kMute}, 2'500) < kTenth);
}

// Guards against a hang that the answered requests hide.
BOOST_AUTO_TEST_CASE(AnswersHalf_After2500Ms_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kMute, 0.45}, 2'500) < kTenth);
}

// Guards against errors that the answered requests hide.
BOOST_AUTO_TEST_CASE(FailsHalf_After2500Ms_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kErrors, 0.45}, 2'500) < kTenth);
}

// Guards against a fault that is diluted by the callers it doesn't affect. The
// others may go on using the upstream.
BOOST_AUTO_TEST_CASE(FailsCallersOfOneBalancer_After4S_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kErrors, 1, 1, true}, 4'000) < kTenth);
}

// Guards against an upstream that is slow for all requests, although others are
// slower than the usual ones, too.
BOOST_AUTO_TEST_CASE(FastUpstreamSlowByFive_After6S_GetsUnderATenth) {
  BOOST_TEST(SharesAfter({Kind::kSlow, 1, 5}, 6'000, MostlyFast()) < kTenth);
}

// Guards against an upstream that attracts flows because it fails quickly.
BOOST_AUTO_TEST_CASE(QuickUpstream_NotDetected_GetsTwiceItsShareAtMost) {
  BOOST_TEST(SharesAfter({Kind::kErrors}, 0, EvenSpeeds(), true) < 2);
}

// Guards against the withdrawal of a service that has changed as a whole.
BOOST_FIXTURE_TEST_CASE(AllFailAtOnce_ForTenSeconds_NobodyStaysWithdrawn,
                        DayAtOnset) {
  for (uint32_t index = 0; index < kUpstreams; ++index) {
    SetFault(index, {Kind::kErrors});
  }
  uint32_t most = 0;
  for (int64_t time = kOnset; time < kOnset + 10'000; time += 100) {
    RunUntil(time);
    most = std::max(most, WithdrawnSlots());
  }
  BOOST_TEST(most <= kUpstreams * kSlots / 3);
  BOOST_TEST(WithdrawnSlots() == 0);
}

// Guards against the withdrawal of more upstreams than the others can replace.
BOOST_FIXTURE_TEST_CASE(HalfFail_ForFourSeconds_AThirdIsWithdrawn, DayAtOnset) {
  for (uint32_t index = 0; index < kUpstreams / 2; ++index) {
    SetFault(index, {Kind::kErrors});
  }
  RunUntil(kOnset + 4'000);
  BOOST_TEST(WithdrawnSlots() == kUpstreams * kSlots / 3);
}

// Guards against an upstream that stays withdrawn when it works again.
BOOST_FIXTURE_TEST_CASE(Withdrawn_WorksAgain_GetsItsShareBack, DayAtOnset) {
  SetFault(kFaulty, {Kind::kErrors});
  RunUntil(kOnset + 5'000);
  SetFault(kFaulty, {});
  RunUntil(kOnset + 25'000);
  BOOST_TEST(WithdrawnSlots() == 0);
  BOOST_TEST(FairSharesUntil(kOnset + 30'000, kFaulty) > 0.7);
}

// Guards against decisions that depend on the figures while the feature is off.
BOOST_FIXTURE_TEST_CASE(FeatureOff_LowShare_RanksAsBefore, RelayWithAgents) {
  const RelayRoute& route = *FindRoute(relay.routes, kServiceAddress);
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
  const auto before = RankUpstreams(relay.directory, route, flow, 0, 5, now);
  relay.directory.upstreams.at(before[0].agent).flow_share.share = 0;
  BOOST_CHECK(RankUpstreams(relay.directory, route, flow, 0, 5, now) == before);
  relay.directory.detects_outliers = true;
  BOOST_CHECK(
      RankUpstreams(relay.directory, route, flow, 0, 5, now).back().agent ==
      before[0].agent);
}

// Guards against a figure from the wire that is no number.
BOOST_AUTO_TEST_CASE(ReportedShare_OutOfBounds_IsCorrected) {
  KnownUpstream upstream;
  AgentLoad load;
  load.suspected_failures = std::numeric_limits<double>::quiet_NaN();
  ApplyAgentLoad(upstream, load, TimePoint{1});
  BOOST_TEST(upstream.load.suspected_failures == 0);
  load.suspected_failures = 7;
  ApplyAgentLoad(upstream, load, TimePoint{1});
  BOOST_TEST(upstream.load.suspected_failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
