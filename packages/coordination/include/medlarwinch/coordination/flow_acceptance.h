#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/coordination/document_context.h"
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
  /// True while outlier detection keeps new flows away.
  bool ejected = false;

  friend bool operator==(const AcceptanceState&,
                         const AcceptanceState&) = default;
};

/// Position of the agent among the candidates of a new flow.
struct CandidatePosition {
  size_t hop = 0;
  size_t candidates = 1;
  /// Candidates from the front that may accept a new flow.
  size_t accepting = 1;
  /// Lowest load of the candidates that passed the flow on because they were
  /// above the mean; negative without one.
  double best_load = -1;
  /// True when a later candidate sent the flow back to this one.
  bool must_accept = false;

  friend bool operator==(const CandidatePosition&,
                         const CandidatePosition&) = default;
};

enum class FlowAction {
  kAccept,
  kForward,
  /// Send it back to the earlier candidate with the lowest load.
  kReturn,
  /// Answer with Reset "shed".
  kShed,
  /// The hop index is out of bounds; drop the packet.
  kDrop,
};

struct FlowDecision {
  FlowAction action = FlowAction::kDrop;
  Reason reason;
  /// With kForward: the own load, for the comparison at the last candidate;
  /// negative when the agent can't take the flow back.
  double load = -1;

  friend bool operator==(const FlowDecision&, const FlowDecision&) = default;
};

/// Share of its slots, from 0 to 1, that a cold upstream counts: it grows
/// linearly from `initial_percent` to 1 over the window.
double SlowStartShare(const SlowStartPolicy& policy, Millis time_since_ready);

/// Decides what happens to a new flow: accepted while the flows per slot
/// are at most mean * (1 + margin), else passed on; the last
/// candidate that may accept compares its own exact load with the lowest of the
/// earlier ones, and takes the flow or returns it. So the flow goes to the less
/// loaded of the candidates even while the mean lags behind. A draining agent
/// never accepts.
FlowDecision DecideNewFlow(const AcceptanceState& state,
                           const CandidatePosition& position,
                           const DocumentContext& context);

/// Decides what happens to a packet whose flow the agent does not own and that
/// opens none: it is passed on while there is another candidate; kShed stands
/// for the answer Reset "unknown flow".
FlowAction DecideUnownedPacket(const CandidatePosition& position);

}  // namespace medlarwinch
