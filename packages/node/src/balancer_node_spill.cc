// Spill of new flows to other failure domains by a balancer.
#include <cstdio>
#include <string>

#include "medlarwinch/coordination/packet_path/domain_spill.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr double kSpillLogLinesPerSecond = 20;

std::string FormatFigure(double value, int digits) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

}  // namespace

void BalancerNode::UpdateSpills(TimePoint now) {
  for (const DomainSpillChange& change :
       UpdateDomainSpills(relay_.directory, now)) {
    // No route is of this kind.
    if (change.kind == RequestKind::kUnspecified) continue;
    if (!log_limiter_.AllowLine("domain_spill", kSpillLogLinesPerSecond, now)) {
      continue;
    }
    Log(LogLevel::kInfo, "domain_spill",
        {{"service", ServiceName(relay_.routes.configuration, change.service)},
         {"kind", RequestKindName(change.kind)},
         {"share", FormatFigure(change.after, 2)},
         {"before", FormatFigure(change.before, 2)},
         {"own_wait_ms", FormatFigure(change.own_wait_ms, 1)},
         {"other_wait_ms", FormatFigure(change.other_wait_ms, 1)}});
  }
}

}  // namespace medlarwinch
