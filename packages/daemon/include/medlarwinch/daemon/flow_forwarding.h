#pragma once

#include <optional>

#include "medlarwinch/coordination/flow_acceptance.h"
#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

/// Position of the receiver of `packet` among the candidates of its flow.
CandidatePosition PositionOf(const ForwardedPacket& packet);

/// Prepares the packet of a flow that `decision` passes on or returns, and
/// returns the data address of the candidate that gets it; nothing when the
/// packet names none.
std::optional<Endpoint> NextCandidate(ForwardedPacket& packet,
                                      const FlowDecision& decision);

}  // namespace medlarwinch
