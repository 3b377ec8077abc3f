#include "medlarwinch/daemon/flow_forwarding.h"

namespace medlarwinch {

CandidatePosition CandidatePositionOf(const ForwardedPacket& packet) {
  CandidatePosition position;
  // A packet without candidates has no receiver other than this agent.
  if (packet.candidates.empty()) return position;
  position.hop = packet.candidate_index;
  position.candidates = packet.candidates.size();
  position.accepting = packet.accepting_candidates;
  position.best_load = packet.lowest_load;
  position.must_accept = packet.must_accept;
  return position;
}

std::optional<Endpoint> AdvanceToNextCandidate(ForwardedPacket& packet,
                                               const FlowDecision& decision) {
  if (decision.action == FlowAction::kReturn) {
    packet.candidate_index = packet.least_loaded_index;
    packet.must_accept = true;
  } else {
    const bool is_least_loaded =
        decision.load >= 0 &&
        (packet.lowest_load < 0 || decision.load < packet.lowest_load);
    if (is_least_loaded) {
      packet.lowest_load = decision.load;
      packet.least_loaded_index = packet.candidate_index;
    }
    ++packet.candidate_index;
  }
  if (packet.candidate_index >= packet.candidates.size()) return std::nullopt;
  return packet.candidates[packet.candidate_index];
}

bool SendToNextCandidate(
    ForwardedPacket packet, const FlowDecision& decision, const SipKey& key,
    const std::function<void(const Endpoint& to, ByteView datagram)>& send) {
  const std::optional<Endpoint> next = AdvanceToNextCandidate(packet, decision);
  if (!next.has_value()) return false;
  send(*next, EncodeDataMessage(key, packet));
  return true;
}

}  // namespace medlarwinch
