// Plays load against the decision on openings, and compares what callers get
// with the rules by slots and queue rounds alone.
#include <boost/test/unit_test.hpp>

#include "opening_model.h"

namespace medlarwinch {
namespace {

const RouteTerms kUnsafe{RequestKind::kUnsafe, 1, Millis{300}, Millis{2'500}};
const RouteTerms kSafe{RequestKind::kSafe, 2, Millis{300}, Millis{2'500}};
const RouteTerms kDownload{RequestKind::kDownload, 2, Millis{800},
                           Millis{4'000}};
constexpr double kShortWorkMs = 60;
constexpr double kLongWorkMs = 160;

// The rules of an agent without the feature: slots and queue rounds alone.
OpeningDecision DecideByQueue(const OpeningModel::Host& host,
                              const OfferedOpening& opening, TimePoint) {
  constexpr std::array<uint32_t, 5> kMaxCommitted = {4, 6, 8, 12, 12};
  const size_t round = opening.has_alternate ? opening.hops : 4;
  OpeningDecision decision;
  if (host.room.committed < kMaxCommitted[round]) return decision;
  decision.verdict =
      opening.copy < 2 ? OpeningVerdict::kAwaitCopy : OpeningVerdict::kRefuse;
  if (opening.has_alternate) decision.verdict = OpeningVerdict::kPassOn;
  return decision;
}

OpeningDecision DecideInClass(OpeningModel::Host& host,
                              const OfferedOpening& opening, TimePoint now) {
  RecordOffered(host.history, opening.terms, now);
  return DecideOpening(opening, host.room, host.work, host.history, now);
}

// Load in shares of the slots, with `factor` times the unsafe requests from
// 1 s to 5 s.
OpeningModel PlayBurst(const OpeningModel::Decision& decide, double load,
                       double factor) {
  OpeningModel model(12, decide);
  const double work_per_ms = load * 4 * static_cast<double>(model.hosts.size());
  std::array<double, 3> due{};
  while (model.now < 12'000) {
    const bool is_burst = model.now >= 1'000 && model.now < 5'000;
    const double calling = model.now < 8'000 ? work_per_ms : 0;
    due[0] += calling * 0.4 / kShortWorkMs * (is_burst ? factor : 1);
    due[1] += calling * 0.3 / kShortWorkMs;
    due[2] += calling * 0.3 / kLongWorkMs;
    for (; due[0] >= 1; --due[0]) model.Add(kUnsafe, kShortWorkMs);
    for (; due[1] >= 1; --due[1]) model.Add(kSafe, kShortWorkMs);
    for (; due[2] >= 1; --due[2]) model.Add(kDownload, kLongWorkMs);
    model.Step();
  }
  return model;
}

OpeningModel PlayColdStart(const OpeningModel::Decision& decide) {
  OpeningModel model(38, decide);
  for (OpeningModel::Host& host : model.hosts) host.room.is_cold = true;
  for (int group = 0; group < 300; ++group) {
    for (const RouteTerms& terms : {kUnsafe, kUnsafe, kSafe, kSafe}) {
      model.Add(terms, kShortWorkMs);
    }
    model.Add(kDownload, kLongWorkMs);
  }
  while (model.now < 8'000) {
    for (OpeningModel::Host& host : model.hosts) {
      host.room.is_cold = model.now < 2'000;
    }
    model.Step();
  }
  return model;
}

BOOST_AUTO_TEST_SUITE(OpeningAdmissionLoadTest)

// Guards against an overload that makes the responses of all classes late.
BOOST_AUTO_TEST_CASE(UnsafeBurst_AtHighLoad_MoreOfEachClassIsInTime) {
  OpeningModel before = PlayBurst(DecideByQueue, 0.9, 1.8);
  OpeningModel after = PlayBurst(DecideInClass, 0.9, 1.8);
  BOOST_TEST(after.outcome[RequestKind::kUnsafe].InTime() >= 0.8);
  for (const auto& [kind, got] : after.outcome) {
    BOOST_TEST(got.InTime() > before.outcome[kind].InTime() + 0.05);
  }
  // The kind that must not be repeated is the one that is answered best.
  BOOST_TEST(after.outcome[RequestKind::kUnsafe].Unanswered() <
             after.outcome[RequestKind::kSafe].Unanswered());
}

// Guards against refusals while there is room.
BOOST_AUTO_TEST_CASE(ModerateLoad_NoBurst_NobodyIsRefused) {
  OpeningModel before = PlayBurst(DecideByQueue, 0.7, 1);
  OpeningModel after = PlayBurst(DecideInClass, 0.7, 1);
  for (const auto& [kind, got] : after.outcome) {
    BOOST_TEST(got.refusals == 0);
    BOOST_TEST(got.InTime() >= before.outcome[kind].InTime() - 0.005);
  }
}

// Guards against classes that get nothing while more urgent ones alone exceed
// the capacity.
BOOST_AUTO_TEST_CASE(UrgentClassExceedsCapacity_OtherClasses_DoNotStarve) {
  OpeningModel after = PlayBurst(DecideInClass, 0.9, 4);
  for (const auto& [kind, got] : after.outcome) {
    BOOST_TEST(got.InTime() >= 0.3);
  }
}

// Guards against a return after a loss of power in which callers use up their
// attempts at full queues.
BOOST_AUTO_TEST_CASE(ColdStart_AllCallersAtOnce_AreAnsweredUrgentFirst) {
  OpeningModel before = PlayColdStart(DecideByQueue);
  OpeningModel after = PlayColdStart(DecideInClass);
  for (const auto& [kind, got] : after.outcome) {
    BOOST_TEST(got.Unanswered() <= 0.02);
  }
  BOOST_TEST(after.outcome[RequestKind::kUnsafe].InTime() >=
             before.outcome[RequestKind::kUnsafe].InTime());
  BOOST_TEST(after.outcome[RequestKind::kUnsafe].InTime() >
             after.outcome[RequestKind::kSafe].InTime());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
