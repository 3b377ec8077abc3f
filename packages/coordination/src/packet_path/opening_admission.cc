#include "medlarwinch/coordination/packet_path/opening_admission.h"

#include <algorithm>
#include <cmath>

#include "medlarwinch/coordination/packet_path/opening_copies.h"

namespace medlarwinch {
namespace {

// The opening's round trip and the way of the request and the response.
constexpr double kWayMs = 20;
// Callers' latency objectives are this many times the work of a request on all
// deployments. Replaces the service time until it is measured.
constexpr double kObjectiveInWorks = 5;
// A request is given this many times the average work. Service times vary, and
// a queue that fills the objective exactly makes half of the responses late.
constexpr double kOwnWorkAllowance = 1.5;
// Limit on the queue in rounds of work per slot while other agents are left to
// ask, by the number of agents that have passed the opening on: the first one
// must have an idle slot.
constexpr std::array<double, 4> kMaxRoundsWithAlternate = {0, 0.5, 1, 2};
// Upstreams queue 16 requests and refuse the ones beyond. Room for 4 to 8 is
// kept for the next requests of open flows, which no agent can hold back.
constexpr double kUpstreamQueue = 16;
constexpr double kKeptForIdleFlow = 0.25;
constexpr double kMinKeptForFlows = 4;
constexpr double kMaxKeptForFlows = 8;
// Share of the longest allowed wait, by the number of more urgent classes that
// have asked recently.
constexpr std::array<double, 4> kShareOfWait = {1, 0.7, 0.5, 0.4};
// A class that has asked within this time has room kept for it.
constexpr Millis kDemandMemory{10'000};
// A class that has got less than this share of the slots may queue as long as
// its own objective allows, so that more urgent classes and the requests of
// open flows can't starve it.
constexpr double kGuaranteedShare = 0.05;
// Time constant of the sum of the work taken.
constexpr double kTakenMemoryMs = 2'000;
// Share of the allowed wait for openings that will be late, unless the overload
// is short. In a lasting overload the queue is always longer, so late work
// takes no slot from work that can be in time.
constexpr double kLateShare = 0.5;
// An overload lasts when the average queue of the last second was longer than
// this share of the allowed wait.
constexpr double kLastingShare = 0.25;
constexpr double kMinLastingRounds = 0.25;
// Share of the allowed wait while the overload lasts: the slots are always busy
// then, so a shorter queue answers as many requests, and more of them in time.
constexpr double kLastingWait = 0.7;

double SpentMs(uint32_t copy) {
  return static_cast<double>(OpeningCopyTime(copy).value);
}

// Milliseconds of work per request and the queue of one upstream.
struct Pace {
  double slots = 1;
  double slowdown = 1;
  /// Of the average request, on the upstream as it is now.
  double work_ms = 0;

  double WaitMs(double committed) const {
    return committed < slots ? 0 : (committed - slots + 1) / slots * work_ms;
  }
};

double OwnWorkMs(const WorkTime& work, const Pace& pace, RequestKind kind,
                 Millis objective) {
  const double known = KnownWorkMs(work, kind);
  const double warm =
      known > 0 ? known
                : static_cast<double>(objective.value) / kObjectiveInWorks;
  return warm * pace.slowdown;
}

// The longest wait with which a first copy is still answered in time.
double MaxWaitMs(double own_work_ms, const Pace& pace, Millis objective) {
  const double allowance = std::max(1.0, kOwnWorkAllowance / pace.slowdown);
  return std::max(0.0, static_cast<double>(objective.value) - kWayMs -
                           own_work_ms * allowance);
}

bool HasAskedRecently(const ClassDemand& demand, TimePoint now) {
  return demand.last_offered.has_value() &&
         now - *demand.last_offered < kDemandMemory;
}

bool IsBelowGuarantee(const ClassDemand& demand, double slots) {
  return demand.taken < slots * kTakenMemoryMs * kGuaranteedShare;
}

// The longest wait allowed to the class: its share of the shortest of the
// longest waits of itself and of the more urgent classes that ask.
double SharedMaxWaitMs(const AdmissionClass& own, double own_max_wait_ms,
                       const WorkTime& work, const Pace& pace,
                       const AdmissionHistory& history, TimePoint now) {
  size_t more_urgent = 0;
  double max_wait = own_max_wait_ms;
  for (size_t index = 0; index < kAdmissionClasses; ++index) {
    const ClassDemand& demand = history.classes[index];
    const AdmissionClass other = ClassAt(index);
    if (!HasAskedRecently(demand, now) || !IsMoreUrgent(other, own)) continue;
    ++more_urgent;
    const double other_work =
        OwnWorkMs(work, pace, other.kind, demand.latency_objective);
    max_wait = std::min(max_wait,
                        MaxWaitMs(other_work, pace, demand.latency_objective));
  }
  const size_t rank = std::min(more_urgent, kShareOfWait.size() - 1);
  return max_wait * kShareOfWait[rank];
}

struct Assessment {
  Pace pace;
  double spent_ms = 0;
  double own_max_wait_ms = 0;
  bool is_queue_full = false;
  /// The upstream has queued so much over the last second that waiting for the
  /// next copy frees no room.
  bool is_overload_lasting = false;
  /// Wait as a first choice: with the later requests of the open flows.
  double wait_with_flows_ms = 0;
};

OpeningDecision As(OpeningDecision decision, OpeningVerdict verdict,
                   AdmissionReason reason) {
  decision.verdict = verdict;
  decision.reason = reason;
  return decision;
}

bool IsAnsweredBeforeTimeout(const OfferedOpening& opening,
                             const OpeningDecision& figures, double spent_ms,
                             double wait_ms) {
  const int64_t timeout = opening.terms.request_timeout.value;
  return timeout <= 0 || spent_ms + wait_ms + figures.work_ms + kWayMs <=
                             static_cast<double>(timeout);
}

double LateWaitMs(const Assessment& state, const OpeningDecision& figures) {
  return figures.max_wait_ms * (state.is_overload_lasting ? kLateShare : 1);
}

// While other agents are left to ask: takes the opening only with a short
// queue.
OpeningDecision DecideWithAlternate(const OfferedOpening& opening,
                                    const Assessment& state,
                                    const OpeningDecision& figures) {
  const size_t round =
      std::min<size_t>(opening.hops, kMaxRoundsWithAlternate.size() - 1);
  const double max_wait = std::min(
      figures.max_wait_ms, kMaxRoundsWithAlternate[round] * state.pace.work_ms);
  const bool has_room =
      !state.is_queue_full && state.wait_with_flows_ms <= max_wait;
  const bool is_in_time = figures.wait_ms + figures.work_ms <= figures.left_ms;
  if (has_room && is_in_time) {
    return As(figures, OpeningVerdict::kTake, AdmissionReason::kInTime);
  }
  // A free slot here is sure; one at the next agent is not.
  if (has_room && figures.wait_ms == 0) {
    return As(figures, OpeningVerdict::kTake, AdmissionReason::kLateWithRoom);
  }
  return As(figures, OpeningVerdict::kPassOn,
            AdmissionReason::kShorterQueueElsewhere);
}

std::optional<OpeningDecision> TakeIfRoom(const OfferedOpening& opening,
                                          const Assessment& state,
                                          const OpeningDecision& figures) {
  if (state.is_queue_full) return std::nullopt;
  const bool is_in_time = figures.wait_ms + figures.work_ms <= figures.left_ms;
  if (is_in_time && figures.wait_ms <= figures.max_wait_ms) {
    return As(figures, OpeningVerdict::kTake,
              figures.wait_ms <= figures.shared_max_wait_ms
                  ? AdmissionReason::kInTime
                  : AdmissionReason::kGuaranteedShare);
  }
  if (!is_in_time && figures.wait_ms <= LateWaitMs(state, figures) &&
      IsAnsweredBeforeTimeout(opening, figures, state.spent_ms,
                              figures.wait_ms)) {
    return As(figures, OpeningVerdict::kTake, AdmissionReason::kLateWithRoom);
  }
  return std::nullopt;
}

std::optional<OpeningDecision> AwaitIfRoomLater(
    const OfferedOpening& opening, const Assessment& state,
    const OpeningDecision& figures) {
  if (opening.copy >= kMaxOpeningRetransmissions) return std::nullopt;
  if (state.is_overload_lasting) return std::nullopt;
  const double delay = static_cast<double>(TimeToNextCopy(opening.copy).value);
  const double wait = std::max(0.0, figures.wait_ms - delay);
  const bool has_room = wait <= state.own_max_wait_ms;
  if (has_room && wait + figures.work_ms <= figures.left_ms - delay) {
    return As(figures, OpeningVerdict::kAwaitCopy,
              AdmissionReason::kRoomAtNextCopy);
  }
  if (has_room &&
      IsAnsweredBeforeTimeout(opening, figures, state.spent_ms + delay, wait)) {
    return As(figures, OpeningVerdict::kAwaitCopy,
              AdmissionReason::kBurstPasses);
  }
  return std::nullopt;
}

AdmissionReason RefusalReasonOf(const OfferedOpening& opening,
                                const Assessment& state,
                                const OpeningDecision& figures) {
  if (opening.was_returned) return AdmissionReason::kReturned;
  if (!IsAnsweredBeforeTimeout(opening, figures, state.spent_ms,
                               figures.wait_ms)) {
    return AdmissionReason::kPastTimeout;
  }
  if (state.is_queue_full && figures.wait_ms <= figures.max_wait_ms) {
    return AdmissionReason::kQueueFull;
  }
  const bool is_kept = figures.wait_ms <= state.own_max_wait_ms &&
                       figures.max_wait_ms < state.own_max_wait_ms;
  return is_kept ? AdmissionReason::kKeptForUrgent
                 : AdmissionReason::kOverloaded;
}

Pace PaceOf(const UpstreamRoom& room, const WorkTime& work,
            const RouteTerms& terms) {
  Pace pace;
  pace.slots = std::max<uint32_t>(room.slots, 1);
  pace.slowdown = room.is_cold ? kColdSlowdown : 1;
  const double known = KnownWorkMs(work) * pace.slowdown;
  pace.work_ms =
      known > 0 ? known
                : OwnWorkMs(work, pace, terms.kind, terms.latency_objective);
  return pace;
}

OpeningDecision ComputeFigures(const OfferedOpening& opening,
                               const UpstreamRoom& room, const WorkTime& work,
                               const Pace& pace,
                               const AdmissionHistory& history, TimePoint now) {
  const Millis objective = opening.terms.latency_objective;
  OpeningDecision figures;
  figures.admission_class = ClassOf(opening.terms);
  figures.work_ms = OwnWorkMs(work, pace, opening.terms.kind, objective);
  figures.left_ms =
      static_cast<double>(objective.value) - SpentMs(opening.copy) - kWayMs;
  figures.wait_ms = pace.WaitMs(room.committed);
  figures.max_wait_ms = MaxWaitMs(figures.work_ms, pace, objective);
  const ClassDemand& demand =
      history.classes[ClassIndex(figures.admission_class)];
  // After a loss of power the most urgent go first; nothing starves within the
  // time in which an upstream is cold.
  figures.is_guaranteed = !room.is_cold && IsBelowGuarantee(demand, pace.slots);
  figures.shared_max_wait_ms = SharedMaxWaitMs(
      figures.admission_class, figures.max_wait_ms, work, pace, history, now);
  if (!figures.is_guaranteed) figures.max_wait_ms = figures.shared_max_wait_ms;
  return figures;
}

Assessment Assess(const OfferedOpening& opening, const UpstreamRoom& room,
                  const Pace& pace, const OpeningDecision& figures) {
  Assessment state;
  state.pace = pace;
  state.spent_ms = SpentMs(opening.copy);
  state.own_max_wait_ms =
      MaxWaitMs(figures.work_ms, pace, opening.terms.latency_objective);
  state.wait_with_flows_ms = IsLongRequest(opening.terms.kind)
                                 ? figures.wait_ms
                                 : pace.WaitMs(std::max<double>(
                                       room.committed, room.mean_outstanding));
  const double kept = figures.is_guaranteed
                          ? kMinKeptForFlows
                          : std::clamp(room.idle_flows * kKeptForIdleFlow,
                                       kMinKeptForFlows, kMaxKeptForFlows);
  const double places = kUpstreamQueue - kept;
  state.is_queue_full =
      opening.was_returned || room.committed >= pace.slots + places;
  const double allowed_rounds =
      std::min(figures.max_wait_ms / pace.work_ms, places / pace.slots);
  const double lasting_rounds =
      std::max(kMinLastingRounds, allowed_rounds * kLastingShare);
  state.is_overload_lasting =
      !room.is_cold &&
      room.mean_outstanding >= pace.slots * (1 + lasting_rounds);
  return state;
}

}  // namespace

OpeningDecision DecideOpening(const OfferedOpening& opening,
                              const UpstreamRoom& room, const WorkTime& work,
                              const AdmissionHistory& history, TimePoint now) {
  const Pace pace = PaceOf(room, work, opening.terms);
  OpeningDecision figures =
      ComputeFigures(opening, room, work, pace, history, now);
  const Assessment state = Assess(opening, room, pace, figures);
  if (state.is_overload_lasting) {
    figures.shared_max_wait_ms *= kLastingWait;
    if (!figures.is_guaranteed) figures.max_wait_ms *= kLastingWait;
  }
  if (opening.has_alternate) {
    return DecideWithAlternate(opening, state, figures);
  }
  const std::optional<OpeningDecision> taken =
      TakeIfRoom(opening, state, figures);
  if (taken.has_value()) return *taken;
  const std::optional<OpeningDecision> awaited =
      AwaitIfRoomLater(opening, state, figures);
  if (awaited.has_value()) return *awaited;
  return As(figures, OpeningVerdict::kRefuse,
            RefusalReasonOf(opening, state, figures));
}

void RecordOffered(AdmissionHistory& history, const RouteTerms& terms,
                   TimePoint now) {
  const double elapsed =
      static_cast<double>((now - history.decayed_until).value);
  if (elapsed > 0) {
    const double kept = std::exp(-elapsed / kTakenMemoryMs);
    for (ClassDemand& demand : history.classes) demand.taken *= kept;
    history.decayed_until = now;
  }
  ClassDemand& demand = history.classes[ClassIndex(ClassOf(terms))];
  demand.last_offered = now;
  demand.latency_objective = terms.latency_objective;
}

void RecordDecision(AdmissionHistory& history,
                    const OpeningDecision& decision) {
  const size_t index = ClassIndex(decision.admission_class);
  ++history.decisions[index][static_cast<size_t>(decision.reason)];
  if (decision.verdict == OpeningVerdict::kTake) {
    history.classes[index].taken += decision.work_ms;
  }
}

const char* OpeningVerdictName(OpeningVerdict verdict) {
  switch (verdict) {
    case OpeningVerdict::kTake:
      return "take";
    case OpeningVerdict::kPassOn:
      return "pass_on";
    case OpeningVerdict::kAwaitCopy:
      return "await_copy";
    case OpeningVerdict::kRefuse:
      return "refuse";
  }
  return "invalid";
}

const char* AdmissionReasonName(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kInTime:
      return "in_time";
    case AdmissionReason::kGuaranteedShare:
      return "guaranteed_share";
    case AdmissionReason::kLateWithRoom:
      return "late_with_room";
    case AdmissionReason::kShorterQueueElsewhere:
      return "shorter_queue_elsewhere";
    case AdmissionReason::kRoomAtNextCopy:
      return "room_at_next_copy";
    case AdmissionReason::kBurstPasses:
      return "burst_passes";
    case AdmissionReason::kKeptForUrgent:
      return "kept_for_urgent";
    case AdmissionReason::kOverloaded:
      return "overloaded";
    case AdmissionReason::kPastTimeout:
      return "past_timeout";
    case AdmissionReason::kReturned:
      return "returned";
    case AdmissionReason::kQueueFull:
      return "queue_full";
  }
  return "invalid";
}

}  // namespace medlarwinch
