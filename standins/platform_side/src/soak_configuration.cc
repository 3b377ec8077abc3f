#include "medlarwinch/platform_side/soak_configuration.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

const Endpoint kHubRoute{0xc6120001, 8'080};
const Endpoint kSplitRoute{0xc6120001, 8'443};
const Endpoint kDeskRoute{0xc6120002, 8'443};
const Endpoint kAlternatingRoute{0xc6120003, 8'080};
const Endpoint kOptionalRoute{0xc6120004, 8'080};
// Each version whose number is a multiple of this lacks the optional route.
constexpr uint64_t kRemovalInterval = 5;

Json RouteJson(const char* name, const Endpoint& address) {
  const std::string text = ToString(address);
  return {{"name", name},
          {"host", text.substr(0, text.find(':'))},
          {"path_prefix", "/" + std::to_string(address.port) + "/"},
          {"route_kind", "safe"},
          {"timeout_ms", 1'500}};
}

const char* AlternatingService(uint64_t version) {
  return version % 2 == 0 ? kHubService : kDeskService;
}

}  // namespace

Json SoakConfiguration(uint64_t version, double cold_openings_per_second,
                       bool has_optional_route) {
  Json hub = RouteJson("hub", kHubRoute);
  hub["service"] = kHubService;
  Json split = RouteJson("split", kSplitRoute);
  split["traffic_split"] = {{{"service", kHubService}, {"weight", 90}},
                            {{"service", kDeskService}, {"weight", 10}}};
  Json desk = RouteJson("desk", kDeskRoute);
  desk["service"] = kDeskService;
  Json alternating = RouteJson("alternating", kAlternatingRoute);
  alternating["service"] = AlternatingService(version);
  Json configuration = {{"version", version},
                        {"routes", {hub, split, desk, alternating}},
                        {"limits", {{"idle_timeout_ms", 15'000}}}};
  if (has_optional_route && !RemovesRoute(kOptionalRoute, version)) {
    Json optional = RouteJson("optional", kOptionalRoute);
    optional["service"] = kHubService;
    configuration["routes"].push_back(optional);
  }
  if (cold_openings_per_second <= 0) return configuration;
  configuration["services"] = {
      {{"name", kHubService}, {"cold_per_s", cold_openings_per_second}},
      {{"name", kDeskService}, {"cold_per_s", cold_openings_per_second}}};
  return configuration;
}

bool RemovesRoute(const Endpoint& address, uint64_t version) {
  return address == kOptionalRoute && version % kRemovalInterval == 0;
}

std::vector<Endpoint> SoakRoutes(bool has_optional_route) {
  std::vector<Endpoint> routes = {kHubRoute, kSplitRoute, kSplitRoute,
                                  kDeskRoute, kAlternatingRoute};
  if (has_optional_route) routes.push_back(kOptionalRoute);
  return routes;
}

std::set<Endpoint> RouteAddresses(const std::string& service) {
  if (service == kHubService) {
    return {kHubRoute, kSplitRoute, kAlternatingRoute, kOptionalRoute};
  }
  return {kDeskRoute, kSplitRoute, kAlternatingRoute};
}

bool IsRouteOf(const std::string& service, const Endpoint& address,
               uint64_t version) {
  if (RemovesRoute(address, version)) return false;
  if (address == kAlternatingRoute)
    return service == AlternatingService(version);
  return RouteAddresses(service).count(address) != 0;
}

}  // namespace medlarwinch
