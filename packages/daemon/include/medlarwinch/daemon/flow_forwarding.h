#pragma once

#include <functional>
#include <optional>

#include "medlarwinch/coordination/request_path/flow_acceptance.h"
#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

/// Returns the position of the receiver of `packet` among the candidates of its
/// flow.
CandidatePosition CandidatePositionOf(const ForwardedPacket& packet);

/// Updates the packet of a flow that `decision` forwards or returns, and
/// returns the data address of the next candidate, or nothing when the packet
/// names none.
std::optional<Endpoint> AdvanceToNextCandidate(ForwardedPacket& packet,
                                               const FlowDecision& decision);

/// Sends the packet, sealed with `key`, to the candidate that
/// AdvanceToNextCandidate() returns. Returns false when there is none.
bool SendToNextCandidate(
    ForwardedPacket packet, const FlowDecision& decision, const SipKey& key,
    const std::function<void(const Endpoint& to, ByteView datagram)>& send);

}  // namespace medlarwinch
