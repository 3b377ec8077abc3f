#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "medlarwinch/coordination/packet_path/admission_class.h"
#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/work_time.h"

namespace medlarwinch {

enum class OpeningVerdict : uint8_t {
  /// Deliver the opening to the upstream.
  kTake = 0,
  /// Forward it to the next agent.
  kPassOn = 1,
  /// Drop it: the caller sends another copy.
  kAwaitCopy = 2,
  /// Tell the balancer that no agent takes it.
  kRefuse = 3,
};
const char* OpeningVerdictName(OpeningVerdict verdict);

/// Why an opening is taken, passed on, left to the next copy or refused.
enum class AdmissionReason : uint8_t {
  /// Taken: its response is expected within the latency objective.
  kInTime = 0,
  /// Taken: its class had less than its guaranteed share of the slots.
  kGuaranteedShare = 1,
  /// Taken: its response will be late, but delays no response that could be in
  /// time.
  kLateWithRoom = 2,
  /// Passed on: another agent may have a shorter queue.
  kShorterQueueElsewhere = 3,
  /// Left: the queue is expected to have room at the next copy, in time.
  kRoomAtNextCopy = 4,
  /// Left: as before, but late. The overload is short.
  kBurstPasses = 5,
  /// Refused: the queue has room, but it is kept for more urgent openings.
  kKeptForUrgent = 6,
  /// Refused: the queue is longer than the latency objective allows.
  kOverloaded = 7,
  /// Refused: the caller gives up before the response.
  kPastTimeout = 8,
  /// Refused: the upstream itself returned the opening.
  kReturned = 9,
  /// Refused: the upstream's queue has no place that is not kept for the
  /// requests of open flows.
  kQueueFull = 10,
};
inline constexpr size_t kAdmissionReasons = 11;
const char* AdmissionReasonName(AdmissionReason reason);

/// What an agent has seen of one class.
struct ClassDemand {
  /// Time of the last opening; empty before the first one.
  std::optional<TimePoint> last_offered;
  /// Latency objective of the last opening.
  Millis latency_objective{0};
  /// Expected work of the openings taken, in milliseconds, weighted by age.
  double taken = 0;

  friend bool operator==(const ClassDemand&, const ClassDemand&) = default;
};

/// What an agent remembers of openings. Lost with the process.
struct AdmissionHistory {
  std::array<ClassDemand, kAdmissionClasses> classes;
  TimePoint decayed_until;
  /// Number of decisions by class and reason.
  std::array<std::array<uint64_t, kAdmissionReasons>, kAdmissionClasses>
      decisions{};

  friend bool operator==(const AdmissionHistory&,
                         const AdmissionHistory&) = default;
};

/// An opening that an agent decides on.
struct OfferedOpening {
  RouteTerms terms;
  /// Number of copies that the caller sent before this one.
  uint32_t copy = 0;
  /// Number of agents that have passed it on.
  uint8_t hops = 0;
  /// True if another agent may take it.
  bool has_alternate = false;
  /// True if the upstream has just returned it.
  bool was_returned = false;

  friend bool operator==(const OfferedOpening&,
                         const OfferedOpening&) = default;
};

/// The state of the upstream on which a decision depends.
struct UpstreamRoom {
  uint32_t slots = 0;
  /// Number of requests that are running, queued, or expected at once on flows
  /// that have just opened.
  uint32_t committed = 0;
  /// Number of requests queued or running, averaged over about one second.
  double mean_outstanding = 0;
  /// Number of open flows without a request; each may send one at any time.
  uint32_t idle_flows = 0;
  bool is_cold = false;

  friend bool operator==(const UpstreamRoom&, const UpstreamRoom&) = default;
};

/// A decision and the figures behind it, in milliseconds.
struct OpeningDecision {
  OpeningVerdict verdict = OpeningVerdict::kTake;
  AdmissionReason reason = AdmissionReason::kInTime;
  AdmissionClass admission_class;
  /// True if the class has had less than its guaranteed share of the slots.
  bool is_guaranteed = false;
  /// Expected time in the queue and of the work itself.
  double wait_ms = 0;
  double work_ms = 0;
  /// Longest queueing that is allowed to the class at present.
  double max_wait_ms = 0;
  /// As `max_wait_ms`, without the guaranteed share.
  double shared_max_wait_ms = 0;
  /// What is left of the latency objective; negative when it is over.
  double left_ms = 0;

  friend bool operator==(const OpeningDecision&,
                         const OpeningDecision&) = default;
};

/// Decides on an opening whose route names a latency objective; see
/// docs/design/opening-admission.md.
OpeningDecision DecideOpening(const OfferedOpening& opening,
                              const UpstreamRoom& room, const WorkTime& work,
                              const AdmissionHistory& history, TimePoint now);

/// Records that an opening with `terms` asks for the upstream. To be called
/// before DecideOpening().
void RecordOffered(AdmissionHistory& history, const RouteTerms& terms,
                   TimePoint now);

/// Counts a decision.
void RecordDecision(AdmissionHistory& history, const OpeningDecision& decision);

}  // namespace medlarwinch
