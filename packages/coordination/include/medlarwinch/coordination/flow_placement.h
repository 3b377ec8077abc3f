#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/relay_routes.h"
#include "medlarwinch/coordination/upstream_directory.h"

namespace medlarwinch {

/// Upstreams of a service among which a new flow is placed: the best by the
/// flow's rendezvous score. Four choices balance almost as well as all, and a
/// balancer that does not know the flow has only a few agents to ask.
inline constexpr size_t kPlacementChoices = 4;

/// Rendezvous score of the agent for the flow; higher is better.
uint64_t PlacementScore(const FlowTuple& flow, const Endpoint& agent);

/// An upstream that could take a new flow.
struct PlacementCandidate {
  Endpoint agent;
  ServiceId service;
  /// Expected busy slots per slot once the flow is there.
  double load = 0;

  friend bool operator==(const PlacementCandidate&,
                         const PlacementCandidate&) = default;
};

/// Ranks the upstreams for a new flow, best first, at most `max` of them.
///
/// Answers the load that long flows bring: a flow stays where it is placed, so
/// the flows at an upstream weigh as much as the requests that it works on now.
/// The service is drawn by the route's weights with `draw`; another service of
/// the route is taken when the drawn one is busy and the other is clearly less
/// so. Of each service only the kPlacementChoices upstreams that are best by
/// the flow's hash are considered.
std::vector<PlacementCandidate> RankUpstreams(
    const UpstreamDirectory& directory, const RelayRoute& route,
    const FlowTuple& flow, uint64_t random_value, size_t max, TimePoint now);

/// Whether an upstream could become able to take flows soon without any change
/// of the directory: some upstream of the route may be starting or is only just
/// silent.
bool MayAcceptSoon(const UpstreamDirectory& directory, const RelayRoute& route,
                   TimePoint now);

}  // namespace medlarwinch
