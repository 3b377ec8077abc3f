#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_routes.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"

namespace medlarwinch {

/// Number of upstreams per service that are considered for a new flow: those
/// with the highest rendezvous scores. Four choices balance almost as well as
/// all upstreams, and leave a balancer that does not know the flow with only a
/// few agents to query.
inline constexpr size_t kPlacementChoices = 4;

/// Rendezvous score of the agent for the flow; higher is better.
uint64_t PlacementScore(const FlowTuple& flow, const Endpoint& agent);

/// An upstream that can accept a new flow.
struct PlacementCandidate {
  Endpoint agent;
  ServiceId service;
  /// Expected fraction of busy slots after the flow was added; with
  /// UpstreamDirectory::places_by_wait, weighted by the upstream's service time
  /// relative to its service.
  double load = 0;

  friend bool operator==(const PlacementCandidate&,
                         const PlacementCandidate&) = default;
};

/// Ranks the upstreams for a new flow, best first, and returns at most `max` of
/// them.
///
/// Placement accounts for long-lived flows: a flow stays at its upstream, so
/// the number of flows weighs as much as the number of requests in progress.
/// The service is picked by the weights of the route with `random_value`;
/// another service of the route is used when the picked one is busy and the
/// other is clearly less loaded. Of each service only the kPlacementChoices
/// upstreams with the highest hash scores are considered.
std::vector<PlacementCandidate> RankUpstreams(
    const UpstreamDirectory& directory, const RelayRoute& route,
    const FlowTuple& flow, uint64_t random_value, size_t max, TimePoint now);

/// Returns true if an upstream may become able to accept flows soon without a
/// change of the directory: some upstream of the route may be starting, or was
/// last seen only a short time ago.
bool MayAcceptSoon(const UpstreamDirectory& directory, const RelayRoute& route,
                   TimePoint now);

}  // namespace medlarwinch
