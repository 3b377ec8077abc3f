#include "medlarwinch/coordination/packet_path/opening_admission.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace medlarwinch {
namespace {

constexpr double kWorkMs = 60;

struct AdmittingAgent {
  AdmittingAgent() {
    room.slots = 4;
    work.all = {kWorkMs, 20};
    opening.terms = {RequestKind::kSafe, 2, Millis{300}, Millis{2'500}};
  }

  OpeningDecision Decide() const {
    return DecideOpening(opening, room, work, history, now);
  }

  // Requests that run and queue, now and on average.
  void SetRequests(uint32_t committed, double mean) {
    room.committed = committed;
    room.mean_outstanding = mean;
  }

  void OfferUnsafe() {
    RecordOffered(history,
                  {RequestKind::kUnsafe, 1, Millis{300}, Millis{2'500}}, now);
  }

  bool Gets(OpeningVerdict verdict, AdmissionReason reason) const {
    const OpeningDecision decision = Decide();
    return decision.verdict == verdict && decision.reason == reason;
  }

  TimePoint now{50'000};
  OfferedOpening opening;
  UpstreamRoom room;
  WorkTime work;
  AdmissionHistory history;
};

BOOST_FIXTURE_TEST_SUITE(OpeningAdmissionTest, AdmittingAgent)

// Guards against queueing at one upstream while others are idle.
BOOST_AUTO_TEST_CASE(BusyUpstream_AlternateLeft_IsPassedOnElseTaken) {
  opening.has_alternate = true;
  SetRequests(3, 3);
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kInTime));
  SetRequests(4, 3);
  BOOST_CHECK(
      Gets(OpeningVerdict::kPassOn, AdmissionReason::kShorterQueueElsewhere));
  opening.has_alternate = false;
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kInTime));
}

// Guards against a long flow at an upstream whose open flows fill it already.
BOOST_AUTO_TEST_CASE(MomentaryRoom_FlowsFillUpstream_OnlyOneRequestFits) {
  opening.has_alternate = true;
  SetRequests(3, 6);
  BOOST_CHECK(Decide().verdict == OpeningVerdict::kPassOn);
  opening.terms.kind = RequestKind::kDownload;
  BOOST_CHECK(Decide().verdict == OpeningVerdict::kTake);
}

// Guards against a queue filled by requests that may be repeated when others
// need it.
BOOST_AUTO_TEST_CASE(UrgentClassAsks_SameQueue_OnlyUrgentIsTaken) {
  SetRequests(12, 6.9);
  RecordOffered(history, opening.terms, now);
  const OpeningDecision alone = Decide();
  BOOST_CHECK(alone.verdict == OpeningVerdict::kTake);
  OfferUnsafe();
  // The class has had its guaranteed share.
  history.classes[ClassIndex(ClassOf(opening.terms))].taken = 1'000;
  BOOST_CHECK(Gets(OpeningVerdict::kRefuse, AdmissionReason::kKeptForUrgent));
  opening.terms.kind = RequestKind::kUnsafe;
  opening.terms.priority = 1;
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kInTime));
  // The room is not kept for a class that asks no more.
  opening.terms = {RequestKind::kSafe, 2, Millis{300}, Millis{2'500}};
  now = now + Millis{60'000};
  BOOST_CHECK(Decide().verdict == OpeningVerdict::kTake);
}

// Guards against the starvation of the least urgent class.
BOOST_AUTO_TEST_CASE(ClassBelowGuarantee_UrgentClassAsks_IsTaken) {
  SetRequests(12, 7);
  OfferUnsafe();
  history.classes[ClassIndex({RequestKind::kUnsafe, 1})].taken = 1'000;
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kGuaranteedShare));
  history.classes[ClassIndex({RequestKind::kSafe, 2})].taken = 500;
  BOOST_CHECK(Decide().verdict == OpeningVerdict::kRefuse);
  // Requests of open flows fill the queue.
  SetRequests(14, 14);
  opening.terms.kind = RequestKind::kDownload;
  opening.terms.latency_objective = Millis{800};
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kGuaranteedShare));
}

// Guards against waiting for a copy that finds the same queue, and against the
// refusal of openings that only have to wait for the end of a short burst.
BOOST_AUTO_TEST_CASE(FullQueue_ByLengthOfOverload_IsLeftOrRefused) {
  opening.terms.latency_objective = Millis{800};
  SetRequests(16, 2);
  BOOST_CHECK(
      Gets(OpeningVerdict::kAwaitCopy, AdmissionReason::kRoomAtNextCopy));
  opening.terms.latency_objective = Millis{300};
  opening.copy = 1;
  BOOST_CHECK(Gets(OpeningVerdict::kAwaitCopy, AdmissionReason::kBurstPasses));
  opening.copy = 2;
  BOOST_CHECK(Gets(OpeningVerdict::kRefuse, AdmissionReason::kOverloaded));
  opening.copy = 0;
  SetRequests(16, 16);
  BOOST_CHECK(Gets(OpeningVerdict::kRefuse, AdmissionReason::kOverloaded));
}

// Guards against late work that delays work that can be in time, and against
// work for callers that have given up.
BOOST_AUTO_TEST_CASE(LateOpening_ByQueue_IsTakenOnlyWithoutDisplacement) {
  opening.copy = 2;
  SetRequests(6, 6);
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kLateWithRoom));
  SetRequests(10, 8);
  BOOST_CHECK(Decide().verdict == OpeningVerdict::kRefuse);
  SetRequests(4, 4);
  opening.terms.request_timeout = Millis{650};
  BOOST_CHECK(Gets(OpeningVerdict::kRefuse, AdmissionReason::kPastTimeout));
}

// Guards against requests of open flows that the upstream can't queue.
BOOST_AUTO_TEST_CASE(IdleFlows_ShortWork_KeepPlacesInTheQueue) {
  work.all.mean_ms = 10;
  SetRequests(14, 14);
  BOOST_CHECK(Gets(OpeningVerdict::kTake, AdmissionReason::kInTime));
  room.idle_flows = 40;
  history.classes[ClassIndex(ClassOf(opening.terms))].taken = 1'000;
  BOOST_CHECK(Gets(OpeningVerdict::kRefuse, AdmissionReason::kQueueFull));
}

// Guards against an opening that is sent again to the upstream that has just
// returned it.
BOOST_AUTO_TEST_CASE(ReturnedOpening_AnyCopy_IsNeverTaken) {
  opening.was_returned = true;
  for (const bool has_alternate : {false, true}) {
    for (const uint32_t copy : {0U, 1U, 2U, 7U}) {
      opening.has_alternate = has_alternate;
      opening.copy = copy;
      BOOST_CHECK(Decide().verdict != OpeningVerdict::kTake);
    }
  }
}

// Guards against a wait for the average of requests that themselves queued.
BOOST_AUTO_TEST_CASE(QueuedRequests_Measured_DoNotCountAsWork) {
  WorkTime measured;
  for (int request = 0; request < 10; ++request) {
    BOOST_TEST(KnownWorkMs(measured) == 0);
    RecordWork(measured, {RequestKind::kSafe, Millis{500}, 5, false}, 4);
    RecordWork(measured, {RequestKind::kSafe, Millis{96}, 4, true}, 4);
  }
  BOOST_TEST(std::lround(KnownWorkMs(measured, RequestKind::kUpload)) == 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
