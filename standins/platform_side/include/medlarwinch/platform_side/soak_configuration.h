#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// The two services of a soak run.
inline constexpr const char* kHubService = "probe-hub";
inline constexpr const char* kDeskService = "report-desk";

/// Returns the desired state that the operator writes. One of its routes leads
/// to the other service with each version, so that the service at which a flow
/// is opened shows whether the version is in force. With
/// `cold_openings_per_second` above 0, cold upstreams get at most so many
/// openings. With `has_optional_route`, each version has or removes one more
/// route.
nlohmann::json SoakConfiguration(uint64_t version,
                                 double cold_openings_per_second,
                                 bool has_optional_route = false);

/// Returns true if `version` removes the route of `address`.
bool RemovesRoute(const Endpoint& address, uint64_t version);

/// Returns the addresses to which callers open flows; busier ones more often.
std::vector<Endpoint> SoakRoutes(bool has_optional_route = false);

/// Returns the addresses that any version routes to `service`.
std::set<Endpoint> RouteAddresses(const std::string& service);

/// Returns true if `version` routes `address` to `service`.
bool IsRouteOf(const std::string& service, const Endpoint& address,
               uint64_t version);

}  // namespace medlarwinch
