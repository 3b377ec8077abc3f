#include "medlarwinch/coordination/packet_path/placement_limits.h"

#include <algorithm>

#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/coordination/packet_path/opening_gate.h"

namespace medlarwinch {
namespace {

// Number of openings that this balancer may place at a cold upstream between
// two of its reports. Before an agent has reported the number of balancers it
// is one, as if there were very many.
uint32_t ColdShare(const UpstreamDirectory& directory,
                   const KnownUpstream& upstream) {
  const uint32_t left = upstream.load.cold_openings_left;
  if (left == 0) return 0;
  if (directory.reported_balancers == 0) return 1;
  return std::max<uint32_t>(left / directory.reported_balancers, 1);
}

}  // namespace

std::set<ServiceId> ServicesWithColdLimit(
    const RelayConfiguration& configuration) {
  std::set<ServiceId> services;
  for (const auto& [service, terms] : configuration.services) {
    if (ColdOpeningLimit(terms).has_value()) services.insert(service);
  }
  return services;
}

bool MayPlaceFlow(const UpstreamDirectory& directory,
                  const KnownUpstream& upstream) {
  if (IsEvacuated(directory.evacuations, upstream.entry.failure_domain)) {
    return false;
  }
  // An agent that does not read the extended messages reports no openings left.
  const bool is_limited =
      upstream.report.is_cold && upstream.reads_extended &&
      directory.services_with_cold_limit.count(upstream.report.service) != 0;
  if (!is_limited) return true;
  return upstream.placed_since_report < ColdShare(directory, upstream);
}

bool IsEvacuatedEverywhere(const UpstreamDirectory& directory,
                           const RelayRoute& route) {
  bool has_upstream = false;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!HasTarget(route, upstream.report.service)) continue;
    if (!IsEvacuated(directory.evacuations, upstream.entry.failure_domain)) {
      return false;
    }
    has_upstream = true;
  }
  return has_upstream;
}

}  // namespace medlarwinch
