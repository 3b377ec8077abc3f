#pragma once

#include <set>

#include "medlarwinch/coordination/packet_path/relay_routes.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"

namespace medlarwinch {

/// Returns the services whose cold upstreams get a limited number of openings.
std::set<ServiceId> ServicesWithColdLimit(
    const RelayConfiguration& configuration);

/// Returns true if evacuations and limits of cold openings let this balancer
/// place a new flow at the upstream. Of the openings that a cold upstream may
/// still get, each balancer places its part, and at least one.
bool MayPlaceFlow(const UpstreamDirectory& directory,
                  const KnownUpstream& upstream);

/// Returns true if the route's services have upstreams and all of them are in
/// evacuated failure domains.
bool IsEvacuatedEverywhere(const UpstreamDirectory& directory,
                           const RelayRoute& route);

}  // namespace medlarwinch
