#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

const char* MemberKindName(MemberKind kind) {
  switch (kind) {
    case MemberKind::kBalancer:
      return "balancer";
    case MemberKind::kAgent:
      return "agent";
  }
  return "unknown";
}

const char* MemberPhaseName(MemberPhase phase) {
  switch (phase) {
    case MemberPhase::kStarting:
      return "starting";
    case MemberPhase::kReady:
      return "ready";
    case MemberPhase::kDraining:
      return "draining";
    case MemberPhase::kLeft:
      return "left";
    case MemberPhase::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace medlarwinch
