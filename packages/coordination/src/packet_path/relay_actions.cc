#include "medlarwinch/coordination/packet_path/relay_actions.h"

namespace medlarwinch {

const char* FlowResetReasonName(FlowResetReason reason) {
  switch (reason) {
    case FlowResetReason::kNoRoute:
      return "no_route";
    case FlowResetReason::kRouteDropped:
      return "route_dropped";
    case FlowResetReason::kNoUpstream:
      return "no_upstream";
    case FlowResetReason::kNoOwner:
      return "nobody_holds";
    case FlowResetReason::kUpstreamLost:
      return "upstream_lost";
    case FlowResetReason::kUpstreamRestarted:
      return "upstream_restarted";
    case FlowResetReason::kEvacuated:
      return "evacuated";
  }
  return "invalid";
}

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOtherService:
      return "other_service";
    case RefusalReason::kNotReady:
      return "not_ready";
    case RefusalReason::kUnresponsive:
      return "unresponsive";
    case RefusalReason::kBusy:
      return "busy";
    case RefusalReason::kBounced:
      return "bounced";
    case RefusalReason::kEvacuated:
      return "evacuated";
    case RefusalReason::kTermsUnknown:
      return "terms_unknown";
    case RefusalReason::kColdLimit:
      return "cold_limit";
  }
  return "invalid";
}

const char* PacketDropReasonName(PacketDropReason reason) {
  switch (reason) {
    case PacketDropReason::kLeftToRetransmission:
      return "left_to_next_copy";
    case PacketDropReason::kNoUpstreamYet:
      return "no_upstream_yet";
    case PacketDropReason::kOwnerUnproven:
      return "owner_not_proved";
    case PacketDropReason::kRouteNotKnown:
      return "route_not_known";
    case PacketDropReason::kOutdatedRefusal:
      return "outdated_refusal";
    case PacketDropReason::kOutdatedOpening:
      return "outdated_opening";
  }
  return "invalid";
}

void AddReset(const ResetCaller& reset, FlowResetCounts& counts,
              RelayActions& actions) {
  ++counts[static_cast<size_t>(reset.reason)];
  actions.push_back(reset);
}

}  // namespace medlarwinch
