#include "medlarwinch/coordination/relay_actions.h"

namespace medlarwinch {

const char* FlowResetReasonName(FlowResetReason reason) {
  switch (reason) {
    case FlowResetReason::kNoRoute:
      return "no_route";
    case FlowResetReason::kRouteDropped:
      return "route_dropped";
    case FlowResetReason::kNoUpstream:
      return "no_upstream";
    case FlowResetReason::kNobodyHolds:
      return "nobody_holds";
    case FlowResetReason::kUpstreamLost:
      return "upstream_lost";
    case FlowResetReason::kUpstreamRestarted:
      return "upstream_restarted";
  }
  return "invalid";
}

}  // namespace medlarwinch
