#include "medlarwinch/coordination/relay_actions.h"

namespace medlarwinch {

const char* ResetReasonName(ResetReason reason) {
  switch (reason) {
    case ResetReason::kNoRoute:
      return "no_route";
    case ResetReason::kRouteDropped:
      return "route_dropped";
    case ResetReason::kNoUpstream:
      return "no_upstream";
    case ResetReason::kNobodyHolds:
      return "nobody_holds";
    case ResetReason::kUpstreamLost:
      return "upstream_lost";
    case ResetReason::kUpstreamRestarted:
      return "upstream_restarted";
  }
  return "invalid";
}

}  // namespace medlarwinch
