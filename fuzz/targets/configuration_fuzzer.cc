// Input: the content of the object config/main.
#include <cmath>

#include "fuzz_input.h"
#include "medlarwinch/platform/configuration_decoder.h"

namespace medlarwinch {
namespace {

constexpr Millis kMaxDuration{86'400'000};

void CheckDuration(Millis duration) {
  Require(duration >= Millis{0} && duration <= kMaxDuration,
          "durations are bounded");
}

void CheckRoute(const RelayRoute& route) {
  CheckDuration(route.terms.latency_objective);
  CheckDuration(route.terms.request_timeout);
  double total = 0;
  for (const RouteTarget& target : route.targets) {
    Require(target.weight > 0, "the weight of a target is positive");
    total += target.weight;
  }
  Require(std::isfinite(total), "the weights of a route have a sum");
}

}  // namespace
}  // namespace medlarwinch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const Result<RelayConfiguration> decoded =
      platform::DecodeConfiguration(ToText(data, size));
  if (!IsOk(decoded)) return 0;
  const RelayConfiguration& configuration = ValueOf(decoded);
  CheckDuration(configuration.flow_idle_timeout);
  for (const auto& [address, route] : configuration.routes) {
    Require(address.port != 0, "a route has an address");
    CheckRoute(route);
  }
  for (const auto& [service, terms] : configuration.services) {
    CheckDuration(terms.cold_time);
    Require(std::isfinite(terms.cold_openings_per_second) &&
                terms.cold_openings_per_second >= 0,
            "the rate of cold openings is bounded");
  }
  return 0;
}
