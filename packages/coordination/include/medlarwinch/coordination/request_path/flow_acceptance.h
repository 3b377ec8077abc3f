#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// What an agent knows of its own upstream when a new flow arrives.
struct AcceptanceState {
  uint32_t flows = 0;
  uint32_t slots = 1;
  /// Mean flows per slot of the service; negative when unknown.
  double mean_flows_per_slot = -1;
  /// Time since the upstream became ready or returned from an ejection.
  Millis time_since_ready{0};
  bool draining = false;
  /// True while outlier detection ejects the upstream from new flows.
  bool ejected = false;

  friend bool operator==(const AcceptanceState&,
                         const AcceptanceState&) = default;
};

/// Position of the agent among the candidates of a new flow.
struct CandidatePosition {
  size_t hop = 0;
  size_t candidates = 1;
  /// Number of candidates at the front of the list that may accept a new flow.
  size_t accepting = 1;
  /// Lowest load among the candidates that forwarded the flow because they were
  /// above the mean; negative if there is none.
  double best_load = -1;
  /// True when a later candidate returned the flow to this one.
  bool must_accept = false;

  friend bool operator==(const CandidatePosition&,
                         const CandidatePosition&) = default;
};

enum class FlowAction {
  kAccept,
  kForward,
  /// Return the flow to the earlier candidate with the lowest load.
  kReturn,
  /// Answer with a reset for the reason "shed".
  kShed,
  /// The hop index is out of bounds; drop the packet.
  kDrop,
};

struct FlowDecision {
  FlowAction action = FlowAction::kDrop;
  Reason reason;
  /// With kForward: the candidate's own load, which the last candidate compares
  /// with its own; negative when the agent cannot take the flow back.
  double load = -1;

  friend bool operator==(const FlowDecision&, const FlowDecision&) = default;
};

/// Fraction of its slots, from 0 to 1, that an upstream in slow start offers.
/// It grows linearly from `initial_percent` to 1 over the window.
double SlowStartShare(const SlowStartPolicy& policy, Millis time_since_ready);

/// Decides whether a new flow is accepted. It is accepted while the flows per
/// slot are at most mean * (1 + margin), and forwarded otherwise. The last
/// candidate that may accept compares its exact load with the lowest load of
/// the earlier candidates, and accepts the flow or returns it. The flow
/// therefore reaches the less loaded candidate even when the mean is out of
/// date. A draining agent never accepts.
FlowDecision DecideNewFlow(const AcceptanceState& state,
                           const CandidatePosition& position,
                           const DocumentContext& context);

/// Decides what happens to a packet that opens no flow and whose flow the agent
/// does not own. It is forwarded while there is another candidate; kShed means
/// a reset for an unknown flow.
FlowAction DecideUnownedPacket(const CandidatePosition& position);

}  // namespace medlarwinch
